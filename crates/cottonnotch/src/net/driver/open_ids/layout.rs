//! The format of the file in which a process publishes the ids of its open requests: a header, and a hash table whose buckets have
//! a fixed number of slots. A process writes only its own file; the other processes of its proxy read it at any time without a
//! lock. An id never changes its slot, so a reader cannot miss one that was published before.

use cottonnotch_decision::Micros;

/// The first bytes of the file. Files with other first bytes belong to builds that use another format.
pub const MAGIC: &[u8; 16] = b"cottonnotch-ids1";
/// Size of the header in bytes.
pub const HEADER_BYTES: usize = 256;
/// Size of a slot in bytes.
pub const SLOT_BYTES: usize = 16;
/// Number of slots of a bucket. An id whose bucket is full cannot be published; with at most half of the slots in use, that
/// happens to one id in thousands.
pub const BUCKET_SLOTS: usize = 32;
/// Maximum number of buckets, for more ids than a process can have descriptors.
const MAX_BUCKETS: u64 = 1 << 24;
/// Size of a bucket in bytes.
pub const BUCKET_BYTES: usize = BUCKET_SLOTS * SLOT_BYTES;
/// Maximum number of processes that a file acknowledges.
pub const MAX_ACKNOWLEDGED: usize = 16;
/// Where the start times of acknowledged processes begin, in bytes; 0 stands for none.
pub const ACKNOWLEDGED_OFFSET: usize = 64;
/// Where the number of buckets is, in bytes.
const BUCKET_COUNT_OFFSET: usize = 16;
/// Where the seed of the hash is, in bytes.
const SEED_OFFSET: usize = 24;

/// The first word of a slot that holds no id.
const EMPTY: u64 = 0;
/// The first word of a slot that holds the id of a request that may run again.
const REPEATABLE: u64 = 1;
/// The first word of a slot that holds the id of a request that must not run again.
const ONCE: u64 = 2;

/// Whether the request of an id may run again after it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdKind {
    /// Another request with the id may follow.
    Repeatable,
    /// No other request with the id may run.
    Once,
}

/// One slot of the hash table: an id, or nothing.
pub type Slot = Option<(u64, IdKind)>;

/// The slot's bytes.
pub fn encode_slot(slot: Slot) -> [u8; SLOT_BYTES] {
    let mut bytes = [0; SLOT_BYTES];
    let (word, id) = match slot {
        None => (EMPTY, 0),
        Some((id, IdKind::Repeatable)) => (REPEATABLE, id),
        Some((id, IdKind::Once)) => (ONCE, id),
    };
    bytes[..8].copy_from_slice(&word.to_le_bytes());
    bytes[8..].copy_from_slice(&id.to_le_bytes());
    bytes
}

/// The slot with these bytes.
pub fn decode_slot(bytes: &[u8; SLOT_BYTES]) -> Slot {
    let id = read_word(bytes, 8);
    match read_word(bytes, 0) {
        EMPTY => None,
        ONCE => Some((id, IdKind::Once)),
        _ => Some((id, IdKind::Repeatable)),
    }
}

/// Where ids are in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Number of buckets, a power of two.
    buckets: u64,
    /// Seed of the hash. Clients choose their ids; without a seed they could choose ids that share a bucket.
    seed: u64,
}

impl Layout {
    /// The layout for at most `ids` open ids, which use at most half of the slots.
    pub fn new(ids: usize, seed: u64) -> Self {
        Layout { buckets: (2 * ids).div_ceil(BUCKET_SLOTS).next_power_of_two() as u64, seed }
    }

    /// The number of slots.
    pub fn slots(&self) -> usize {
        self.buckets as usize * BUCKET_SLOTS
    }

    /// The size of the file in bytes.
    pub fn file_bytes(&self) -> u64 {
        HEADER_BYTES as u64 + self.buckets * BUCKET_BYTES as u64
    }

    /// The first slot of the bucket to which this id belongs.
    pub fn first_slot(&self, id: u64) -> usize {
        // The finalizer of SplitMix64.
        let mut hash = id ^ self.seed;
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((hash ^ (hash >> 31)) & (self.buckets - 1)) as usize * BUCKET_SLOTS
    }

    /// Where the slot is in the file, in bytes.
    pub fn offset(&self, slot: usize) -> u64 {
        (HEADER_BYTES + slot * SLOT_BYTES) as u64
    }

    /// The header of a file that acknowledges no process.
    pub fn encode_header(&self) -> [u8; HEADER_BYTES] {
        let mut header = [0; HEADER_BYTES];
        header[..MAGIC.len()].copy_from_slice(MAGIC);
        header[BUCKET_COUNT_OFFSET..BUCKET_COUNT_OFFSET + 8].copy_from_slice(&self.buckets.to_le_bytes());
        header[SEED_OFFSET..SEED_OFFSET + 8].copy_from_slice(&self.seed.to_le_bytes());
        header
    }

    /// The layout that a header states; `None` if it is of another format.
    pub fn decode_header(header: &[u8; HEADER_BYTES]) -> Option<Layout> {
        let buckets = read_word(header, BUCKET_COUNT_OFFSET);
        let is_valid = header.starts_with(MAGIC) && buckets.is_power_of_two() && buckets <= MAX_BUCKETS;
        is_valid.then(|| Layout { buckets, seed: read_word(header, SEED_OFFSET) })
    }
}

/// The part of a header that acknowledges these processes, by their start times.
pub fn encode_acknowledged(starts: &[Micros]) -> [u8; 8 * MAX_ACKNOWLEDGED] {
    let mut bytes = [0; 8 * MAX_ACKNOWLEDGED];
    for (word, start) in bytes.chunks_exact_mut(8).zip(starts) {
        word.copy_from_slice(&start.to_le_bytes());
    }
    bytes
}

/// Whether a header acknowledges the process with this start time.
pub fn acknowledges(header: &[u8; HEADER_BYTES], start: Micros) -> bool {
    let acknowledged = &header[ACKNOWLEDGED_OFFSET..ACKNOWLEDGED_OFFSET + 8 * MAX_ACKNOWLEDGED];
    acknowledged.chunks_exact(8).any(|word| word == start.to_le_bytes())
}

fn read_word(bytes: &[u8], at: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(word)
}
