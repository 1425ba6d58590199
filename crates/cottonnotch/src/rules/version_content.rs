//! The content of a version of the rules, and its compiled plan. All members receive the same bytes, so all of them compile the
//! same book with the same profiles to the same plan.

use cottonnotch_consensus::ContentHash;
use cottonnotch_routing_rules::{Book, History, Inventory};
use cottonnotch_rule_compiler::{Plan, Profiles, compile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The number of the encoding. Contents with another number are rejected.
const FORMAT: u16 = 1;
/// The maximum size of an encoded content, in bytes.
pub const MAX_CONTENT_BYTES: usize = 16 << 20;
/// The maximum number of cached contents: those in force or pending, and earlier ones that new contents are compared with.
const MAX_CACHED: usize = 12;

/// The parts of a content, equal at all members. The encoding depends on the order of the fields, which must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContentBody {
    format: u16,
    /// The version in force that this content is based on. Members reject the content if another version is in force.
    pub base: Option<ContentHash>,
    /// The state and the last valid file of each namespace.
    pub history: History,
    /// The rules that result from merging the files.
    pub book: Book,
    /// The profile of each hardware class.
    pub profiles: Profiles,
    /// The names that rules can refer to, as known to this proposer and the proposers of earlier versions.
    pub inventory: Inventory,
}

/// Why this build cannot use some bytes as a content.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// The bytes have the format of another build.
    #[error("the content is of format {0}, and this build reads {FORMAT}")]
    Format(u16),
    /// The bytes cannot be decoded.
    #[error("the content cannot be decoded: {0}")]
    Unreadable(#[from] postcard::Error),
    /// The content exceeds [`MAX_CONTENT_BYTES`].
    #[error("the content is larger than {MAX_CONTENT_BYTES} bytes")]
    TooLarge,
}

/// A decoded and compiled content.
#[derive(Debug)]
pub struct VersionContent {
    /// The hash of `bytes`.
    pub hash: ContentHash,
    /// The encoded body, as exchanged between members.
    pub bytes: Arc<[u8]>,
    /// The decoded body.
    pub body: ContentBody,
    /// The compiled plan.
    pub plan: Arc<Plan>,
}

impl ContentBody {
    /// Creates a body that is based on the version `base`.
    pub fn new(
        base: Option<ContentHash>,
        history: History,
        book: Book,
        profiles: Profiles,
        inventory: Inventory,
    ) -> Self {
        ContentBody { format: FORMAT, base, history, book, profiles, inventory }
    }

    /// Encodes and compiles the body.
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
    /// Decodes and compiles a content that another member or an earlier process has encoded.
    pub fn decode(bytes: Vec<u8>) -> Result<Self, ContentError> {
        if bytes.len() > MAX_CONTENT_BYTES {
            return Err(ContentError::TooLarge);
        }
        // The number comes first in every format. The bytes after it may have another layout in another format.
        let (format, _) = postcard::take_from_bytes::<u16>(&bytes)?;
        if format != FORMAT {
            return Err(ContentError::Format(format));
        }
        let body: ContentBody = postcard::from_bytes(&bytes)?;
        Ok(body.with_bytes(bytes.into()))
    }
}

/// Formats a hash in hexadecimal digits.
pub fn hex(hash: &ContentHash) -> String {
    hash.iter().fold(String::with_capacity(64), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Formats the first digits of a hash, for log lines.
pub fn short_hex(hash: &ContentHash) -> String {
    let mut text = hex(hash);
    text.truncate(12);
    text
}

/// The contents that this process has, by hash. The cache evicts the least recently used content. Clones share the contents.
#[derive(Clone, Debug, Default)]
pub struct ContentCache(Arc<Mutex<CachedContents>>);

#[derive(Debug, Default)]
struct CachedContents {
    /// Each content with the value of `use_counter` at its last use.
    contents: BTreeMap<ContentHash, (u64, Arc<VersionContent>)>,
    /// The number of uses of any content so far.
    use_counter: u64,
}

impl CachedContents {
    fn next_use(&mut self) -> u64 {
        self.use_counter += 1;
        self.use_counter
    }

    fn least_recently_used(&self) -> Option<ContentHash> {
        self.contents.iter().min_by_key(|(_, (used, _))| *used).map(|(hash, _)| *hash)
    }
}

impl ContentCache {
    fn lock(&self) -> MutexGuard<'_, CachedContents> {
        // No holder of the lock leaves a partial change behind when it panics, so a poisoned lock is safe to use.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The content with this hash. Counts as a use of the content.
    pub fn get(&self, hash: &ContentHash) -> Option<Arc<VersionContent>> {
        let mut cached = self.lock();
        let this_use = cached.next_use();
        let (used, content) = cached.contents.get_mut(hash)?;
        *used = this_use;
        Some(Arc::clone(content))
    }

    /// Inserts a content. Returns the hashes of the contents that were evicted to make room.
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

    /// The number of cached contents.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.lock().contents.len()
    }
}

#[cfg(test)]
#[path = "version_content_tests.rs"]
mod tests;
