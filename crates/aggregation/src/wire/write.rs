//! Encoding of messages as datagrams. Entries that do not fit into [`MAX_FRAGMENTS`] datagrams are left out.

use super::scale::{encode_load, encode_rate, encode_tenths};
use super::{
    EndpointSummary, Entry, FleetSummary, GROUP_LOAD_STEP, GroupReport, HealthVerdict, MAX_DATAGRAM_BYTES,
    MAX_FRAGMENTS, MAX_GROUPS_PER_ENTRY, MIN_REPORTED_UTILIZATION, Report, SubsetSizes, Totals,
    UTILIZATION_STEP, VERSION, flag, kind,
};

/// Offset of the fragment byte in the header.
const FRAGMENT_OFFSET: usize = 5;

/// Encodes a report as one or more datagrams, with the entries in order. `report.fragment` is ignored.
pub fn write_report(report: &Report) -> Vec<Vec<u8>> {
    let flags = flag_if(report.leaving, flag::LEAVING) | flag_if(report.advance_notice, flag::ADVANCE_NOTICE);
    let mut header = header(kind::REPORT, flags, report.sequence);
    push_varint(&mut header, encode_tenths(report.next_report_in));
    push_totals(&mut header, &report.totals);
    split_into_fragments(&header, report.entries.iter().map(report_entry))
}

/// Encodes a fleet summary as one or more datagrams. Endpoints are sorted by descending utilization; those without a reportable
/// utilization or a verdict are left out.
pub fn write_summary(summary: &FleetSummary) -> Vec<Vec<u8>> {
    let flags = flag_if(summary.incomplete, flag::INCOMPLETE);
    let mut header = header(kind::SUMMARY, flags, summary.sequence);
    push_varint(&mut header, encode_tenths(summary.report_interval));
    push_varint(&mut header, summary.members);
    push_totals(&mut header, &summary.totals);
    header.push(encode_load(summary.mean_load));
    let is_reportable = |endpoint: &&EndpointSummary| {
        endpoint.utilization >= MIN_REPORTED_UTILIZATION || endpoint.health != HealthVerdict::Unknown
    };
    let mut endpoints: Vec<&EndpointSummary> = summary.endpoints.iter().filter(is_reportable).collect();
    endpoints.sort_by(|a, b| b.utilization.total_cmp(&a.utilization));
    split_into_fragments(&header, endpoints.into_iter().map(summary_entry))
}

/// Encodes a group report as one or more datagrams, with the groups in order. `report.fragment` is ignored.
pub fn write_group_report(report: &GroupReport) -> Vec<Vec<u8>> {
    let flags = flag_if(report.advance_notice, flag::ADVANCE_NOTICE);
    let mut header = header(kind::GROUP_REPORT, flags, report.sequence);
    push_varint(&mut header, encode_tenths(report.next_report_in));
    // The cast saturates, and turns NaN into 0.
    let entry = |(group, load): &(u64, f64)| group_entry(*group, (load / GROUP_LOAD_STEP).round() as u32);
    split_into_fragments(&header, report.groups.iter().map(entry))
}

/// Encodes subset sizes as one or more datagrams, with the groups in order.
pub fn write_subset_sizes(sizes: &SubsetSizes) -> Vec<Vec<u8>> {
    let flags = flag_if(sizes.incomplete, flag::INCOMPLETE);
    let header = header(kind::SUBSET_SIZES, flags, sizes.sequence);
    split_into_fragments(&header, sizes.sizes.iter().map(|(group, size)| group_entry(*group, *size)))
}

fn flag_if(condition: bool, bit: u8) -> u8 {
    if condition { bit } else { 0 }
}

fn header(kind: u8, flags: u8, sequence: u16) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend([VERSION, kind, flags]);
    bytes.extend(sequence.to_le_bytes());
    // The fragment byte is set once the number of fragments is known.
    bytes.push(0);
    bytes
}

fn report_entry(entry: &Entry) -> Vec<u8> {
    let mut bytes = endpoint_bytes(entry.endpoint.0);
    let groups = &entry.groups[..entry.groups.len().min(MAX_GROUPS_PER_ENTRY)];
    bytes.extend([encode_load(entry.load), entry.health.to_bits() << 5 | groups.len() as u8]);
    bytes.extend(groups);
    bytes
}

fn summary_entry(endpoint: &EndpointSummary) -> Vec<u8> {
    let mut bytes = endpoint_bytes(endpoint.endpoint.0);
    bytes.push(utilization_step(endpoint.utilization) | endpoint.health.to_bits() << 6);
    bytes
}

fn utilization_step(utilization: f64) -> u8 {
    // An endpoint that is listed only for its health must not appear utilized.
    if utilization < MIN_REPORTED_UTILIZATION {
        return 0;
    }
    ((utilization - MIN_REPORTED_UTILIZATION) / UTILIZATION_STEP).round().clamp(0.0, 62.0) as u8 + 1
}

fn group_entry(group: u64, number: u32) -> Vec<u8> {
    let mut bytes = group.to_le_bytes().to_vec();
    push_varint(&mut bytes, number);
    bytes
}

fn endpoint_bytes(digest: u32) -> Vec<u8> {
    digest.to_le_bytes()[..3].to_vec()
}

fn push_varint(bytes: &mut Vec<u8>, mut value: u32) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

fn push_totals(bytes: &mut Vec<u8>, totals: &Totals) {
    push_varint(bytes, totals.connections);
    bytes.extend([totals.requests_per_s, totals.successes_per_s, totals.failures_per_s].map(encode_rate));
}

/// Packs the entries into datagrams in order. Every datagram begins with the same header, apart from the fragment byte.
fn split_into_fragments(header: &[u8], entries: impl Iterator<Item = Vec<u8>>) -> Vec<Vec<u8>> {
    let mut fragments = vec![header.to_vec()];
    for entry in entries {
        let last = fragments.len() - 1;
        if fragments[last].len() + entry.len() <= MAX_DATAGRAM_BYTES {
            fragments[last].extend(entry);
        } else if fragments.len() < MAX_FRAGMENTS {
            fragments.push([header, &entry].concat());
        } else {
            break;
        }
    }
    let last_index = (fragments.len() - 1) as u8;
    for (index, fragment) in fragments.iter_mut().enumerate() {
        fragment[FRAGMENT_OFFSET] = index as u8 | last_index << 4;
    }
    fragments
}
