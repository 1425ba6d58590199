//! The wire format: datagrams of 256 bytes at most. Numbers of variable width are LEB128.
//!
//! | header | bytes | |
//! | --- | --- | --- |
//! | version | 1 | 2; gossip's datagrams begin with 1, and each protocol drops the other's |
//! | kind | 1 | 1 report, 2 fleet summary, 3 group report, 4 subset sizes; a receiver drops kinds that it doesn't know |
//! | flags | 1 | report: bit 0 leaving; report, group report: bit 1 advance notice; summary, subset sizes: bit 0 incomplete |
//! | sequence | 2 | of the report; its answer carries the same, so that nobody can send one unasked |
//! | fragment | 1 | low 4 bits: index among the datagrams of one message; high 4 bits: their number less one |
//!
//! | report, fleet summary | bytes | |
//! | --- | --- | --- |
//! | interval | n | tenths of a second; report: until its sender's next one; summary: between two reports, for every member |
//! | members | n | summary only: members whose reports are in it |
//! | connections | n | open or wanted |
//! | requests, successful and failed set-ups | 1 each | a second; [`encode_rate`] |
//! | mean load | 1 | summary only: of a connection; [`encode_load`] |
//!
//! | entry | bytes | |
//! | --- | --- | --- |
//! | endpoint | 3 | digest of its name |
//! | report: load | 1 | [`encode_load`]; 2.2% off at most |
//! | report: health, groups | 1 + n | bits 5 and 6 the verdict, bits 0 to 4 how many groups, then a byte of each one's digest |
//! | summary: utilization, health | 1 | bits 0 to 5 load over capacity: 0 for less than 0.4, else from there in steps of 1/32; bits 6 and 7 the verdict |
//!
//! Group reports and subset sizes have the header alone; a group report then has the interval, as reports do. Their entries:
//!
//! | entry | bytes | |
//! | --- | --- | --- |
//! | group | 8 | complete digest of its name: a group that is mistaken for another would get its subset |
//! | group report: load | n | of the sender's connections of it, in steps of 16 us of work a second |
//! | subset sizes: size | n | more than five |
//!
//! Endpoints that a summary leaves out are utilized by less than 0.4, and nothing is known against them.

mod read;
mod scale;
mod write;

pub use read::read;
pub use scale::{decode_load, decode_rate, encode_load, encode_rate};
pub use write::{write_group_report, write_report, write_subset_sizes, write_summary};

use crate::Micros;

/// The longest datagram, in bytes.
pub const LONGEST: usize = 256;
/// Datagrams of one message at most: what 4 bits count.
pub const MAX_FRAGMENTS: usize = 16;
/// The least utilization that a summary can express.
pub const MIN_REPORTED_UTILIZATION: f64 = 0.4;

const VERSION: u8 = 2;
const UTILIZATION_STEP: f64 = 1.0 / 32.0;
/// Steps of a group's load, in microseconds of work a second.
const GROUP_LOAD_STEP: f64 = 16.0;
/// Groups of one entry at most: what 5 bits count.
const MAX_GROUPS_PER_ENTRY: usize = 31;

/// The kinds of datagrams.
mod kind {
    pub(super) const REPORT: u8 = 1;
    pub(super) const SUMMARY: u8 = 2;
    pub(super) const GROUP_REPORT: u8 = 3;
    pub(super) const SUBSET_SIZES: u8 = 4;
}

/// Bits of the flags; those of reports and of answers are separate.
mod flag {
    pub(super) const LEAVING: u8 = 1;
    pub(super) const ADVANCE_NOTICE: u8 = 2;
    pub(super) const INCOMPLETE: u8 = 1;
}

/// 24 bits of a digest of an endpoint's name; which digest is the embedder's choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointDigest(pub u32);

/// What proxies met at an endpoint within the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthVerdict {
    /// No evidence, or evidence both ways.
    #[default]
    Unknown,
    /// Attempts succeeded, none failed.
    Healthy,
    /// Attempts failed, none succeeded.
    Unhealthy,
}

impl HealthVerdict {
    fn to_bits(self) -> u8 {
        match self {
            HealthVerdict::Unknown => 0,
            HealthVerdict::Healthy => 1,
            HealthVerdict::Unhealthy => 2,
        }
    }

    fn from_bits(bits: u8) -> HealthVerdict {
        match bits & 3 {
            1 => HealthVerdict::Healthy,
            2 => HealthVerdict::Unhealthy,
            _ => HealthVerdict::Unknown,
        }
    }
}

/// Which datagram of a message this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fragment {
    /// From 0.
    pub index: u8,
    /// Datagrams of the message, 1 to [`MAX_FRAGMENTS`].
    pub count: u8,
}

impl Fragment {
    /// The only datagram of its message.
    pub const ONLY: Fragment = Fragment { index: 0, count: 1 };

    /// Whether no other follows.
    pub fn is_last(self) -> bool {
        self.index + 1 == self.count
    }

    /// This fragment's bit in a set of received ones.
    pub(crate) fn bit(self) -> u16 {
        1_u16 << (self.index & 15)
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
    /// The proxy's own evidence.
    pub health: HealthVerdict,
}

/// Sums of one proxy, or of all together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Connections that are open or wanted.
    pub connections: u32,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Connection set-ups a second that succeeded.
    pub successes_per_s: f64,
    /// Connection set-ups a second that failed, whatever was at fault.
    pub failures_per_s: f64,
}

/// One datagram of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Counts this proxy's reports; wraps.
    pub sequence: u16,
    /// Which datagram of the report.
    pub fragment: Fragment,
    /// The proxy drains and has nothing any more.
    pub leaving: bool,
    /// Sent ahead of the receiver's time as aggregator: no answer is wanted.
    pub advance_notice: bool,
    /// Time until the sender's next report; to a tenth of a second.
    pub next_report_in: Micros,
    /// The sender's sums.
    pub totals: Totals,
    /// The endpoints of this fragment.
    pub entries: Vec<Entry>,
}

/// What all proxies together have at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSummary {
    /// Which one.
    pub endpoint: EndpointDigest,
    /// Load over capacity; 0 for less than [`MIN_REPORTED_UTILIZATION`].
    pub utilization: f64,
    /// What most of those who know say.
    pub health: HealthVerdict,
}

/// One datagram of a fleet summary, the aggregator's answer to a report.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSummary {
    /// Of the report that it answers.
    pub sequence: u16,
    /// Which datagram of the summary.
    pub fragment: Fragment,
    /// The aggregator has not received all reports yet: this says only that it is there.
    pub incomplete: bool,
    /// The time that every member is to leave between two reports; to a tenth of a second.
    pub report_interval: Micros,
    /// Members whose reports are in it.
    pub members: u32,
    /// Sums over these.
    pub totals: Totals,
    /// Mean load of a connection, work in microseconds a second.
    pub mean_load: f64,
    /// The endpoints that anything is to be said of.
    pub endpoints: Vec<EndpointSummary>,
}

/// One datagram of a proxy's heaviest groups.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupReport {
    /// Of the report that goes with it.
    pub sequence: u16,
    /// Which datagram of the group report.
    pub fragment: Fragment,
    /// Sent ahead of the receiver's time as aggregator: no answer is wanted.
    pub advance_notice: bool,
    /// Time until the sender's next report; to a tenth of a second.
    pub next_report_in: Micros,
    /// A group's digest, and the summed load of the sender's connections of it, work in microseconds a second.
    pub groups: Vec<(u64, f64)>,
}

/// One datagram of the answer to a group report: the groups whose affinity subset has more than five endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSizes {
    /// Of the report that it answers.
    pub sequence: u16,
    /// Which datagram of the answer.
    pub fragment: Fragment,
    /// The aggregator has not received all reports yet: nothing in this counts.
    pub incomplete: bool,
    /// A group's digest, and the endpoints of its subset.
    pub sizes: Vec<(u64, u32)>,
}

/// A datagram that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// To an aggregator.
    Report(Report),
    /// From an aggregator.
    Summary(FleetSummary),
    /// To an aggregator that sizes affinity subsets.
    GroupReport(GroupReport),
    /// From such an aggregator.
    SubsetSizes(SubsetSizes),
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
