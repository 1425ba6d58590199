//! Claims of faults on render nodes and proxies: which of them a fault affects, and for how long. Two faults on the
//! same render node or proxy at the same time would contradict each other. The validation of a file and the draw of a
//! plan use the same bounds, so a plan can be drawn from every valid scenario.

use super::Scenario;
use super::error::{Problem, invalid, suggest_name};
use super::fault::{AfterOutage, Fault, FaultKind, NetworkKind, ProxyKind};
use super::format::Body;
use rand::Rng;
use rand::seq::SliceRandom;

/// Seconds from the end of a hung process to the start of the next: a supervisor kills and restarts it.
pub(super) const RESTART_DELAY_S: f64 = 0.5;
/// Seconds between the end of a render node's drain time and the end of its process.
pub(super) const EXIT_DELAY_S: f64 = 0.3;
/// Seconds from the start of a proxy until it is ready, with a margin.
const PROXY_START_S: f64 = 1.0;

/// The kind of process that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetKind {
    Nodes,
    Proxies,
}

/// Which render nodes or proxies a fault affects: a number of randomly drawn ones, or the listed ones.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Targets {
    Random(usize),
    Listed(Vec<u16>),
}

impl Targets {
    pub fn count(&self) -> usize {
        match self {
            Targets::Random(n) => *n,
            Targets::Listed(indices) => indices.len(),
        }
    }
}

/// The claim of a fault on render nodes or proxies. The times are in seconds of the measured part, and they cover the
/// longest durations that may be drawn.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Claim {
    pub fault: usize,
    pub kind: TargetKind,
    pub targets: Targets,
    pub from: f64,
    pub until: f64,
    /// Whether other faults may affect the same render nodes or proxies at the same time.
    pub shared: bool,
}

impl Claim {
    fn conflicts_with(&self, other: &Claim) -> bool {
        let exclusive = !self.shared && !other.shared && self.kind == other.kind;
        exclusive && self.from <= other.until && other.from <= self.until
    }
}

/// Returns all claims, in the order of the faults. A fault has up to two: one on proxies and one on render nodes.
pub(super) fn all_claims(scenario: &Scenario) -> Result<Vec<Claim>, Problem> {
    let mut all = Vec::new();
    for (i, fault) in scenario.faults.iter().enumerate() {
        add_claims(&scenario.body, i, fault, &mut all)?;
    }
    Ok(all)
}

fn add_claims(body: &Body, i: usize, fault: &Fault, all: &mut Vec<Claim>) -> Result<(), Problem> {
    let key = |name: &str| format!("fault[{i}].{name}");
    let at = fault.at_s;
    let max_up_delay = body.discovery.up_s.scaled(body.scale).max;
    let nodes =
        |targets, until| Claim { fault: i, kind: TargetKind::Nodes, targets, from: at, until, shared: false };
    match &fault.kind {
        FaultKind::Outage(_, outage) => {
            let targets = node_targets(body, i, outage.share, outage.nodes, &outage.names, &outage.zone)?;
            let duration = match outage.then {
                AfterOutage::Stay => f64::INFINITY,
                AfterOutage::Recover | AfterOutage::Start => {
                    outage.spread_s + outage.for_s.scaled(body.scale).max + RESTART_DELAY_S + max_up_delay
                }
            };
            all.push(nodes(targets, at + duration));
        }
        FaultKind::Slow(slow) => {
            let targets = node_targets(body, i, slow.share, slow.nodes, &slow.names, &slow.zone)?;
            all.push(nodes(targets, at + slow.spread_s + slow.for_s.scaled(body.scale).max));
        }
        FaultKind::Flap(flap) => {
            let targets = node_targets(body, i, flap.share, flap.nodes, &flap.names, &flap.zone)?;
            let duration = f64::from(flap.times) * (flap.down_s.max + flap.up_s.max) + max_up_delay;
            all.push(nodes(targets, at + duration));
        }
        FaultKind::Shrink(shrink) => {
            let leaving = f64::from(body.fleet.nodes) * (1.0 - shrink.to);
            let leaving = (leaving.round() as usize).clamp(1, usize::from(body.fleet.nodes.max(1)));
            all.push(nodes(Targets::Random(leaving), f64::INFINITY));
        }
        FaultKind::RollingRestart(rolling) => {
            let count = body.fleet.nodes;
            let restart_s =
                rolling.lead_s + rolling.drain_s.max + EXIT_DELAY_S + rolling.down_s.max + max_up_delay;
            let targets = Targets::Listed((0..count).collect());
            all.push(nodes(targets, at + f64::from(count.saturating_sub(1)) * rolling.every_s + restart_s));
        }
        FaultKind::Proxy(proxy) => {
            let targets = proxy_targets(body, i, proxy.proxies, &proxy.names, "names")?;
            let stop_s = if proxy.change == ProxyKind::Kill { 0.0 } else { term_to_kill_s(body) };
            let away_s = match (proxy.change, proxy.for_s) {
                (ProxyKind::Reload, _) => 0.0,
                (ProxyKind::Restart, None) => stop_s + PROXY_START_S,
                (_, Some(away)) => stop_s + away + PROXY_START_S,
                (_, None) => f64::INFINITY,
            };
            all.push(Claim {
                fault: i,
                kind: TargetKind::Proxies,
                targets,
                from: at,
                until: at + away_s,
                shared: false,
            });
        }
        FaultKind::Network(network) if network.change != NetworkKind::Loss => {
            let until = at + network.for_s.unwrap_or(f64::INFINITY);
            let claim = |kind, targets| Claim { fault: i, kind, targets, from: at, until, shared: true };
            let targets = proxy_targets(body, i, network.proxies, &network.proxy_names, "proxy_names")?;
            all.push(claim(TargetKind::Proxies, targets));
            if network.change == NetworkKind::CutOff {
                let targets = match (&network.nodes, &network.names) {
                    (None, None) => return invalid(key("nodes"), "is missing: set it or `names`"),
                    (nodes, names) => node_targets(body, i, None, *nodes, names, &None)?,
                };
                all.push(claim(TargetKind::Nodes, targets));
            }
        }
        FaultKind::Grow(_)
        | FaultKind::Drop(_)
        | FaultKind::Surge(_)
        | FaultKind::Discovery(_)
        | FaultKind::Network(_)
        | FaultKind::MisbehaviorWave(_) => {}
    }
    Ok(())
}

/// Seconds from SIGTERM to SIGKILL of a proxy. Unless the file sets them: the longest deadline, but at least 3 s,
/// plus 0.7 s.
pub(super) fn term_to_kill_s(body: &Body) -> f64 {
    let longest = body.class.iter().map(|class| class.deadline_ms).max().unwrap_or(0).max(3000);
    f64::from(body.rules.term_to_kill_ms.unwrap_or(longest + 700)) / 1e3
}

fn node_targets(
    body: &Body,
    i: usize,
    share: Option<f64>,
    nodes: Option<u16>,
    names: &Option<Vec<String>>,
    zone: &Option<String>,
) -> Result<Targets, Problem> {
    let key = |name: &str| format!("fault[{i}].{name}");
    let fleet = usize::from(body.fleet.nodes);
    match (share, nodes, names, zone) {
        (Some(share), None, None, None) => {
            if !(share > 0.0 && share <= 1.0) {
                return invalid(
                    key("share"),
                    format!("must be a share of the fleet, over 0 and up to 1: {share}"),
                );
            }
            Ok(Targets::Random(((fleet as f64 * share).round() as usize).max(1)))
        }
        (None, Some(0), None, None) => invalid(key("nodes"), "must be at least 1"),
        (None, Some(nodes), None, None) => Ok(Targets::Random(usize::from(nodes))),
        (None, None, Some(names), None) => parse_names(names, "render", body.fleet.nodes, &key("names")),
        (None, None, None, Some(zone)) => {
            let zones = body.zones();
            let Some(index) = zones.iter().position(|name| name == zone) else {
                let suggestion = suggest_name(zone, zones.iter().map(String::as_str));
                return invalid(key("zone"), format!("there is no zone '{zone}'{suggestion}"));
            };
            let in_zone = (0..body.fleet.nodes).filter(|node| usize::from(*node) % zones.len() == index);
            Ok(Targets::Listed(in_zone.collect()))
        }
        _ => invalid(format!("fault[{i}]"), "needs exactly one of `share`, `nodes`, `names` and `zone`"),
    }
}

fn proxy_targets(
    body: &Body,
    i: usize,
    count: Option<u16>,
    names: &Option<Vec<String>>,
    names_key: &str,
) -> Result<Targets, Problem> {
    match (count, names) {
        (Some(_), Some(_)) => invalid(format!("fault[{i}]"), format!("has both `proxies` and `{names_key}`")),
        (Some(0), None) => invalid(format!("fault[{i}].proxies"), "must be at least 1"),
        (count, None) => Ok(Targets::Random(usize::from(count.unwrap_or(1)))),
        (None, Some(names)) => {
            parse_names(names, "proxy", body.proxies.count, &format!("fault[{i}].{names_key}"))
        }
    }
}

/// Parses names such as `render-3` or `proxy-0` and returns their numbers.
fn parse_names(names: &[String], what: &str, count: u16, key: &str) -> Result<Targets, Problem> {
    let mut indices = Vec::new();
    for name in names {
        let number = name.strip_prefix(what).and_then(|rest| rest.strip_prefix('-')?.parse::<u16>().ok());
        match number.filter(|number| *number < count && *name == format!("{what}-{number}")) {
            Some(index) if indices.contains(&index) => {
                return invalid(key, format!("'{name}' is named twice"));
            }
            Some(index) => indices.push(index),
            None => {
                let last = count.saturating_sub(1);
                return invalid(
                    key,
                    format!("there is no '{name}': the names are {what}-0 to {what}-{last}"),
                );
            }
        }
    }
    if indices.is_empty() { invalid(key, "must not be empty") } else { Ok(Targets::Listed(indices)) }
}

/// Checks that all claims can be met at the same time.
pub(super) fn check(scenario: &Scenario) -> Result<(), Problem> {
    let claims = all_claims(scenario)?;
    let describe = |claim: &Claim| {
        let until =
            if claim.until.is_finite() { format!("until {:.1} s", claim.until) } else { "to the end".into() };
        format!("fault[{}] ({}, {until})", claim.fault, scenario.faults[claim.fault].kind_name())
    };
    for (i, claim) in claims.iter().enumerate() {
        let total = scenario.body.target_count(claim.kind);
        let what = if claim.kind == TargetKind::Nodes { "render nodes" } else { "proxies" };
        let key = format!("fault[{}]", claim.fault);
        if claim.targets.count() > total {
            return invalid(
                key,
                format!("affects {} {what}, but there are only {total}", claim.targets.count()),
            );
        }
        for other in claims[..i].iter().filter(|other| claim.conflicts_with(other)) {
            let (Targets::Listed(mine), Targets::Listed(theirs)) = (&claim.targets, &other.targets) else {
                continue;
            };
            if let Some(common) = mine.iter().find(|index| theirs.contains(index)) {
                let name = scenario.body.target_name(claim.kind, *common);
                return invalid(key, format!("'{name}' is already affected by {}", describe(other)));
            }
        }
        // Random claims are assigned in the order of time, after all claims on listed names. So the claims on names
        // and the random claims that start earlier reduce what is available, if they overlap in time.
        let Targets::Random(count) = claim.targets else { continue };
        let conflicting: Vec<&Claim> = (claims.iter().enumerate())
            .filter(|(j, other)| {
                *j != i && claim.conflicts_with(other) && is_assigned_before(other, *j, claim, i)
            })
            .map(|(_, other)| other)
            .collect();
        let taken: usize = conflicting.iter().map(|other| other.targets.count()).sum();
        if count + taken > total {
            let causes: Vec<String> = conflicting.iter().map(|other| describe(other)).collect();
            let free = total.saturating_sub(taken);
            return invalid(
                key,
                format!(
                    "affects {count} {what}, but only {free} of {total} are not affected by {}",
                    causes.join(", ")
                ),
            );
        }
    }
    Ok(())
}

fn is_assigned_before(other: &Claim, j: usize, claim: &Claim, i: usize) -> bool {
    matches!(other.targets, Targets::Listed(_)) || (other.from, j) < (claim.from, i)
}

/// Assigns render nodes or proxies to each claim and returns one list for each. Claims on listed names come first,
/// then the random ones in the order of time, each with its own random stream. The scenario must have been validated.
pub(super) fn assign<R: Rng>(body: &Body, claims: &[Claim], rng: impl Fn(&Claim) -> R) -> Vec<Vec<u16>> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| {
        let key = |i: &usize| (matches!(claims[*i].targets, Targets::Random(_)), claims[*i].from);
        key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut assigned: Vec<Vec<u16>> = vec![Vec::new(); claims.len()];
    let mut done: Vec<usize> = Vec::new();
    for i in order {
        assigned[i] = match &claims[i].targets {
            Targets::Listed(indices) => indices.clone(),
            Targets::Random(count) => {
                let mut candidates: Vec<u16> = (0..body.target_count(claims[i].kind) as u16).collect();
                candidates.shuffle(&mut rng(&claims[i]));
                let taken = |index: &u16| {
                    done.iter().any(|j| claims[i].conflicts_with(&claims[*j]) && assigned[*j].contains(index))
                };
                candidates.into_iter().filter(|index| !taken(index)).take(*count).collect()
            }
        };
        done.push(i);
    }
    assigned
}
