//! Encoding of datagrams within a length limit.

use super::{
    Broadcast, Header, MAX_DATAGRAM_BYTES, ReportedState, STRENGTH_BITS, Section, TO_ALL_BIT, VERSION, kind,
};
use crate::{Entry, Incarnation, Keys, Strength, To};

fn number(bytes: &mut Vec<u8>, value: u64) {
    let mut rest = value;
    while rest >= 0x80 {
        bytes.push(rest as u8 | 0x80);
        rest >>= 7;
    }
    bytes.push(rest as u8);
}

fn incarnation(bytes: &mut Vec<u8>, value: Incarnation) {
    number(bytes, value.generation);
    number(bytes, u64::from(value.refutations));
}

fn broadcast(bytes: &mut Vec<u8>, broadcast: &Broadcast) {
    bytes.push(match broadcast.state {
        ReportedState::Alive => 0,
        ReportedState::Suspect => 1,
        ReportedState::Left => 2,
    });
    number(bytes, u64::from(broadcast.subject));
    incarnation(bytes, broadcast.incarnation);
}

fn entry(bytes: &mut Vec<u8>, entry: &Entry) {
    bytes.extend_from_slice(&entry.endpoint.bits().to_le_bytes()[..3]);
    let flags_at = bytes.len();
    bytes.push(0);
    let mut flags = 0;
    if entry.connections != 0 || entry.load.0 != 0 {
        flags |= 1;
        number(bytes, u64::from(entry.connections));
        bytes.extend_from_slice(&entry.load.0.to_le_bytes());
    }
    if entry.groups != 0 {
        flags |= 2;
        bytes.extend_from_slice(&entry.groups.to_le_bytes());
    }
    let e = &entry.evidence;
    for (bit, count) in
        [e.full, e.failed, e.timed_out, e.silent, e.served, e.age_tenths].into_iter().enumerate()
    {
        if count != 0 {
            flags |= 4 << bit;
            bytes.push(count);
        }
    }
    bytes[flags_at] = flags;
}

/// A datagram that is being written. Content that does not fit is left out, and the return value of each method shows this.
#[derive(Debug)]
pub struct Draft {
    bytes: Vec<u8>,
    /// Maximum bytes of the header and the sections together.
    limit: usize,
}

impl Draft {
    /// Begins a datagram of at most `max_bytes` bytes including its proof, and never more than [`MAX_DATAGRAM_BYTES`].
    pub fn new(header: &Header, max_bytes: usize) -> Self {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let strength = match header.strength {
            Strength::Address => 0,
            Strength::Shared => 1,
            Strength::Signed => 2,
        };
        debug_assert_eq!(strength & !STRENGTH_BITS, 0);
        bytes.extend_from_slice(&[VERSION, strength | if header.to_all { TO_ALL_BIT } else { 0 }]);
        number(&mut bytes, u64::from(header.sender));
        incarnation(&mut bytes, header.incarnation);
        number(&mut bytes, header.counter);
        Draft { bytes, limit: max_bytes.min(MAX_DATAGRAM_BYTES) - header.strength.proof_bytes() }
    }

    /// Returns the number of bytes that still fit.
    pub fn room(&self) -> usize {
        self.limit - self.bytes.len()
    }

    /// Returns the number of bytes written so far, without the proof.
    pub fn written(&self) -> usize {
        self.bytes.len()
    }

    /// Adds a section if it fits, and returns whether it fitted whole. Of a list, the items that fit are added; see
    /// [`Draft::broadcasts`] and [`Draft::entries`].
    pub fn push(&mut self, section: &Section) -> bool {
        match section {
            Section::Ping { nonce } => {
                self.section(kind::PING, |bytes| bytes.extend_from_slice(&nonce.to_le_bytes()))
            }
            Section::Ack { nonce } => {
                self.section(kind::ACK, |bytes| bytes.extend_from_slice(&nonce.to_le_bytes()))
            }
            Section::IndirectAck { nonce } => {
                self.section(kind::INDIRECT_ACK, |bytes| bytes.extend_from_slice(&nonce.to_le_bytes()))
            }
            Section::IndirectPing { nonce, target } => self.section(kind::INDIRECT_PING, |bytes| {
                bytes.extend_from_slice(&nonce.to_le_bytes());
                number(bytes, u64::from(*target));
            }),
            Section::Leave => self.section(kind::LEAVE, |_| {}),
            Section::Broadcasts(broadcasts) => {
                self.broadcasts(broadcasts, MAX_DATAGRAM_BYTES) == broadcasts.len()
            }
            Section::Digest { total, entries } => self.entries(*total, entries) == entries.len(),
        }
    }

    /// Adds the first broadcasts that fit, in a section of at most `max_bytes` bytes, and returns how many fitted.
    pub fn broadcasts(&mut self, broadcasts: &[Broadcast], max_bytes: usize) -> usize {
        self.list(kind::BROADCASTS, max_bytes, |_| {}, broadcasts, broadcast)
    }

    /// Adds the first entries that fit, and returns how many fitted. An empty list still writes the section, which reports that
    /// the proxy has no entries.
    pub fn entries(&mut self, total: u32, entries: &[Entry]) -> usize {
        self.list(kind::DIGEST, MAX_DATAGRAM_BYTES, |bytes| number(bytes, u64::from(total)), entries, entry)
    }

    fn section(&mut self, kind: u8, content: impl FnOnce(&mut Vec<u8>)) -> bool {
        let begin = self.bytes.len();
        self.bytes.extend_from_slice(&[kind, 0]);
        content(&mut self.bytes);
        self.close(begin)
    }

    fn list<T>(
        &mut self,
        kind: u8,
        max_bytes: usize,
        head: impl FnOnce(&mut Vec<u8>),
        items: &[T],
        write: impl Fn(&mut Vec<u8>, &T),
    ) -> usize {
        let begin = self.bytes.len();
        let end = self.limit.min(begin.saturating_add(max_bytes));
        self.bytes.extend_from_slice(&[kind, 0]);
        head(&mut self.bytes);
        let mut fitted = 0;
        for item in items {
            let before = self.bytes.len();
            write(&mut self.bytes, item);
            if self.bytes.len() > end {
                self.bytes.truncate(before);
                break;
            }
            fitted += 1;
        }
        if fitted == 0 && !items.is_empty() {
            self.bytes.truncate(begin);
        } else if !self.close(begin) {
            return 0;
        }
        fitted
    }

    /// Writes the length of the section that begins at `begin`, or removes the section if it is too long.
    fn close(&mut self, begin: usize) -> bool {
        let length =
            u8::try_from(self.bytes.len() - begin - 2).ok().filter(|_| self.bytes.len() <= self.limit);
        match length {
            Some(length) => self.bytes[begin + 1] = length,
            None => self.bytes.truncate(begin),
        }
        length.is_some()
    }

    /// Appends the proof of the sender and the receiver, and returns the finished datagram.
    pub fn finish(mut self, keys: &Keys, to: To) -> Vec<u8> {
        keys.seal(&mut self.bytes, to);
        assert!(
            self.bytes.len() <= MAX_DATAGRAM_BYTES,
            "a datagram of {} bytes would void the run",
            self.bytes.len()
        );
        self.bytes
    }
}
