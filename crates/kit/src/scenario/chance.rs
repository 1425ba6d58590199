//! The random numbers of a run, derived from one seed. Each purpose has a stream of its own, so that the numbers
//! drawn for one purpose do not shift those drawn for another.

use fnv::FnvHasher;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::hash::Hasher;

/// The source of random numbers: ChaCha with eight rounds, whose streams are the same on every machine.
#[derive(Clone, Debug)]
pub struct Chance {
    root: ChaCha8Rng,
}

impl Chance {
    /// Creates the source from the seed that a run prints.
    pub fn new(seed: u64) -> Self {
        Chance { root: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns the stream for a purpose.
    pub fn of(&self, concern: &str) -> ChaCha8Rng {
        self.of_each(concern, 0)
    }

    /// Returns the stream for one item of a purpose.
    pub fn of_each(&self, concern: &str, item: u64) -> ChaCha8Rng {
        let mut name = FnvHasher::default();
        name.write(concern.as_bytes());
        name.write_u8(0xff);
        // `write_u64` would depend on the byte order of the machine.
        name.write(&item.to_le_bytes());
        let mut stream = self.root.clone();
        stream.set_stream(name.finish());
        stream
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::RngExt;

    #[test]
    fn streams_are_fixed_and_independent() {
        let chance = Chance::new(7);
        let two = |mut stream: ChaCha8Rng| (stream.random::<u64>(), stream.random::<u64>());
        assert_eq!(two(chance.of("a")), two(Chance::new(7).of("a")));
        let all = [chance.of("a"), chance.of("b"), chance.of_each("a", 1), Chance::new(8).of("a")].map(two);
        let distinct: std::collections::BTreeSet<_> = all.iter().collect();
        assert_eq!(distinct.len(), 4);
    }
}
