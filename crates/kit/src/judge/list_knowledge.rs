//! Tracks what each proxy knows of the endpoint list: changes that were delivered to it, and changes that are presumed
//! known after a time limit.

use crate::observation::Seen;
use crate::plan::Phase;
use crate::plan::{NodeId, ProxyId, Rules};
use crate::time::Micros;

/// After a failed poll, the poll interval may grow by this factor (WIRE, `rules.askWithin`).
const POLL_FAILURE_FACTOR: Micros = 4;

/// State of a render node in the list, and when it entered the state. Draining and removed are one state: a render node
/// that is removed after a drain has been unavailable since the drain.
#[derive(Clone, Copy, Debug)]
struct Listing {
    available: bool,
    since: Micros,
}

/// What one proxy knows of one render node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeKnowledge {
    /// When the proxy learned that the node is draining or removed; `None` before it learns that and after it learns
    /// that the node is back.
    unavailable_since: Option<Micros>,
    /// When the proxy last learned that the node accepts connections.
    available_at: Option<Micros>,
}

/// What one proxy knows of the list.
#[derive(Clone, Debug)]
struct ProxyKnowledge {
    /// Knowledge of each render node, by its index in the plan.
    nodes: Vec<NodeKnowledge>,
    /// When the proxy's process started.
    started_at: Micros,
    /// Whether a watch has been answered since the process started.
    watch_answered: bool,
    /// While the proxy has no watch: the latest time at which the process started, the watch ended or a poll was
    /// answered. `None` while the proxy has a watch.
    unwatched_since: Option<Micros>,
    /// Whether a poll has failed since `unwatched_since`.
    poll_failed: bool,
}

/// The endpoint list, and what each proxy knows of it.
#[derive(Debug)]
pub(super) struct ListKnowledge {
    /// The latest state of each render node, by its index in the plan; `None` until its state first changes in the run.
    list: Vec<Option<Listing>>,
    proxies: Vec<ProxyKnowledge>,
    /// Since when discovery has been reachable; `None` during an outage.
    reachable_since: Option<Micros>,
    /// Start of the last outage.
    last_outage_start: Option<Micros>,
    delivery_limit: Micros,
    polling_limit: Micros,
}

impl ListKnowledge {
    pub fn new(nodes: usize, proxies: usize, rules: &Rules) -> Self {
        let initial = ProxyKnowledge {
            nodes: vec![NodeKnowledge::default(); nodes],
            started_at: 0,
            watch_answered: false,
            unwatched_since: Some(0),
            poll_failed: false,
        };
        ListKnowledge {
            list: vec![None; nodes],
            proxies: vec![initial; proxies],
            reachable_since: Some(0),
            last_outage_start: None,
            delivery_limit: rules.told_within,
            polling_limit: rules.ask_within,
        }
    }

    pub fn observe(&mut self, at: Micros, seen: &Seen) {
        match *seen {
            Seen::Listed { node, phase } => self.record_listing(at, node, phase),
            Seen::Told { proxy, node, phase } => {
                if let Some(knowledge) = self.node_knowledge(proxy, node) {
                    knowledge.record(at, phase == Phase::Up);
                }
            }
            Seen::Watching { proxy, on } => self.record_watch(at, proxy, on),
            Seen::ListCall { proxy, answered } => self.record_poll(at, proxy, answered),
            Seen::DiscoveryUp { up } => {
                // Changes that are presumed known by now stay known. For the others the time limit starts again.
                (0..self.proxies.len()).for_each(|proxy_index| self.apply_presumed(at, proxy_index));
                match up {
                    true => self.reachable_since = self.reachable_since.or(Some(at)),
                    false => (self.reachable_since, self.last_outage_start) = (None, Some(at)),
                }
            }
            Seen::ProxyStarted { proxy, .. } => {
                if let Some(knowledge) = self.proxies.get_mut(usize::from(proxy.0)) {
                    knowledge.restart(at);
                }
            }
            _ => {}
        }
    }

    fn record_listing(&mut self, at: Micros, node: NodeId, phase: Phase) {
        let node_index = usize::from(node.0);
        if node_index >= self.list.len() {
            return;
        }
        (0..self.proxies.len())
            .for_each(|proxy_index| self.apply_presumed_to_node(at, proxy_index, node_index));
        let available = phase == Phase::Up;
        match &mut self.list[node_index] {
            Some(listing) if !available && !listing.available => {}
            listing => *listing = Some(Listing { available, since: at }),
        }
    }

    fn record_watch(&mut self, at: Micros, proxy: ProxyId, active: bool) {
        let proxy_index = usize::from(proxy.0);
        if proxy_index >= self.proxies.len() {
            return;
        }
        self.apply_presumed(at, proxy_index);
        let knowledge = &mut self.proxies[proxy_index];
        if !active {
            knowledge.unwatched_since = knowledge.unwatched_since.or(Some(at));
            return;
        }
        (knowledge.unwatched_since, knowledge.poll_failed) = (None, false);
        // The first watch of a process starts with the complete list; later ones report each change separately.
        if !std::mem::replace(&mut knowledge.watch_answered, true) {
            knowledge.record_list(at, &self.list);
        }
    }

    fn record_poll(&mut self, at: Micros, proxy: ProxyId, answered: bool) {
        let proxy_index = usize::from(proxy.0);
        if proxy_index >= self.proxies.len() {
            return;
        }
        self.apply_presumed(at, proxy_index);
        let knowledge = &mut self.proxies[proxy_index];
        if answered {
            knowledge.record_list(at, &self.list);
            (knowledge.unwatched_since, knowledge.poll_failed) =
                (knowledge.unwatched_since.map(|_| at), false);
        } else {
            knowledge.poll_failed = true;
        }
    }

    fn node_knowledge(&mut self, proxy: ProxyId, node: NodeId) -> Option<&mut NodeKnowledge> {
        self.proxies.get_mut(usize::from(proxy.0))?.nodes.get_mut(usize::from(node.0))
    }

    /// When a change listed at `since` is presumed known to a proxy that it was not delivered to.
    fn presumed_at(&self, knowledge: &ProxyKnowledge, since: Micros) -> Option<Micros> {
        let by_delivery = self.reachable_since.map(|reachable_since| {
            since.max(reachable_since).max(knowledge.started_at) + self.delivery_limit
        });
        let by_polling = knowledge.unwatched_since.map(|unwatched_since| {
            // A failed poll during an outage can't be observed, so one is assumed.
            let poll_failed =
                self.reachable_since.is_none_or(|reachable_since| reachable_since > unwatched_since)
                    || self.last_outage_start.is_some_and(|outage_start| outage_start >= unwatched_since);
            since
                .max(unwatched_since + self.polling_limit * if poll_failed { POLL_FAILURE_FACTOR } else { 1 })
        });
        by_delivery.into_iter().chain(by_polling).min()
    }

    /// Records all changes that are presumed known to the proxy by now.
    fn apply_presumed(&mut self, at: Micros, proxy_index: usize) {
        (0..self.list.len()).for_each(|node| self.apply_presumed_to_node(at, proxy_index, node));
    }

    /// Records the render node's latest change if it is presumed known by now. Callers run this before they change the
    /// state that the presumption depends on.
    fn apply_presumed_to_node(&mut self, at: Micros, proxy_index: usize, node: usize) {
        let Some(listing) = self.list[node] else { return };
        let known = self.proxies[proxy_index].nodes[node];
        if let Some(presumed) =
            self.presumed_at(&self.proxies[proxy_index], listing.since).filter(|presumed| *presumed <= at)
        {
            let is_newer = known.available_at.is_none_or(|known| known < listing.since);
            if !listing.available || is_newer {
                self.proxies[proxy_index].nodes[node].record(presumed, listing.available);
            }
        }
    }

    /// Since when the proxy has known that the render node is draining or removed; `None` if it does not know at `at`.
    pub fn unavailable_since(&mut self, at: Micros, proxy: ProxyId, node: NodeId) -> Option<Micros> {
        let (proxy_index, node_index) = (usize::from(proxy.0), usize::from(node.0));
        if proxy_index >= self.proxies.len() || node_index >= self.list.len() {
            return None;
        }
        self.apply_presumed_to_node(at, proxy_index, node_index);
        self.proxies[proxy_index].nodes[node_index].unavailable_since
    }

    /// Whether the proxy knows at `at` that the render node started at `started_at`.
    pub fn knows_of_start(&mut self, at: Micros, proxy: ProxyId, node: NodeId, started_at: Micros) -> bool {
        let (proxy_index, node_index) = (usize::from(proxy.0), usize::from(node.0));
        if proxy_index >= self.proxies.len() || node_index >= self.list.len() {
            return false;
        }
        // A listing older than the start does not announce it.
        if self.list[node_index].is_some_and(|listing| listing.since >= started_at) {
            self.apply_presumed_to_node(at, proxy_index, node_index);
        }
        self.proxies[proxy_index].nodes[node_index]
            .available_at
            .is_some_and(|available_at| available_at >= started_at)
    }
}

impl ProxyKnowledge {
    /// Clears the knowledge for a new process.
    fn restart(&mut self, at: Micros) {
        self.nodes.fill(NodeKnowledge::default());
        self.started_at = at;
        self.watch_answered = false;
        self.unwatched_since = Some(at);
        self.poll_failed = false;
    }

    /// Records a complete list.
    fn record_list(&mut self, at: Micros, list: &[Option<Listing>]) {
        for (knowledge, listing) in self.nodes.iter_mut().zip(list) {
            if let Some(listing) = listing {
                knowledge.record(at, listing.available);
            }
        }
    }
}

impl NodeKnowledge {
    fn record(&mut self, at: Micros, available: bool) {
        if available {
            self.unavailable_since = None;
            self.available_at = Some(self.available_at.map_or(at, |known| known.max(at)));
        } else {
            self.unavailable_since = Some(self.unavailable_since.map_or(at, |known| known.min(at)));
        }
    }
}
