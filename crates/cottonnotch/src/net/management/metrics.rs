//! Metrics for operators' tools: gauges, and counters since the start of the process. The code that records the end
//! of a request also counts it here, so that records and metrics cannot disagree.

use crate::rules::RulesStatus;
use cottonnotch_consensus::Role;
use std::collections::HashMap;
use std::fmt::Write;

/// The counts of answers to the requests of one class.
#[derive(Debug, Default)]
struct ClassCounts {
    /// The escaped name of the class, as it appears in the metrics.
    name: String,
    /// The number of established connections.
    passed: u64,
    /// The number of rejected requests.
    dropped: u64,
    /// The number of failed requests.
    bad_gateway: u64,
}

/// Current values, which the driver supplies.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// The number of requests that were accepted and have not ended.
    pub in_progress: usize,
    /// The number of endpoints in the endpoint list.
    pub known_endpoints: usize,
    /// The number of listed endpoints that currently get no new requests, because of a manual override or a
    /// decision of the decision module.
    pub skipped_endpoints: usize,
    /// The status of the routing rules; `None` if no rules are configured.
    pub rules: Option<RulesStatus>,
    /// Metrics of the affinity subsets that are sized by their group; `None` if they are off.
    pub affinity: Option<AffinityMetrics>,
}

/// Metrics of the affinity subsets that are sized by their group: current values, and counts since the start of the
/// process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AffinityMetrics {
    /// The number of groups whose subset has more than five endpoints.
    pub groups: u64,
    /// The number of endpoints in the largest subset.
    pub largest_subset: u64,
    /// The number of received tables of subsets that were accepted.
    pub tables_received: u64,
    /// The number of groups that were omitted from a report or a table because they did not fit.
    pub groups_cut: u64,
    /// The number of datagrams that were dropped because they were malformed, not from a member, unrequested, or
    /// too late.
    pub datagrams_dropped: u64,
}

/// The counters since the start of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    class_counts: Vec<ClassCounts>,
    /// Maps the number of a class in the settings to its index in `class_counts`. Classes with the same name share
    /// an index.
    class_indices: Vec<usize>,
    by_name: HashMap<String, usize>,
    attempts_written: u64,
    configurations_applied: u64,
    configurations_rejected: u64,
    watches_lost: u64,
    older_lists_accepted: u64,
    older_lists_rejected: u64,
}

impl Metrics {
    /// Sets the names of the classes in the current settings, in the order of their numbers. A class that was
    /// removed from the settings keeps its counts.
    pub fn set_classes<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.class_indices.clear();
        for name in names {
            let index = *self.by_name.entry(name.to_owned()).or_insert_with(|| {
                self.class_counts.push(ClassCounts { name: escape_name(name), ..ClassCounts::default() });
                self.class_counts.len() - 1
            });
            self.class_indices.push(index);
        }
    }

    fn counts_of(&mut self, class: u32) -> Option<&mut ClassCounts> {
        let index = *self.class_indices.get(class as usize)?;
        self.class_counts.get_mut(index)
    }

    /// Counts an established connection.
    pub fn served(&mut self, class: u32) {
        self.counts_of(class).into_iter().for_each(|counts| counts.passed += 1);
    }

    /// Counts a rejected request.
    pub fn rejected(&mut self, class: u32) {
        self.counts_of(class).into_iter().for_each(|counts| counts.dropped += 1);
    }

    /// Counts a failed request.
    pub fn failed(&mut self, class: u32) {
        self.counts_of(class).into_iter().for_each(|counts| counts.bad_gateway += 1);
    }

    /// Counts an attempt whose first line was completely written.
    pub fn attempt_written(&mut self) {
        self.attempts_written += 1;
    }

    /// Counts a configuration that was applied on SIGHUP.
    pub fn configuration_applied(&mut self) {
        self.configurations_applied += 1;
    }

    /// Counts a configuration that was rejected on SIGHUP.
    pub fn configuration_rejected(&mut self) {
        self.configurations_rejected += 1;
    }

    /// Counts a watch on discovery that was lost, or whose request failed.
    pub fn watch_lost(&mut self) {
        self.watches_lost += 1;
    }

    /// Counts a list that was accepted although its revision is lower than the last one.
    pub fn older_list_accepted(&mut self) {
        self.older_lists_accepted += 1;
    }

    /// Counts changes to the list that were rejected because their revision is lower than the last one.
    pub fn older_list_rejected(&mut self) {
        self.older_lists_rejected += 1;
    }

    /// Formats all metrics, one per line. `audit` supplies the counts of violations and of reasons.
    pub fn text(&self, gauges: Gauges, audit: impl Iterator<Item = (String, u64)>) -> String {
        let mut text = MetricsText::default();
        self.write_counts(&mut text);
        audit.for_each(|(name, count)| text.counter(&name, count));
        text.gauge("in_progress", gauges.in_progress as u64);
        text.gauge("known_render_nodes", gauges.known_endpoints as u64);
        text.gauge("skipped_render_nodes", gauges.skipped_endpoints as u64);
        if let Some(affinity) = &gauges.affinity {
            affinity.write(&mut text);
        }
        if let Some(rules) = &gauges.rules {
            write_rules(rules, &mut text);
        }
        text.0
    }

    fn write_counts(&self, text: &mut MetricsText) {
        for ClassCounts { name, passed, dropped, bad_gateway } in &self.class_counts {
            text.counter(&format!("handled.{name}.passed"), *passed);
            text.counter(&format!("handled.{name}.dropped"), *dropped);
            text.counter(&format!("handled.{name}.bad_gateway"), *bad_gateway);
        }
        text.counter("upstream_tries", self.attempts_written);
        text.counter("loads", self.configurations_applied);
        text.counter("load_errors", self.configurations_rejected);
        text.counter("watches_lost", self.watches_lost);
        text.counter("lists_back", self.older_lists_accepted);
        text.counter("lists_refused", self.older_lists_rejected);
    }
}

impl AffinityMetrics {
    fn write(&self, text: &mut MetricsText) {
        text.gauge("homes.groups", self.groups);
        text.gauge("homes.most", self.largest_subset);
        text.counter("homes.told", self.tables_received);
        text.counter("homes.cut", self.groups_cut);
        text.counter("homes.dropped", self.datagrams_dropped);
    }
}

fn write_rules(rules: &RulesStatus, text: &mut MetricsText) {
    let version = rules.version.unwrap_or(0);
    text.gauge("rules.version", version);
    text.gauge("rules.rules", rules.rule_count);
    text.gauge("rules.lag", rules.newest_version.saturating_sub(version));
    text.gauge("rules.lease_left_ms", rules.lease_left_ms);
    text.gauge("rules.held_back", rules.held_back.len() as u64);
    text.gauge("rules.term", rules.term);
    text.gauge("rules.leads", u64::from(rules.role == Role::Leader));
    text.gauge("rules.live", u64::from(rules.live_members));
    text.gauge("rules.list_behind", u64::from(rules.newer_list.is_some()));
    text.gauge("rules.stopped", u64::from(rules.consensus_error.is_some()));
    text.counter("rules.refused_in_doubt", rules.rejected_while_uncertain);
    text.counter("rules.stray_datagrams", rules.invalid_datagrams);
    text.counter("rules.unsent_datagrams", rules.unsent_datagrams);
    text.counter("rules.broken", rules.invariant_violations);
    for namespace in rules.held_back.keys() {
        text.gauge(&format!("rules.held_back.{}", escape_name(namespace)), 1);
    }
}

/// The text of the metrics. Each line is `svc.NAME:VALUE|c` for a counter or `svc.NAME:VALUE|g` for a gauge.
#[derive(Default)]
struct MetricsText(String);

impl MetricsText {
    fn counter(&mut self, name: &str, value: u64) {
        self.line(name, value, 'c');
    }

    fn gauge(&mut self, name: &str, value: u64) {
        self.line(name, value, 'g');
    }

    fn line(&mut self, name: &str, value: u64, kind: char) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.0, "svc.{name}:{value}|{kind}");
    }
}

/// Escapes a name. Characters that could end the name, the value or the line are written as `%` and two hexadecimal
/// digits per byte.
fn escape_name(name: &str) -> String {
    let mut escaped = String::new();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_') {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02x}");
        }
    }
    escaped
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
