//! The judge of a scenario. It goes by what arrived at the render nodes, by the answers that clients received and by the versions that
//! the proxies recorded, all on one machine's clock, and shares no code with what it judges.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A request that arrived at a render node. Times count from the scenario's beginning.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    pub at: Duration,
    /// The client's id.
    pub id: u64,
    pub tenant: String,
    pub group: Option<u64>,
    /// The render node's name, its hall and its hardware.
    pub node: String,
    pub hall: String,
    pub hardware: String,
}

/// Two placements by rules that contradict each other, the longest time apart.
#[derive(Clone, Debug, PartialEq)]
pub struct Contradiction {
    pub time: Duration,
    pub first_by_new: Placed,
    pub last_by_old: Placed,
}

/// How much later than the first placement that only the new rule allows came the last one that only the old rule allows. `None`
/// if none came later.
pub fn contradiction(
    history: &[Placed],
    old: impl Fn(&Placed) -> bool,
    new: impl Fn(&Placed) -> bool,
) -> Option<Contradiction> {
    let only_new = history.iter().filter(|placed| new(placed) && !old(placed));
    let only_old = history.iter().filter(|placed| old(placed) && !new(placed));
    let first_by_new = only_new.min_by_key(|placed| placed.at)?.clone();
    let last_by_old = only_old.max_by_key(|placed| placed.at)?.clone();
    let time = last_by_old.at.checked_sub(first_by_new.at).filter(|time| !time.is_zero())?;
    Some(Contradiction { time, first_by_new, last_by_old })
}

/// The same for a rule that only restricts, so that no placement shows that it is in force: counted from when a proxy reported it.
pub fn after_narrowing(
    history: &[Placed],
    first_by_new: Duration,
    old: impl Fn(&Placed) -> bool,
    new: impl Fn(&Placed) -> bool,
) -> Duration {
    let only_old = history.iter().filter(|placed| old(placed) && !new(placed));
    only_old.map(|placed| placed.at.saturating_sub(first_by_new)).max().unwrap_or_default()
}

/// Two versions that both were acted on, the longest time apart: a placement by the older one that came so much later than one
/// by the newer one. Versions contradict each other if they place in different halls.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlap {
    pub time: Duration,
    pub older: u64,
    pub newer: u64,
}

/// The longest overlap of versions that contradict each other.
pub fn overlap(history: &[(u64, Placed)]) -> Option<Overlap> {
    let mut spans: BTreeMap<u64, (Duration, Duration, &str)> = BTreeMap::new();
    for (version, placed) in history {
        let span = spans.entry(*version).or_insert((placed.at, placed.at, &placed.hall));
        (span.0, span.1) = (span.0.min(placed.at), span.1.max(placed.at));
    }
    let pairs = spans
        .iter()
        .flat_map(|(older, a)| spans.range(older + 1..).map(move |(newer, b)| (older, a, newer, b)));
    let overlaps = pairs.filter(|(_, a, _, b)| a.2 != b.2).filter_map(|(older, a, newer, b)| {
        let time = a.1.checked_sub(b.0).filter(|time| !time.is_zero())?;
        Some(Overlap { time, older: *older, newer: *newer })
    });
    overlaps.max_by_key(|overlap| overlap.time)
}

/// An attempt by a proxy's records.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedAttempt {
    /// When it began, by the machine's clock.
    pub at: Duration,
    /// The client's id.
    pub id: u64,
    pub node: String,
    /// The version of the rules by which the node was chosen.
    pub version: u64,
    /// Whether its first line was sent, as far as the records say.
    pub may_be_sent: bool,
}

/// Requests that arrived at a node though all attempts there were recorded as not sent. Of a request without attempts, nothing is
/// known.
pub fn arrived_unsent<'a>(history: &'a [Placed], attempts: &[RecordedAttempt]) -> Vec<&'a Placed> {
    let mut may_be_sent = BTreeMap::<(u64, &str), bool>::new();
    for attempt in attempts {
        *may_be_sent.entry((attempt.id, &attempt.node)).or_default() |= attempt.may_be_sent;
    }
    let unsent = |placed: &&Placed| may_be_sent.get(&(placed.id, placed.node.as_str())) == Some(&false);
    history.iter().filter(unsent).collect()
}

/// Placements that no rule in force allowed.
pub fn forbidden<'a>(history: &'a [Placed], rules: &[&dyn Fn(&Placed) -> bool]) -> Vec<&'a Placed> {
    history.iter().filter(|placed| !rules.iter().any(|allows| allows(placed))).collect()
}

/// Placements on a render node later than `grace` after proxies were notified that it drains.
pub fn after_drain<'a>(
    history: &'a [Placed],
    node: &str,
    notified_at: Duration,
    grace: Duration,
) -> Vec<&'a Placed> {
    history.iter().filter(|placed| placed.node == node && placed.at > notified_at + grace).collect()
}

/// A client's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Up,
    /// Rejected, with the Retry-After if there was one.
    Busy(Option<u64>),
    /// Any other line.
    Failed(String),
}

/// How a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The client ended it, or the proxy did after a refusal or a failure.
    InOrder,
    Moved,
    /// The proxy closed it, or lost it, without a final answer.
    Cut,
    /// No answer came for longer than a client waits.
    GaveUp,
}

/// The record of one client.
#[derive(Clone, Debug, PartialEq)]
pub struct Client {
    pub id: u64,
    pub tenant: String,
    /// The proxy that it connected to.
    pub proxy: usize,
    pub sent: Duration,
    /// Each answer, and when it arrived. Lines of an established connection are none.
    pub answers: Vec<(Duration, Answer)>,
    pub ended: Option<(Duration, End)>,
}

/// Violations towards clients: each request has exactly one final answer, and nobody is cut off without `MOVE`.
/// Clients of a proxy that was killed or stopped are excused from being cut off and from giving up, from the first time on.
pub fn violations(clients: &[Client], excused: &BTreeMap<usize, Duration>) -> Vec<String> {
    let mut violations = Vec::new();
    for client in clients {
        let (id, proxy) = (client.id, client.proxy);
        if client.answers.len() > 1 {
            violations.push(format!("{id:x} at proxy {proxy} had more than one answer: {client:?}"));
        }
        let Some((at, end)) = client.ended else {
            violations.push(format!("{id:x} at proxy {proxy} has no end: {client:?}"));
            continue;
        };
        let excuse = excused.get(&proxy).is_some_and(|since| at >= *since);
        if matches!(end, End::Cut | End::GaveUp) && !excuse {
            violations.push(format!("{id:x} at proxy {proxy} ended by {end:?}: {client:?}"));
        } else if client.answers.is_empty() && !excuse {
            violations.push(format!("{id:x} at proxy {proxy} had no answer: {client:?}"));
        }
    }
    violations
}

/// The most connections established at one moment, by what the clients saw: from `UP` to the end.
pub fn max_concurrent<'a>(clients: impl Iterator<Item = &'a Client>) -> i64 {
    let mut changes = Vec::new();
    for client in clients {
        let up = client.answers.iter().find(|(_, answer)| *answer == Answer::Up);
        if let (Some((at, _)), Some((end, _))) = (up, client.ended) {
            changes.extend([(*at, 1), (end, -1)]);
        }
    }
    // A connection that ends when another begins makes room for it.
    changes.sort_unstable();
    let standing = changes.iter().scan(0, |sum, (_, change)| {
        *sum += change;
        Some(*sum)
    });
    standing.max().unwrap_or(0)
}

/// A version that a proxy put in force: its number, and its content's hash.
pub type Version = (u64, String);

/// Violations by the versions that the proxies (each in its own order) put in force: a number never names two contents,
/// and none goes back.
pub fn disagreements(by_proxy: &[Vec<Version>]) -> Vec<String> {
    let mut contents: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut violations = Vec::new();
    for (proxy, versions) in by_proxy.iter().enumerate() {
        for pair in versions.windows(2).filter(|pair| pair[1].0 < pair[0].0) {
            violations.push(format!("proxy {proxy} went back from {} to {}", pair[0].0, pair[1].0));
        }
        for (number, hash) in versions {
            contents.entry(*number).or_default().insert(hash);
        }
    }
    let two = contents.iter().filter(|(_, hashes)| hashes.len() > 1);
    violations.extend(two.map(|(number, hashes)| format!("version {number} is {hashes:?}")));
    violations
}

/// Whether all of these proxies ended on one version.
pub fn same_end(by_proxy: &[Vec<Version>]) -> Result<Version, String> {
    let ends: Vec<Option<&Version>> = by_proxy.iter().map(|versions| versions.last()).collect();
    match ends.first() {
        Some(Some(first)) if ends.iter().all(|end| *end == Some(*first)) => Ok((*first).clone()),
        _ => Err(format!("they ended on {ends:?}")),
    }
}

#[cfg(test)]
mod self_tests {
    //! Made-up histories: a violation is found, a correct history passes.
    use super::*;

    fn ms(time: u64) -> Duration {
        Duration::from_millis(time)
    }

    fn placed(at: u64, node: &str, hall: &str) -> Placed {
        let (tenant, hardware) = ("t".to_owned(), "h".to_owned());
        Placed { at: ms(at), id: at, tenant, group: None, node: node.into(), hall: hall.into(), hardware }
    }

    fn in_hall(hall: &'static str) -> impl Fn(&Placed) -> bool {
        move |placed| placed.hall == hall
    }

    #[test]
    fn finds_longest_contradiction_in_any_order() {
        let history = [placed(500, "n", "old"), placed(100, "n", "old"), placed(420, "m", "new")];
        let found = contradiction(&history, in_hall("old"), in_hall("new")).unwrap();
        assert_eq!((found.time, found.first_by_new.at, found.last_by_old.at), (ms(80), ms(420), ms(500)));
        let clean = [placed(100, "n", "old"), placed(419, "n", "old"), placed(420, "m", "new")];
        assert_eq!(contradiction(&clean, in_hall("old"), in_hall("new")), None);
        assert_eq!(contradiction(&history[..2], in_hall("old"), in_hall("new")), None, "never in force");
    }

    #[test]
    fn finds_longest_overlap_of_versions() {
        let good = [(1, placed(10, "n", "a")), (1, placed(50, "n", "a")), (2, placed(51, "n", "b"))];
        assert_eq!(overlap(&good), None);
        let mut bad = good.to_vec();
        bad.extend([(2, placed(70, "n", "b")), (3, placed(60, "n", "a")), (1, placed(90, "n", "a"))]);
        assert_eq!(overlap(&bad), Some(Overlap { time: ms(39), older: 1, newer: 2 }), "3 agrees with 1");
        assert_eq!(overlap(&bad[1..5]), Some(Overlap { time: ms(10), older: 2, newer: 3 }));
        assert_eq!(overlap(&[(4, placed(9, "n", "a")), (7, placed(1, "n", "b"))]).unwrap().time, ms(8));
    }

    #[test]
    fn finds_arrivals_of_what_was_not_sent() {
        let history = [placed(1, "n", "a"), placed(2, "n", "a"), placed(3, "n", "a"), placed(4, "m", "a")];
        let attempt = |id, node: &str, may_be_sent| {
            let node = node.to_owned();
            RecordedAttempt { at: ms(0), id, node, version: 1, may_be_sent }
        };
        // The first was sent at the second try; of the last there is no record at that node.
        let mut attempts =
            [attempt(1, "n", false), attempt(1, "n", true), attempt(2, "n", true), attempt(4, "n", false)];
        assert_eq!(arrived_unsent(&history, &attempts), Vec::<&Placed>::new());
        attempts[2].may_be_sent = false;
        assert_eq!(arrived_unsent(&history, &attempts), [&history[1]]);
    }

    /// What both rules allow is no contradiction; what none allows is forbidden.
    #[test]
    fn distinguishes_contradiction_from_forbidden_placement() {
        let both = |placed: &Placed| placed.hall != "c";
        let history = [placed(1, "m", "new"), placed(9, "n", "old"), placed(10, "x", "c")];
        // No placement shows when a rule that only restricts came in force: that is passed in.
        assert_eq!(contradiction(&history, both, in_hall("new")), None);
        assert_eq!(after_narrowing(&history, ms(3), both, in_hall("new")), ms(6));
        assert_eq!(after_narrowing(&history, ms(9), both, in_hall("new")), ms(0));
        assert_eq!(after_narrowing(&history, ms(3), both, both), ms(0));
        assert_eq!(contradiction(&history, both, both), None);
        let (old, new) = (in_hall("old"), in_hall("new"));
        assert_eq!(forbidden(&history, &[&old, &new]), [&history[2]]);
    }

    #[test]
    fn finds_placements_after_a_drain() {
        let history = [placed(1, "n", "a"), placed(1900, "n", "a"), placed(2001, "m", "a")];
        assert!(after_drain(&history, "n", ms(900), ms(1000)).is_empty());
        assert_eq!(after_drain(&history, "n", ms(899), ms(1000)), [&history[1]]);
    }

    fn client(answers: &[Answer], end: Option<End>) -> Client {
        let answers = answers.iter().map(|answer| (ms(5), answer.clone())).collect();
        let ended = end.map(|end| (ms(10), end));
        Client { id: 1, tenant: "t".into(), proxy: 0, sent: ms(1), answers, ended }
    }

    #[test]
    fn finds_every_violation_towards_a_client() {
        let none = BTreeMap::new();
        let good = [
            client(&[Answer::Up], Some(End::InOrder)),
            client(&[Answer::Up], Some(End::Moved)),
            client(&[Answer::Busy(Some(5))], Some(End::InOrder)),
            client(&[Answer::Failed("ERR".into())], Some(End::InOrder)),
        ];
        assert_eq!(violations(&good, &none), Vec::<String>::new());
        let bad = [
            client(&[Answer::Up, Answer::Busy(None)], Some(End::InOrder)),
            client(&[Answer::Up], Some(End::Cut)),
            client(&[], Some(End::Cut)),
            client(&[], Some(End::GaveUp)),
            client(&[], Some(End::InOrder)),
            client(&[Answer::Up], None),
        ];
        for one in &bad {
            assert_eq!(violations(std::slice::from_ref(one), &none).len(), 1, "{one:?}");
        }
        // A killed proxy's clients are cut off, but none was before, and two answers stay two.
        assert_eq!(violations(&bad[1..5], &BTreeMap::from([(0, ms(10))])), Vec::<String>::new());
        assert_eq!(violations(&bad[1..5], &BTreeMap::from([(0, ms(11))])).len(), 4);
        assert_eq!(violations(&bad[..1], &BTreeMap::from([(0, ms(0))])).len(), 1);
    }

    #[test]
    fn finds_most_concurrent_connections() {
        let stood = |from: u64, until: u64| {
            let answers = vec![(ms(from), Answer::Up)];
            Client { answers, ended: Some((ms(until), End::InOrder)), ..client(&[], None) }
        };
        let clients = [stood(0, 10), stood(5, 20), stood(10, 12), stood(30, 31), client(&[], Some(End::Cut))];
        assert_eq!(max_concurrent(clients.iter()), 2);
        assert_eq!(max_concurrent([stood(0, 10), stood(9, 20), stood(9, 11)].iter()), 3);
        assert_eq!(max_concurrent([].iter()), 0);
    }

    #[test]
    fn finds_disagreeing_versions() {
        let v = |number: u64, hash: &str| (number, hash.to_owned());
        let good = [vec![v(1, "a"), v(2, "b")], vec![v(2, "b"), v(2, "b")]];
        assert_eq!(disagreements(&good), Vec::<String>::new());
        assert_eq!(same_end(&good), Ok(v(2, "b")));
        assert_eq!(disagreements(&[vec![v(2, "b")], vec![v(2, "c")]]).len(), 1);
        assert_eq!(disagreements(&[vec![v(2, "b"), v(1, "a")]]).len(), 1);
        assert!(same_end(&[vec![v(2, "b")], vec![v(1, "a")]]).is_err());
        assert!(same_end(&[vec![v(2, "b")], vec![]]).is_err());
        assert!(same_end(&[vec![], vec![]]).is_err());
    }
}
