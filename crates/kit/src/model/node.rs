//! The model of one render node: set-ups, the load of connections, the backlog of work, and message latency that
//! grows with utilization. `docs/design/render-node-model.md` has the formulas and the simplifications.

mod attempts;
mod connection;
mod connection_table;
#[cfg(test)]
mod tests;

use super::backlog::{Backlog, Ramp, seconds};
use super::slow_start::ArrivalBudget;
use crate::observation::{NodeAnswer, RequestId};
use crate::plan::{Node, NodeChange, NodeId, Plan, SessionId};
use crate::time::Micros;
use connection::{Item, State};
use connection_table::ConnectionTable;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Message latency grows with utilization up to this value. Demand beyond the capacity builds up a backlog, whose
/// delay is added separately.
const MAX_UTILIZATION: f64 = 0.98;

/// A first line that the node received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewAttempt {
    /// The serial number of the attempt at this node. It identifies the connection.
    pub serial: u32,
    /// The id in the client's first line.
    pub request: RequestId,
    /// The session of the request; `None` is answered with `ERR`.
    pub session: Option<SessionId>,
    /// The time that the proxy waits for the answer.
    pub wait: Micros,
    /// Whether the connection was open at this node before the run. It needs no set-up then.
    pub open_before_run: bool,
    /// The network delay of one direction between the proxy and this node. Answers and returned lines are delayed by
    /// both directions, and lines that the node sends without a request by one.
    pub network_delay: Micros,
}

/// Events for the node. Connections are identified by the serials of their attempts; an unknown serial is ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A first line was received.
    Open(NewAttempt),
    /// A line of the client was received.
    Line(u32),
    /// The proxy ended its sending.
    Ended(u32),
    /// The connection is closed.
    Closed(u32),
    /// A change of the timeline. The emulated network carries out `Vanish`; the node ignores it.
    Change(NodeChange),
    /// Time has passed.
    Tick,
}

/// Actions that the node requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// Answer an attempt, and end the connection unless the answer is `Up`.
    Answer(u32, NodeAnswer),
    /// Answer an attempt with unreadable bytes that are derived from this number, and end the connection.
    Rubbish(u32, u64),
    /// Report the connection's new load, in microseconds of work per second.
    Load(u32, u64),
    /// Return the oldest line that has not been returned.
    Return(u32),
    /// Send `BYE` and end the connection.
    Bye(u32),
    /// Send `MOVE` and end the connection.
    Move(u32),
    /// End the connection without a line, because the proxy gave up the attempt.
    Close(u32),
    /// Reset the connection.
    Reset(u32),
    /// The node failed because too many connections arrived during slow start. It stays down.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An attempt is answered.
    Answer,
    /// The load of a connection changes.
    ChangeLoad,
    /// The next item in the connection's queue is written.
    WriteItem,
    /// A new load is reported.
    ReportLoad(u64),
    /// The draining node moves the connection.
    MoveClient,
}

/// The state of a render node.
#[derive(Debug)]
pub struct NodeModel {
    plan: Arc<Plan>,
    id: NodeId,
    rng: ChaCha8Rng,
    ramp: Ramp,
    slowdown: f64,
    backlog: Backlog,
    budget: Option<ArrivalBudget>,
    running: bool,
    failed: bool,
    hung: bool,
    rubbish: bool,
    draining: bool,
    connections: ConnectionTable,
    events: BinaryHeap<Reverse<(Micros, u64, u32, Event)>>,
    event_number: u64,
}

impl NodeModel {
    /// Creates a node of the plan. The node is warm and running if it is in service from the start of the run;
    /// otherwise it is down.
    ///
    /// # Panics
    ///
    /// Panics if the plan has no such node.
    pub fn new(plan: Arc<Plan>, id: NodeId) -> Self {
        let node = &plan.nodes[usize::from(id.0)];
        NodeModel {
            rng: ChaCha8Rng::seed_from_u64(node.seed ^ plan.seed.rotate_left(32)),
            ramp: Ramp::warm(node.capacity),
            slowdown: 1.0,
            backlog: Backlog::default(),
            budget: None,
            running: node.from_start,
            failed: false,
            hung: false,
            rubbish: false,
            draining: false,
            connections: ConnectionTable::new(node.group_cost / node.connections_per_unit),
            events: BinaryHeap::new(),
            event_number: 0,
            plan,
            id,
        }
    }

    fn node(&self) -> &Node {
        &self.plan.nodes[usize::from(self.id.0)]
    }

    /// Whether the node's process runs.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Whether the node accepts connections and never replies.
    pub fn is_hung(&self) -> bool {
        self.hung
    }

    /// Whether the node answers new connections with unreadable bytes.
    pub fn is_rubbish(&self) -> bool {
        self.rubbish
    }

    /// Whether a line on this connection would be returned: the connection is up, and neither side has ended it.
    pub fn takes_lines(&self, serial: u32) -> bool {
        self.connections.is_up(serial)
    }

    /// The demand as a share of the current capacity.
    pub fn utilization(&self, now: Micros) -> f64 {
        self.connections.demand() / self.ramp.capacity(now).max(f64::MIN_POSITIVE)
    }

    /// The time, in seconds, that the node needs for its backlog as of the last event.
    pub fn backlog_seconds(&self) -> f64 {
        self.backlog.seconds(&self.ramp)
    }

    /// The time of the next action if no other event occurs.
    pub fn next_timeout(&self) -> Option<Micros> {
        if !self.running {
            return None;
        }
        let due = self.events.peek().map(|Reverse((at, ..))| *at);
        due.into_iter().chain(self.shed_time()).min()
    }

    /// Performs the actions that are due, and then handles the input. `now` must not decrease.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.perform_due(now, out);
        match input {
            Input::Open(attempt) => self.open(now, attempt, out),
            Input::Line(serial) => self.handle_line(now, serial),
            Input::Ended(serial) => self.handle_end(now, serial, out),
            Input::Closed(serial) => drop(self.connections.remove(serial)),
            Input::Change(change) => self.change(now, change, out),
            Input::Tick => {}
        }
        self.perform_due(now, out);
    }

    fn perform_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        while self.running {
            let due = self.events.peek().map(|Reverse((at, ..))| *at).filter(|at| *at <= now);
            match self.shed_time().filter(|at| *at <= due.unwrap_or(now)) {
                Some(at) => {
                    self.backlog.advance(at, self.connections.demand(), &self.ramp);
                    self.shed(at, out);
                }
                None => {
                    let Some(at) = due else { break };
                    self.backlog.advance(at, self.connections.demand(), &self.ramp);
                    if let Some(Reverse((_, _, serial, event))) = self.events.pop() {
                        self.perform(at, serial, event, out);
                    }
                }
            }
        }
        self.backlog.advance(now, self.connections.demand(), &self.ramp);
    }

    fn schedule(&mut self, at: Micros, serial: u32, event: Event) {
        // The number keeps the order of events that are due at the same time.
        self.event_number += 1;
        self.events.push(Reverse((at, self.event_number, serial, event)));
    }

    fn perform(&mut self, at: Micros, serial: u32, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Answer => self.answer(at, serial, out),
            Event::ChangeLoad => self.change_load(at, serial),
            Event::WriteItem => self.write_items(at, serial, out),
            Event::ReportLoad(us) if !self.hung && self.connections.is_up(serial) => {
                out.push(Output::Load(serial, us))
            }
            Event::ReportLoad(_) => {}
            Event::MoveClient => self.queue_last_item(at, serial, Item::Move),
        }
    }

    // -- connections --

    fn handle_line(&mut self, now: Micros, serial: u32) {
        let (utilization, backlog) = (self.utilization(now).min(MAX_UTILIZATION), self.backlog_seconds());
        let node = self.node();
        let queueing_factor = 1.0 + node.bursty * utilization * utilization / (1.0 - utilization);
        let mean = node.message as f64 * self.slowdown * queueing_factor;
        let draw: f64 = Exp1.sample(&mut self.rng);
        let latency = (mean * draw + backlog.min(1e6) * 1e6) as Micros;
        let Some(connection) = self.connections.up_mut(serial) else { return };
        let at = connection.push_item(now + latency + 2 * connection.network_delay, Item::Return);
        at.into_iter().for_each(|at| self.schedule(at, serial, Event::WriteItem));
    }

    /// Queues `last_item` as the last item of the connection, after the lines that are still to be returned.
    fn queue_last_item(&mut self, now: Micros, serial: u32, last_item: Item) {
        let Some(connection) = self.connections.up_mut(serial) else { return };
        let at = connection.push_item(now + connection.network_delay, last_item);
        at.into_iter().for_each(|at| self.schedule(at, serial, Event::WriteItem));
        self.connections.end(serial);
    }

    fn write_items(&mut self, now: Micros, serial: u32, out: &mut Vec<Output>) {
        while !self.hung
            && let Some(connection) = self.connections.get_mut(serial)
            && let Some((at, item)) = connection.items.front().copied()
        {
            if at > now {
                return self.schedule(at, serial, Event::WriteItem);
            }
            connection.items.pop_front();
            match item {
                Item::Return => out.push(Output::Return(serial)),
                Item::Bye => out.push(Output::Bye(serial)),
                Item::Move => out.push(Output::Move(serial)),
            }
            if item != Item::Return {
                self.connections.remove(serial);
            }
        }
    }

    fn handle_end(&mut self, now: Micros, serial: u32, out: &mut Vec<Output>) {
        match self.connections.get(serial).map(|c| c.state) {
            Some(State::Up { .. }) => self.queue_last_item(now, serial, Item::Bye),
            Some(_) => {
                self.connections.remove(serial);
                out.push(Output::Close(serial));
            }
            None => {}
        }
    }

    // -- the whole node --

    fn shed_time(&self) -> Option<Micros> {
        if self.hung {
            return None;
        }
        self.backlog.exceeds_at(seconds(self.node().buffer), self.connections.demand(), &self.ramp)
    }

    /// Drops the connections with the highest load until the demand fits the capacity. The backlog shrinks in
    /// proportion to the demand.
    fn shed(&mut self, now: Micros, out: &mut Vec<Output>) {
        let capacity = self.ramp.capacity(now);
        while self.connections.demand() > capacity
            && let Some(serial) = self.connections.heaviest()
        {
            let before = self.connections.demand();
            self.connections.remove(serial);
            self.backlog.remove_share(1.0 - self.connections.demand() / before);
            out.push(Output::Reset(serial));
        }
    }

    fn change(&mut self, now: Micros, change: NodeChange, out: &mut Vec<Output>) {
        match change {
            NodeChange::Start if !self.failed => self.start(now, out),
            _ if !self.running => {
                if let NodeChange::Slow(slow) = change {
                    self.slowdown = slow.max(1e-3);
                }
            }
            NodeChange::Start | NodeChange::Vanish => {}
            NodeChange::Kill => self.stop(out),
            NodeChange::Hang => self.hung = true,
            NodeChange::Rubbish => self.rubbish = true,
            NodeChange::Slow(slow) => {
                self.slowdown = slow.max(1e-3);
                self.ramp.full_capacity = self.node().capacity / self.slowdown;
            }
            NodeChange::Recover => {
                (self.hung, self.rubbish) = (false, false);
                for serial in self.connections.serials() {
                    self.answer(now, serial, out);
                    self.write_items(now, serial, out);
                }
            }
            NodeChange::Drain { within } => self.drain(now, within),
        }
    }

    fn start(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.stop(out);
        let node = &self.plan.nodes[usize::from(self.id.0)];
        let (initial_share, warm_up) = (node.cold_from, node.warm_up);
        let nominal_ramp = Ramp { start: now, initial_share, warm_up, full_capacity: node.capacity };
        self.budget = Some(ArrivalBudget::new(node, nominal_ramp));
        self.ramp = Ramp { full_capacity: node.capacity / self.slowdown, ..nominal_ramp };
        self.backlog = Backlog::default();
        self.backlog.advance(now, 0.0, &self.ramp);
        (self.hung, self.rubbish, self.draining) = (false, false, false);
        self.running = true;
    }

    /// Ends the process at once.
    fn stop(&mut self, out: &mut Vec<Output>) {
        out.extend(self.connections.serials().into_iter().map(Output::Reset));
        self.connections.clear();
        self.events.clear();
        self.running = false;
    }

    fn drain(&mut self, now: Micros, within: Micros) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        for serial in self.connections.refuse_setups(now) {
            self.schedule(now, serial, Event::Answer);
        }
        let leaving: Vec<u32> =
            self.connections.serials().into_iter().filter(|s| self.connections.is_up(*s)).collect();
        let parts = leaving.len() as Micros + 1;
        for (serial, i) in leaving.into_iter().zip(1..) {
            self.schedule(now + within * i / parts, serial, Event::MoveClient);
        }
    }
}
