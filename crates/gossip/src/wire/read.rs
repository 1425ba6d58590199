//! From bytes: never panics, never takes more than the datagram has.

use super::{Header, Malformed, Part, Rumour, STRENGTH_BITS, TO_ALL_BIT, Word, kind};
use crate::entry::{Entry, Evidence, Load, Subchannel};
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
            // Bits beyond the 64th, or a last byte that says nothing: there is one way only to write a number.
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
        Ok(Incarnation { life: self.number()?, turn: self.number()? })
    }

    fn rumour(&mut self) -> Read<Rumour> {
        let word = match self.byte()? {
            0 => Word::Alive,
            1 => Word::Suspect,
            2 => Word::Left,
            _ => return Err(Malformed),
        };
        Ok(Rumour { subject: self.number()?, incarnation: self.incarnation()?, word })
    }

    fn entry(&mut self) -> Read<Entry> {
        let [a, b, c] = self.array()?;
        let mut entry = Entry::empty(Subchannel::from_bits(u32::from_le_bytes([a, b, c, 0])));
        let flags = self.byte()?;
        if flags & 1 != 0 {
            entry.standing = self.number()?;
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

    fn all<T>(&mut self, one: impl Fn(&mut Self) -> Read<T>) -> Read<Vec<T>> {
        let mut all = Vec::new();
        while !self.0.is_empty() {
            all.push(one(self)?);
        }
        Ok(all)
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

pub(super) fn parts(bytes: &[u8]) -> Read<Vec<Part>> {
    let (mut reader, mut parts) = (Reader(bytes), Vec::new());
    while !reader.0.is_empty() {
        let (kind, length) = (reader.byte()?, reader.byte()?);
        // What a newer program writes behind the fields that are known here stays unread.
        let mut content = Reader(reader.bytes(usize::from(length))?);
        parts.push(match kind {
            kind::PING => Part::Ping { nonce: content.u16()? },
            kind::ACK => Part::Ack { nonce: content.u16()? },
            kind::ASK => Part::Ask { nonce: content.u16()?, target: content.number()? },
            kind::VOUCH => Part::Vouch { nonce: content.u16()? },
            kind::LEAVE => Part::Leave,
            kind::RUMOURS => Part::Rumours(content.all(Reader::rumour)?),
            kind::DIGEST => Part::Digest { of: content.number()?, entries: content.all(Reader::entry)? },
            _ => continue,
        });
    }
    Ok(parts)
}
