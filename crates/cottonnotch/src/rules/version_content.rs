//! What a version of the rules contains, and what this process makes of it. The bytes go to all members as they are, so
//! that all have the same book, and lower it by the same profiles to the same plan.

use cottonnotch_consensus::ContentHash;
use cottonnotch_routing_rules::{Book, History, Inventory};
use cottonnotch_rule_compiler::{Plan, Profiles, lower};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The form of the bytes. Another one can't be run here.
const FORM: u16 = 1;
/// No content is larger.
pub const MOST_BYTES: usize = 16 << 20;
/// Contents that are kept: those in force, those on their way, and what was in force before, for comparing.
const KEPT: usize = 12;

/// A version's content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Content {
    form: u16,
    /// What was in force when it was made: it is good for no other.
    pub base: Option<ContentHash>,
    /// Each namespace's state and last good file.
    pub ledger: History,
    /// What the files come to.
    pub book: Book,
    /// What each hardware class can run.
    pub profiles: Profiles,
    /// What there is to be ruled, as far as any proposer knew.
    pub world: Inventory,
}

/// Why bytes can't be run.
#[derive(Debug, thiserror::Error)]
pub enum BadContent {
    /// Another build made them.
    #[error("it is of form {0}, and this build runs {FORM}")]
    Form(u16),
    /// Nothing made them, or another build.
    #[error("it cannot be read: {0}")]
    Unreadable(#[from] postcard::Error),
    /// Too many.
    #[error("it is larger than {MOST_BYTES} bytes")]
    TooLarge,
}

/// A content that can be run here.
#[derive(Debug)]
pub struct Compiled {
    /// The digest of its bytes.
    pub hash: ContentHash,
    /// As it goes to the others.
    pub bytes: Arc<[u8]>,
    /// What it contains.
    pub content: Content,
    /// What it says of each request.
    pub plan: Arc<Plan>,
}

impl Content {
    /// A content made on top of `base`.
    pub fn new(
        base: Option<ContentHash>,
        ledger: History,
        book: Book,
        profiles: Profiles,
        world: Inventory,
    ) -> Self {
        Content { form: FORM, base, ledger, book, profiles, world }
    }

    /// Makes it ready to be run.
    pub fn compile(self) -> Result<Compiled, BadContent> {
        let bytes = postcard::to_allocvec(&self)?;
        if bytes.len() > MOST_BYTES {
            return Err(BadContent::TooLarge);
        }
        Ok(self.with(bytes.into()))
    }

    fn with(self, bytes: Arc<[u8]>) -> Compiled {
        let plan = Arc::new(lower(&self.book, &self.profiles).plan);
        Compiled { hash: *blake3::hash(&bytes).as_bytes(), bytes, content: self, plan }
    }
}

impl Compiled {
    /// Reads what another member has made, or this one earlier.
    pub fn read(bytes: Vec<u8>) -> Result<Self, BadContent> {
        if bytes.len() > MOST_BYTES {
            return Err(BadContent::TooLarge);
        }
        // Another form may be laid out in another way from here on.
        let (form, _) = postcard::take_from_bytes::<u16>(&bytes)?;
        if form != FORM {
            return Err(BadContent::Form(form));
        }
        let content: Content = postcard::from_bytes(&bytes)?;
        Ok(content.with(bytes.into()))
    }
}

/// A digest as text.
pub fn hex(hash: &ContentHash) -> String {
    hash.iter().fold(String::with_capacity(64), |mut text, byte| {
        // A text takes whatever is written.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// The contents that this process has, by digest. Shared by the threads beside the loop.
#[derive(Clone, Debug, Default)]
pub struct Library(Arc<Mutex<Shelf>>);

#[derive(Debug, Default)]
struct Shelf {
    contents: BTreeMap<ContentHash, (u64, Arc<Compiled>)>,
    uses: u64,
}

impl Library {
    fn shelf(&self) -> MutexGuard<'_, Shelf> {
        // Nobody leaves it half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The content, if it is here.
    pub fn get(&self, hash: &ContentHash) -> Option<Arc<Compiled>> {
        let mut shelf = self.shelf();
        shelf.uses += 1;
        let uses = shelf.uses;
        let (used, compiled) = shelf.contents.get_mut(hash)?;
        *used = uses;
        Some(Arc::clone(compiled))
    }

    /// Puts a content in; the one that was not asked for the longest goes. Returns the digests of those that went.
    pub fn put(&self, compiled: Arc<Compiled>) -> Vec<ContentHash> {
        let mut shelf = self.shelf();
        shelf.uses += 1;
        let uses = shelf.uses;
        shelf.contents.insert(compiled.hash, (uses, compiled));
        let mut gone = Vec::new();
        while shelf.contents.len() > KEPT {
            let oldest = shelf.contents.iter().min_by_key(|(_, (used, _))| *used).map(|(hash, _)| *hash);
            let Some(oldest) = oldest else { break };
            shelf.contents.remove(&oldest);
            gone.push(oldest);
        }
        gone
    }
}

#[cfg(test)]
#[path = "version_content_tests.rs"]
mod tests;
