//! What goes over the wire: reports and tables, datagrams of 256 bytes at most. Numbers of variable width are LEB128.
//!
//! | both | bytes | |
//! | --- | --- | --- |
//! | version | 1 | 2; gossip's datagrams begin with 1, and each drops the other's |
//! | kind | 1 | 1 report, 2 table, 3 groups, 4 homes; whoever doesn't know a kind drops it |
//! | flags | 1 | report: bit 0 leaving; report, groups: bit 1 no answer wanted; table, homes: bit 0 no sums yet |
//! | generation | 2 | of the report; its answer has the same, so nobody can tell a table unasked |
//! | part | 1 | which of so many datagrams, from 0; high 4 bits: how many more than one there are |
//! | next, period | n | tenths of a second; report: until its sender's next one; table: between two reports, for everybody |
//! | members | n | table only: whose reports are in it |
//! | connections | n | open or wanted |
//! | requests, set-ups, failures | 1 each | a second; [`rate`] |
//! | mean load | 1 | table only: of a connection; [`load`] |
//!
//! | entry | bytes | |
//! | --- | --- | --- |
//! | endpoint | 3 | digest of its name |
//! | report: load | 1 | [`load`]; 2.2% off at most |
//! | report: word, groups | 1 + n | bits 5 and 6 the word, bits 0 to 4 how many groups, then a byte of each one's digest |
//! | table: use, word | 1 | bits 0 to 5 load over size: 0 for less than 0.4, else from there in steps of 1/32; bits 6 and 7 the word |
//!
//! GroupReport and homes have the header as far as the part; groups then the next, as reports do. Their entries:
//!
//! | entry | bytes | |
//! | --- | --- | --- |
//! | group | 8 | digest of its name, whole: a group that is taken for another would get its homes |
//! | groups: load | n | of the sender's connections of it, in steps of 16 us of work a second |
//! | homes: homes | n | more than five |
//!
//! Entries that a table leaves out are under 0.4 and nothing is said against them.

use crate::Micros;

/// The longest datagram.
pub const LONGEST: usize = 256;
const VERSION: u8 = 2;
const REPORT: u8 = 1;
const TABLE: u8 = 2;
const GROUPS: u8 = 3;
const HOMES: u8 = 4;
const LOAD_STEP: f64 = 16.0;
const LEAVING: u8 = 1;
const NO_ANSWER: u8 = 2;
const YOUNG: u8 = 1;
/// Datagrams of one report or table at most.
pub const MOST_PARTS: usize = 16;
/// GroupReport of one entry at most.
const MOST_GROUPS: usize = 31;
/// What a table can say of a endpoint's use.
pub const MIN_REPORTED_UTILIZATION: f64 = 0.4;
const USE_STEP: f64 = 1.0 / 32.0;

/// 24 bits of a digest of a endpoint's name; the embedder's matter which.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointDigest(pub u32);

/// What proxies met at a endpoint within the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthVerdict {
    /// Nothing, or both good and bad.
    #[default]
    Unknown,
    /// Attempts went well, none failed.
    Healthy,
    /// Attempts failed, none went well.
    Unhealthy,
}

impl HealthVerdict {
    fn bits(self) -> u8 {
        match self {
            HealthVerdict::Unknown => 0,
            HealthVerdict::Healthy => 1,
            HealthVerdict::Unhealthy => 2,
        }
    }

    fn of(bits: u8) -> HealthVerdict {
        match bits & 3 {
            1 => HealthVerdict::Healthy,
            2 => HealthVerdict::Unhealthy,
            _ => HealthVerdict::Unknown,
        }
    }
}

/// What one proxy has at one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Which one.
    pub endpoint: EndpointDigest,
    /// Summed load of its connections there, work in microseconds a second.
    pub load: f64,
    /// A byte of the digest of each group that has connections of it there.
    pub groups: Vec<u8>,
    /// What it met there.
    pub health: HealthVerdict,
}

/// What one proxy, or all together, have in sum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Connections that are open or wanted.
    pub connections: u32,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Set-ups a second that went well.
    pub successes_per_s: f64,
    /// Set-ups a second that failed, whatever was at fault.
    pub failures_per_s: f64,
}

/// One datagram of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Counts this proxy's reports.
    pub generation: u16,
    /// Which datagram of it, of how many.
    pub part: (u8, u8),
    /// The proxy leaves and has nothing any more.
    pub leaving: bool,
    /// It is told ahead of a aggregator's time, no answer is wanted.
    pub no_answer: bool,
    /// The sender's next report comes after about this long; to a tenth of a second.
    pub next: Micros,
    /// Sums.
    pub totals: Totals,
    /// The endpoints of this part.
    pub entries: Vec<Entry>,
}

/// One datagram of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSummary {
    /// The report that it answers.
    pub generation: u16,
    /// Which datagram of it, of how many.
    pub part: (u8, u8),
    /// The aggregator has not heard all yet; nothing in it counts but that the aggregator is there.
    pub young: bool,
    /// What everybody is to leave between two reports; to a tenth of a second.
    pub period: Micros,
    /// Whose reports are in it.
    pub members: u32,
    /// Sums.
    pub totals: Totals,
    /// Mean load of a connection, work in microseconds a second.
    pub mean_load: f64,
    /// EndpointDigest, load over size, word.
    pub nodes: Vec<(EndpointDigest, f64, HealthVerdict)>,
}

/// One datagram of a proxy's heaviest groups.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupReport {
    /// That of the report which goes with it.
    pub generation: u16,
    /// Which datagram of it, of how many.
    pub part: (u8, u8),
    /// It is told ahead of a aggregator's time, no answer is wanted.
    pub no_answer: bool,
    /// The sender's next report comes after about this long; to a tenth of a second.
    pub next: Micros,
    /// A group's digest, and the summed load of the sender's connections of it, work in microseconds a second.
    pub groups: Vec<(u64, f64)>,
}

/// One datagram of the answer: the groups that need more than five homes.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSizes {
    /// That of the report.
    pub generation: u16,
    /// Which datagram of it, of how many.
    pub part: (u8, u8),
    /// The aggregator has not heard all yet; nothing in it counts.
    pub young: bool,
    /// A group's digest and its homes.
    pub homes: Vec<(u64, u32)>,
}

/// A datagram that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// To a aggregator.
    Report(Report),
    /// From a aggregator.
    Summary(FleetSummary),
    /// To a aggregator that knows homes by a group's size.
    GroupReport(GroupReport),
    /// From such a one.
    SubsetSizes(SubsetSizes),
}

/// A load as a byte: 0 for none, else 64 us a second times 2 to the power of sixteenths; up to 3.8 cores.
pub fn load(micros: f64) -> u8 {
    if micros.is_nan() || micros < 32.0 {
        0
    } else {
        ((micros / 64.0).log2() * 16.0 + 1.0).round().clamp(1.0, 255.0) as u8
    }
}

/// The load that a byte stands for.
pub fn load_of(byte: u8) -> f64 {
    if byte == 0 { 0.0 } else { 64.0 * (f64::from(byte - 1) / 16.0).exp2() }
}

/// A rate as a byte: 0 for none, else 1/16 a second times 2 to the power of eighths.
pub fn rate(per_s: f64) -> u8 {
    if per_s.is_nan() || per_s < 0.045 {
        0
    } else {
        ((per_s * 16.0).log2() * 8.0 + 1.0).round().clamp(1.0, 255.0) as u8
    }
}

/// The rate that a byte stands for.
pub fn rate_of(byte: u8) -> f64 {
    if byte == 0 { 0.0 } else { (f64::from(byte - 1) / 8.0).exp2() / 16.0 }
}

fn tenths(span: Micros) -> u32 {
    (span.max(0) / 100_000).min(Micros::from(u32::MAX)) as u32
}

fn of_tenths(tenths: u32) -> Micros {
    Micros::from(tenths) * 100_000
}

fn number(bytes: &mut Vec<u8>, mut value: u32) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

fn totals(bytes: &mut Vec<u8>, totals: &Totals) {
    number(bytes, totals.connections);
    bytes.extend([rate(totals.requests_per_s), rate(totals.successes_per_s), rate(totals.failures_per_s)]);
}

fn header(kind: u8, flags: u8, generation: u16) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LONGEST);
    bytes.extend([VERSION, kind, flags]);
    bytes.extend(generation.to_le_bytes());
    // The part, once it is known.
    bytes.push(0);
    bytes
}

/// Cuts what each entry needs into datagrams behind the same header; what does not fit into all of them is left out.
fn cut(header: &[u8], entries: impl Iterator<Item = Vec<u8>>) -> Vec<Vec<u8>> {
    let mut parts = vec![header.to_vec()];
    for entry in entries {
        let last = parts.len() - 1;
        if parts[last].len() + entry.len() <= LONGEST {
            parts[last].extend(entry);
        } else if parts.len() < MOST_PARTS {
            parts.push([header, &entry].concat());
        } else {
            break;
        }
    }
    let more = (parts.len() - 1) as u8;
    for (place, part) in parts.iter_mut().enumerate() {
        part[5] = place as u8 | more << 4;
    }
    parts
}

/// A report as datagrams; the parts' numbers of `report` don't matter. The first entries go first.
pub fn write_report(report: &Report) -> Vec<Vec<u8>> {
    let flags = (u8::from(report.leaving) * LEAVING) | (u8::from(report.no_answer) * NO_ANSWER);
    let mut head = header(REPORT, flags, report.generation);
    number(&mut head, tenths(report.next));
    totals(&mut head, &report.totals);
    let entry = |entry: &Entry| {
        let mut bytes = entry.endpoint.0.to_le_bytes()[..3].to_vec();
        let groups = &entry.groups[..entry.groups.len().min(MOST_GROUPS)];
        bytes.extend([load(entry.load), entry.health.bits() << 5 | groups.len() as u8]);
        bytes.extend(groups);
        bytes
    };
    cut(&head, report.entries.iter().map(entry))
}

/// A table as datagrams. Of the nodes only those that say something, the fullest first.
pub fn write_summary(table: &FleetSummary) -> Vec<Vec<u8>> {
    let mut head = header(TABLE, u8::from(table.young) * YOUNG, table.generation);
    number(&mut head, tenths(table.period));
    number(&mut head, table.members);
    totals(&mut head, &table.totals);
    head.push(load(table.mean_load));
    let mut told: Vec<_> = table
        .nodes
        .iter()
        .filter(|(_, used, word)| *used >= MIN_REPORTED_UTILIZATION || *word != HealthVerdict::Unknown)
        .collect();
    told.sort_by(|a, b| b.1.total_cmp(&a.1));
    let entry = |(endpoint, used, word): &(EndpointDigest, f64, HealthVerdict)| {
        let mut bytes = endpoint.0.to_le_bytes()[..3].to_vec();
        // 0 stands for less: what is named for its word alone must not look full.
        let step = ((used - MIN_REPORTED_UTILIZATION) / USE_STEP).round().clamp(0.0, 62.0) as u8 + 1;
        let step = if *used < MIN_REPORTED_UTILIZATION { 0 } else { step };
        bytes.push(step | word.bits() << 6);
        bytes
    };
    cut(&head, told.into_iter().map(entry))
}

/// A proxy's groups as datagrams, one at least; the part's numbers of `groups` don't matter. The first ones go first.
pub fn write_group_report(groups: &GroupReport) -> Vec<Vec<u8>> {
    let mut head = header(GROUPS, u8::from(groups.no_answer) * NO_ANSWER, groups.generation);
    number(&mut head, tenths(groups.next));
    let entry = |(group, load): &(u64, f64)| {
        let mut bytes = group.to_le_bytes().to_vec();
        // Casts saturate: what is not a number is 0.
        number(&mut bytes, (load / LOAD_STEP).round() as u32);
        bytes
    };
    cut(&head, groups.groups.iter().map(entry))
}

/// A table of homes as datagrams, one at least. The first ones go first.
pub fn write_subset_sizes(homes: &SubsetSizes) -> Vec<Vec<u8>> {
    let head = header(HOMES, u8::from(homes.young) * YOUNG, homes.generation);
    let entry = |(group, homes): &(u64, u32)| {
        let mut bytes = group.to_le_bytes().to_vec();
        number(&mut bytes, *homes);
        bytes
    };
    cut(&head, homes.homes.iter().map(entry))
}

struct Reading<'a>(&'a [u8]);

impl Reading<'_> {
    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    fn number(&mut self) -> Option<u32> {
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

    fn totals(&mut self) -> Option<Totals> {
        let connections = self.number()?;
        let mut rate = || self.byte().map(rate_of);
        Some(Totals {
            connections,
            requests_per_s: rate()?,
            successes_per_s: rate()?,
            failures_per_s: rate()?,
        })
    }

    /// Pairs of a group and a number, to the end.
    fn groups(&mut self) -> Option<Vec<(u64, u32)>> {
        let mut groups = Vec::new();
        while !self.0.is_empty() {
            let (digest, rest) = self.0.split_first_chunk()?;
            self.0 = rest;
            groups.push((u64::from_le_bytes(*digest), self.number()?));
        }
        Some(groups)
    }

    fn endpoint(&mut self) -> Option<EndpointDigest> {
        Some(EndpointDigest(u32::from_le_bytes([self.byte()?, self.byte()?, self.byte()?, 0])))
    }
}

/// Reads a datagram; `None` if it is none of ours, or broken anywhere.
pub fn read(bytes: &[u8]) -> Option<Datagram> {
    if bytes.len() > LONGEST {
        return None;
    }
    let mut reading = Reading(bytes);
    let (version, kind, flags) = (reading.byte()?, reading.byte()?, reading.byte()?);
    if version != VERSION {
        return None;
    }
    let generation = u16::from_le_bytes([reading.byte()?, reading.byte()?]);
    let part = reading.byte()?;
    let part = (part & 15, (part >> 4) + 1);
    if part.0 >= part.1 {
        return None;
    }
    match kind {
        REPORT => {
            let next = of_tenths(reading.number()?);
            let totals = reading.totals()?;
            let mut entries = Vec::new();
            while !reading.0.is_empty() {
                let (endpoint, load, flags) = (reading.endpoint()?, reading.byte()?, reading.byte()?);
                let groups = (0..flags & 31).map(|_| reading.byte()).collect::<Option<Vec<u8>>>()?;
                entries.push(Entry {
                    endpoint,
                    load: load_of(load),
                    groups,
                    health: HealthVerdict::of(flags >> 5),
                });
            }
            let (leaving, no_answer) = (flags & LEAVING > 0, flags & NO_ANSWER > 0);
            Some(Datagram::Report(Report { generation, part, leaving, no_answer, next, totals, entries }))
        }
        TABLE => {
            let period = of_tenths(reading.number()?);
            let (members, totals) = (reading.number()?, reading.totals()?);
            let mean_load = load_of(reading.byte()?);
            let mut nodes = Vec::new();
            while !reading.0.is_empty() {
                let (endpoint, told) = (reading.endpoint()?, reading.byte()?);
                let used = match told & 63 {
                    0 => 0.0,
                    step => MIN_REPORTED_UTILIZATION + f64::from(step - 1) * USE_STEP,
                };
                nodes.push((endpoint, used, HealthVerdict::of(told >> 6)));
            }
            let young = flags & YOUNG > 0;
            let table = FleetSummary { generation, part, young, period, members, totals, mean_load, nodes };
            Some(Datagram::Summary(table))
        }
        GROUPS => {
            let next = of_tenths(reading.number()?);
            let load = |(group, steps): (u64, u32)| (group, f64::from(steps) * LOAD_STEP);
            let groups = reading.groups()?.into_iter().map(load).collect();
            let no_answer = flags & NO_ANSWER > 0;
            Some(Datagram::GroupReport(GroupReport { generation, part, no_answer, next, groups }))
        }
        HOMES => {
            let homes = reading.groups()?;
            Some(Datagram::SubsetSizes(SubsetSizes { generation, part, young: flags & YOUNG > 0, homes }))
        }
        _ => None,
    }
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
