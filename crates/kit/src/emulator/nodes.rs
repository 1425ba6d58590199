//! Emulates render nodes on real sockets: one reactor per thread, for the thread's share of the nodes. [`NodeModel`]
//! decides what a node does; this module reads, writes, and records observations.

use super::fault::Fault;
use super::nodes_connection::{Party, Report};
use super::nodes_post::Post;
use crate::addresses::Addresses;
use crate::board::Board;
use crate::model::cold;
use crate::model::first_line::Index;
use crate::model::node::{Input, NodeModel, Output};
use crate::notes::{Notes, merge};
use crate::observation::{Condition, NodeAnswer, Observation, Seen};
use crate::plan::{NetworkChange, NodeChange, NodeId, Plan, ProxyId, TimelineChange};
use crate::time::{MS, Micros};
use cottonnotch_reactor::{Key, Reactor};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::Arc;

/// Interval between two checks whether the run is over.
const LOOK: Micros = 10 * MS;
/// Interval at which the lag of this loop is measured.
const LAG: Micros = 100 * MS;
/// The loop's own timers. Smaller numbers are timers of the members, by index.
const LOOKS: u32 = u32::MAX;
const LAGS: u32 = u32::MAX - 1;
const TIMELINE: u32 = u32::MAX - 2;

/// One connection of a proxy to a render node.
#[derive(Debug)]
pub(super) struct Place {
    pub node: usize,
    pub proxy: ProxyId,
    /// The serial of the attempt. `None` until the first line has arrived.
    pub serial: Option<u32>,
    /// When the node last wrote to the connection. The attempt's end is never recorded as earlier than this: an end
    /// that was read before the write but is handled after it would otherwise be recorded as earlier than the answer.
    pub written: Micros,
    /// The attempt's end has been recorded.
    pub over: bool,
    /// Lines to be returned, each with its number from the client, if it has one.
    pub lines: VecDeque<(Vec<u8>, Option<u32>)>,
    /// The emulated network lets nothing through on this connection.
    pub silent: bool,
    /// Outputs of the model that are deferred while the connection is silent.
    pub held: VecDeque<Output>,
}

/// One emulated render node.
#[derive(Debug)]
pub(super) struct Member {
    pub id: NodeId,
    pub model: NodeModel,
    /// The node's listener for each proxy. `None` while the port is closed and connections of that proxy are refused.
    pub posts: Vec<Option<Post>>,
    pub connections: BTreeSet<Key>,
    pub attempts: BTreeMap<u32, Key>,
    pub serial: u32,
    pub vanished: bool,
    pub cut_off: BTreeSet<ProxyId>,
    pub condition: Option<Condition>,
    pub armed: Option<Micros>,
}

impl Member {
    fn is_silent(&self, proxy: ProxyId) -> bool {
        self.vanished || self.cut_off.contains(&proxy)
    }

    fn condition(&self) -> Condition {
        match () {
            () if self.vanished => Condition::Vanished,
            () if !self.model.is_running() => Condition::Down,
            () if self.model.is_hung() => Condition::Hung,
            () if self.model.is_rubbish() => Condition::Rubbish,
            () => Condition::Sound,
        }
    }
}

pub(super) struct Nodes<'a> {
    pub(super) plan: &'a Plan,
    pub(super) addresses: &'a Addresses,
    pub(super) index: Index<'a>,
    pub(super) reactor: Reactor<Party>,
    pub(super) members: Vec<Member>,
    pub(super) places: BTreeMap<Key, Place>,
    pub(super) posts: BTreeMap<Key, (usize, ProxyId)>,
    pub(super) notes: Notes,
    /// Index of the next event of the plan's timeline.
    pub(super) next: usize,
    pub(super) lag_due: Micros,
    pub(super) out: Vec<Output>,
    /// Members that have failed under load while cold, and whose connections and listeners are still to be closed.
    pub(super) fallen: Vec<usize>,
}

/// Runs the given render nodes until the board stops the run, and returns the observations.
///
/// # Errors
///
/// A [`Fault`] inside an [`io::Error`]: an address is in use, no file descriptor is left, or polling fails.
pub fn run(
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
    which: Vec<NodeId>,
) -> io::Result<Vec<Observation>> {
    let reactor = Reactor::new(board.clock.for_loop()).map_err(|e| Fault::of("the render nodes", None, e))?;
    let member = |id: NodeId| Member {
        id,
        model: NodeModel::new(Arc::clone(&plan), id),
        posts: plan.proxies.iter().map(|_| None).collect(),
        connections: BTreeSet::new(),
        attempts: BTreeMap::new(),
        serial: 0,
        vanished: false,
        cut_off: BTreeSet::new(),
        condition: None,
        armed: None,
    };
    let members = which.into_iter().filter(|id| usize::from(id.0) < plan.nodes.len()).map(member).collect();
    let mut nodes = Nodes {
        plan: &plan,
        addresses: &addresses,
        index: Index::new(&plan),
        reactor,
        members,
        places: BTreeMap::new(),
        posts: BTreeMap::new(),
        notes: Notes::default(),
        next: 0,
        lag_due: board.clock.now() + LAG,
        out: Vec::new(),
        fallen: Vec::new(),
    };
    nodes.begin()?;
    board.ready();
    while !board.is_stopping() {
        nodes.reactor.turn().map_err(|e| Fault::of("the render nodes' loop", None, e))?;
        nodes.take_reports()?;
    }
    Ok(merge(vec![nodes.notes.into_inner()]))
}

impl Nodes<'_> {
    pub(super) fn now(&self) -> Micros {
        self.reactor.io.now()
    }

    pub(super) fn note(&mut self, seen: Seen) {
        self.notes.note(self.now(), seen);
    }

    fn begin(&mut self) -> io::Result<()> {
        let now = self.now();
        for i in 0..self.members.len() {
            self.settle(i)?;
            if self.members[i].model.is_running() {
                self.note(Seen::Started { node: self.members[i].id, cold: None });
            }
            self.note_condition(i);
        }
        self.reactor.io.owner_timer(now + LOOK, LOOKS);
        self.reactor.io.owner_timer(self.lag_due, LAGS);
        self.reactor.io.owner_timer(now, TIMELINE);
        Ok(())
    }

    fn take_reports(&mut self) -> io::Result<()> {
        while let Some(report) = self.reactor.io.reports.pop_front() {
            match report {
                Report::Timer(timer) => self.timer(timer)?,
                Report::Accept(key) => {
                    if let Some((node, proxy)) = self.posts.get(&key).copied() {
                        self.accept(node, proxy, None)?;
                    }
                }
                Report::Probe(key) => {
                    // A hung node doesn't answer probes either.
                    if self.places.get(&key).is_some_and(|p| !self.members[p.node].model.is_hung()) {
                        self.connection(key, |c, _| c.say(b"NO\r\n"));
                    }
                }
                Report::First { key, line, first_byte, at } => self.first_line(key, &line, first_byte, at),
                Report::Line { key, line, at } => self.line(key, line, at),
                Report::TooLong(key) => match self.places.get(&key).and_then(|p| p.serial) {
                    Some(_) => self.cut(key),
                    None => self.bad_first_line(key, b"(a line without end)"),
                },
                Report::Ended(key, at) => self.ended(key, at),
                Report::Gone(key, at) => self.gone(key, at),
            }
            while let Some(i) = self.fallen.pop() {
                self.reset_all(i);
                self.settle(i)?;
                self.note_condition(i);
            }
        }
        Ok(())
    }

    fn timer(&mut self, timer: u32) -> io::Result<()> {
        let now = self.now();
        match timer {
            // The timer only wakes the loop, which then checks whether the run is over.
            LOOKS => self.reactor.io.owner_timer(now + LOOK, LOOKS),
            LAGS => {
                self.note(Seen::Lag { late: now - self.lag_due });
                self.lag_due = now + LAG;
                self.reactor.io.owner_timer(self.lag_due, LAGS);
            }
            TIMELINE => self.timeline(now)?,
            node => {
                let Some(member) = self.members.get_mut(node as usize) else { return Ok(()) };
                member.armed.take_if(|at| *at <= now);
                self.model(node as usize, Input::Tick);
            }
        }
        Ok(())
    }

    fn timeline(&mut self, now: Micros) -> io::Result<()> {
        let plan = self.plan;
        while let Some(event) = plan.timeline.get(self.next) {
            if event.at > now {
                self.reactor.io.owner_timer(event.at, TIMELINE);
                break;
            }
            self.next += 1;
            match &event.change {
                TimelineChange::Node(node, change) => {
                    let of_ours = self.members.iter().position(|member| member.id == *node);
                    of_ours.map_or(Ok(()), |i| self.change(i, *change))?;
                }
                TimelineChange::Network(NetworkChange::CutOff(proxy, nodes)) => {
                    for i in 0..self.members.len() {
                        if nodes.contains(&self.members[i].id) {
                            self.members[i].cut_off.insert(*proxy);
                            self.reach(i, *proxy, false);
                            self.settle(i)?;
                        }
                    }
                }
                TimelineChange::Network(NetworkChange::Reach(proxy)) => {
                    for i in 0..self.members.len() {
                        if self.members[i].cut_off.remove(proxy) {
                            self.reach(i, *proxy, true);
                            self.settle(i)?;
                        }
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn reach(&mut self, i: usize, proxy: ProxyId, on: bool) {
        let (now, node) = (self.reactor.io.now(), self.members[i].id);
        self.notes.note(now, Seen::Reach { proxy, node, on });
    }

    fn change(&mut self, i: usize, change: NodeChange) -> io::Result<()> {
        let node = self.members[i].id;
        match change {
            NodeChange::Vanish => self.members[i].vanished = true,
            NodeChange::Start | NodeChange::Recover => self.members[i].vanished = false,
            _ => {}
        }
        if change == NodeChange::Kill {
            // The listeners are closed first, so that a proxy whose connection is reset cannot connect again.
            self.close_posts(i);
        }
        let restarts = matches!(change, NodeChange::Kill | NodeChange::Start);
        if restarts && !self.members[i].vanished {
            self.reset_all(i);
        }
        self.model(i, Input::Change(change));
        if change == NodeChange::Start && self.members[i].model.is_running() {
            let cold = Some(cold::figures(&self.plan.nodes[usize::from(node.0)]));
            self.note(Seen::Started { node, cold });
        }
        self.settle(i)?;
        self.note_condition(i);
        self.take_reports()
    }

    /// Closes the member's listeners, except silent ones.
    fn close_posts(&mut self, i: usize) {
        for post in &mut self.members[i].posts {
            if let Some(post) = post.take_if(|post| !post.is_silent()) {
                self.posts.remove(&post.key);
                self.reactor.remove(post.key);
            }
        }
    }

    fn reset_all(&mut self, i: usize) {
        let keys: Vec<Key> = self.members[i].connections.iter().copied().collect();
        for key in keys {
            let Some(place) = self.places.get(&key) else { continue };
            // An attempt's connection to a proxy that is cut off stays silent for now. Its reset is
            // deferred until the proxy is reachable again.
            if place.serial.is_none() || !self.members[i].cut_off.contains(&place.proxy) {
                self.cut(key);
            }
        }
    }

    fn note_condition(&mut self, i: usize) {
        let condition = self.members[i].condition();
        if self.members[i].condition.replace(condition) != Some(condition) {
            self.note(Seen::Condition { node: self.members[i].id, condition });
        }
    }

    /// Opens, closes or silences a member's listeners and connections, as the state of the node and of the network
    /// demands.
    fn settle(&mut self, i: usize) -> io::Result<()> {
        let name = self.plan.nodes[usize::from(self.members[i].id.0)].name.as_str();
        let running = self.members[i].model.is_running();
        for p in 0..self.members[i].posts.len() {
            let proxy = ProxyId(p as u16);
            let silent = self.members[i].is_silent(proxy);
            let address = self.addresses.node(self.members[i].id, proxy);
            let fault = |e| Fault::of(format!("render node {name}"), Some(address), e);
            if (running || silent) && self.members[i].posts[p].is_none() {
                let post = Post::open(address, &mut self.reactor).map_err(fault)?;
                self.posts.insert(post.key, (i, proxy));
                self.members[i].posts[p] = Some(post);
            }
            if silent {
                // Connections that wait to be accepted were established before the silence.
                self.accept(i, proxy, None)?;
            }
            let Some(post) = &mut self.members[i].posts[p] else { continue };
            if !running && !silent {
                self.posts.remove(&post.key);
                self.reactor.remove(post.key);
                self.members[i].posts[p] = None;
            } else if silent && !post.is_silent() {
                post.hush().map_err(fault)?;
            } else if !silent && post.is_silent() {
                let own = post.wake().map_err(fault)?;
                self.accept(i, proxy, own)?;
            }
        }
        self.settle_connections(i)
    }

    fn settle_connections(&mut self, i: usize) -> io::Result<()> {
        let keys: Vec<Key> = self.members[i].connections.iter().copied().collect();
        for key in keys {
            let Some(place) = self.places.get_mut(&key) else { continue };
            let silent = self.members[i].is_silent(place.proxy);
            if std::mem::replace(&mut place.silent, silent) == silent {
                continue;
            }
            if silent {
                self.connection(key, |c, _| c.hush());
                continue;
            }
            let held = std::mem::take(&mut place.held);
            self.connection(key, |c, io| c.wake(io));
            // Input that arrived during the silence is handled before the deferred outputs: an attempt that the
            // proxy gave up is not answered any more.
            self.take_reports()?;
            for output in held {
                let given_up = self.places.get(&key).is_none_or(|place| place.over);
                match output {
                    Output::Answer(_, NodeAnswer::Up(_)) | Output::Load(..) if given_up => {}
                    Output::Answer(..) | Output::Rubbish(..) | Output::Move(_) if given_up => {
                        self.connection(key, |c, io| c.say_last(b"", io));
                    }
                    output => self.perform(i, output),
                }
            }
        }
        Ok(())
    }
}
