//! What operators' tools fetch: counts since the process began, and gauges. Where an ending is noted for the records it
//! is counted here too, so that the two can't tell different stories.

use crate::rules::RulesStatus;
use cottonnotch_consensus::Role;
use std::collections::HashMap;
use std::fmt::Write;

/// How the requests of one class were answered.
#[derive(Debug, Default)]
struct ClassCounts {
    /// As the name goes over the wire.
    name: String,
    passed: u64,
    dropped: u64,
    bad_gateway: u64,
}

/// Values of the moment, which the driver knows.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub in_progress: usize,
    /// Endpoints in the list.
    pub known: usize,
    /// Those of them that get nothing new now, by hand or by the module's choice.
    pub skipped: usize,
    /// How it stands with the rules, if there are any.
    pub rules: Option<RulesStatus>,
    /// How it stands with homes by a group's size, where they are on.
    pub homes: Option<AffinityMetrics>,
}

/// Homes by a group's size: values of the moment, and counts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AffinityMetrics {
    /// Groups that have more than five homes.
    pub groups: u64,
    /// Homes of the group that has most.
    pub most: u64,
    /// Tables of homes that were taken.
    pub told: u64,
    /// Groups that found no room in a report or a table.
    pub cut: u64,
    /// Datagrams of the tier that were nothing of ours, from no member, or answers to no question or too late.
    pub dropped: u64,
}

/// The counts.
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

    /// A connection was brought up.
    pub fn served(&mut self, class: u32) {
        self.handled(class).into_iter().for_each(|handled| handled.passed += 1);
    }

    /// A request was refused.
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

    /// A configuration was taken on SIGHUP, or turned down.
    pub fn configuration_loaded(&mut self, taken: bool) {
        if taken {
            self.loads += 1;
        } else {
            self.load_errors += 1;
        }
    }

    /// The watch on discovery is lost, or a call for it failed.
    pub fn watch_lost(&mut self) {
        self.watches_lost += 1;
    }

    /// A list came with a lower revision than the last one; it was taken, or refused.
    pub fn list_fell_back(&mut self, taken: bool) {
        if taken {
            self.lists_back += 1;
        } else {
            self.lists_refused += 1;
        }
    }

    /// All of it, a figure a line; `audit` has the counts of violations and reasons.
    pub fn text(&self, gauges: Gauges, audit: impl Iterator<Item = (String, u64)>) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            // A text takes whatever is written.
            let _ = writeln!(text, "svc.{name}:{value}|{kind}");
        };
        for ClassCounts { name, passed, dropped, bad_gateway } in &self.handled {
            line(&format!("handled.{name}.passed"), *passed, 'c');
            line(&format!("handled.{name}.dropped"), *dropped, 'c');
            line(&format!("handled.{name}.bad_gateway"), *bad_gateway, 'c');
        }
        line("upstream_tries", self.upstream_tries, 'c');
        line("loads", self.loads, 'c');
        line("load_errors", self.load_errors, 'c');
        line("watches_lost", self.watches_lost, 'c');
        line("lists_back", self.lists_back, 'c');
        line("lists_refused", self.lists_refused, 'c');
        audit.for_each(|(name, count)| line(&name, count, 'c'));
        line("in_progress", gauges.in_progress as u64, 'g');
        line("known_render_nodes", gauges.known as u64, 'g');
        line("skipped_render_nodes", gauges.skipped as u64, 'g');
        if let Some(homes) = &gauges.homes {
            line("homes.groups", homes.groups, 'g');
            line("homes.most", homes.most, 'g');
            line("homes.told", homes.told, 'c');
            line("homes.cut", homes.cut, 'c');
            line("homes.dropped", homes.dropped, 'c');
        }
        if let Some(seen) = &gauges.rules {
            let version = seen.version.unwrap_or(0);
            line("rules.version", version, 'g');
            line("rules.rules", seen.rules, 'g');
            line("rules.lag", seen.newest.saturating_sub(version), 'g');
            line("rules.lease_left_ms", seen.lease_left_ms, 'g');
            line("rules.held_back", seen.held_back.len() as u64, 'g');
            line("rules.term", seen.term, 'g');
            line("rules.leads", u64::from(seen.role == Role::Leader), 'g');
            line("rules.live", u64::from(seen.live_members), 'g');
            line("rules.list_behind", u64::from(seen.newer_list.is_some()), 'g');
            line("rules.stopped", u64::from(seen.consensus_error.is_some()), 'g');
            line("rules.refused_in_doubt", seen.rejected_while_uncertain, 'c');
            line("rules.stray_datagrams", seen.invalid_datagrams, 'c');
            line("rules.unsent_datagrams", seen.unsent_datagrams, 'c');
            line("rules.broken", seen.invariant_violations, 'c');
            for namespace in seen.held_back.keys() {
                line(&format!("rules.held_back.{}", plain(namespace)), 1, 'g');
            }
        }
        text
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
mod tests {
    use super::*;

    #[test]
    fn every_class_is_there_from_the_first_moment_and_stays() {
        let mut metrics = Metrics::default();
        metrics.set_classes(["look", "edit"].into_iter());
        let gauges = Gauges { in_progress: 3, known: 2, skipped: 1, ..Gauges::default() };
        let text = metrics.text(gauges.clone(), std::iter::empty());
        assert!(text.starts_with("svc.handled.look.passed:0|c\nsvc.handled.look.dropped:0|c\n"), "{text}");
        assert!(
            text.ends_with("svc.in_progress:3|g\nsvc.known_render_nodes:2|g\nsvc.skipped_render_nodes:1|g\n")
        );
        metrics.served(1);
        metrics.failed(0);
        // `edit` goes, and comes back under another number.
        metrics.set_classes(["look", "print"].into_iter());
        metrics.rejected(1);
        metrics.set_classes(["look", "print", "edit"].into_iter());
        metrics.served(2);
        metrics.served(9);
        let text = metrics.text(gauges, std::iter::empty());
        for line in ["look.bad_gateway:1|c", "edit.passed:2|c", "print.dropped:1|c", "print.passed:0|c"] {
            assert!(text.contains(&format!("svc.handled.{line}\n")), "{line}: {text}");
        }
    }

    #[test]
    fn homes_are_told_where_they_are_on() {
        let homes = Some(AffinityMetrics { groups: 2, most: 205, told: 31, cut: 4, dropped: 5 });
        let text = Metrics::default().text(Gauges { homes, ..Gauges::default() }, std::iter::empty());
        let told = "svc.homes.groups:2|g\nsvc.homes.most:205|g\nsvc.homes.told:31|c\nsvc.homes.cut:4|c\nsvc.homes.dropped:5|c\n";
        assert!(text.ends_with(told), "{text}");
        assert!(!Metrics::default().text(Gauges::default(), std::iter::empty()).contains("homes"));
    }

    #[test]
    fn no_name_breaks_the_format() {
        let mut metrics = Metrics::default();
        metrics.set_classes(["a:1|c\nsvc.b", "ok-name_2"].into_iter());
        let text = metrics.text(Gauges::default(), std::iter::empty());
        assert!(text.contains("svc.handled.a%3a1%7cc%0asvc%2eb.passed:0|c\n"), "{text}");
        assert!(text.contains("svc.handled.ok-name_2.passed:0|c\n"), "{text}");
        assert!(text.lines().all(|line| line.matches(':').count() == 1 && line.matches('|').count() == 1));
    }
}
