//! Which member is aggregator, and which ones take its place: rendezvous hashing of epoch and member, which every member
//! computes alike.

use crate::Micros;

/// How long one order is in force, in microseconds of Unix time. Short enough that a faulty aggregator, one of 300, is in charge
/// for 3 s of 1,000; long beside the interval in which a new aggregator collects its reports.
pub const EPOCH: Micros = 20_000_000;
/// So many are worth asking when those before them don't answer: with seven of ten dead all at once, all 24 are dead in one
/// case of 5,000.
const CANDIDATES: usize = 24;

fn score(epoch: u64, member: u32) -> u64 {
    // Finaliser of splitmix64 (Steele and others 2014): members and epochs are both counters.
    let mut z =
        epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(member).wrapping_mul(0xd134_2543_de82_ef95);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The candidates of an epoch, the aggregator first. One member more or less changes the places of no others.
pub fn aggregator_order(epoch: u64, members: u32) -> Vec<u32> {
    let mut scored: Vec<(u64, u32)> = (0..members).map(|member| (score(epoch, member), member)).collect();
    let candidates = CANDIDATES.min(scored.len());
    if candidates < scored.len() {
        scored.select_nth_unstable(candidates);
        scored.truncate(candidates);
    }
    scored.sort_unstable();
    scored.into_iter().map(|(_, member)| member).collect()
}

#[cfg(test)]
#[path = "aggregator_order_tests.rs"]
mod tests;
