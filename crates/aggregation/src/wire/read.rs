//! Decoding of datagrams.

use super::scale::{decode_load, decode_rate, decode_tenths};
use super::{
    Datagram, EndpointDigest, EndpointSummary, Entry, FleetSummary, Fragment, GROUP_LOAD_STEP, GroupReport,
    HealthVerdict, MAX_DATAGRAM_BYTES, MIN_REPORTED_UTILIZATION, Report, SubsetSizes, Totals,
    UTILIZATION_STEP, VERSION, flag, kind,
};

/// Decodes a datagram. Returns `None` if the datagram belongs to another protocol, has an unknown kind, or is malformed.
pub fn read(bytes: &[u8]) -> Option<Datagram> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let mut reader = Reader(bytes);
    let header = reader.header()?;
    match header.kind {
        kind::REPORT => reader.report(&header).map(Datagram::Report),
        kind::SUMMARY => reader.summary(&header).map(Datagram::Summary),
        kind::GROUP_REPORT => reader.group_report(&header).map(Datagram::GroupReport),
        kind::SUBSET_SIZES => reader.subset_sizes(&header).map(Datagram::SubsetSizes),
        _ => None,
    }
}

struct Header {
    kind: u8,
    flags: u8,
    sequence: u16,
    fragment: Fragment,
}

impl Header {
    fn has(&self, flag: u8) -> bool {
        self.flags & flag > 0
    }
}

/// The remaining bytes of a datagram. Each method consumes the returned item from the front; `None` means that the bytes are
/// malformed or too few.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn header(&mut self) -> Option<Header> {
        let (version, kind, flags) = (self.byte()?, self.byte()?, self.byte()?);
        if version != VERSION {
            return None;
        }
        let sequence = u16::from_le_bytes([self.byte()?, self.byte()?]);
        let fragment = self.fragment()?;
        Some(Header { kind, flags, sequence, fragment })
    }

    fn fragment(&mut self) -> Option<Fragment> {
        let byte = self.byte()?;
        let fragment = Fragment { index: byte & 15, count: (byte >> 4) + 1 };
        (fragment.index < fragment.count).then_some(fragment)
    }

    fn report(&mut self, header: &Header) -> Option<Report> {
        Some(Report {
            sequence: header.sequence,
            fragment: header.fragment,
            leaving: header.has(flag::LEAVING),
            advance_notice: header.has(flag::ADVANCE_NOTICE),
            next_report_in: decode_tenths(self.varint()?),
            totals: self.totals()?,
            entries: self.read_to_end(Self::report_entry)?,
        })
    }

    fn report_entry(&mut self) -> Option<Entry> {
        let (endpoint, load, bits) = (self.endpoint()?, self.byte()?, self.byte()?);
        let groups = (0..bits & 31).map(|_| self.byte()).collect::<Option<Vec<u8>>>()?;
        let health = HealthVerdict::from_bits(bits >> 5);
        Some(Entry { endpoint, load: decode_load(load), groups, health })
    }

    fn summary(&mut self, header: &Header) -> Option<FleetSummary> {
        Some(FleetSummary {
            sequence: header.sequence,
            fragment: header.fragment,
            incomplete: header.has(flag::INCOMPLETE),
            report_interval: decode_tenths(self.varint()?),
            members: self.varint()?,
            totals: self.totals()?,
            mean_load: decode_load(self.byte()?),
            endpoints: self.read_to_end(Self::summary_entry)?,
        })
    }

    fn summary_entry(&mut self) -> Option<EndpointSummary> {
        let (endpoint, bits) = (self.endpoint()?, self.byte()?);
        let utilization = match bits & 63 {
            0 => 0.0,
            step => MIN_REPORTED_UTILIZATION + f64::from(step - 1) * UTILIZATION_STEP,
        };
        Some(EndpointSummary { endpoint, utilization, health: HealthVerdict::from_bits(bits >> 6) })
    }

    fn group_report(&mut self, header: &Header) -> Option<GroupReport> {
        let next_report_in = decode_tenths(self.varint()?);
        let with_load = |(group, steps): (u64, u32)| (group, f64::from(steps) * GROUP_LOAD_STEP);
        let groups = self.read_to_end(Self::group_entry)?.into_iter().map(with_load).collect();
        Some(GroupReport {
            sequence: header.sequence,
            fragment: header.fragment,
            advance_notice: header.has(flag::ADVANCE_NOTICE),
            next_report_in,
            groups,
        })
    }

    fn subset_sizes(&mut self, header: &Header) -> Option<SubsetSizes> {
        Some(SubsetSizes {
            sequence: header.sequence,
            fragment: header.fragment,
            incomplete: header.has(flag::INCOMPLETE),
            sizes: self.read_to_end(Self::group_entry)?,
        })
    }

    fn group_entry(&mut self) -> Option<(u64, u32)> {
        let (digest, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some((u64::from_le_bytes(*digest), self.varint()?))
    }

    fn read_to_end<T>(&mut self, entry: impl Fn(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        let mut entries = Vec::new();
        while !self.0.is_empty() {
            entries.push(entry(self)?);
        }
        Some(entries)
    }

    fn totals(&mut self) -> Option<Totals> {
        let connections = self.varint()?;
        let mut rate = || self.byte().map(decode_rate);
        Some(Totals {
            connections,
            requests_per_s: rate()?,
            successes_per_s: rate()?,
            failures_per_s: rate()?,
        })
    }

    fn endpoint(&mut self) -> Option<EndpointDigest> {
        Some(EndpointDigest(u32::from_le_bytes([self.byte()?, self.byte()?, self.byte()?, 0])))
    }

    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    /// Reads an LEB128 number of at most 32 bits.
    fn varint(&mut self) -> Option<u32> {
        let mut value = 0_u64;
        for shift in (0..35).step_by(7) {
            let byte = self.byte()?;
            value |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return u32::try_from(value).ok();
            }
        }
        None
    }
}
