//! The wire format: datagrams of at most 256 bytes. Numbers of variable width are encoded as LEB128; `n` in the tables means
//! such a number. Other numbers are little-endian.
//!
//! | header | bytes | |
//! | --- | --- | --- |
//! | version | 1 | 2; gossip datagrams begin with 1, and each protocol drops the datagrams of the other |
//! | kind | 1 | 1 report, 2 fleet summary, 3 group report, 4 subset sizes; a receiver drops unknown kinds |
//! | flags | 1 | report: bit 0 leaving; report, group report: bit 1 advance notice; summary, subset sizes: bit 0 incomplete |
//! | sequence | 2 | sequence number of the report; the answer has the same number, so that a receiver can drop other answers |
//! | fragment | 1 | low 4 bits: index among the datagrams of one message; high 4 bits: number of these datagrams minus one |
//!
//! | report, fleet summary | bytes | |
//! | --- | --- | --- |
//! | interval | n | tenths of a second; report: until the sender's next report; summary: between two reports of any member |
//! | members | n | summary only: number of members whose reports are in the summary |
//! | connections | n | number of connections, open or wanted |
//! | requests, successful and failed set-ups | 1 each | rate per second, [`encode_rate`] |
//! | mean load | 1 | summary only: mean load of a connection, [`encode_load`] |
//!
//! | entry | bytes | |
//! | --- | --- | --- |
//! | endpoint | 3 | digest of the endpoint's name |
//! | report: load | 1 | [`encode_load`]; the error is at most 2.2% |
//! | report: health, groups | 1 + groups | bits 5 and 6: verdict; bits 0 to 4: number of groups; then one byte of each group's digest |
//! | summary: utilization, health | 1 | bits 0 to 5: load divided by capacity, 0 for less than 0.4, else in steps of 1/32 beginning with 1 for 0.4; bits 6 and 7: verdict |
//!
//! In a group report, the interval follows the header, as in a report. Subset sizes have the header only. Their entries:
//!
//! | entry | bytes | |
//! | --- | --- | --- |
//! | group | 8 | complete digest of the group's name: with a collision, a group would get the subset size of another |
//! | group report: load | n | load of the sender's connections of the group, in steps of 16 us of work per second |
//! | subset sizes: size | n | number of endpoints, more than five |
//!
//! An endpoint that a summary leaves out has a utilization of less than 0.4 and the verdict `Unknown`.

mod read;
mod scale;
mod write;

pub use read::read;
pub use scale::{decode_load, decode_rate, encode_load, encode_rate};
pub use write::{write_group_report, write_report, write_subset_sizes, write_summary};

use crate::Micros;

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Maximum number of datagrams of one message, limited by the 4 bits of the header field.
pub const MAX_FRAGMENTS: usize = 16;
/// The smallest utilization other than 0 that a summary can express.
pub const MIN_REPORTED_UTILIZATION: f64 = 0.4;

const VERSION: u8 = 2;
const UTILIZATION_STEP: f64 = 1.0 / 32.0;
/// Resolution of a group's load, in microseconds of work per second.
const GROUP_LOAD_STEP: f64 = 16.0;
/// Maximum number of groups of one entry, limited by the 5 bits of the field.
const MAX_GROUPS_PER_ENTRY: usize = 31;

/// Values of the header field `kind`.
mod kind {
    pub(super) const REPORT: u8 = 1;
    pub(super) const SUMMARY: u8 = 2;
    pub(super) const GROUP_REPORT: u8 = 3;
    pub(super) const SUBSET_SIZES: u8 = 4;
}

/// Bits of the header field `flags`. Reports and answers use the same bits with different meanings.
mod flag {
    pub(super) const LEAVING: u8 = 1;
    pub(super) const ADVANCE_NOTICE: u8 = 2;
    pub(super) const INCOMPLETE: u8 = 1;
}

/// 24 bits of a digest of an endpoint's name. The program that embeds this crate chooses the digest function.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointDigest(pub u32);

/// Result of the connection attempts to an endpoint within the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthVerdict {
    /// There is no evidence, or the evidence is contradictory.
    #[default]
    Unknown,
    /// Attempts succeeded and none failed.
    Healthy,
    /// Attempts failed and none succeeded.
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

/// Position of a datagram within its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fragment {
    /// Index of the datagram, counted from 0.
    pub index: u8,
    /// Number of datagrams of the message, 1 to [`MAX_FRAGMENTS`].
    pub count: u8,
}

impl Fragment {
    /// The only datagram of its message.
    pub const ONLY: Fragment = Fragment { index: 0, count: 1 };

    /// Whether this is the last datagram of its message.
    pub fn is_last(self) -> bool {
        self.index + 1 == self.count
    }

    /// The bit that represents this fragment in a set of received fragments.
    pub(crate) fn bit(self) -> u16 {
        1_u16 << (self.index & 15)
    }
}

/// Load and health of one endpoint, as reported by one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointDigest,
    /// Summed load of the proxy's connections to the endpoint, in microseconds of work per second.
    pub load: f64,
    /// One byte of the digest of each group to which a connection of the proxy to this endpoint belongs.
    pub groups: Vec<u8>,
    /// Verdict from the proxy's own connection attempts.
    pub health: HealthVerdict,
}

/// Sums over all endpoints, for one proxy or for the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Number of connections that are open or wanted.
    pub connections: u32,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Successful connection set-ups per second.
    pub successes_per_s: f64,
    /// Failed connection set-ups per second, for any cause.
    pub failures_per_s: f64,
}

/// One datagram of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Sequence number of the report. The number increases by one with each report of a proxy and wraps around.
    pub sequence: u16,
    /// Position of this datagram within the report.
    pub fragment: Fragment,
    /// The proxy is draining, and its load no longer counts.
    pub leaving: bool,
    /// The report is sent before the receiver becomes aggregator and needs no answer.
    pub advance_notice: bool,
    /// Time until the sender's next report, with a resolution of a tenth of a second.
    pub next_report_in: Micros,
    /// Sums over all endpoints of the sender.
    pub totals: Totals,
    /// The entries in this fragment.
    pub entries: Vec<Entry>,
}

/// Utilization and health of one endpoint, over all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSummary {
    /// The endpoint.
    pub endpoint: EndpointDigest,
    /// Load divided by capacity; written as 0 if less than [`MIN_REPORTED_UTILIZATION`].
    pub utilization: f64,
    /// The verdict of the majority of the members with evidence.
    pub health: HealthVerdict,
}

/// One datagram of a fleet summary, the aggregator's answer to a report.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSummary {
    /// Sequence number of the answered report.
    pub sequence: u16,
    /// Position of this datagram within the summary.
    pub fragment: Fragment,
    /// The aggregator may not have received all reports yet: the answer shows that it is alive, and the sums are to be ignored.
    pub incomplete: bool,
    /// The time between two reports that every member is to keep, with a resolution of a tenth of a second.
    pub report_interval: Micros,
    /// Number of members whose reports are in the summary.
    pub members: u32,
    /// Sums over these members.
    pub totals: Totals,
    /// Mean load of a connection, in microseconds of work per second.
    pub mean_load: f64,
    /// The endpoints with a reported utilization or a verdict.
    pub endpoints: Vec<EndpointSummary>,
}

/// One datagram of a group report, which contains the groups with the most load at a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupReport {
    /// Sequence number of the load report sent along with the group report.
    pub sequence: u16,
    /// Position of this datagram within the group report.
    pub fragment: Fragment,
    /// The report is sent before the receiver becomes aggregator and needs no answer.
    pub advance_notice: bool,
    /// Time until the sender's next report, with a resolution of a tenth of a second.
    pub next_report_in: Micros,
    /// Digest of each group, and the summed load of the sender's connections of the group, in microseconds of work per second.
    pub groups: Vec<(u64, f64)>,
}

/// One datagram of the answer to a group report: the groups whose affinity subset has more than five endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSizes {
    /// Sequence number of the answered report.
    pub sequence: u16,
    /// Position of this datagram within the answer.
    pub fragment: Fragment,
    /// The aggregator may not have received all reports yet: the receiver ignores the sizes.
    pub incomplete: bool,
    /// Digest of each group, and the number of endpoints of its subset.
    pub sizes: Vec<(u64, u32)>,
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// A load report, from a member to the aggregator.
    Report(Report),
    /// The aggregator's answer to a load report.
    Summary(FleetSummary),
    /// A group report, from a member to the aggregator.
    GroupReport(GroupReport),
    /// The aggregator's answer to a group report.
    SubsetSizes(SubsetSizes),
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
