//! The content of a version of the rules, and the plan that it compiles to. All members get the same bytes, so that all
//! compile the same book by the same profiles to the same plan.

use cottonnotch_consensus::ContentHash;
use cottonnotch_routing_rules::{Book, History, Inventory};
use cottonnotch_rule_compiler::{Plan, Profiles, compile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The format of the bytes. Another one can't be run here.
const FORMAT: u16 = 1;
/// The largest content, in bytes.
pub const MAX_CONTENT_BYTES: usize = 16 << 20;
/// Contents in the cache: those in force or pending, and earlier ones to compare with.
const MAX_CACHED: usize = 12;

/// What a version consists of, as all members have it. Encoded by the order of the fields, which must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContentBody {
    format: u16,
    /// The version in force that it was made on top of; it is good for no other.
    pub base: Option<ContentHash>,
    /// Each namespace's state and last valid file.
    pub history: History,
    /// The rules that the files merge to.
    pub book: Book,
    /// What each hardware class can run.
    pub profiles: Profiles,
    /// What rules can refer to, as far as any proposer knew.
    pub inventory: Inventory,
}

/// Why bytes are no content that this build can run.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// They are of another build's format.
    #[error("it is of form {0}, and this build runs {FORMAT}")]
    Format(u16),
    /// They can't be decoded.
    #[error("it cannot be read: {0}")]
    Unreadable(#[from] postcard::Error),
    /// There are too many.
    #[error("it is larger than {MAX_CONTENT_BYTES} bytes")]
    TooLarge,
}

/// A content that this process can act on.
#[derive(Debug)]
pub struct VersionContent {
    /// The hash of the bytes.
    pub hash: ContentHash,
    /// The encoded body, as members exchange it.
    pub bytes: Arc<[u8]>,
    /// The decoded body.
    pub body: ContentBody,
    /// The plan that it compiles to.
    pub plan: Arc<Plan>,
}

impl ContentBody {
    /// A body made on top of the version `base`.
    pub fn new(
        base: Option<ContentHash>,
        history: History,
        book: Book,
        profiles: Profiles,
        inventory: Inventory,
    ) -> Self {
        ContentBody { format: FORMAT, base, history, book, profiles, inventory }
    }

    /// Encodes and compiles it.
    pub fn compile(self) -> Result<VersionContent, ContentError> {
        let bytes = postcard::to_allocvec(&self)?;
        if bytes.len() > MAX_CONTENT_BYTES {
            return Err(ContentError::TooLarge);
        }
        Ok(self.with_bytes(bytes.into()))
    }

    fn with_bytes(self, bytes: Arc<[u8]>) -> VersionContent {
        let plan = Arc::new(compile(&self.book, &self.profiles).plan);
        VersionContent { hash: *blake3::hash(&bytes).as_bytes(), bytes, body: self, plan }
    }
}

impl VersionContent {
    /// Decodes and compiles what another member encoded, or this one earlier.
    pub fn decode(bytes: Vec<u8>) -> Result<Self, ContentError> {
        if bytes.len() > MAX_CONTENT_BYTES {
            return Err(ContentError::TooLarge);
        }
        // Another format may be laid out differently from here on.
        let (format, _) = postcard::take_from_bytes::<u16>(&bytes)?;
        if format != FORMAT {
            return Err(ContentError::Format(format));
        }
        let body: ContentBody = postcard::from_bytes(&bytes)?;
        Ok(body.with_bytes(bytes.into()))
    }
}

/// A hash in hexadecimal digits.
pub fn hex(hash: &ContentHash) -> String {
    hash.iter().fold(String::with_capacity(64), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// The digits of a hash that log lines show.
pub fn short_hex(hash: &ContentHash) -> String {
    let mut text = hex(hash);
    text.truncate(12);
    text
}

/// The contents that this process has, by hash; the least recently used are evicted. Clones share the contents.
#[derive(Clone, Debug, Default)]
pub struct ContentCache(Arc<Mutex<CachedContents>>);

#[derive(Debug, Default)]
struct CachedContents {
    /// With the use that was made of each last.
    contents: BTreeMap<ContentHash, (u64, Arc<VersionContent>)>,
    uses: u64,
}

impl CachedContents {
    fn next_use(&mut self) -> u64 {
        self.uses += 1;
        self.uses
    }

    fn least_recently_used(&self) -> Option<ContentHash> {
        self.contents.iter().min_by_key(|(_, (used, _))| *used).map(|(hash, _)| *hash)
    }
}

impl ContentCache {
    fn lock(&self) -> MutexGuard<'_, CachedContents> {
        // Nobody panics with it half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The content of this hash.
    pub fn get(&self, hash: &ContentHash) -> Option<Arc<VersionContent>> {
        let mut cached = self.lock();
        let this_use = cached.next_use();
        let (used, content) = cached.contents.get_mut(hash)?;
        *used = this_use;
        Some(Arc::clone(content))
    }

    /// Inserts a content. Returns the hashes of those that were evicted for it.
    pub fn insert(&self, content: Arc<VersionContent>) -> Vec<ContentHash> {
        let mut cached = self.lock();
        let this_use = cached.next_use();
        cached.contents.insert(content.hash, (this_use, content));
        let mut evicted = Vec::new();
        while cached.contents.len() > MAX_CACHED {
            let Some(oldest) = cached.least_recently_used() else { break };
            cached.contents.remove(&oldest);
            evicted.push(oldest);
        }
        evicted
    }

    /// How many contents there are.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.lock().contents.len()
    }
}

#[cfg(test)]
#[path = "version_content_tests.rs"]
mod tests;
