//! What each proxy was told of the list, or counts as having been told.

use crate::observation::{Phase, Seen};
use crate::plan::{NodeId, ProxyId, Rules};
use crate::time::Micros;

/// After a failed call, a proxy may go this many times as long without asking (WIRE, `rules.askWithin`).
const AFTER_FAILURE: Micros = 4;

/// What the list says of a render node, and since when; a render node that drains and is then removed has been
/// away since it drained.
#[derive(Clone, Copy, Debug)]
struct Listing {
    up: bool,
    since: Micros,
}

/// What one proxy knows of one render node.
#[derive(Clone, Copy, Debug, Default)]
struct Knowledge {
    /// Told that it drains or is gone, and not that it is back.
    away: Option<Micros>,
    /// Told last that it takes connections.
    up: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Ear {
    knows: Vec<Knowledge>,
    started: Micros,
    /// Its first watch since its start has been answered.
    watched: bool,
    /// Since when it has neither a watch nor asked; and whether a call has failed since.
    unwatched: Option<Micros>,
    failed: bool,
}

/// All proxies' knowledge of the list.
#[derive(Debug)]
pub(super) struct Told {
    list: Vec<Option<Listing>>,
    ears: Vec<Ear>,
    /// Since when discovery can be reached, if it can; and when it last could not.
    reachable: Option<Micros>,
    lost: Option<Micros>,
    told_within: Micros,
    ask_within: Micros,
}

impl Told {
    pub fn new(nodes: usize, proxies: usize, rules: &Rules) -> Self {
        let ear = Ear {
            knows: vec![Knowledge::default(); nodes],
            started: 0,
            watched: false,
            unwatched: Some(0),
            failed: false,
        };
        Told {
            list: vec![None; nodes],
            ears: vec![ear; proxies],
            reachable: Some(0),
            lost: None,
            told_within: rules.told_within,
            ask_within: rules.ask_within,
        }
    }

    pub fn see(&mut self, at: Micros, seen: &Seen) {
        match *seen {
            Seen::Listed { node, phase } => self.listed(at, node, phase),
            Seen::Told { proxy, node, phase } => {
                if let Some(knows) = self.knows(proxy, node) {
                    knows.learn(at, phase == Phase::Up);
                }
            }
            Seen::Watching { proxy, on } => self.watching(at, proxy, on),
            Seen::ListCall { proxy, answered } => self.called(at, proxy, answered),
            Seen::DiscoveryUp { up } => {
                // What counted as told by now stays told; for the rest the clock begins anew.
                (0..self.ears.len()).for_each(|ear| self.settle(at, ear));
                match up {
                    true => self.reachable = self.reachable.or(Some(at)),
                    false => (self.reachable, self.lost) = (None, Some(at)),
                }
            }
            Seen::ProxyStarted { proxy, .. } => {
                if let Some(ear) = self.ears.get_mut(usize::from(proxy.0)) {
                    ear.knows.fill(Knowledge::default());
                    (ear.started, ear.watched, ear.unwatched, ear.failed) = (at, false, Some(at), false);
                }
            }
            _ => {}
        }
    }

    fn listed(&mut self, at: Micros, node: NodeId, phase: Phase) {
        let n = usize::from(node.0);
        if n >= self.list.len() {
            return;
        }
        (0..self.ears.len()).for_each(|ear| self.settle_node(at, ear, n));
        let up = phase == Phase::Up;
        match &mut self.list[n] {
            Some(listing) if !up && !listing.up => {}
            listing => *listing = Some(Listing { up, since: at }),
        }
    }

    fn watching(&mut self, at: Micros, proxy: ProxyId, on: bool) {
        let e = usize::from(proxy.0);
        if e >= self.ears.len() {
            return;
        }
        self.settle(at, e);
        let ear = &mut self.ears[e];
        if !on {
            ear.unwatched = ear.unwatched.or(Some(at));
            return;
        }
        (ear.unwatched, ear.failed) = (None, false);
        // The first answer of a life holds all that there is to know; the changes of a later one are noted.
        if !std::mem::replace(&mut ear.watched, true) {
            ear.learn_all(at, &self.list);
        }
    }

    fn called(&mut self, at: Micros, proxy: ProxyId, answered: bool) {
        let e = usize::from(proxy.0);
        if e >= self.ears.len() {
            return;
        }
        self.settle(at, e);
        let ear = &mut self.ears[e];
        if answered {
            ear.learn_all(at, &self.list);
            (ear.unwatched, ear.failed) = (ear.unwatched.map(|_| at), false);
        } else {
            ear.failed = true;
        }
    }

    fn knows(&mut self, proxy: ProxyId, node: NodeId) -> Option<&mut Knowledge> {
        self.ears.get_mut(usize::from(proxy.0))?.knows.get_mut(usize::from(node.0))
    }

    /// When a change that was listed at `since` counts as told to a proxy that it has not reached.
    fn counts_from(&self, ear: &Ear, since: Micros) -> Option<Micros> {
        let reached = self.reachable.map(|up| since.max(up).max(ear.started) + self.told_within);
        let unasked = ear.unwatched.map(|off| {
            // A call that found discovery gone can't be seen, so one is taken as made.
            let failed =
                self.reachable.is_none_or(|up| up > off) || self.lost.is_some_and(|lost| lost >= off);
            since.max(off + self.ask_within * if failed { AFTER_FAILURE } else { 1 })
        });
        reached.into_iter().chain(unasked).min()
    }

    fn settle(&mut self, at: Micros, ear: usize) {
        (0..self.list.len()).for_each(|node| self.settle_node(at, ear, node));
    }

    /// Writes down what counts as told by now, before that which it follows from changes.
    fn settle_node(&mut self, at: Micros, ear: usize, node: usize) {
        let Some(listing) = self.list[node] else { return };
        let known = self.ears[ear].knows[node];
        if let Some(when) = self.counts_from(&self.ears[ear], listing.since).filter(|when| *when <= at) {
            let newer = known.up.is_none_or(|told| told < listing.since);
            if !listing.up || newer {
                self.ears[ear].knows[node].learn(when, listing.up);
            }
        }
    }

    /// Since when the proxy has been told, by this time, that the render node drains or is gone.
    pub fn away(&mut self, at: Micros, proxy: ProxyId, node: NodeId) -> Option<Micros> {
        let (e, n) = (usize::from(proxy.0), usize::from(node.0));
        if e >= self.ears.len() || n >= self.list.len() {
            return None;
        }
        self.settle_node(at, e, n);
        self.ears[e].knows[n].away
    }

    /// Whether the proxy has been told, by this time, of a start of the render node at `started`.
    pub fn knows_start(&mut self, at: Micros, proxy: ProxyId, node: NodeId, started: Micros) -> bool {
        let (e, n) = (usize::from(proxy.0), usize::from(node.0));
        if e >= self.ears.len() || n >= self.list.len() {
            return false;
        }
        // A listing from before the start says nothing of it.
        if self.list[n].is_some_and(|l| l.since >= started) {
            self.settle_node(at, e, n);
        }
        self.ears[e].knows[n].up.is_some_and(|up| up >= started)
    }
}

impl Ear {
    /// The whole list was written to it.
    fn learn_all(&mut self, at: Micros, list: &[Option<Listing>]) {
        for (knows, listing) in self.knows.iter_mut().zip(list) {
            if let Some(listing) = listing {
                knows.learn(at, listing.up);
            }
        }
    }
}

impl Knowledge {
    fn learn(&mut self, at: Micros, up: bool) {
        if up {
            self.away = None;
            self.up = Some(self.up.map_or(at, |told| told.max(at)));
        } else {
            self.away = Some(self.away.map_or(at, |told| told.min(at)));
        }
    }
}
