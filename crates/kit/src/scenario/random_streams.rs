//! The random numbers of a run, derived from one seed. Each purpose has a stream of its own, so that the numbers
//! drawn for one purpose do not shift those drawn for another.

use fnv::FnvHasher;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::hash::Hasher;

/// The source of random numbers: ChaCha with eight rounds, whose streams are the same on every machine.
#[derive(Clone, Debug)]
pub struct RandomStreams {
    root: ChaCha8Rng,
}

impl RandomStreams {
    /// Creates the source from the seed that a run prints.
    pub fn new(seed: u64) -> Self {
        RandomStreams { root: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns the stream for a purpose.
    pub fn stream(&self, purpose: &str) -> ChaCha8Rng {
        self.item_stream(purpose, 0)
    }

    /// Returns the stream for one item of a purpose.
    pub fn item_stream(&self, purpose: &str, item: u64) -> ChaCha8Rng {
        let mut hasher = FnvHasher::default();
        hasher.write(purpose.as_bytes());
        hasher.write_u8(0xff);
        // `write_u64` would depend on the byte order of the machine.
        hasher.write(&item.to_le_bytes());
        let mut stream = self.root.clone();
        stream.set_stream(hasher.finish());
        stream
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::RngExt;

    #[test]
    fn streams_are_fixed_and_independent() {
        let streams = RandomStreams::new(7);
        let two = |mut stream: ChaCha8Rng| (stream.random::<u64>(), stream.random::<u64>());
        assert_eq!(two(streams.stream("a")), two(RandomStreams::new(7).stream("a")));
        let draws = [
            streams.stream("a"),
            streams.stream("b"),
            streams.item_stream("a", 1),
            RandomStreams::new(8).stream("a"),
        ]
        .map(two);
        let distinct: std::collections::BTreeSet<_> = draws.iter().collect();
        assert_eq!(distinct.len(), 4);
    }
}
