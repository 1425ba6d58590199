//! Interned names: the small numbers that stand for names in the module, and hashes that are the same at every node.

use fnv::FnvHasher;
use std::collections::HashMap;
use std::hash::Hasher;

/// Interned names, numbered from 0 in the order in which they came up.
#[derive(Clone, Debug, Default)]
pub struct Names {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    /// The number of `name`; a new one if it has none.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Gives a `name` a new number, by which it is found from now on. Its earlier numbers stay its own.
    pub fn renew(&mut self, name: &str) -> u32 {
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Has the name of `number` found by that one of its numbers from now on.
    pub fn prefer(&mut self, number: u32) {
        if let Some(name) = self.names.get(number as usize) {
            self.numbers.insert(name.clone(), number);
        }
    }

    /// Every number that a `name` has had.
    pub fn numbers_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = u32> + 'a {
        (0..).zip(&self.names).filter(move |(_, known)| *known == name).map(|(number, _)| number)
    }

    /// The number of a `name`, if it has one.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// How many numbers were given.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no number was given.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The name that a number stands for; `-` if it was not given.
    pub fn name(&self, number: u32) -> &str {
        self.names.get(number as usize).map_or("-", String::as_str)
    }
}

/// A digest of a name, the same at every node: FNV-1a, 64 bits.
pub fn digest(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A number from 0 to 1, pseudo-random and the same for the same `x` at every node: the finalizer of SplitMix64.
pub fn unit(mut x: u64) -> f64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
