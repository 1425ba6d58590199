//! Who is aggregator, and who takes its place: an order that all members work out alike, another one each epoch.

use crate::Micros;

/// How long one order counts. Short enough that a aggregator that lies, one of 300, has its say for 3 s of 1,000; long beside
/// the period in which a new aggregator gathers its reports.
pub const EPOCH: Micros = 20_000_000;
/// So many are worth asking when those before them don't answer: with seven of ten gone all at once, all 24 are gone in one
/// case of 5,000.
const CANDIDATES: usize = 24;

fn score(epoch: u64, ordinal: u32) -> u64 {
    // Finaliser of splitmix64 (Steele and others 2014): ordinals and epochs are both counters.
    let mut z =
        epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(ordinal).wrapping_mul(0xd134_2543_de82_ef95);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The first ones of an epoch's order, the aggregator first. One member more or less changes the places of no others.
pub fn aggregator_order(epoch: u64, members: u32) -> Vec<u32> {
    let mut all: Vec<(u64, u32)> = (0..members).map(|ordinal| (score(epoch, ordinal), ordinal)).collect();
    let first = CANDIDATES.min(all.len());
    if first < all.len() {
        all.select_nth_unstable(first);
        all.truncate(first);
    }
    all.sort_unstable();
    all.into_iter().map(|(_, ordinal)| ordinal).collect()
}

#[cfg(test)]
#[path = "aggregator_order_tests.rs"]
mod tests;
