//! The model of one render node: set-ups, the load of connections, the backlog of work, and message latency that
//! grows with utilisation. `docs/design/render-node-model.md` has the formulas and the simplifications.

mod attempts;
mod connection;
mod crowd;
#[cfg(test)]
mod tests;

use super::cold::Budget;
use super::pile::{Pile, Ramp, seconds};
use crate::observation::{NodeAnswer, RequestId};
use crate::plan::{Node, NodeChange, NodeId, Plan, SessionId};
use crate::time::Micros;
use connection::{Item, State};
use crowd::Crowd;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Message latency grows with utilisation up to this value. Demand beyond the capacity builds up a backlog, whose
/// delay is added separately.
const FULLEST: f64 = 0.98;

/// A first line that the node received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Opened {
    /// The serial number of the attempt at this node. It identifies the connection.
    pub serial: u32,
    /// The id in the client's first line.
    pub request: RequestId,
    /// The session of the request; `None` is answered with `ERR`.
    pub session: Option<SessionId>,
    /// The time that the proxy waits for the answer.
    pub wait: Micros,
    /// Whether the connection was open at this node before the run. It needs no set-up then.
    pub standing: bool,
    /// The network delay of one direction between the proxy and this node. Answers and returned lines are delayed by
    /// both directions, and lines that the node sends without a request by one.
    pub way: Micros,
}

/// Events for the node. Connections are identified by the serials of their attempts; an unknown serial is ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A first line was received.
    Open(Opened),
    /// A line of the client was received.
    Line(u32),
    /// The proxy ended its sending.
    Ended(u32),
    /// The connection is closed.
    Gone(u32),
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
    Fell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An attempt is answered.
    Answer,
    /// The load of a connection changes.
    Load,
    /// The next item in the connection's queue is written.
    Item,
    /// A new load is reported.
    Tell(u64),
    /// The draining node moves the connection.
    Leave,
}

/// The state of a render node.
#[derive(Debug)]
pub struct NodeModel {
    plan: Arc<Plan>,
    id: NodeId,
    rng: ChaCha8Rng,
    ramp: Ramp,
    slow: f64,
    pile: Pile,
    budget: Option<Budget>,
    running: bool,
    fell: bool,
    hung: bool,
    rubbish: bool,
    draining: bool,
    crowd: Crowd,
    due: BinaryHeap<Reverse<(Micros, u64, u32, Due)>>,
    number: u64,
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
            slow: 1.0,
            pile: Pile::default(),
            budget: None,
            running: node.from_start,
            fell: false,
            hung: false,
            rubbish: false,
            draining: false,
            crowd: Crowd::new(node.group_cost / node.connections_per_unit),
            due: BinaryHeap::new(),
            number: 0,
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
        self.crowd.is_up(serial)
    }

    /// The demand as a share of the current capacity.
    pub fn usage(&self, now: Micros) -> f64 {
        self.crowd.demand() / self.ramp.capacity(now).max(f64::MIN_POSITIVE)
    }

    /// The time, in seconds, that the node needs for its backlog as of the last event.
    pub fn piled_up(&self) -> f64 {
        self.pile.seconds(&self.ramp)
    }

    /// The time of the next action if no other event occurs.
    pub fn next_timeout(&self) -> Option<Micros> {
        if !self.running {
            return None;
        }
        let due = self.due.peek().map(|Reverse((at, ..))| *at);
        due.into_iter().chain(self.sheds_at()).min()
    }

    /// Performs the actions that are due, and then handles the input. `now` must not decrease.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.catch_up(now, out);
        match input {
            Input::Open(opened) => self.open(now, opened, out),
            Input::Line(serial) => self.line(now, serial),
            Input::Ended(serial) => self.ended(now, serial, out),
            Input::Gone(serial) => drop(self.crowd.remove(serial)),
            Input::Change(change) => self.change(now, change, out),
            Input::Tick => {}
        }
        self.catch_up(now, out);
    }

    fn catch_up(&mut self, now: Micros, out: &mut Vec<Output>) {
        while self.running {
            let due = self.due.peek().map(|Reverse((at, ..))| *at).filter(|at| *at <= now);
            match self.sheds_at().filter(|at| *at <= due.unwrap_or(now)) {
                Some(at) => {
                    self.pile.advance(at, self.crowd.demand(), &self.ramp);
                    self.shed(at, out);
                }
                None => {
                    let Some(at) = due else { break };
                    self.pile.advance(at, self.crowd.demand(), &self.ramp);
                    if let Some(Reverse((_, _, serial, what))) = self.due.pop() {
                        self.act(at, serial, what, out);
                    }
                }
            }
        }
        self.pile.advance(now, self.crowd.demand(), &self.ramp);
    }

    fn set(&mut self, at: Micros, serial: u32, what: Due) {
        // The number keeps the order of events that are due at the same time.
        self.number += 1;
        self.due.push(Reverse((at, self.number, serial, what)));
    }

    fn act(&mut self, at: Micros, serial: u32, what: Due, out: &mut Vec<Output>) {
        match what {
            Due::Answer => self.answer(at, serial, out),
            Due::Load => self.load(at, serial),
            Due::Item => self.items(at, serial, out),
            Due::Tell(us) if !self.hung && self.crowd.is_up(serial) => out.push(Output::Load(serial, us)),
            Due::Tell(_) => {}
            Due::Leave => self.leave(at, serial, Item::Move),
        }
    }

    // -- connections --

    fn line(&mut self, now: Micros, serial: u32) {
        let (usage, piled) = (self.usage(now).min(FULLEST), self.piled_up());
        let node = self.node();
        let waiting = 1.0 + node.bursty * usage * usage / (1.0 - usage);
        let mean = node.message as f64 * self.slow * waiting;
        let draw: f64 = Exp1.sample(&mut self.rng);
        let took = (mean * draw + piled.min(1e6) * 1e6) as Micros;
        let Some(connection) = self.crowd.up_mut(serial) else { return };
        let at = connection.queue(now + took + 2 * connection.way, Item::Return);
        at.into_iter().for_each(|at| self.set(at, serial, Due::Item));
    }

    /// Queues `word` as the last item of the connection, after the lines that are still to be returned.
    fn leave(&mut self, now: Micros, serial: u32, word: Item) {
        let Some(connection) = self.crowd.up_mut(serial) else { return };
        let at = connection.queue(now + connection.way, word);
        at.into_iter().for_each(|at| self.set(at, serial, Due::Item));
        self.crowd.leaves(serial);
    }

    fn items(&mut self, now: Micros, serial: u32, out: &mut Vec<Output>) {
        while !self.hung
            && let Some(connection) = self.crowd.get_mut(serial)
            && let Some((at, item)) = connection.items.front().copied()
        {
            if at > now {
                return self.set(at, serial, Due::Item);
            }
            connection.items.pop_front();
            match item {
                Item::Return => out.push(Output::Return(serial)),
                Item::Bye => out.push(Output::Bye(serial)),
                Item::Move => out.push(Output::Move(serial)),
            }
            if item != Item::Return {
                self.crowd.remove(serial);
            }
        }
    }

    fn ended(&mut self, now: Micros, serial: u32, out: &mut Vec<Output>) {
        match self.crowd.get(serial).map(|c| c.state) {
            Some(State::Up { .. }) => self.leave(now, serial, Item::Bye),
            Some(_) => {
                self.crowd.remove(serial);
                out.push(Output::Close(serial));
            }
            None => {}
        }
    }

    // -- the whole node --

    fn sheds_at(&self) -> Option<Micros> {
        if self.hung {
            return None;
        }
        self.pile.beyond(seconds(self.node().buffer), self.crowd.demand(), &self.ramp)
    }

    /// Drops the connections with the highest load until the demand fits the capacity. The backlog shrinks in
    /// proportion to the demand.
    fn shed(&mut self, now: Micros, out: &mut Vec<Output>) {
        let capacity = self.ramp.capacity(now);
        while self.crowd.demand() > capacity
            && let Some(serial) = self.crowd.heaviest()
        {
            let before = self.crowd.demand();
            self.crowd.remove(serial);
            self.pile.take(1.0 - self.crowd.demand() / before);
            out.push(Output::Reset(serial));
        }
    }

    fn change(&mut self, now: Micros, change: NodeChange, out: &mut Vec<Output>) {
        match change {
            NodeChange::Start if !self.fell => self.start(now, out),
            _ if !self.running => {
                if let NodeChange::Slow(slow) = change {
                    self.slow = slow.max(1e-3);
                }
            }
            NodeChange::Start | NodeChange::Vanish => {}
            NodeChange::Kill => self.stop(out),
            NodeChange::Hang => self.hung = true,
            NodeChange::Rubbish => self.rubbish = true,
            NodeChange::Slow(slow) => {
                self.slow = slow.max(1e-3);
                self.ramp.full = self.node().capacity / self.slow;
            }
            NodeChange::Recover => {
                (self.hung, self.rubbish) = (false, false);
                for serial in self.crowd.serials() {
                    self.answer(now, serial, out);
                    self.items(now, serial, out);
                }
            }
            NodeChange::Drain { within } => self.drain(now, within),
        }
    }

    fn start(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.stop(out);
        let node = &self.plan.nodes[usize::from(self.id.0)];
        let (from, warm_up) = (node.cold_from, node.warm_up);
        let usual = Ramp { began: now, from, warm_up, full: node.capacity };
        self.budget = Some(Budget::new(node, usual));
        self.ramp = Ramp { full: node.capacity / self.slow, ..usual };
        self.pile = Pile::default();
        self.pile.advance(now, 0.0, &self.ramp);
        (self.hung, self.rubbish, self.draining) = (false, false, false);
        self.running = true;
    }

    /// Ends the process at once.
    fn stop(&mut self, out: &mut Vec<Output>) {
        out.extend(self.crowd.serials().into_iter().map(Output::Reset));
        self.crowd.clear();
        self.due.clear();
        self.running = false;
    }

    fn drain(&mut self, now: Micros, within: Micros) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        for serial in self.crowd.refuse_setups(now) {
            self.set(now, serial, Due::Answer);
        }
        let leaving: Vec<u32> = self.crowd.serials().into_iter().filter(|s| self.crowd.is_up(*s)).collect();
        let parts = leaving.len() as Micros + 1;
        for (serial, i) in leaving.into_iter().zip(1..) {
            self.set(now + within * i / parts, serial, Due::Leave);
        }
    }
}
