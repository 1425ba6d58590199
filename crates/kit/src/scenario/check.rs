//! Validates a scenario as a whole: values out of range, shares that add up to more than 1, and faults that conflict
//! with each other.

use super::error::{Problem, invalid};
use super::fault::{AfterOutage, DrainNotice, Fault, FaultKind, NetworkKind, ProxyKind};
use super::format::{Body, Shape};
use super::range::Range;
use super::{Scenario, claims};
use crate::addresses::Addresses;
use std::collections::BTreeSet;

/// Maximum length of the measured part in seconds: one day.
const MAX_SECONDS: f64 = 86_400.0;
/// Tolerance for the sum of shares, since decimal fractions are rounded.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Runs all checks and returns the first problem.
pub(super) fn check(scenario: &Scenario) -> Result<(), Problem> {
    check_sections(&scenario.body)?;
    for (i, fault) in scenario.faults.iter().enumerate() {
        check_fault(&scenario.body, i, fault)?;
    }
    check_spares(scenario)?;
    check_overlaps(scenario)?;
    claims::check(scenario)?;
    let sessions = max_sessions(scenario);
    let limit = scenario.body.load.max_sessions;
    if sessions > f64::from(limit) {
        return invalid(
            "load.max_sessions",
            format!(
                "up to {sessions:.0} sessions may be drawn, but the limit is {limit}: lower the load or `seconds`, or raise the limit"
            ),
        );
    }
    Ok(())
}

fn require_positive(key: &str, value: f64) -> Result<(), Problem> {
    if value.is_finite() && value > 0.0 { Ok(()) } else { invalid(key, format!("must be over 0: {value}")) }
}

fn require_non_negative(key: &str, value: f64) -> Result<(), Problem> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        invalid(key, format!("must be 0 or more: {value}"))
    }
}

fn require_share(key: &str, value: f64) -> Result<(), Problem> {
    if (0.0..=1.0).contains(&value) {
        Ok(())
    } else {
        invalid(key, format!("must be between 0 and 1: {value}"))
    }
}

fn require_share_range(key: &str, range: Range) -> Result<(), Problem> {
    require_share(key, range.min).and(require_share(key, range.max))
}

fn check_names<'a>(key: &str, names: impl Iterator<Item = &'a String>) -> Result<(), Problem> {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() || !name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)) {
            return invalid(
                format!("{key}[{i}]"),
                format!("'{name}' is not a valid name: only letters, digits, '-', '_' and '.' are allowed"),
            );
        }
        if !seen.insert(name) {
            return invalid(format!("{key}[{i}]"), format!("the name '{name}' is used twice"));
        }
    }
    if seen.is_empty() { invalid(key, "must not be empty: omit it to use the defaults") } else { Ok(()) }
}

fn check_shares(key: &str, shares: &[Range]) -> Result<(), Problem> {
    for (i, share) in shares.iter().enumerate() {
        require_share_range(&format!("{key}[{i}].share"), *share)?;
        require_positive(&format!("{key}[{i}].share"), share.min)?;
    }
    let sum: f64 = shares.iter().map(|share| share.min).sum();
    if sum > 1.0 + SHARE_TOLERANCE {
        invalid(key, format!("the shares add up to {sum:.3}, more than 1"))
    } else {
        Ok(())
    }
}

fn check_sections(body: &Body) -> Result<(), Problem> {
    check_names("name", std::iter::once(&body.name))
        .map_err(|problem| Problem { key: "name".into(), ..problem })?;
    require_positive("seconds", body.seconds)?;
    if body.seconds > MAX_SECONDS {
        return invalid("seconds", format!("must not be longer than a day: {}", body.seconds));
    }
    require_positive("scale", body.scale)?;
    check_fleet(body)?;
    check_load(body)?;
    for (i, class) in body.class.iter().enumerate() {
        let key = |name: &str| format!("class[{i}].{name}");
        require_positive(&key("load"), class.load.min)?;
        require_positive(&key("life"), class.life.min)?;
        require_positive(&key("change_s"), class.change_s.scaled(body.scale).min)?;
        if class.idle.max >= 1.0 {
            return invalid(key("idle"), format!("must be under 1: {}", class.idle.max));
        }
        for (name, sigma) in [("load_sigma", class.load_sigma), ("swing_sigma", class.swing_sigma)] {
            check_sigma(&key(name), sigma)?;
        }
        require_positive(&key("deadline_ms"), f64::from(class.deadline_ms))?;
        require_positive(&key("message_aim_ms"), f64::from(class.message_aim_ms))?;
        if class.setup_aim_ms > class.deadline_ms {
            return invalid(
                key("setup_aim_ms"),
                format!("must not exceed the deadline of {} ms", class.deadline_ms),
            );
        }
        require_non_negative(&key("worth"), class.worth)?;
    }
    check_names("class", body.class.iter().map(|class| &class.name))?;
    check_shares("class", &body.class.iter().map(|class| class.share).collect::<Vec<_>>())?;
    check_names("tenant", body.tenant.iter().map(|tenant| &tenant.name))?;
    check_shares("tenant", &body.tenant.iter().map(|t| Range::new(t.share, t.share)).collect::<Vec<_>>())?;
    for (i, tenant) in body.tenant.iter().enumerate() {
        require_positive(&format!("tenant[{i}].usage"), tenant.usage.min)?;
    }
    if body.class.len() > 255 || body.tenant.len() > 255 {
        return invalid("class", "at most 255 classes and 255 tenants");
    }
    require_positive("groups.mean_size", body.groups.mean_size.min)?;
    require_positive("clients.line_every_s", body.clients.line_every_s)?;
    require_share_range("clients.honour", body.clients.honour)?;
    require_share_range("clients.impatient", body.clients.impatient)?;
    if let Some(rude) = &body.rude {
        check_misbehavior("rude", rude.per_s, rude.kinds.len())?;
        let until = rude.until_s.unwrap_or(body.seconds);
        if !(rude.from_s >= 0.0 && rude.from_s < until) {
            return invalid(
                "rude.from_s",
                format!("{} s is not before the end of the arrivals at {until} s", rude.from_s),
            );
        }
    }
    require_share("network.loss", body.network.loss)?;
    require_positive("front.ping_ms", body.front.ping_ms.min)?;
    require_non_negative("rules.fall_multiple", body.rules.fall_multiple)?;
    if body.rules.attempts == 0 {
        return invalid("rules.attempts", "must be at least 1");
    }
    require_share("demand.service", body.demand.service)?;
    require_share("demand.worst_window", body.demand.worst_window)
}

/// Rejects a sigma over 2. With a higher one, the mean depends on about one session in a million, so no run would
/// show it.
fn check_sigma(key: &str, sigma: Range) -> Result<(), Problem> {
    if sigma.max > 2.0 { invalid(key, format!("must not be over 2: {}", sigma.max)) } else { Ok(()) }
}

fn check_fleet(body: &Body) -> Result<(), Problem> {
    let fleet = &body.fleet;
    let total = u32::from(fleet.nodes) + u32::from(fleet.spare);
    if fleet.nodes == 0 || total > u32::from(Addresses::MOST_NODES) {
        let most = Addresses::MOST_NODES;
        return invalid("fleet.nodes", format!("must be 1 to {most}, including `fleet.spare`: {total}"));
    }
    let count = body.proxies.count;
    let liars = body.proxies.liars.len();
    if liars > usize::from(Addresses::MOST_PROXIES.saturating_sub(count)) {
        return invalid(
            "proxies.liars",
            format!("must not exceed {} together with the proxies: {liars}", Addresses::MOST_PROXIES),
        );
    }
    if count == 0 || count > Addresses::MOST_PROXIES {
        return invalid("proxies.count", format!("must be 1 to {}: {count}", Addresses::MOST_PROXIES));
    }
    if body.proxies.sockets < 64 {
        return invalid("proxies.sockets", format!("must be at least 64: {}", body.proxies.sockets));
    }
    require_positive("proxies.memory_mb", f64::from(body.proxies.memory_mb))?;
    check_names("fleet.zones", body.zones().iter())?;
    check_names("fleet.kind", fleet.kind.iter().map(|kind| &kind.name))?;
    check_shares("fleet.kind", &fleet.kind.iter().map(|kind| kind.share).collect::<Vec<_>>())?;
    for (i, kind) in fleet.kind.iter().enumerate() {
        require_positive(&format!("fleet.kind[{i}].cores"), kind.cores.min)?;
        require_positive(&format!("fleet.kind[{i}].speed"), kind.speed.min)?;
        let spread = format!("fleet.kind[{i}].speed_spread");
        if kind.speed_spread.max > 0.3 {
            // With a larger spread, three standard deviations would reach a speed near 0.
            return invalid(spread, format!("must not be over 0.3: {}", kind.speed_spread.max));
        }
    }
    require_positive("fleet.cell_size", fleet.cell_size.min)?;
    require_positive("fleet.connections_per_core", fleet.connections_per_core.min)?;
    require_positive("fleet.connections_cap", fleet.connections_cap.min)?;
    require_positive("fleet.setups_per_core", fleet.setups_per_core.min)?;
    require_positive("fleet.cold_from", fleet.cold_from.min)?;
    require_share_range("fleet.cold_from", fleet.cold_from)
}

fn check_load(body: &Body) -> Result<(), Problem> {
    let load = &body.load;
    let set_count = [load.share, load.arrivals_per_s, load.standing].iter().flatten().count();
    if set_count > 1 {
        return invalid("load", "at most one of `share`, `arrivals_per_s` and `standing` may be set");
    }
    if let Some(share) = load.share.filter(|share| share.max > 5.0) {
        return invalid(
            "load.share",
            format!("must not be over 5 times the fleet's capacity: {}", share.max),
        );
    }
    require_positive("load.life_s", load.life_s.scaled(body.scale).min)?;
    check_sigma("load.life_sigma", load.life_sigma)?;
    if load.zone_skew.max > 1.0 {
        return invalid("load.zone_skew", format!("must not be over 1: {}", load.zone_skew.max));
    }
    require_positive("load.fill_s", load.fill_s)?;
    require_non_negative("load.settle_s", load.settle_s)?;
    require_positive("load.period_s", load.period_s.min)?;
    require_share_range("load.swing", load.swing)?;
    require_positive("load.every_s", load.every_s.min)?;
    if load.burst_s.max > load.every_s.min {
        return invalid("load.burst_s", format!("is longer than the {} s between bursts", load.every_s.min));
    }
    match (load.shape == Shape::Trace, load.trace.is_empty()) {
        (true, true) => {
            invalid("load.trace", "is missing: pairs of a time and a factor, such as [[0, 1.0], [10, 2.0]]")
        }
        (false, false) => invalid("load.trace", "is only for the shape \"trace\""),
        _ => Ok(()),
    }
}

fn check_misbehavior(key: &str, per_s: f64, kinds: usize) -> Result<(), Problem> {
    require_positive(&format!("{key}.per_s"), per_s)?;
    if per_s > 1000.0 {
        return invalid(format!("{key}.per_s"), format!("must not be over 1000: {per_s}"));
    }
    if kinds == 0 {
        invalid(format!("{key}.kinds"), "must not be empty: omit it to use all kinds")
    } else {
        Ok(())
    }
}

fn check_fault(body: &Body, i: usize, fault: &Fault) -> Result<(), Problem> {
    let key = |name: &str| format!("fault[{i}].{name}");
    if fault.at_s >= body.seconds {
        return invalid(key("at_s"), format!("{} s is not before the end at {} s", fault.at_s, body.seconds));
    }
    let check_duration =
        |for_s: Option<f64>| for_s.map_or(Ok(()), |for_s| require_positive(&key("for_s"), for_s));
    match &fault.kind {
        FaultKind::Outage(kind, outage) => {
            require_non_negative(&key("spread_s"), outage.spread_s)?;
            if *kind == super::fault::OutageKind::Kill && outage.then == AfterOutage::Recover {
                return invalid(key("then"), "a killed process cannot recover: use \"start\" or \"stay\"");
            }
            if outage.then == AfterOutage::Stay && outage.for_s.is_explicit() {
                return invalid(key("for_s"), "has no effect if `then` is \"stay\"");
            }
            require_positive(&key("for_s"), outage.for_s.scaled(body.scale).min)
        }
        FaultKind::Slow(slow) => {
            require_non_negative(&key("spread_s"), slow.spread_s)?;
            require_positive(&key("for_s"), slow.for_s.scaled(body.scale).min)?;
            if slow.times.min < 1.0 {
                return invalid(key("times"), format!("must be 1 or more: {}", slow.times.min));
            }
            Ok(())
        }
        FaultKind::Shrink(shrink) => {
            if !(shrink.to > 0.0 && shrink.to < 1.0) {
                return invalid(
                    key("to"),
                    format!("must be a share of the fleet between 0 and 1: {}", shrink.to),
                );
            }
            require_share(&key("load_to"), shrink.load_to.unwrap_or(1.0))?;
            check_lead(shrink.told, shrink.lead_s, &key("lead_s"))?;
            require_positive(&key("drain_s"), shrink.drain_s.min)
        }
        FaultKind::RollingRestart(rolling) => {
            require_positive(&key("every_s"), rolling.every_s)?;
            check_lead(rolling.told, rolling.lead_s, &key("lead_s"))?;
            require_positive(&key("drain_s"), rolling.drain_s.min)
        }
        FaultKind::Flap(flap) => {
            require_positive(&key("times"), f64::from(flap.times))?;
            require_positive(&key("down_s"), flap.down_s.min)?;
            require_positive(&key("up_s"), flap.up_s.min)
        }
        FaultKind::Grow(grow) => {
            require_positive(&key("nodes"), f64::from(grow.nodes))?;
            require_non_negative(&key("spread_s"), grow.spread_s)
        }
        FaultKind::Drop(drop) => {
            require_share_range(&key("share"), drop.share)?;
            require_positive(&key("share"), drop.share.max)
        }
        FaultKind::Surge(surge) => {
            require_non_negative(&key("load"), surge.load)?;
            require_positive(&key("for_s"), surge.for_s)
        }
        FaultKind::Discovery(discovery) => {
            check_duration(discovery.for_s)?;
            if discovery.for_s.is_some() && !discovery.change.is_lasting() {
                return invalid(key("for_s"), "has no effect: this fault happens once");
            }
            Ok(())
        }
        FaultKind::Proxy(proxy) => {
            check_duration(proxy.for_s)?;
            if proxy.for_s.is_some() && proxy.change == ProxyKind::Reload {
                return invalid(key("for_s"), "has no effect: a reload happens once");
            }
            Ok(())
        }
        FaultKind::Network(network) => {
            check_duration(network.for_s)?;
            if let Some(loss) = network.loss {
                require_share(&key("loss"), loss)?;
            }
            let selects_proxies = network.proxies.is_some() || network.proxy_names.is_some();
            let selects_nodes = network.nodes.is_some() || network.names.is_some();
            match network.change {
                NetworkKind::Loss if network.loss.is_none() => invalid(key("loss"), "is missing"),
                NetworkKind::Loss if selects_proxies || selects_nodes => {
                    invalid(key("change"), "\"loss\" affects all proxies: only `loss` and `for_s` may be set")
                }
                NetworkKind::Part | NetworkKind::CutOff if network.loss.is_some() => {
                    invalid(key("loss"), "is only for \"loss\"")
                }
                NetworkKind::Part if selects_nodes => invalid(key("change"), "\"part\" affects only proxies"),
                _ => Ok(()),
            }
        }
        FaultKind::MisbehaviorWave(rude) => {
            require_positive(&key("for_s"), rude.for_s)?;
            check_misbehavior(&format!("fault[{i}]"), rude.per_s, rude.kinds.len())
        }
    }
}

fn check_lead(told: DrainNotice, lead_s: f64, key: &str) -> Result<(), Problem> {
    if told == DrainNotice::Before {
        require_positive(key, lead_s)
    } else {
        require_non_negative(key, lead_s)
    }
}

/// Checks that the `grow` faults start no more render nodes than `fleet.spare`.
fn check_spares(scenario: &Scenario) -> Result<(), Problem> {
    let mut left = scenario.body.fleet.spare;
    for (i, fault) in scenario.faults.iter().enumerate() {
        let FaultKind::Grow(grow) = &fault.kind else { continue };
        if grow.nodes > left {
            return invalid(
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
fn check_overlaps(scenario: &Scenario) -> Result<(), Problem> {
    let lasting_fault = |fault: &Fault| match &fault.kind {
        FaultKind::Discovery(discovery) if discovery.change.is_lasting() => {
            Some(("discovery", discovery.for_s))
        }
        FaultKind::Network(network) => Some((
            match network.change {
                NetworkKind::Loss => "the loss of datagrams",
                NetworkKind::Part => "the paths between proxies",
                NetworkKind::CutOff => "the paths between proxies and render nodes",
            },
            network.for_s,
        )),
        _ => None,
    };
    for (i, fault) in scenario.faults.iter().enumerate() {
        let Some((what, for_s)) = lasting_fault(fault) else { continue };
        for (j, other) in scenario.faults[..i].iter().enumerate() {
            let Some((other_what, other_for_s)) = lasting_fault(other) else { continue };
            let end = |at: f64, for_s: Option<f64>| at + for_s.unwrap_or(f64::INFINITY);
            if what == other_what
                && fault.at_s <= end(other.at_s, other_for_s)
                && other.at_s <= end(fault.at_s, for_s)
            {
                return invalid(
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
fn max_sessions(scenario: &Scenario) -> f64 {
    let body = &scenario.body;
    let life = body.load.life_s.scaled(body.scale);
    let class_life = |bound: fn(&Range) -> f64, select: fn(f64, f64) -> f64| {
        body.class.iter().map(|class| bound(&class.life)).reduce(select).unwrap_or(1.0)
    };
    let shortest = life.min * class_life(|life| life.min, f64::min);
    let longest = life.max * class_life(|life| life.max, f64::max);
    let max_speed = |kind: &super::format::MachineKind| {
        kind.cores.max * kind.speed.max * (1.0 + 3.0 * kind.speed_spread.max)
    };
    let fastest_node = body.fleet.kind.iter().map(max_speed).fold(0.0, f64::max);
    let full_load_connections =
        f64::from(body.fleet.nodes) * fastest_node * body.fleet.connections_per_core.max;
    let (standing, per_s) = match (body.load.arrivals_per_s, body.load.standing) {
        (Some(per_s), _) => (per_s.max * longest, per_s.max),
        (None, Some(standing)) => (standing.max, standing.max / shortest),
        (None, None) => {
            let standing = body.load.share().max * full_load_connections;
            (standing, standing / shortest)
        }
    };
    let max_factor = match body.load.shape {
        Shape::Steady => 1.0,
        Shape::Wave => 1.0 + body.load.swing.max,
        Shape::Bursts => body.load.burst.max.max(1.0),
        Shape::Trace => body.load.trace.max_factor(),
    };
    let mut arrivals = per_s * max_factor * body.seconds;
    for fault in &scenario.faults {
        if let FaultKind::Surge(surge) = &fault.kind {
            arrivals += per_s * max_factor * (surge.load - 1.0).max(0.0) * surge.for_s.min(body.seconds);
        }
    }
    let standing = standing * max_factor;
    (standing + arrivals + 10.0 * arrivals.sqrt() + 1.0).ceil()
}
