//! Draws the timeline of a run: the events of the scenario's faults, and the resulting changes of the endpoint list.

use super::DrawContext;
use super::listing::{StateChange, list_changes};
use crate::plan::Phase;
use crate::plan::{
    DiscoveryChange, NetworkChange, NodeChange, NodeId, ProxyChange, ProxyId, TimelineChange, TimelineEvent,
};
use crate::scenario::Scenario;
use crate::scenario::claims::{self, Claim, EXIT_DELAY_S, RESTART_DELAY_S, TargetKind, term_to_kill_s};
use crate::scenario::fault::{
    AfterOutage, DrainNotice, Fault, FaultKind, NetworkFault, NetworkKind, OutageKind, ProxyFault, ProxyKind,
    Shrink,
};
use crate::scenario::range::micros;
use crate::time::{Micros, S};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Seconds after which a restarted proxy starts again if `for_s` is not set, counted from the time at which it is
/// certain to have ended.
const PROXY_RESTART_DELAY_S: f64 = 0.2;

/// Changes of the arrival rate that the faults cause.
#[derive(Debug, Default)]
pub(super) struct ArrivalChanges {
    reductions: Vec<ArrivalChange>,
    /// Additional arrivals, each with the name of its random stream.
    pub surges: Vec<(String, ArrivalChange)>,
}

/// A factor on the arrival rate between two times in seconds of the measured part. The rate changes linearly to the
/// factor during the first `ramp_s` seconds.
#[derive(Debug)]
pub(super) struct ArrivalChange {
    pub from: f64,
    pub ramp_s: f64,
    pub until: f64,
    pub factor: f64,
}

impl ArrivalChanges {
    /// Share of the usual arrivals that is kept at time `s`.
    pub fn kept_share(&self, s: f64) -> f64 {
        let active = self.reductions.iter().filter(|reduction| reduction.from <= s && s < reduction.until);
        active
            .map(|reduction| {
                let progress = if reduction.ramp_s > 0.0 {
                    ((s - reduction.from) / reduction.ramp_s).min(1.0)
                } else {
                    1.0
                };
                1.0 + (reduction.factor - 1.0) * progress
            })
            .product()
    }
}

/// The effects of all faults on a run.
pub(super) struct FaultEffects {
    pub timeline: Vec<TimelineEvent>,
    pub arrivals: ArrivalChanges,
}

/// Returns each fault with the name of its random streams. The name consists of the kind, the time and a number among
/// the faults of that kind and time, so that it does not depend on other faults.
pub(super) fn named_faults(scenario: &Scenario) -> Vec<(&Fault, String)> {
    let mut seen: BTreeMap<String, u32> = BTreeMap::new();
    let name = |fault: &Fault| format!("fault {} at {}", fault.kind_name(), micros(fault.at_s));
    (scenario.faults.iter())
        .map(|fault| {
            let count = seen.entry(name(fault)).or_default();
            *count += 1;
            (fault, format!("{} {count}", name(fault)))
        })
        .collect()
}

pub(super) fn draw_effects(context: &DrawContext<'_>, scenario: &Scenario) -> FaultEffects {
    let faults = named_faults(scenario);
    // Validation has already rejected a scenario whose claims have errors.
    let claims = claims::all_claims(scenario).unwrap_or_default();
    let targets = claims::assign(context.body, &claims, |claim: &Claim| {
        let kind = if claim.kind == TargetKind::Nodes { "nodes" } else { "proxies" };
        context.streams.stream(&format!("{} {kind}", faults[claim.fault].1))
    });
    let mut writer = TimelineWriter {
        context,
        events: Vec::new(),
        state_changes: BTreeMap::new(),
        arrivals: ArrivalChanges::default(),
        next_spare: context.body.fleet.nodes,
    };
    for (i, (fault, name)) in faults.iter().enumerate() {
        let targets_of = |kind: TargetKind| {
            let position = claims.iter().position(|claim| claim.fault == i && claim.kind == kind);
            position.map(|index| targets[index].clone()).unwrap_or_default()
        };
        writer.fault(fault, name, &targets_of(TargetKind::Nodes), &targets_of(TargetKind::Proxies));
    }
    writer.finish()
}

struct TimelineWriter<'a> {
    context: &'a DrawContext<'a>,
    events: Vec<TimelineEvent>,
    state_changes: BTreeMap<u16, Vec<StateChange>>,
    arrivals: ArrivalChanges,
    /// Number of the next spare render node.
    next_spare: u16,
}

impl TimelineWriter<'_> {
    fn push(&mut self, at: Micros, change: TimelineChange) {
        self.events.push(TimelineEvent { at, change });
    }

    fn mark(&mut self, at: Micros, text: String) {
        self.push(at, TimelineChange::Mark(text));
    }

    fn node(&mut self, at: Micros, node: u16, change: NodeChange) {
        self.push(at, TimelineChange::Node(NodeId(node), change));
    }

    fn record_state(&mut self, node: u16, at: Micros, phase: Phase, new_process: bool, delay: Micros) {
        self.state_changes.entry(node).or_default().push(StateChange {
            at,
            phase,
            new_process,
            listed_at: at + delay,
        });
    }

    fn fault(&mut self, fault: &Fault, name: &str, nodes: &[u16], proxies: &[u16]) {
        let at = self.context.from + micros(fault.at_s);
        let mut rng = self.context.streams.stream(name);
        let scale = self.context.body.scale;
        match &fault.kind {
            FaultKind::Outage(kind, outage) => {
                let duration =
                    (outage.then != AfterOutage::Stay).then(|| outage.for_s.scaled(scale).draw_s(&mut rng));
                self.outage(at, *kind, nodes, micros(outage.spread_s), duration, outage.then, &mut rng);
            }
            FaultKind::Slow(slow) => {
                let (duration, times) =
                    (slow.for_s.scaled(scale).draw_s(&mut rng), slow.times.draw(&mut rng));
                self.mark(at, format!("{times:.1} times slower: {}", node_names(nodes)));
                for node in nodes {
                    let at = at + random_delay(slow.spread_s, &mut rng);
                    self.node(at, *node, NodeChange::Slow(times));
                    self.node(at + duration, *node, NodeChange::Slow(1.0));
                }
                let end = at + duration + micros(slow.spread_s);
                self.mark(end, format!("as fast as before: {}", node_names(nodes)));
            }
            FaultKind::Shrink(shrink) => self.shrink(at, fault.at_s, shrink, nodes, &mut rng),
            FaultKind::RollingRestart(rolling) => {
                self.mark(at, "the whole fleet is restarted, one node after the other".to_owned());
                let mut order = nodes.to_vec();
                rand::seq::SliceRandom::shuffle(&mut order[..], &mut rng);
                for (i, node) in order.into_iter().enumerate() {
                    let start = at + micros(rolling.every_s * i as f64);
                    let drain = rolling.drain_s.draw_s(&mut rng);
                    let end = self.drain(node, start, drain, rolling.told, rolling.lead_s, &mut rng);
                    self.start(node, end + rolling.down_s.draw_s(&mut rng), &mut rng);
                }
            }
            FaultKind::Flap(flap) => {
                self.mark(at, format!("down and up again, {} times: {}", flap.times, node_names(nodes)));
                for node in nodes {
                    let mut at = at;
                    for _ in 0..flap.times {
                        self.kill(*node, at, &mut rng);
                        at += flap.down_s.draw_s(&mut rng);
                        self.start(*node, at, &mut rng);
                        at += flap.up_s.draw_s(&mut rng);
                    }
                }
            }
            FaultKind::Grow(grow) => {
                let added: Vec<u16> = (self.next_spare..self.next_spare + grow.nodes).collect();
                self.next_spare += grow.nodes;
                self.mark(at, format!("added, cold: {}", node_names(&added)));
                for node in added {
                    self.start(node, at + random_delay(grow.spread_s, &mut rng), &mut rng);
                }
            }
            FaultKind::Drop(drop) => {
                let share = drop.share.draw(&mut rng);
                let back_within = drop.back_within_s.draw_s(&mut rng);
                let back_s = back_within as f64 / S as f64;
                self.mark(
                    at,
                    format!("{:.0}% of the clients drop and come again within {back_s:.1} s", share * 100.0),
                );
                self.push(at, TimelineChange::Drop { share, back_within, seed: rng.random() });
            }
            FaultKind::Surge(surge) => {
                self.mark(at, format!("arrivals are {} times the usual for {} s", surge.load, surge.for_s));
                let change = ArrivalChange {
                    from: fault.at_s,
                    ramp_s: 0.0,
                    until: fault.at_s + surge.for_s,
                    factor: surge.load,
                };
                if surge.load > 1.0 {
                    self.arrivals.surges.push((format!("{name} arrivals"), change));
                } else {
                    self.arrivals.reductions.push(change);
                }
                self.mark(at + micros(surge.for_s), "arrivals are as usual again".to_owned());
            }
            FaultKind::Discovery(discovery) => {
                let change = discovery.change.change();
                self.mark(at, format!("discovery: {}", describe_discovery(change)));
                self.push(at, TimelineChange::Discovery(change));
                if let Some(duration) = discovery.for_s {
                    let end = at + micros(duration);
                    self.mark(end, "discovery is as usual again".to_owned());
                    self.push(end, TimelineChange::Discovery(DiscoveryChange::Restore));
                }
            }
            FaultKind::Proxy(proxy) => self.proxy(at, proxy, proxies),
            FaultKind::Network(network) => self.network(at, network, nodes, proxies),
            FaultKind::MisbehaviorWave(rude) => {
                self.mark(at, format!("{} rude clients a second for {} s", rude.per_s, rude.for_s));
            }
        }
    }

    #[allow(clippy::too_many_arguments)] // The drawn values of one fault.
    fn outage(
        &mut self,
        at: Micros,
        kind: OutageKind,
        nodes: &[u16],
        spread: Micros,
        duration: Option<Micros>,
        then: AfterOutage,
        rng: &mut ChaCha8Rng,
    ) {
        let what = match kind {
            OutageKind::Kill => "killed",
            OutageKind::Vanish => "vanished without a word",
            OutageKind::Hang => "hung: accepting and never replying",
            OutageKind::Rubbish => "answering rubbish",
        };
        let detail = match (nodes.len(), spread) {
            (0 | 1, _) => "",
            (_, 0) => ", all together",
            _ => ", one after the other",
        };
        self.mark(at, format!("{what}{detail}: {}", node_names(nodes)));
        for node in nodes {
            let at = at + random_delay(spread as f64 / S as f64, rng);
            match kind {
                OutageKind::Kill => self.kill(*node, at, rng),
                OutageKind::Vanish => {
                    let delay = self
                        .context
                        .body
                        .discovery
                        .silent_notice_s
                        .scaled(self.context.body.scale)
                        .draw_s(rng);
                    self.node(at, *node, NodeChange::Vanish);
                    self.record_state(*node, at, Phase::Removed, false, delay);
                }
                // Discovery does not notice, since the process still runs.
                OutageKind::Hang => self.node(at, *node, NodeChange::Hang),
                OutageKind::Rubbish => self.node(at, *node, NodeChange::Rubbish),
            }
            let Some(end) = duration.map(|duration| at + duration) else { continue };
            match (then, kind) {
                (AfterOutage::Stay, _) => {}
                (AfterOutage::Recover, _) => {
                    self.node(end, *node, NodeChange::Recover);
                    let delay = self.up_delay(rng);
                    self.record_state(*node, end, Phase::Up, false, delay);
                }
                (AfterOutage::Start, OutageKind::Kill | OutageKind::Vanish) => self.start(*node, end, rng),
                (AfterOutage::Start, OutageKind::Hang | OutageKind::Rubbish) => {
                    self.kill(*node, end, rng);
                    self.start(*node, end + micros(RESTART_DELAY_S), rng);
                }
            }
        }
        if let Some(duration) = duration {
            let detail = if then == AfterOutage::Recover { "as before" } else { "cold" };
            self.mark(at + duration, format!("back, {detail}: {}", node_names(nodes)));
        }
    }

    fn shrink(&mut self, at: Micros, at_s: f64, shrink: &Shrink, nodes: &[u16], rng: &mut ChaCha8Rng) {
        let over_s = shrink.over_s.scaled(self.context.body.scale).draw(rng);
        self.mark(at, format!("the fleet shrinks, within {over_s:.1} s, by {}", node_names(nodes)));
        for node in nodes {
            let start = at + random_delay(over_s, rng);
            let drain = shrink.drain_s.draw_s(rng);
            self.drain(*node, start, drain, shrink.told, shrink.lead_s, rng);
        }
        let factor = shrink.load_to.unwrap_or(shrink.to);
        self.arrivals.reductions.push(ArrivalChange {
            from: at_s,
            ramp_s: over_s,
            until: f64::INFINITY,
            factor,
        });
    }

    /// Drains a render node and ends its process. Returns the time at which the process ends.
    fn drain(
        &mut self,
        node: u16,
        start: Micros,
        drain: Micros,
        told: DrainNotice,
        lead_s: f64,
        rng: &mut ChaCha8Rng,
    ) -> Micros {
        let delay = self.down_delay(rng);
        let (drain_start, delay) = match told {
            DrainNotice::Before => (start + micros(lead_s), 0),
            DrainNotice::After => (start, delay),
        };
        self.record_state(node, start, Phase::Draining, false, delay);
        self.node(drain_start, node, NodeChange::Drain { within: drain });
        let end = drain_start + drain + micros(EXIT_DELAY_S);
        self.kill(node, end, rng);
        end
    }

    fn kill(&mut self, node: u16, at: Micros, rng: &mut ChaCha8Rng) {
        let delay = self.down_delay(rng);
        self.node(at, node, NodeChange::Kill);
        self.record_state(node, at, Phase::Removed, false, delay);
    }

    fn start(&mut self, node: u16, at: Micros, rng: &mut ChaCha8Rng) {
        let delay = self.up_delay(rng);
        self.node(at, node, NodeChange::Start);
        self.record_state(node, at, Phase::Up, true, delay);
    }

    fn down_delay(&self, rng: &mut ChaCha8Rng) -> Micros {
        self.context.body.discovery.notice_s.scaled(self.context.body.scale).draw_s(rng)
    }

    fn up_delay(&self, rng: &mut ChaCha8Rng) -> Micros {
        self.context.body.discovery.up_s.scaled(self.context.body.scale).draw_s(rng)
    }

    fn proxy(&mut self, at: Micros, fault: &ProxyFault, proxies: &[u16]) {
        let names = proxies.iter().map(|proxy| format!("proxy-{proxy}")).collect::<Vec<_>>().join(", ");
        let (change, what, ended) = match fault.change {
            ProxyKind::Kill => (ProxyChange::Kill, "killed", at),
            ProxyKind::Terminate | ProxyKind::Restart => {
                (ProxyChange::Terminate, "told to stop", at + micros(term_to_kill_s(self.context.body)))
            }
            ProxyKind::Reload => (ProxyChange::Reload, "told to read its files again", at),
        };
        let restart_after =
            fault.for_s.or((fault.change == ProxyKind::Restart).then_some(PROXY_RESTART_DELAY_S));
        self.mark(at, format!("{what}: {names}"));
        for proxy in proxies.iter().copied().map(ProxyId) {
            self.push(at, TimelineChange::Proxy(proxy, change));
            if let Some(delay) = restart_after {
                self.push(ended + micros(delay), TimelineChange::Proxy(proxy, ProxyChange::Start));
            }
        }
        if let Some(delay) = restart_after {
            self.mark(ended + micros(delay), format!("started again: {names}"));
        }
    }

    fn network(&mut self, at: Micros, fault: &NetworkFault, nodes: &[u16], proxies: &[u16]) {
        let proxies: Vec<ProxyId> = proxies.iter().copied().map(ProxyId).collect();
        let names = proxies.iter().map(|proxy| format!("proxy-{}", proxy.0)).collect::<Vec<_>>().join(", ");
        let (text, start_changes, end_changes): (String, Vec<NetworkChange>, Vec<NetworkChange>) =
            match fault.change {
                NetworkKind::Loss => {
                    let loss = fault.loss.unwrap_or_default();
                    (
                        format!("{:.0}% of the datagrams between proxies are lost", loss * 100.0),
                        vec![NetworkChange::Loss(loss)],
                        vec![NetworkChange::Loss(self.context.body.network.loss)],
                    )
                }
                NetworkKind::Part => (
                    format!("no datagram passes between the others and {names}"),
                    vec![NetworkChange::Part(proxies)],
                    vec![NetworkChange::Join],
                ),
                NetworkKind::CutOff => {
                    let cut: Vec<NodeId> = nodes.iter().copied().map(NodeId).collect();
                    (
                        format!("cut off from {}: {names}", node_names(nodes)),
                        proxies.iter().map(|proxy| NetworkChange::CutOff(*proxy, cut.clone())).collect(),
                        proxies.iter().map(|proxy| NetworkChange::Reach(*proxy)).collect(),
                    )
                }
            };
        self.mark(at, text);
        for change in start_changes {
            self.push(at, TimelineChange::Network(change));
        }
        if let Some(duration) = fault.for_s {
            let end = at + micros(duration);
            self.mark(end, "the network is as usual again".to_owned());
            for change in end_changes {
                self.push(end, TimelineChange::Network(change));
            }
        }
    }

    fn finish(mut self) -> FaultEffects {
        for (node, mut state_changes) in std::mem::take(&mut self.state_changes) {
            state_changes.sort_by_key(|change| change.at);
            let up_at_start = node < self.context.body.fleet.nodes;
            for (at, phase) in list_changes(&state_changes, up_at_start) {
                self.push(at, TimelineChange::Listed(NodeId(node), phase));
            }
        }
        let mut timeline = self.events;
        timeline.retain(|event| event.at <= self.context.ends);
        timeline.sort_by_key(|event| event.at);
        FaultEffects { timeline, arrivals: self.arrivals }
    }
}

fn random_delay(seconds: f64, rng: &mut ChaCha8Rng) -> Micros {
    micros(seconds * rng.random::<f64>())
}

fn node_names(nodes: &[u16]) -> String {
    nodes.iter().map(|node| format!("render-{node}")).collect::<Vec<_>>().join(", ")
}

fn describe_discovery(change: DiscoveryChange) -> &'static str {
    match change {
        DiscoveryChange::Down => "gone",
        DiscoveryChange::Unavailable => "answers 503",
        DiscoveryChange::Resetting => "resets calls and watches",
        DiscoveryChange::Silent => "says nothing",
        DiscoveryChange::InPieces => "the next change comes in pieces",
        DiscoveryChange::Gap => "the next watch gets the whole list",
        DiscoveryChange::BadList => "the next change cannot be read",
        DiscoveryChange::MoveAway => "moves to another address",
        DiscoveryChange::Restore => "as usual",
    }
}
