//! Interned bit sets of (hall, hardware class) pairs.

use std::collections::HashMap;

use fnv::FnvBuildHasher;

/// Identifies an interned set.
pub(crate) type SetId = u32;

/// Distinct sets over a fixed number of pairs, stored one after the other as bit sets.
#[derive(Debug)]
pub(crate) struct Sets {
    pairs: u32,
    words: usize,
    bits: Vec<u64>,
}

/// Interns sets and builds [`Sets`].
pub(crate) struct SetsBuilder {
    sets: Sets,
    ids: HashMap<Box<[u64]>, SetId, FnvBuildHasher>,
}

impl Sets {
    /// Whether a set contains a pair.
    pub(crate) fn contains(&self, set: SetId, pair: u32) -> bool {
        let word = set as usize * self.words + (pair / 64) as usize;
        self.bits.get(word).is_some_and(|word| word >> (pair % 64) & 1 == 1)
    }

    /// The words of a set's bits; bit `p % 64` of word `p / 64` stands for pair `p`.
    pub(crate) fn words(&self, set: SetId) -> &[u64] {
        &self.bits[set as usize * self.words..][..self.words]
    }

    /// The number of words in each set.
    pub(crate) fn len(&self) -> usize {
        self.words
    }

    /// The word at this position in the set of all pairs.
    pub(crate) fn full_word(&self, at: usize) -> u64 {
        let rest = self.pairs as usize - 64 * at;
        if rest >= 64 { u64::MAX } else { (1 << rest) - 1 }
    }

    /// The size of all sets in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bits.len() * size_of::<u64>()
    }
}

impl SetsBuilder {
    pub(crate) fn new(pairs: u32) -> Self {
        let words = pairs.div_ceil(64) as usize;
        Self { sets: Sets { pairs, words, bits: Vec::new() }, ids: HashMap::default() }
    }

    pub(crate) fn sets(&self) -> &Sets {
        &self.sets
    }

    /// Interns the set of these pairs.
    pub(crate) fn intern(&mut self, pairs: impl Iterator<Item = u32>) -> SetId {
        let mut words = vec![0; self.sets.words];
        for pair in pairs {
            words[(pair / 64) as usize] |= 1 << (pair % 64);
        }
        self.intern_words(words)
    }

    /// Interns the set with these words.
    pub(crate) fn intern_words(&mut self, words: Vec<u64>) -> SetId {
        if let Some(&id) = self.ids.get(words.as_slice()) {
            return id;
        }
        let id = self.ids.len() as SetId;
        self.sets.bits.extend_from_slice(&words);
        self.ids.insert(words.into(), id);
        id
    }

    pub(crate) fn finish(self) -> Sets {
        self.sets
    }
}
