//! The order of candidates for the aggregator role: rendezvous hashing over epoch and member, with the same result at every
//! member.

use crate::Micros;

/// How long one order is in force, in microseconds of Unix time. The epoch is short, so that one faulty member of 300 is
/// aggregator for only 3 s in 1,000 s, and long compared with the time in which a new aggregator collects reports.
pub const EPOCH: Micros = 20_000_000;
/// Number of candidates in an order. If 70% of the members die at once, the probability that all 24 candidates are dead is
/// 1 in 5,000.
const CANDIDATES: usize = 24;

fn score(epoch: u64, member: u32) -> u64 {
    // Finalizer of splitmix64 (Steele et al. 2014): members and epochs are consecutive numbers, whose bits must be mixed well.
    let mut z =
        epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(member).wrapping_mul(0xd134_2543_de82_ef95);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The candidates of an epoch in order, beginning with the aggregator. Adding or removing a member does not change the relative
/// order of the others.
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
