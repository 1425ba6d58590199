//! Decoding of datagrams. It never panics and never reads beyond the end of the datagram.

use super::{Broadcast, Header, Malformed, ReportedState, STRENGTH_BITS, Section, TO_ALL_BIT, kind};
use crate::entry::{EndpointDigest, Entry, Evidence, Load};
use crate::{Incarnation, Strength};

type Read<T> = Result<T, Malformed>;

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn bytes(&mut self, count: usize) -> Read<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(Malformed)?;
        self.0 = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Read<[u8; N]> {
        self.bytes(N)?.try_into().map_err(|_| Malformed)
    }

    fn byte(&mut self) -> Read<u8> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Read<u16> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn number<T: TryFrom<u64>>(&mut self) -> Read<T> {
        let mut value = 0u64;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            // Reject bits beyond the 64th and a superfluous last byte, so that each number has only one encoding.
            if (bits << shift) >> shift != bits || (byte == 0 && shift > 0) {
                return Err(Malformed);
            }
            value |= bits << shift;
            if byte & 0x80 == 0 {
                return T::try_from(value).map_err(|_| Malformed);
            }
        }
        Err(Malformed)
    }

    fn incarnation(&mut self) -> Read<Incarnation> {
        Ok(Incarnation { generation: self.number()?, refutations: self.number()? })
    }

    fn broadcast(&mut self) -> Read<Broadcast> {
        let state = match self.byte()? {
            0 => ReportedState::Alive,
            1 => ReportedState::Suspect,
            2 => ReportedState::Left,
            _ => return Err(Malformed),
        };
        Ok(Broadcast { subject: self.number()?, incarnation: self.incarnation()?, state })
    }

    fn entry(&mut self) -> Read<Entry> {
        let [a, b, c] = self.array()?;
        let mut entry = Entry::empty(EndpointDigest::from_bits(u32::from_le_bytes([a, b, c, 0])));
        let flags = self.byte()?;
        if flags & 1 != 0 {
            entry.connections = self.number()?;
            entry.load = Load(self.u16()?);
        }
        if flags & 2 != 0 {
            entry.groups = u32::from_le_bytes(self.array()?);
        }
        let Evidence { full, failed, timed_out, silent, served, age_tenths } = &mut entry.evidence;
        for (bit, count) in [full, failed, timed_out, silent, served, age_tenths].into_iter().enumerate() {
            if flags & (4 << bit) != 0 {
                *count = self.byte()?;
            }
        }
        Ok(entry)
    }

    fn until_end<T>(&mut self, item: impl Fn(&mut Self) -> Read<T>) -> Read<Vec<T>> {
        let mut items = Vec::new();
        while !self.0.is_empty() {
            items.push(item(self)?);
        }
        Ok(items)
    }
}

pub(super) fn header(bytes: &[u8]) -> Read<(Header, usize)> {
    let mut reader = Reader(bytes);
    let [_version, flags] = reader.array()?;
    let strength = match flags & STRENGTH_BITS {
        0 => Strength::Address,
        1 => Strength::Shared,
        2 => Strength::Signed,
        _ => return Err(Malformed),
    };
    let header = Header {
        strength,
        to_all: flags & TO_ALL_BIT != 0,
        sender: reader.number()?,
        incarnation: reader.incarnation()?,
        counter: reader.number()?,
    };
    Ok((header, bytes.len() - reader.0.len()))
}

pub(super) fn sections(bytes: &[u8]) -> Read<Vec<Section>> {
    let (mut reader, mut sections) = (Reader(bytes), Vec::new());
    while !reader.0.is_empty() {
        let (kind, length) = (reader.byte()?, reader.byte()?);
        // Fields that a newer program appends to the known ones are not read.
        let mut content = Reader(reader.bytes(usize::from(length))?);
        sections.push(match kind {
            kind::PING => Section::Ping { nonce: content.u16()? },
            kind::ACK => Section::Ack { nonce: content.u16()? },
            kind::INDIRECT_PING => Section::IndirectPing { nonce: content.u16()?, target: content.number()? },
            kind::INDIRECT_ACK => Section::IndirectAck { nonce: content.u16()? },
            kind::LEAVE => Section::Leave,
            kind::BROADCASTS => Section::Broadcasts(content.until_end(Reader::broadcast)?),
            kind::DIGEST => {
                Section::Digest { total: content.number()?, entries: content.until_end(Reader::entry)? }
            }
            _ => continue,
        });
    }
    Ok(sections)
}
