//! Validates a scenario as a whole: values out of range, shares that add up to more than 1, and faults that conflict
//! with each other.

use super::error::{Trouble, wrong};
use super::fault::{Fault, Kind, NetworkKind, ProxyKind, Then, Told};
use super::format::{Body, Shape};
use super::range::Range;
use super::{Scenario, holds};
use crate::addresses::Addresses;
use std::collections::BTreeSet;

/// Maximum length of the measured part in seconds: one day.
const LONGEST_S: f64 = 86_400.0;
/// Tolerance for the sum of shares, since decimal fractions are rounded.
const ROUNDING: f64 = 1e-9;

/// Runs all checks and returns the first problem.
pub(super) fn check(scenario: &Scenario) -> Result<(), Trouble> {
    sections(&scenario.body)?;
    for (i, fault) in scenario.faults.iter().enumerate() {
        check_fault(&scenario.body, i, fault)?;
    }
    spares(scenario)?;
    lasting(scenario)?;
    holds::check(scenario)?;
    let most = most_sessions(scenario);
    let bound = scenario.body.load.max_sessions;
    if most > f64::from(bound) {
        return wrong(
            "load.max_sessions",
            format!(
                "up to {most:.0} sessions may be drawn, but the limit is {bound}: lower the load or `seconds`, or raise the limit"
            ),
        );
    }
    Ok(())
}

fn above(key: &str, value: f64) -> Result<(), Trouble> {
    if value.is_finite() && value > 0.0 { Ok(()) } else { wrong(key, format!("must be over 0: {value}")) }
}

fn amount(key: &str, value: f64) -> Result<(), Trouble> {
    if value.is_finite() && value >= 0.0 { Ok(()) } else { wrong(key, format!("must be 0 or more: {value}")) }
}

fn part(key: &str, value: f64) -> Result<(), Trouble> {
    if (0.0..=1.0).contains(&value) {
        Ok(())
    } else {
        wrong(key, format!("must be between 0 and 1: {value}"))
    }
}

fn parts(key: &str, range: Range) -> Result<(), Trouble> {
    part(key, range.least).and(part(key, range.most))
}

fn names<'a>(key: &str, names: impl Iterator<Item = &'a String>) -> Result<(), Trouble> {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() || !name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)) {
            return wrong(
                format!("{key}[{i}]"),
                format!("'{name}' is not a valid name: only letters, digits, '-', '_' and '.' are allowed"),
            );
        }
        if !seen.insert(name) {
            return wrong(format!("{key}[{i}]"), format!("the name '{name}' is used twice"));
        }
    }
    if seen.is_empty() { wrong(key, "must not be empty: omit it to use the defaults") } else { Ok(()) }
}

fn shares(key: &str, shares: &[Range]) -> Result<(), Trouble> {
    for (i, share) in shares.iter().enumerate() {
        parts(&format!("{key}[{i}].share"), *share)?;
        above(&format!("{key}[{i}].share"), share.least)?;
    }
    let sum: f64 = shares.iter().map(|share| share.least).sum();
    if sum > 1.0 + ROUNDING {
        wrong(key, format!("the shares add up to {sum:.3}, more than 1"))
    } else {
        Ok(())
    }
}

fn sections(body: &Body) -> Result<(), Trouble> {
    names("name", std::iter::once(&body.name))
        .map_err(|trouble| Trouble { key: "name".into(), ..trouble })?;
    above("seconds", body.seconds)?;
    if body.seconds > LONGEST_S {
        return wrong("seconds", format!("must not be longer than a day: {}", body.seconds));
    }
    above("scale", body.scale)?;
    fleet(body)?;
    load(body)?;
    for (i, class) in body.class.iter().enumerate() {
        let key = |name: &str| format!("class[{i}].{name}");
        above(&key("load"), class.load.least)?;
        above(&key("life"), class.life.least)?;
        above(&key("change_s"), class.change_s.at(body.scale).least)?;
        if class.idle.most >= 1.0 {
            return wrong(key("idle"), format!("must be under 1: {}", class.idle.most));
        }
        for (name, sigma) in [("load_sigma", class.load_sigma), ("swing_sigma", class.swing_sigma)] {
            sigma_bound(&key(name), sigma)?;
        }
        above(&key("deadline_ms"), f64::from(class.deadline_ms))?;
        above(&key("message_aim_ms"), f64::from(class.message_aim_ms))?;
        if class.setup_aim_ms > class.deadline_ms {
            return wrong(
                key("setup_aim_ms"),
                format!("must not exceed the deadline of {} ms", class.deadline_ms),
            );
        }
        amount(&key("worth"), class.worth)?;
    }
    names("class", body.class.iter().map(|class| &class.name))?;
    shares("class", &body.class.iter().map(|class| class.share).collect::<Vec<_>>())?;
    names("tenant", body.tenant.iter().map(|tenant| &tenant.name))?;
    shares("tenant", &body.tenant.iter().map(|t| Range::new(t.share, t.share)).collect::<Vec<_>>())?;
    for (i, tenant) in body.tenant.iter().enumerate() {
        above(&format!("tenant[{i}].usage"), tenant.usage.least)?;
    }
    if body.class.len() > 255 || body.tenant.len() > 255 {
        return wrong("class", "at most 255 classes and 255 tenants");
    }
    above("groups.mean_size", body.groups.mean_size.least)?;
    above("clients.line_every_s", body.clients.line_every_s)?;
    parts("clients.honour", body.clients.honour)?;
    parts("clients.impatient", body.clients.impatient)?;
    if let Some(rude) = &body.rude {
        rudeness("rude", rude.per_s, rude.kinds.len())?;
        let until = rude.until_s.unwrap_or(body.seconds);
        if !(rude.from_s >= 0.0 && rude.from_s < until) {
            return wrong(
                "rude.from_s",
                format!("{} s is not before the end of the arrivals at {until} s", rude.from_s),
            );
        }
    }
    part("network.loss", body.network.loss)?;
    above("front.ping_ms", body.front.ping_ms.least)?;
    amount("rules.fall_multiple", body.rules.fall_multiple)?;
    if body.rules.attempts == 0 {
        return wrong("rules.attempts", "must be at least 1");
    }
    part("demand.service", body.demand.service)?;
    part("demand.worst_window", body.demand.worst_window)
}

/// Rejects a sigma over 2. With a higher one, the mean depends on about one session in a million, so no run would
/// show it.
fn sigma_bound(key: &str, sigma: Range) -> Result<(), Trouble> {
    if sigma.most > 2.0 { wrong(key, format!("must not be over 2: {}", sigma.most)) } else { Ok(()) }
}

fn fleet(body: &Body) -> Result<(), Trouble> {
    let fleet = &body.fleet;
    let all = u32::from(fleet.nodes) + u32::from(fleet.spare);
    if fleet.nodes == 0 || all > u32::from(Addresses::MOST_NODES) {
        let most = Addresses::MOST_NODES;
        return wrong("fleet.nodes", format!("must be 1 to {most}, including `fleet.spare`: {all}"));
    }
    let count = body.proxies.count;
    let liars = body.proxies.liars.len();
    if liars > usize::from(Addresses::MOST_PROXIES.saturating_sub(count)) {
        return wrong(
            "proxies.liars",
            format!("must not exceed {} together with the proxies: {liars}", Addresses::MOST_PROXIES),
        );
    }
    if count == 0 || count > Addresses::MOST_PROXIES {
        return wrong("proxies.count", format!("must be 1 to {}: {count}", Addresses::MOST_PROXIES));
    }
    if body.proxies.sockets < 64 {
        return wrong("proxies.sockets", format!("must be at least 64: {}", body.proxies.sockets));
    }
    above("proxies.memory_mb", f64::from(body.proxies.memory_mb))?;
    names("fleet.zones", body.zones().iter())?;
    names("fleet.kind", fleet.kind.iter().map(|kind| &kind.name))?;
    shares("fleet.kind", &fleet.kind.iter().map(|kind| kind.share).collect::<Vec<_>>())?;
    for (i, kind) in fleet.kind.iter().enumerate() {
        above(&format!("fleet.kind[{i}].cores"), kind.cores.least)?;
        above(&format!("fleet.kind[{i}].speed"), kind.speed.least)?;
        let spread = format!("fleet.kind[{i}].speed_spread");
        if kind.speed_spread.most > 0.3 {
            // With a larger spread, three standard deviations would reach a speed near 0.
            return wrong(spread, format!("must not be over 0.3: {}", kind.speed_spread.most));
        }
    }
    above("fleet.cell_size", fleet.cell_size.least)?;
    above("fleet.connections_per_core", fleet.connections_per_core.least)?;
    above("fleet.connections_cap", fleet.connections_cap.least)?;
    above("fleet.setups_per_core", fleet.setups_per_core.least)?;
    above("fleet.cold_from", fleet.cold_from.least)?;
    parts("fleet.cold_from", fleet.cold_from)
}

fn load(body: &Body) -> Result<(), Trouble> {
    let load = &body.load;
    let given = [load.share, load.arrivals_per_s, load.standing].iter().flatten().count();
    if given > 1 {
        return wrong("load", "at most one of `share`, `arrivals_per_s` and `standing` may be set");
    }
    if let Some(share) = load.share.filter(|share| share.most > 5.0) {
        return wrong("load.share", format!("must not be over 5 times the fleet's capacity: {}", share.most));
    }
    above("load.life_s", load.life_s.at(body.scale).least)?;
    sigma_bound("load.life_sigma", load.life_sigma)?;
    if load.zone_skew.most > 1.0 {
        return wrong("load.zone_skew", format!("must not be over 1: {}", load.zone_skew.most));
    }
    above("load.fill_s", load.fill_s)?;
    amount("load.settle_s", load.settle_s)?;
    above("load.period_s", load.period_s.least)?;
    parts("load.swing", load.swing)?;
    above("load.every_s", load.every_s.least)?;
    if load.burst_s.most > load.every_s.least {
        return wrong("load.burst_s", format!("is longer than the {} s between bursts", load.every_s.least));
    }
    match (load.shape == Shape::Trace, load.trace.is_empty()) {
        (true, true) => {
            wrong("load.trace", "is missing: pairs of a time and a factor, such as [[0, 1.0], [10, 2.0]]")
        }
        (false, false) => wrong("load.trace", "is only for the shape \"trace\""),
        _ => Ok(()),
    }
}

fn rudeness(key: &str, per_s: f64, kinds: usize) -> Result<(), Trouble> {
    above(&format!("{key}.per_s"), per_s)?;
    if per_s > 1000.0 {
        return wrong(format!("{key}.per_s"), format!("must not be over 1000: {per_s}"));
    }
    if kinds == 0 {
        wrong(format!("{key}.kinds"), "must not be empty: omit it to use all kinds")
    } else {
        Ok(())
    }
}

fn check_fault(body: &Body, i: usize, fault: &Fault) -> Result<(), Trouble> {
    let key = |name: &str| format!("fault[{i}].{name}");
    if fault.at_s >= body.seconds {
        return wrong(key("at_s"), format!("{} s is not before the end at {} s", fault.at_s, body.seconds));
    }
    let lasts = |for_s: Option<f64>| for_s.map_or(Ok(()), |for_s| above(&key("for_s"), for_s));
    match &fault.kind {
        Kind::Down(kind, down) => {
            amount(&key("spread_s"), down.spread_s)?;
            if *kind == super::fault::DownKind::Kill && down.then == Then::Recover {
                return wrong(key("then"), "a killed process cannot recover: use \"start\" or \"stay\"");
            }
            if down.then == Then::Stay && down.for_s.is_written() {
                return wrong(key("for_s"), "has no effect if `then` is \"stay\"");
            }
            above(&key("for_s"), down.for_s.at(body.scale).least)
        }
        Kind::Slow(slow) => {
            amount(&key("spread_s"), slow.spread_s)?;
            above(&key("for_s"), slow.for_s.at(body.scale).least)?;
            if slow.times.least < 1.0 {
                return wrong(key("times"), format!("must be 1 or more: {}", slow.times.least));
            }
            Ok(())
        }
        Kind::Shrink(shrink) => {
            if !(shrink.to > 0.0 && shrink.to < 1.0) {
                return wrong(
                    key("to"),
                    format!("must be a share of the fleet between 0 and 1: {}", shrink.to),
                );
            }
            part(&key("load_to"), shrink.load_to.unwrap_or(1.0))?;
            lead(shrink.told, shrink.lead_s, &key("lead_s"))?;
            above(&key("drain_s"), shrink.drain_s.least)
        }
        Kind::Rolling(rolling) => {
            above(&key("every_s"), rolling.every_s)?;
            lead(rolling.told, rolling.lead_s, &key("lead_s"))?;
            above(&key("drain_s"), rolling.drain_s.least)
        }
        Kind::Flap(flap) => {
            above(&key("times"), f64::from(flap.times))?;
            above(&key("down_s"), flap.down_s.least)?;
            above(&key("up_s"), flap.up_s.least)
        }
        Kind::Grow(grow) => {
            above(&key("nodes"), f64::from(grow.nodes))?;
            amount(&key("spread_s"), grow.spread_s)
        }
        Kind::Drop(drop) => {
            parts(&key("share"), drop.share)?;
            above(&key("share"), drop.share.most)
        }
        Kind::Surge(surge) => {
            amount(&key("load"), surge.load)?;
            above(&key("for_s"), surge.for_s)
        }
        Kind::Discovery(discovery) => {
            lasts(discovery.for_s)?;
            if discovery.for_s.is_some() && !discovery.change.lasts() {
                return wrong(key("for_s"), "has no effect: this fault happens once");
            }
            Ok(())
        }
        Kind::Proxy(proxy) => {
            lasts(proxy.for_s)?;
            if proxy.for_s.is_some() && proxy.change == ProxyKind::Reload {
                return wrong(key("for_s"), "has no effect: a reload happens once");
            }
            Ok(())
        }
        Kind::Network(network) => {
            lasts(network.for_s)?;
            if let Some(loss) = network.loss {
                part(&key("loss"), loss)?;
            }
            let about_proxies = network.proxies.is_some() || network.proxy_names.is_some();
            let about_nodes = network.nodes.is_some() || network.names.is_some();
            match network.change {
                NetworkKind::Loss if network.loss.is_none() => wrong(key("loss"), "is missing"),
                NetworkKind::Loss if about_proxies || about_nodes => {
                    wrong(key("change"), "\"loss\" affects all proxies: only `loss` and `for_s` may be set")
                }
                NetworkKind::Part | NetworkKind::CutOff if network.loss.is_some() => {
                    wrong(key("loss"), "is only for \"loss\"")
                }
                NetworkKind::Part if about_nodes => wrong(key("change"), "\"part\" affects only proxies"),
                _ => Ok(()),
            }
        }
        Kind::Rude(rude) => {
            above(&key("for_s"), rude.for_s)?;
            rudeness(&format!("fault[{i}]"), rude.per_s, rude.kinds.len())
        }
    }
}

fn lead(told: Told, lead_s: f64, key: &str) -> Result<(), Trouble> {
    if told == Told::Before { above(key, lead_s) } else { amount(key, lead_s) }
}

/// Checks that the `grow` faults start no more render nodes than `fleet.spare`.
fn spares(scenario: &Scenario) -> Result<(), Trouble> {
    let mut left = scenario.body.fleet.spare;
    for (i, fault) in scenario.faults.iter().enumerate() {
        let Kind::Grow(grow) = &fault.kind else { continue };
        if grow.nodes > left {
            return wrong(
                format!("fault[{i}].nodes"),
                format!(
                    "only {} spare render nodes are left, but the fault needs {}: raise `fleet.spare`",
                    left, grow.nodes
                ),
            );
        }
        left -= grow.nodes;
    }
    Ok(())
}

/// Checks that no two lasting faults of discovery, and no two network faults of the same kind, overlap in time. There
/// is only one discovery and one network, so the end of the first fault would also end the second.
fn lasting(scenario: &Scenario) -> Result<(), Trouble> {
    let of = |fault: &Fault| match &fault.kind {
        Kind::Discovery(it) if it.change.lasts() => Some(("discovery", it.for_s)),
        Kind::Network(it) => Some((
            match it.change {
                NetworkKind::Loss => "the loss of datagrams",
                NetworkKind::Part => "the paths between proxies",
                NetworkKind::CutOff => "the paths between proxies and render nodes",
            },
            it.for_s,
        )),
        _ => None,
    };
    for (i, fault) in scenario.faults.iter().enumerate() {
        let Some((what, for_s)) = of(fault) else { continue };
        for (j, other) in scenario.faults[..i].iter().enumerate() {
            let Some((also, other_for_s)) = of(other) else { continue };
            let ends = |at: f64, for_s: Option<f64>| at + for_s.unwrap_or(f64::INFINITY);
            if what == also
                && fault.at_s <= ends(other.at_s, other_for_s)
                && other.at_s <= ends(fault.at_s, for_s)
            {
                return wrong(
                    format!("fault[{i}]"),
                    format!("fault[{j}] already affects {what} at that time"),
                );
            }
        }
    }
    Ok(())
}

/// An upper bound of the number of sessions in any plan of the scenario. A plan exceeds it with a probability of
/// about 1 in 10^20.
fn most_sessions(scenario: &Scenario) -> f64 {
    let body = &scenario.body;
    let life = body.load.life_s.at(body.scale);
    let class_life = |pick: fn(&Range) -> f64, best: fn(f64, f64) -> f64| {
        body.class.iter().map(|class| pick(&class.life)).reduce(best).unwrap_or(1.0)
    };
    let shortest = life.least * class_life(|life| life.least, f64::min);
    let longest = life.most * class_life(|life| life.most, f64::max);
    let node =
        |kind: &super::format::Kind| kind.cores.most * kind.speed.most * (1.0 + 3.0 * kind.speed_spread.most);
    let best = body.fleet.kind.iter().map(node).fold(0.0, f64::max);
    let full = f64::from(body.fleet.nodes) * best * body.fleet.connections_per_core.most;
    let (standing, per_s) = match (body.load.arrivals_per_s, body.load.standing) {
        (Some(per_s), _) => (per_s.most * longest, per_s.most),
        (None, Some(standing)) => (standing.most, standing.most / shortest),
        (None, None) => {
            let standing = body.load.share().most * full;
            (standing, standing / shortest)
        }
    };
    let top = match body.load.shape {
        Shape::Steady => 1.0,
        Shape::Wave => 1.0 + body.load.swing.most,
        Shape::Bursts => body.load.burst.most.max(1.0),
        Shape::Trace => body.load.trace.top(),
    };
    let mut arrivals = per_s * top * body.seconds;
    for fault in &scenario.faults {
        if let Kind::Surge(surge) = &fault.kind {
            arrivals += per_s * top * (surge.load - 1.0).max(0.0) * surge.for_s.min(body.seconds);
        }
    }
    let standing = standing * top;
    (standing + arrivals + 10.0 * arrivals.sqrt() + 1.0).ceil()
}
