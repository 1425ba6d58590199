//! Metrics for operators' tools: counters since the process began, and gauges. Where an ending is recorded it is counted
//! here too, so that the two can't disagree.

use crate::rules::RulesStatus;
use cottonnotch_consensus::Role;
use std::collections::HashMap;
use std::fmt::Write;

/// How the requests of one class were answered.
#[derive(Debug, Default)]
struct ClassCounts {
    /// As it goes over the wire.
    name: String,
    passed: u64,
    dropped: u64,
    bad_gateway: u64,
}

/// Values of the moment, which the driver knows.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// Requests accepted and not ended.
    pub in_progress: usize,
    /// Endpoints in the list.
    pub known_endpoints: usize,
    /// Those of them that get nothing new now, by manual override or by the decision module's choice.
    pub skipped_endpoints: usize,
    /// The status of the rules, if there are any.
    pub rules: Option<RulesStatus>,
    /// Affinity subsets by a group's size, where they are on.
    pub affinity: Option<AffinityMetrics>,
}

/// Affinity subsets by a group's size: values of the moment, and counts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AffinityMetrics {
    /// Groups whose subset has more than five endpoints.
    pub groups: u64,
    /// Endpoints in the largest subset.
    pub largest_subset: u64,
    /// Tables of subsets that were accepted.
    pub tables_received: u64,
    /// Groups that were cut from a report or a table for want of room.
    pub groups_cut: u64,
    /// Datagrams of the fleet that were malformed, from no member, or answers to no request or too late.
    pub datagrams_dropped: u64,
}

/// The counters.
#[derive(Debug, Default)]
pub struct Metrics {
    handled: Vec<ClassCounts>,
    /// Places in `handled` by the settings' number of a class: numbers of one name share a place.
    places: Vec<usize>,
    by_name: HashMap<String, usize>,
    upstream_tries: u64,
    loads: u64,
    load_errors: u64,
    watches_lost: u64,
    lists_back: u64,
    lists_refused: u64,
}

impl Metrics {
    /// The settings have these classes now, in the order of their numbers. One that was dropped keeps its counts.
    pub fn set_classes<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.places.clear();
        for name in names {
            let place = *self.by_name.entry(name.to_owned()).or_insert_with(|| {
                self.handled.push(ClassCounts { name: plain(name), ..ClassCounts::default() });
                self.handled.len() - 1
            });
            self.places.push(place);
        }
    }

    fn handled(&mut self, class: u32) -> Option<&mut ClassCounts> {
        let place = *self.places.get(class as usize)?;
        self.handled.get_mut(place)
    }

    /// A connection was established.
    pub fn served(&mut self, class: u32) {
        self.handled(class).into_iter().for_each(|handled| handled.passed += 1);
    }

    /// A request was rejected.
    pub fn rejected(&mut self, class: u32) {
        self.handled(class).into_iter().for_each(|handled| handled.dropped += 1);
    }

    /// A request failed.
    pub fn failed(&mut self, class: u32) {
        self.handled(class).into_iter().for_each(|handled| handled.bad_gateway += 1);
    }

    /// The last byte of an attempt's first line was written.
    pub fn attempt_written(&mut self) {
        self.upstream_tries += 1;
    }

    /// A configuration was applied on SIGHUP.
    pub fn configuration_applied(&mut self) {
        self.loads += 1;
    }

    /// A configuration was rejected on SIGHUP.
    pub fn configuration_rejected(&mut self) {
        self.load_errors += 1;
    }

    /// The watch on discovery is lost, or a request for it failed.
    pub fn watch_lost(&mut self) {
        self.watches_lost += 1;
    }

    /// A list came with a lower revision than the last one, and was accepted.
    pub fn older_list_accepted(&mut self) {
        self.lists_back += 1;
    }

    /// Changes came with a lower revision than the last one, and were rejected.
    pub fn older_list_rejected(&mut self) {
        self.lists_refused += 1;
    }

    /// All of them, a metric a line; `audit` has the counts of violations and reasons.
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
        for ClassCounts { name, passed, dropped, bad_gateway } in &self.handled {
            text.counter(&format!("handled.{name}.passed"), *passed);
            text.counter(&format!("handled.{name}.dropped"), *dropped);
            text.counter(&format!("handled.{name}.bad_gateway"), *bad_gateway);
        }
        text.counter("upstream_tries", self.upstream_tries);
        text.counter("loads", self.loads);
        text.counter("load_errors", self.load_errors);
        text.counter("watches_lost", self.watches_lost);
        text.counter("lists_back", self.lists_back);
        text.counter("lists_refused", self.lists_refused);
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
        text.gauge(&format!("rules.held_back.{}", plain(namespace)), 1);
    }
}

/// The text that is fetched: `svc.NAME:VALUE|c` for a counter and `|g` for a gauge, a line each.
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
        // Writing to a string can't fail.
        let _ = writeln!(self.0, "svc.{name}:{value}|{kind}");
    }
}

/// A class's name without what would end a name, a value or a line: that is written as `%` and two digits.
fn plain(name: &str) -> String {
    let mut plain = String::new();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_') {
            plain.push(char::from(byte));
        } else {
            let _ = write!(plain, "%{byte:02x}");
        }
    }
    plain
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
