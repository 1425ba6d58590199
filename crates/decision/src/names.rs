//! Interned names, which the module refers to by small numbers, and hash functions that give the same result
//! on every node.

use fnv::FnvHasher;
use std::collections::HashMap;
use std::hash::Hasher;

/// Interned names, numbered from 0 in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Names {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    /// Returns the number of `name`, and assigns a new number if the name has none.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Assigns a new number to `name`, which look-ups of the name return from now on. Its earlier numbers
    /// still stand for the name.
    pub fn assign_new_number(&mut self, name: &str) -> u32 {
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Makes look-ups of the name that `number` stands for return `number`, where the name has several
    /// numbers.
    pub fn make_current(&mut self, number: u32) {
        if let Some(name) = self.names.get(number as usize) {
            self.numbers.insert(name.clone(), number);
        }
    }

    /// Returns all numbers that stand for `name`.
    pub fn numbers_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = u32> + 'a {
        (0..).zip(&self.names).filter(move |(_, known)| *known == name).map(|(number, _)| number)
    }

    /// Returns the current number of `name`; `None` if the name is not known.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns how many numbers have been assigned.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no number has been assigned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the name that a number stands for; `-` if the number was not assigned.
    pub fn name(&self, number: u32) -> &str {
        self.names.get(number as usize).map_or("-", String::as_str)
    }
}

/// Returns the digest of a name (64-bit FNV-1a), which is the same on every node.
pub fn digest(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Hashes `x` to a pseudo-random number from 0 to 1 with the finalizer of SplitMix64. The result is the same
/// on every node.
pub fn hash_to_unit(mut x: u64) -> f64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
