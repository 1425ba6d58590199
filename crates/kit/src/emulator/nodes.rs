//! Emulates render nodes on real sockets: one reactor per thread, for the thread's share of the nodes. [`NodeModel`]
//! decides what a node does; this module reads, writes, and records observations.

use super::fault::Fault;
use super::nodes_connection::{NodeReport, NodeSocket};
use super::nodes_listener::NodeListener;
use crate::addresses::Addresses;
use crate::board::Board;
use crate::model::first_line::PlanIndex;
use crate::model::node::{Input, NodeModel, Output};
use crate::model::slow_start;
use crate::notes::{Notes, merge};
use crate::observation::{Condition, NodeAnswer, Observation, Seen};
use crate::plan::{NetworkChange, NodeChange, NodeId, Plan, ProxyId, TimelineChange};
use crate::time::{MS, Micros};
use cottonnotch_reactor::{Key, Reactor};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::Arc;

/// Interval between two checks whether the run is over.
const STOP_CHECK_INTERVAL: Micros = 10 * MS;
/// Interval at which the lag of this loop is measured.
const LAG_INTERVAL: Micros = 100 * MS;
/// The loop's own timers. Smaller numbers are timers of the nodes, by index.
const STOP_CHECK_TIMER: u32 = u32::MAX;
const LAG_TIMER: u32 = u32::MAX - 1;
const TIMELINE_TIMER: u32 = u32::MAX - 2;

/// One connection of a proxy to a render node.
#[derive(Debug)]
pub(super) struct ProxyConnection {
    /// Index of the render node in [`NodeEmulator::nodes`].
    pub node_index: usize,
    pub proxy: ProxyId,
    /// The serial of the attempt. `None` until the first line has arrived.
    pub serial: Option<u32>,
    /// When the node last wrote to the connection. The attempt's end is never recorded as earlier than this: an end
    /// that was read before the write but is handled after it would otherwise be recorded as earlier than the answer.
    pub last_write: Micros,
    /// The attempt's end has been recorded.
    pub end_recorded: bool,
    /// Lines to be returned, each with its number from the client, if it has one.
    pub pending_lines: VecDeque<(Vec<u8>, Option<u32>)>,
    /// The emulated network lets nothing through on this connection.
    pub silent: bool,
    /// Outputs of the model that are deferred while the connection is silent.
    pub deferred_outputs: VecDeque<Output>,
}

/// One emulated render node.
#[derive(Debug)]
pub(super) struct EmulatedNode {
    pub id: NodeId,
    pub model: NodeModel,
    /// The node's listener for each proxy. `None` while the port is closed and connections of that proxy are refused.
    pub listeners: Vec<Option<NodeListener>>,
    pub connections: BTreeSet<Key>,
    /// The connection of each attempt, by the attempt's serial.
    pub attempts: BTreeMap<u32, Key>,
    pub next_serial: u32,
    /// The node's machine has vanished: the node is silent for all proxies.
    pub vanished: bool,
    /// Proxies that the network has cut off from the node.
    pub cut_off: BTreeSet<ProxyId>,
    /// The condition that was recorded last.
    pub recorded_condition: Option<Condition>,
    /// When the model's timer fires. `None` if no timer is set.
    pub timer_due: Option<Micros>,
}

impl EmulatedNode {
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

/// The render nodes of one thread.
pub(super) struct NodeEmulator<'a> {
    pub(super) plan: &'a Plan,
    pub(super) addresses: &'a Addresses,
    pub(super) session_index: PlanIndex<'a>,
    pub(super) reactor: Reactor<NodeSocket>,
    pub(super) nodes: Vec<EmulatedNode>,
    pub(super) proxy_connections: BTreeMap<Key, ProxyConnection>,
    /// The index of the node and the proxy that each listener belongs to.
    pub(super) listeners: BTreeMap<Key, (usize, ProxyId)>,
    pub(super) notes: Notes,
    /// Index of the next event of the plan's timeline.
    pub(super) next_event: usize,
    pub(super) lag_due: Micros,
    pub(super) output_buffer: Vec<Output>,
    /// Nodes that have failed under load while cold, and whose connections and listeners are still to be closed.
    pub(super) failed_nodes: Vec<usize>,
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
    node_ids: Vec<NodeId>,
) -> io::Result<Vec<Observation>> {
    let reactor = Reactor::new(board.clock.for_loop()).map_err(|e| Fault::of("the render nodes", None, e))?;
    let new_node = |id: NodeId| EmulatedNode {
        id,
        model: NodeModel::new(Arc::clone(&plan), id),
        listeners: plan.proxies.iter().map(|_| None).collect(),
        connections: BTreeSet::new(),
        attempts: BTreeMap::new(),
        next_serial: 0,
        vanished: false,
        cut_off: BTreeSet::new(),
        recorded_condition: None,
        timer_due: None,
    };
    let emulated_nodes =
        node_ids.into_iter().filter(|id| usize::from(id.0) < plan.nodes.len()).map(new_node).collect();
    let mut emulator = NodeEmulator {
        plan: &plan,
        addresses: &addresses,
        session_index: PlanIndex::new(&plan),
        reactor,
        nodes: emulated_nodes,
        proxy_connections: BTreeMap::new(),
        listeners: BTreeMap::new(),
        notes: Notes::default(),
        next_event: 0,
        lag_due: board.clock.now() + LAG_INTERVAL,
        output_buffer: Vec::new(),
        failed_nodes: Vec::new(),
    };
    emulator.start()?;
    board.ready();
    while !board.is_stopping() {
        emulator.reactor.turn().map_err(|e| Fault::of("the render nodes' loop", None, e))?;
        emulator.handle_reports()?;
    }
    Ok(merge(vec![emulator.notes.into_inner()]))
}

impl NodeEmulator<'_> {
    pub(super) fn now(&self) -> Micros {
        self.reactor.io.now()
    }

    pub(super) fn record(&mut self, seen: Seen) {
        self.notes.note(self.now(), seen);
    }

    fn start(&mut self) -> io::Result<()> {
        let now = self.now();
        for index in 0..self.nodes.len() {
            self.update_sockets(index)?;
            if self.nodes[index].model.is_running() {
                self.record(Seen::Started { node: self.nodes[index].id, cold: None });
            }
            self.record_condition(index);
        }
        self.reactor.io.owner_timer(now + STOP_CHECK_INTERVAL, STOP_CHECK_TIMER);
        self.reactor.io.owner_timer(self.lag_due, LAG_TIMER);
        self.reactor.io.owner_timer(now, TIMELINE_TIMER);
        Ok(())
    }

    fn handle_reports(&mut self) -> io::Result<()> {
        while let Some(report) = self.reactor.io.reports.pop_front() {
            match report {
                NodeReport::Timer(timer) => self.handle_timer(timer)?,
                NodeReport::Accept(key) => {
                    if let Some((node, proxy)) = self.listeners.get(&key).copied() {
                        self.accept_connections(node, proxy, None)?;
                    }
                }
                NodeReport::Probe(key) => {
                    // A hung node doesn't answer probes either.
                    if self
                        .proxy_connections
                        .get(&key)
                        .is_some_and(|connection| !self.nodes[connection.node_index].model.is_hung())
                    {
                        self.with_connection(key, |c, _| c.write(b"NO\r\n"));
                    }
                }
                NodeReport::FirstLine { key, line, first_byte, at } => {
                    self.handle_first_line(key, &line, first_byte, at)
                }
                NodeReport::Line { key, line, at } => self.handle_line(key, line, at),
                NodeReport::TooLong(key) => {
                    match self.proxy_connections.get(&key).and_then(|connection| connection.serial) {
                        Some(_) => self.reset_connection(key),
                        None => self.reject_first_line(key, b"(a line without end)"),
                    }
                }
                NodeReport::PeerEnded(key, at) => self.handle_peer_end(key, at),
                NodeReport::Closed(key, at) => self.handle_closed(key, at),
            }
            while let Some(index) = self.failed_nodes.pop() {
                self.reset_connections(index);
                self.update_sockets(index)?;
                self.record_condition(index);
            }
        }
        Ok(())
    }

    fn handle_timer(&mut self, timer: u32) -> io::Result<()> {
        let now = self.now();
        match timer {
            // The timer only wakes the loop, which then checks whether the run is over.
            STOP_CHECK_TIMER => self.reactor.io.owner_timer(now + STOP_CHECK_INTERVAL, STOP_CHECK_TIMER),
            LAG_TIMER => {
                self.record(Seen::Lag { late: now - self.lag_due });
                self.lag_due = now + LAG_INTERVAL;
                self.reactor.io.owner_timer(self.lag_due, LAG_TIMER);
            }
            TIMELINE_TIMER => self.apply_timeline(now)?,
            index => {
                let Some(emulated) = self.nodes.get_mut(index as usize) else { return Ok(()) };
                emulated.timer_due.take_if(|at| *at <= now);
                self.handle_input(index as usize, Input::Tick);
            }
        }
        Ok(())
    }

    /// Applies the timeline events that are due, and sets a timer for the next one.
    fn apply_timeline(&mut self, now: Micros) -> io::Result<()> {
        let plan = self.plan;
        while let Some(event) = plan.timeline.get(self.next_event) {
            if event.at > now {
                self.reactor.io.owner_timer(event.at, TIMELINE_TIMER);
                break;
            }
            self.next_event += 1;
            match &event.change {
                TimelineChange::Node(node, change) => {
                    let index = self.nodes.iter().position(|emulated| emulated.id == *node);
                    index.map_or(Ok(()), |index| self.apply_change(index, *change))?;
                }
                TimelineChange::Network(NetworkChange::CutOff(proxy, nodes)) => {
                    for index in 0..self.nodes.len() {
                        if nodes.contains(&self.nodes[index].id) {
                            self.nodes[index].cut_off.insert(*proxy);
                            self.record_reach(index, *proxy, false);
                            self.update_sockets(index)?;
                        }
                    }
                }
                TimelineChange::Network(NetworkChange::Reach(proxy)) => {
                    for index in 0..self.nodes.len() {
                        if self.nodes[index].cut_off.remove(proxy) {
                            self.record_reach(index, *proxy, true);
                            self.update_sockets(index)?;
                        }
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn record_reach(&mut self, index: usize, proxy: ProxyId, on: bool) {
        let (now, node) = (self.reactor.io.now(), self.nodes[index].id);
        self.notes.note(now, Seen::Reach { proxy, node, on });
    }

    fn apply_change(&mut self, index: usize, change: NodeChange) -> io::Result<()> {
        let node = self.nodes[index].id;
        match change {
            NodeChange::Vanish => self.nodes[index].vanished = true,
            NodeChange::Start | NodeChange::Recover => self.nodes[index].vanished = false,
            _ => {}
        }
        if change == NodeChange::Kill {
            // The listeners are closed first, so that a proxy whose connection is reset cannot connect again.
            self.close_listeners(index);
        }
        let restarts = matches!(change, NodeChange::Kill | NodeChange::Start);
        if restarts && !self.nodes[index].vanished {
            self.reset_connections(index);
        }
        self.handle_input(index, Input::Change(change));
        if change == NodeChange::Start && self.nodes[index].model.is_running() {
            let cold = Some(slow_start::for_node(&self.plan.nodes[usize::from(node.0)]));
            self.record(Seen::Started { node, cold });
        }
        self.update_sockets(index)?;
        self.record_condition(index);
        self.handle_reports()
    }

    /// Closes the node's listeners, except silent ones.
    fn close_listeners(&mut self, index: usize) {
        for listener in &mut self.nodes[index].listeners {
            if let Some(listener) = listener.take_if(|listener| !listener.is_silent()) {
                self.listeners.remove(&listener.key);
                self.reactor.remove(listener.key);
            }
        }
    }

    /// Resets all connections of a node, except attempts of proxies that are cut off.
    fn reset_connections(&mut self, index: usize) {
        let keys: Vec<Key> = self.nodes[index].connections.iter().copied().collect();
        for key in keys {
            let Some(connection) = self.proxy_connections.get(&key) else { continue };
            // An attempt's connection to a proxy that is cut off stays silent for now. Its reset is
            // deferred until the proxy is reachable again.
            if connection.serial.is_none() || !self.nodes[index].cut_off.contains(&connection.proxy) {
                self.reset_connection(key);
            }
        }
    }

    fn record_condition(&mut self, index: usize) {
        let condition = self.nodes[index].condition();
        if self.nodes[index].recorded_condition.replace(condition) != Some(condition) {
            self.record(Seen::Condition { node: self.nodes[index].id, condition });
        }
    }

    /// Opens, closes or silences a node's listeners and connections, as the state of the node and of the network
    /// demands.
    fn update_sockets(&mut self, index: usize) -> io::Result<()> {
        let name = self.plan.nodes[usize::from(self.nodes[index].id.0)].name.as_str();
        let running = self.nodes[index].model.is_running();
        for proxy_index in 0..self.nodes[index].listeners.len() {
            let proxy = ProxyId(proxy_index as u16);
            let silent = self.nodes[index].is_silent(proxy);
            let address = self.addresses.node(self.nodes[index].id, proxy);
            let fault = |e| Fault::of(format!("render node {name}"), Some(address), e);
            if (running || silent) && self.nodes[index].listeners[proxy_index].is_none() {
                let listener = NodeListener::open(address, &mut self.reactor).map_err(fault)?;
                self.listeners.insert(listener.key, (index, proxy));
                self.nodes[index].listeners[proxy_index] = Some(listener);
            }
            if silent {
                // Connections that wait to be accepted were established before the silence.
                self.accept_connections(index, proxy, None)?;
            }
            let Some(listener) = &mut self.nodes[index].listeners[proxy_index] else { continue };
            if !running && !silent {
                self.listeners.remove(&listener.key);
                self.reactor.remove(listener.key);
                self.nodes[index].listeners[proxy_index] = None;
            } else if silent && !listener.is_silent() {
                listener.silence().map_err(fault)?;
            } else if !silent && listener.is_silent() {
                let filler = listener.resume().map_err(fault)?;
                self.accept_connections(index, proxy, filler)?;
            }
        }
        self.update_connections(index)
    }

    /// Silences a node's connections, or resumes them and carries out their deferred outputs.
    fn update_connections(&mut self, index: usize) -> io::Result<()> {
        let keys: Vec<Key> = self.nodes[index].connections.iter().copied().collect();
        for key in keys {
            let Some(connection) = self.proxy_connections.get_mut(&key) else { continue };
            let silent = self.nodes[index].is_silent(connection.proxy);
            if std::mem::replace(&mut connection.silent, silent) == silent {
                continue;
            }
            if silent {
                self.with_connection(key, |c, _| c.silence());
                continue;
            }
            let deferred = std::mem::take(&mut connection.deferred_outputs);
            self.with_connection(key, |c, io| c.resume(io));
            // Input that arrived during the silence is handled before the deferred outputs: an attempt that the
            // proxy gave up is not answered any more.
            self.handle_reports()?;
            for output in deferred {
                let given_up =
                    self.proxy_connections.get(&key).is_none_or(|connection| connection.end_recorded);
                match output {
                    Output::Answer(_, NodeAnswer::Up(_)) | Output::Load(..) if given_up => {}
                    Output::Answer(..) | Output::Rubbish(..) | Output::Move(_) if given_up => {
                        self.with_connection(key, |c, io| c.write_last(b"", io));
                    }
                    output => self.perform(index, output),
                }
            }
        }
        Ok(())
    }
}
