//! Draws the timeline of a run: the events of the scenario's faults, and the resulting changes of the endpoint list.

use super::Draw;
use super::listing::{Truth, entries};
use crate::plan::Phase;
use crate::plan::{
    DiscoveryChange, NetworkChange, NodeChange, NodeId, ProxyChange, ProxyId, TimelineChange, TimelineEvent,
};
use crate::scenario::Scenario;
use crate::scenario::fault::{
    DownKind, Fault, Kind, NetworkFault, NetworkKind, ProxyFault, ProxyKind, Shrink, Then, Told,
};
use crate::scenario::holds::{self, Hold, LEAVE_S, Pool, RESTART_S, term_to_kill_s};
use crate::scenario::range::micros;
use crate::time::{Micros, S};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Seconds after which a restarted proxy starts again if `for_s` is not set, counted from the time at which it is
/// certain to have ended.
const PROXY_AGAIN_S: f64 = 0.2;

/// Changes of the arrival rate that the faults cause.
#[derive(Debug, Default)]
pub(super) struct LoadCourse {
    falls: Vec<Span>,
    /// Additional arrivals, each with the name of its random stream.
    pub surges: Vec<(String, Span)>,
}

/// A factor on the arrival rate between two times in seconds of the measured part. The rate changes linearly to the
/// factor during the first `over` seconds.
#[derive(Debug)]
pub(super) struct Span {
    pub from: f64,
    pub over: f64,
    pub until: f64,
    pub load: f64,
}

impl LoadCourse {
    /// Share of the usual arrivals that is kept at time `s`.
    pub fn kept(&self, s: f64) -> f64 {
        let now = self.falls.iter().filter(|fall| fall.from <= s && s < fall.until);
        now.map(|fall| {
            let part = if fall.over > 0.0 { ((s - fall.from) / fall.over).min(1.0) } else { 1.0 };
            1.0 + (fall.load - 1.0) * part
        })
        .product()
    }
}

/// The effects of all faults on a run.
pub(super) struct Course {
    pub timeline: Vec<TimelineEvent>,
    pub load: LoadCourse,
}

/// Returns each fault with the name of its random streams. The name consists of the kind, the time and a number among
/// the faults of that kind and time, so that it does not depend on other faults.
pub(super) fn named(scenario: &Scenario) -> Vec<(&Fault, String)> {
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

pub(super) fn draw(draw: &Draw<'_>, scenario: &Scenario) -> Course {
    let faults = named(scenario);
    // Validation has already rejected a scenario whose claims have errors.
    let claims = holds::holds(scenario).unwrap_or_default();
    let who = holds::assign(draw.body, &claims, |hold: &Hold| {
        let pool = if hold.pool == Pool::Nodes { "nodes" } else { "proxies" };
        draw.chance.of(&format!("{} {pool}", faults[hold.fault].1))
    });
    let mut writer = Writer {
        draw,
        events: Vec::new(),
        truths: BTreeMap::new(),
        load: LoadCourse::default(),
        spare: draw.body.fleet.nodes,
    };
    for (i, (fault, name)) in faults.iter().enumerate() {
        let of = |pool: Pool| {
            let mine = claims.iter().position(|hold| hold.fault == i && hold.pool == pool);
            mine.map(|place| who[place].clone()).unwrap_or_default()
        };
        writer.fault(fault, name, &of(Pool::Nodes), &of(Pool::Proxies));
    }
    writer.finish()
}

struct Writer<'a> {
    draw: &'a Draw<'a>,
    events: Vec<TimelineEvent>,
    truths: BTreeMap<u16, Vec<Truth>>,
    load: LoadCourse,
    /// Number of the next spare render node.
    spare: u16,
}

impl Writer<'_> {
    fn push(&mut self, at: Micros, what: TimelineChange) {
        self.events.push(TimelineEvent { at, change: what });
    }

    fn mark(&mut self, at: Micros, words: String) {
        self.push(at, TimelineChange::Mark(words));
    }

    fn node(&mut self, at: Micros, node: u16, change: NodeChange) {
        self.push(at, TimelineChange::Node(NodeId(node), change));
    }

    fn truth(&mut self, node: u16, at: Micros, phase: Phase, fresh: bool, notice: Micros) {
        self.truths.entry(node).or_default().push(Truth { at, phase, fresh, listed: at + notice });
    }

    fn fault(&mut self, fault: &Fault, name: &str, nodes: &[u16], proxies: &[u16]) {
        let at = self.draw.from + micros(fault.at_s);
        let mut chance = self.draw.chance.of(name);
        let scale = self.draw.body.scale;
        match &fault.kind {
            Kind::Down(kind, down) => {
                let lasts = (down.then != Then::Stay).then(|| down.for_s.at(scale).draw_s(&mut chance));
                self.down(at, *kind, nodes, micros(down.spread_s), lasts, down.then, &mut chance);
            }
            Kind::Slow(slow) => {
                let (lasts, times) = (slow.for_s.at(scale).draw_s(&mut chance), slow.times.draw(&mut chance));
                self.mark(at, format!("{times:.1} times slower: {}", names(nodes)));
                for node in nodes {
                    let at = at + within(slow.spread_s, &mut chance);
                    self.node(at, *node, NodeChange::Slow(times));
                    self.node(at + lasts, *node, NodeChange::Slow(1.0));
                }
                let over = at + lasts + micros(slow.spread_s);
                self.mark(over, format!("as fast as before: {}", names(nodes)));
            }
            Kind::Shrink(shrink) => self.shrink(at, fault.at_s, shrink, nodes, &mut chance),
            Kind::Rolling(rolling) => {
                self.mark(at, "the whole fleet is restarted, one node after the other".to_owned());
                let mut order = nodes.to_vec();
                rand::seq::SliceRandom::shuffle(&mut order[..], &mut chance);
                for (i, node) in order.into_iter().enumerate() {
                    let begins = at + micros(rolling.every_s * i as f64);
                    let drain = rolling.drain_s.draw_s(&mut chance);
                    let gone = self.drain(node, begins, drain, rolling.told, rolling.lead_s, &mut chance);
                    self.start(node, gone + rolling.down_s.draw_s(&mut chance), &mut chance);
                }
            }
            Kind::Flap(flap) => {
                self.mark(at, format!("down and up again, {} times: {}", flap.times, names(nodes)));
                for node in nodes {
                    let mut at = at;
                    for _ in 0..flap.times {
                        self.kill(*node, at, &mut chance);
                        at += flap.down_s.draw_s(&mut chance);
                        self.start(*node, at, &mut chance);
                        at += flap.up_s.draw_s(&mut chance);
                    }
                }
            }
            Kind::Grow(grow) => {
                let new: Vec<u16> = (self.spare..self.spare + grow.nodes).collect();
                self.spare += grow.nodes;
                self.mark(at, format!("added, cold: {}", names(&new)));
                for node in new {
                    self.start(node, at + within(grow.spread_s, &mut chance), &mut chance);
                }
            }
            Kind::Drop(drop) => {
                let share = drop.share.draw(&mut chance);
                let back_within = drop.back_within_s.draw_s(&mut chance);
                let back_s = back_within as f64 / S as f64;
                self.mark(
                    at,
                    format!("{:.0}% of the clients drop and come again within {back_s:.1} s", share * 100.0),
                );
                self.push(at, TimelineChange::Drop { share, back_within, seed: chance.random() });
            }
            Kind::Surge(surge) => {
                self.mark(at, format!("arrivals are {} times the usual for {} s", surge.load, surge.for_s));
                let span =
                    Span { from: fault.at_s, over: 0.0, until: fault.at_s + surge.for_s, load: surge.load };
                if surge.load > 1.0 {
                    self.load.surges.push((format!("{name} arrivals"), span));
                } else {
                    self.load.falls.push(span);
                }
                self.mark(at + micros(surge.for_s), "arrivals are as usual again".to_owned());
            }
            Kind::Discovery(discovery) => {
                let change = discovery.change.change();
                self.mark(at, format!("discovery: {}", words(change)));
                self.push(at, TimelineChange::Discovery(change));
                if let Some(lasts) = discovery.for_s {
                    let over = at + micros(lasts);
                    self.mark(over, "discovery is as usual again".to_owned());
                    self.push(over, TimelineChange::Discovery(DiscoveryChange::Restore));
                }
            }
            Kind::Proxy(proxy) => self.proxy(at, proxy, proxies),
            Kind::Network(network) => self.network(at, network, nodes, proxies),
            Kind::Rude(rude) => {
                self.mark(at, format!("{} rude clients a second for {} s", rude.per_s, rude.for_s));
            }
        }
    }

    #[allow(clippy::too_many_arguments)] // The drawn values of one fault.
    fn down(
        &mut self,
        at: Micros,
        kind: DownKind,
        nodes: &[u16],
        spread: Micros,
        lasts: Option<Micros>,
        then: Then,
        chance: &mut ChaCha8Rng,
    ) {
        let what = match kind {
            DownKind::Kill => "killed",
            DownKind::Vanish => "vanished without a word",
            DownKind::Hang => "hung: accepting and never replying",
            DownKind::Rubbish => "answering rubbish",
        };
        let how = match (nodes.len(), spread) {
            (0 | 1, _) => "",
            (_, 0) => ", all together",
            _ => ", one after the other",
        };
        self.mark(at, format!("{what}{how}: {}", names(nodes)));
        for node in nodes {
            let at = at + within(spread as f64 / S as f64, chance);
            match kind {
                DownKind::Kill => self.kill(*node, at, chance),
                DownKind::Vanish => {
                    let notice =
                        self.draw.body.discovery.silent_notice_s.at(self.draw.body.scale).draw_s(chance);
                    self.node(at, *node, NodeChange::Vanish);
                    self.truth(*node, at, Phase::Removed, false, notice);
                }
                // Discovery does not notice, since the process still runs.
                DownKind::Hang => self.node(at, *node, NodeChange::Hang),
                DownKind::Rubbish => self.node(at, *node, NodeChange::Rubbish),
            }
            let Some(over) = lasts.map(|lasts| at + lasts) else { continue };
            match (then, kind) {
                (Then::Stay, _) => {}
                (Then::Recover, _) => {
                    self.node(over, *node, NodeChange::Recover);
                    let notice = self.up_notice(chance);
                    self.truth(*node, over, Phase::Up, false, notice);
                }
                (Then::Start, DownKind::Kill | DownKind::Vanish) => self.start(*node, over, chance),
                (Then::Start, DownKind::Hang | DownKind::Rubbish) => {
                    self.kill(*node, over, chance);
                    self.start(*node, over + micros(RESTART_S), chance);
                }
            }
        }
        if let Some(lasts) = lasts {
            let how = if then == Then::Recover { "as before" } else { "cold" };
            self.mark(at + lasts, format!("back, {how}: {}", names(nodes)));
        }
    }

    fn shrink(&mut self, at: Micros, at_s: f64, shrink: &Shrink, nodes: &[u16], chance: &mut ChaCha8Rng) {
        let over_s = shrink.over_s.at(self.draw.body.scale).draw(chance);
        self.mark(at, format!("the fleet shrinks, within {over_s:.1} s, by {}", names(nodes)));
        for node in nodes {
            let begins = at + within(over_s, chance);
            let drain = shrink.drain_s.draw_s(chance);
            self.drain(*node, begins, drain, shrink.told, shrink.lead_s, chance);
        }
        let load = shrink.load_to.unwrap_or(shrink.to);
        self.load.falls.push(Span { from: at_s, over: over_s, until: f64::INFINITY, load });
    }

    /// Drains a render node and ends its process. Returns the time at which the process ends.
    fn drain(
        &mut self,
        node: u16,
        begins: Micros,
        drain: Micros,
        told: Told,
        lead_s: f64,
        chance: &mut ChaCha8Rng,
    ) -> Micros {
        let notice = self.down_notice(chance);
        let (drains, notice) = match told {
            Told::Before => (begins + micros(lead_s), 0),
            Told::After => (begins, notice),
        };
        self.truth(node, begins, Phase::Draining, false, notice);
        self.node(drains, node, NodeChange::Drain { within: drain });
        let gone = drains + drain + micros(LEAVE_S);
        self.kill(node, gone, chance);
        gone
    }

    fn kill(&mut self, node: u16, at: Micros, chance: &mut ChaCha8Rng) {
        let notice = self.down_notice(chance);
        self.node(at, node, NodeChange::Kill);
        self.truth(node, at, Phase::Removed, false, notice);
    }

    fn start(&mut self, node: u16, at: Micros, chance: &mut ChaCha8Rng) {
        let notice = self.up_notice(chance);
        self.node(at, node, NodeChange::Start);
        self.truth(node, at, Phase::Up, true, notice);
    }

    fn down_notice(&self, chance: &mut ChaCha8Rng) -> Micros {
        self.draw.body.discovery.notice_s.at(self.draw.body.scale).draw_s(chance)
    }

    fn up_notice(&self, chance: &mut ChaCha8Rng) -> Micros {
        self.draw.body.discovery.up_s.at(self.draw.body.scale).draw_s(chance)
    }

    fn proxy(&mut self, at: Micros, fault: &ProxyFault, proxies: &[u16]) {
        let who = proxies.iter().map(|proxy| format!("proxy-{proxy}")).collect::<Vec<_>>().join(", ");
        let (change, what, ended) = match fault.change {
            ProxyKind::Kill => (ProxyChange::Kill, "killed", at),
            ProxyKind::Terminate | ProxyKind::Restart => {
                (ProxyChange::Terminate, "told to stop", at + micros(term_to_kill_s(self.draw.body)))
            }
            ProxyKind::Reload => (ProxyChange::Reload, "told to read its files again", at),
        };
        let again = fault.for_s.or((fault.change == ProxyKind::Restart).then_some(PROXY_AGAIN_S));
        self.mark(at, format!("{what}: {who}"));
        for proxy in proxies.iter().copied().map(ProxyId) {
            self.push(at, TimelineChange::Proxy(proxy, change));
            if let Some(away) = again {
                self.push(ended + micros(away), TimelineChange::Proxy(proxy, ProxyChange::Start));
            }
        }
        if let Some(away) = again {
            self.mark(ended + micros(away), format!("started again: {who}"));
        }
    }

    fn network(&mut self, at: Micros, fault: &NetworkFault, nodes: &[u16], proxies: &[u16]) {
        let proxies: Vec<ProxyId> = proxies.iter().copied().map(ProxyId).collect();
        let who = proxies.iter().map(|proxy| format!("proxy-{}", proxy.0)).collect::<Vec<_>>().join(", ");
        let (words, begin, end): (String, Vec<NetworkChange>, Vec<NetworkChange>) = match fault.change {
            NetworkKind::Loss => {
                let loss = fault.loss.unwrap_or_default();
                (
                    format!("{:.0}% of the datagrams between proxies are lost", loss * 100.0),
                    vec![NetworkChange::Loss(loss)],
                    vec![NetworkChange::Loss(self.draw.body.network.loss)],
                )
            }
            NetworkKind::Part => (
                format!("no datagram passes between the others and {who}"),
                vec![NetworkChange::Part(proxies)],
                vec![NetworkChange::Join],
            ),
            NetworkKind::CutOff => {
                let cut: Vec<NodeId> = nodes.iter().copied().map(NodeId).collect();
                (
                    format!("cut off from {}: {who}", names(nodes)),
                    proxies.iter().map(|proxy| NetworkChange::CutOff(*proxy, cut.clone())).collect(),
                    proxies.iter().map(|proxy| NetworkChange::Reach(*proxy)).collect(),
                )
            }
        };
        self.mark(at, words);
        for change in begin {
            self.push(at, TimelineChange::Network(change));
        }
        if let Some(lasts) = fault.for_s {
            let over = at + micros(lasts);
            self.mark(over, "the network is as usual again".to_owned());
            for change in end {
                self.push(over, TimelineChange::Network(change));
            }
        }
    }

    fn finish(mut self) -> Course {
        for (node, mut truths) in std::mem::take(&mut self.truths) {
            truths.sort_by_key(|truth| truth.at);
            let up_at_start = node < self.draw.body.fleet.nodes;
            for (at, phase) in entries(&truths, up_at_start) {
                self.push(at, TimelineChange::Listed(NodeId(node), phase));
            }
        }
        let mut timeline = self.events;
        timeline.retain(|happening| happening.at <= self.draw.ends);
        timeline.sort_by_key(|happening| happening.at);
        Course { timeline, load: self.load }
    }
}

fn within(seconds: f64, chance: &mut ChaCha8Rng) -> Micros {
    micros(seconds * chance.random::<f64>())
}

fn names(nodes: &[u16]) -> String {
    nodes.iter().map(|node| format!("render-{node}")).collect::<Vec<_>>().join(", ")
}

fn words(change: DiscoveryChange) -> &'static str {
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
