//! Claims of faults on render nodes and proxies: which of them a fault affects, and for how long. Two faults on the
//! same render node or proxy at the same time would contradict each other. The validation of a file and the draw of a
//! plan use the same bounds, so a plan can be drawn from every valid scenario.

use super::Scenario;
use super::error::{Trouble, near_miss, wrong};
use super::fault::{Fault, Kind, NetworkKind, ProxyKind, Then};
use super::format::Body;
use rand::Rng;
use rand::seq::SliceRandom;

/// Seconds from the end of a hung process to the start of the next: a supervisor kills and restarts it.
pub(super) const RESTART_S: f64 = 0.5;
/// Seconds between the end of a render node's drain time and the end of its process.
pub(super) const LEAVE_S: f64 = 0.3;
/// Seconds from the start of a proxy until it is ready, with a margin.
const PROXY_STARTS_S: f64 = 1.0;

/// The kind of process that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    Nodes,
    Proxies,
}

/// Which render nodes or proxies a fault affects: a number of randomly drawn ones, or the listed ones.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Wanted {
    Any(usize),
    These(Vec<u16>),
}

impl Wanted {
    pub fn count(&self) -> usize {
        match self {
            Wanted::Any(n) => *n,
            Wanted::These(these) => these.len(),
        }
    }
}

/// The claim of a fault on render nodes or proxies. The times are in seconds of the measured part, and they cover the
/// longest durations that may be drawn.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Hold {
    pub fault: usize,
    pub pool: Pool,
    pub wanted: Wanted,
    pub from: f64,
    pub until: f64,
    /// Whether other faults may affect the same render nodes or proxies at the same time.
    pub shared: bool,
}

impl Hold {
    fn meets(&self, other: &Hold) -> bool {
        let both = !self.shared && !other.shared && self.pool == other.pool;
        both && self.from <= other.until && other.from <= self.until
    }
}

/// Returns all claims, in the order of the faults. A fault has up to two: one on proxies and one on render nodes.
pub(super) fn holds(scenario: &Scenario) -> Result<Vec<Hold>, Trouble> {
    let mut all = Vec::new();
    for (i, fault) in scenario.faults.iter().enumerate() {
        claims(&scenario.body, i, fault, &mut all)?;
    }
    Ok(all)
}

fn claims(body: &Body, i: usize, fault: &Fault, all: &mut Vec<Hold>) -> Result<(), Trouble> {
    let key = |name: &str| format!("fault[{i}].{name}");
    let at = fault.at_s;
    let up = body.discovery.up_s.at(body.scale).most;
    let nodes = |wanted, until| Hold { fault: i, pool: Pool::Nodes, wanted, from: at, until, shared: false };
    match &fault.kind {
        Kind::Down(_, down) => {
            let wanted = who(body, i, down.share, down.nodes, &down.names, &down.zone)?;
            let lasts = match down.then {
                Then::Stay => f64::INFINITY,
                Then::Recover | Then::Start => {
                    down.spread_s + down.for_s.at(body.scale).most + RESTART_S + up
                }
            };
            all.push(nodes(wanted, at + lasts));
        }
        Kind::Slow(slow) => {
            let wanted = who(body, i, slow.share, slow.nodes, &slow.names, &slow.zone)?;
            all.push(nodes(wanted, at + slow.spread_s + slow.for_s.at(body.scale).most));
        }
        Kind::Flap(flap) => {
            let wanted = who(body, i, flap.share, flap.nodes, &flap.names, &flap.zone)?;
            let lasts = f64::from(flap.times) * (flap.down_s.most + flap.up_s.most) + up;
            all.push(nodes(wanted, at + lasts));
        }
        Kind::Shrink(shrink) => {
            let leave = f64::from(body.fleet.nodes) * (1.0 - shrink.to);
            let leave = (leave.round() as usize).clamp(1, usize::from(body.fleet.nodes.max(1)));
            all.push(nodes(Wanted::Any(leave), f64::INFINITY));
        }
        Kind::Rolling(rolling) => {
            let count = body.fleet.nodes;
            let each = rolling.lead_s + rolling.drain_s.most + LEAVE_S + rolling.down_s.most + up;
            let wanted = Wanted::These((0..count).collect());
            all.push(nodes(wanted, at + f64::from(count.saturating_sub(1)) * rolling.every_s + each));
        }
        Kind::Proxy(proxy) => {
            let wanted = proxies(body, i, proxy.proxies, &proxy.names, "names")?;
            let stops = if proxy.change == ProxyKind::Kill { 0.0 } else { term_to_kill_s(body) };
            let back = match (proxy.change, proxy.for_s) {
                (ProxyKind::Reload, _) => 0.0,
                (ProxyKind::Restart, None) => stops + PROXY_STARTS_S,
                (_, Some(away)) => stops + away + PROXY_STARTS_S,
                (_, None) => f64::INFINITY,
            };
            all.push(Hold {
                fault: i,
                pool: Pool::Proxies,
                wanted,
                from: at,
                until: at + back,
                shared: false,
            });
        }
        Kind::Network(network) if network.change != NetworkKind::Loss => {
            let until = at + network.for_s.unwrap_or(f64::INFINITY);
            let claim = |pool, wanted| Hold { fault: i, pool, wanted, from: at, until, shared: true };
            let wanted = proxies(body, i, network.proxies, &network.proxy_names, "proxy_names")?;
            all.push(claim(Pool::Proxies, wanted));
            if network.change == NetworkKind::CutOff {
                let wanted = match (&network.nodes, &network.names) {
                    (None, None) => return wrong(key("nodes"), "is missing: set it or `names`"),
                    (nodes, names) => who(body, i, None, *nodes, names, &None)?,
                };
                all.push(claim(Pool::Nodes, wanted));
            }
        }
        Kind::Grow(_)
        | Kind::Drop(_)
        | Kind::Surge(_)
        | Kind::Discovery(_)
        | Kind::Network(_)
        | Kind::Rude(_) => {}
    }
    Ok(())
}

/// Seconds from SIGTERM to SIGKILL of a proxy. Unless the file sets them: the longest deadline, but at least 3 s,
/// plus 0.7 s.
pub(super) fn term_to_kill_s(body: &Body) -> f64 {
    let longest = body.class.iter().map(|class| class.deadline_ms).max().unwrap_or(0).max(3000);
    f64::from(body.rules.term_to_kill_ms.unwrap_or(longest + 700)) / 1e3
}

fn who(
    body: &Body,
    i: usize,
    share: Option<f64>,
    nodes: Option<u16>,
    names: &Option<Vec<String>>,
    zone: &Option<String>,
) -> Result<Wanted, Trouble> {
    let key = |name: &str| format!("fault[{i}].{name}");
    let fleet = usize::from(body.fleet.nodes);
    match (share, nodes, names, zone) {
        (Some(share), None, None, None) => {
            if !(share > 0.0 && share <= 1.0) {
                return wrong(
                    key("share"),
                    format!("must be a share of the fleet, over 0 and up to 1: {share}"),
                );
            }
            Ok(Wanted::Any(((fleet as f64 * share).round() as usize).max(1)))
        }
        (None, Some(0), None, None) => wrong(key("nodes"), "must be at least 1"),
        (None, Some(nodes), None, None) => Ok(Wanted::Any(usize::from(nodes))),
        (None, None, Some(names), None) => these(names, "render", body.fleet.nodes, &key("names")),
        (None, None, None, Some(zone)) => {
            let zones = body.zones();
            let Some(place) = zones.iter().position(|name| name == zone) else {
                let near = near_miss(zone, zones.iter().map(String::as_str));
                return wrong(key("zone"), format!("there is no zone '{zone}'{near}"));
            };
            let inside = (0..body.fleet.nodes).filter(|node| usize::from(*node) % zones.len() == place);
            Ok(Wanted::These(inside.collect()))
        }
        _ => wrong(format!("fault[{i}]"), "needs exactly one of `share`, `nodes`, `names` and `zone`"),
    }
}

fn proxies(
    body: &Body,
    i: usize,
    count: Option<u16>,
    names: &Option<Vec<String>>,
    names_key: &str,
) -> Result<Wanted, Trouble> {
    match (count, names) {
        (Some(_), Some(_)) => wrong(format!("fault[{i}]"), format!("has both `proxies` and `{names_key}`")),
        (Some(0), None) => wrong(format!("fault[{i}].proxies"), "must be at least 1"),
        (count, None) => Ok(Wanted::Any(usize::from(count.unwrap_or(1)))),
        (None, Some(names)) => these(names, "proxy", body.proxies.count, &format!("fault[{i}].{names_key}")),
    }
}

/// Parses names such as `render-3` or `proxy-0` and returns their numbers.
fn these(names: &[String], what: &str, count: u16, key: &str) -> Result<Wanted, Trouble> {
    let mut places = Vec::new();
    for name in names {
        let number = name.strip_prefix(what).and_then(|rest| rest.strip_prefix('-')?.parse::<u16>().ok());
        match number.filter(|number| *number < count && *name == format!("{what}-{number}")) {
            Some(place) if places.contains(&place) => return wrong(key, format!("'{name}' is named twice")),
            Some(place) => places.push(place),
            None => {
                let last = count.saturating_sub(1);
                return wrong(key, format!("there is no '{name}': the names are {what}-0 to {what}-{last}"));
            }
        }
    }
    if places.is_empty() { wrong(key, "must not be empty") } else { Ok(Wanted::These(places)) }
}

/// Checks that all claims can be met at the same time.
pub(super) fn check(scenario: &Scenario) -> Result<(), Trouble> {
    let all = holds(scenario)?;
    let words = |hold: &Hold| {
        let until =
            if hold.until.is_finite() { format!("until {:.1} s", hold.until) } else { "to the end".into() };
        format!("fault[{}] ({}, {until})", hold.fault, scenario.faults[hold.fault].kind_name())
    };
    for (i, hold) in all.iter().enumerate() {
        let size = scenario.body.size(hold.pool);
        let what = if hold.pool == Pool::Nodes { "render nodes" } else { "proxies" };
        let key = format!("fault[{}]", hold.fault);
        if hold.wanted.count() > size {
            return wrong(key, format!("affects {} {what}, but there are only {size}", hold.wanted.count()));
        }
        for other in all[..i].iter().filter(|other| hold.meets(other)) {
            let (Wanted::These(mine), Wanted::These(theirs)) = (&hold.wanted, &other.wanted) else {
                continue;
            };
            if let Some(both) = mine.iter().find(|place| theirs.contains(place)) {
                let name = scenario.body.name_of(hold.pool, *both);
                return wrong(key, format!("'{name}' is already affected by {}", words(other)));
            }
        }
        // Random claims are assigned in the order of time, after all claims on listed names. So the claims on names
        // and the random claims that start earlier reduce what is available, if they overlap in time.
        let Wanted::Any(wanted) = hold.wanted else { continue };
        let in_way: Vec<&Hold> = (all.iter().enumerate())
            .filter(|(j, other)| *j != i && hold.meets(other) && comes_first(other, *j, hold, i))
            .map(|(_, other)| other)
            .collect();
        let taken: usize = in_way.iter().map(|other| other.wanted.count()).sum();
        if wanted + taken > size {
            let by: Vec<String> = in_way.iter().map(|other| words(other)).collect();
            let free = size.saturating_sub(taken);
            return wrong(
                key,
                format!(
                    "affects {wanted} {what}, but only {free} of {size} are not affected by {}",
                    by.join(", ")
                ),
            );
        }
    }
    Ok(())
}

fn comes_first(other: &Hold, j: usize, hold: &Hold, i: usize) -> bool {
    matches!(other.wanted, Wanted::These(_)) || (other.from, j) < (hold.from, i)
}

/// Assigns render nodes or proxies to each claim and returns one list for each. Claims on listed names come first,
/// then the random ones in the order of time, each with its own random stream. The scenario must have been validated.
pub(super) fn assign<R: Rng>(body: &Body, all: &[Hold], chance: impl Fn(&Hold) -> R) -> Vec<Vec<u16>> {
    let mut order: Vec<usize> = (0..all.len()).collect();
    order.sort_by(|a, b| {
        let key = |i: &usize| (matches!(all[*i].wanted, Wanted::Any(_)), all[*i].from);
        key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut given: Vec<Vec<u16>> = vec![Vec::new(); all.len()];
    let mut done: Vec<usize> = Vec::new();
    for i in order {
        given[i] = match &all[i].wanted {
            Wanted::These(these) => these.clone(),
            Wanted::Any(count) => {
                let mut pool: Vec<u16> = (0..body.size(all[i].pool) as u16).collect();
                pool.shuffle(&mut chance(&all[i]));
                let taken =
                    |place: &u16| done.iter().any(|j| all[i].meets(&all[*j]) && given[*j].contains(place));
                pool.into_iter().filter(|place| !taken(place)).take(*count).collect()
            }
        };
        done.push(i);
    }
    given
}
