//! One render node: set-ups, connections whose loads add up, piled-up work, messages that come late when it is crowded.
//! `docs/design/render-node-model.md` has the formulas and what is left out.

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

/// Use beyond which messages take no longer for it: what goes beyond piles up, and the pile is waited for.
const FULLEST: f64 = 0.98;

/// A first line that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Opened {
    /// The attempt's serial at this node: names the connection from now on.
    pub serial: u32,
    /// The client's id.
    pub request: RequestId,
    /// Whose it is; one of nobody's is answered `ERR`.
    pub session: Option<SessionId>,
    /// How long the proxy waits.
    pub wait: Micros,
    /// Already open here before the run: needs no set-up.
    pub standing: bool,
    /// One way between the proxy and this node: is added, there and back, to what is answered.
    pub way: Micros,
}

/// What happens to the node. Connections are named by their attempts' serials; unknown ones change nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A first line.
    Open(Opened),
    /// A client's line.
    Line(u32),
    /// The proxy has ended its sending.
    Ended(u32),
    /// The connection is gone.
    Gone(u32),
    /// Something of the timeline. What `Vanish` stands for is done by the network, not by the node.
    Change(NodeChange),
    /// Time has passed.
    Tick,
}

/// What the node does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// Answers an attempt; after anything but `Up` it ends the connection.
    Answer(u32, NodeAnswer),
    /// Answers an attempt with rubbish, drawn from this number, and ends the connection.
    Rubbish(u32, u64),
    /// Tells the connection's new load, in microseconds of work a second.
    Load(u32, u64),
    /// Returns the eldest line that was not returned yet.
    Return(u32),
    /// Says `BYE` and ends the connection.
    Bye(u32),
    /// Says `MOVE` and ends the connection.
    Move(u32),
    /// Ends the connection without a word: the attempt was given up.
    Close(u32),
    /// Resets the connection.
    Reset(u32),
    /// Was pushed over while cold; stays down.
    Fell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An answer to an attempt.
    Answer,
    /// The connection's load changes.
    Load,
    /// What is to be written next on the connection.
    Item,
    /// A new load is to be told.
    Tell(u64),
    /// A draining node sends the client away.
    Leave,
}

/// The node.
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
    /// A node of the plan: warm and running if it is there from the start, down otherwise.
    ///
    /// # Panics
    ///
    /// If the plan has no such node.
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

    /// Its process runs.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// It accepts and never replies.
    pub fn is_hung(&self) -> bool {
        self.hung
    }

    /// It answers rubbish to new connections.
    pub fn is_rubbish(&self) -> bool {
        self.rubbish
    }

    /// Whether a line on this connection would be returned: it is up, and neither side has ended it.
    pub fn takes_lines(&self, serial: u32) -> bool {
        self.crowd.is_up(serial)
    }

    /// Demand over capacity.
    pub fn usage(&self, now: Micros) -> f64 {
        self.crowd.demand() / self.ramp.capacity(now).max(f64::MIN_POSITIVE)
    }

    /// Seconds that the node needs for what was piled up when it last acted.
    pub fn piled_up(&self) -> f64 {
        self.pile.seconds(&self.ramp)
    }

    /// When it has something to do, if nothing happens before.
    pub fn next_timeout(&self) -> Option<Micros> {
        if !self.running {
            return None;
        }
        let due = self.due.peek().map(|Reverse((at, ..))| *at);
        due.into_iter().chain(self.sheds_at()).min()
    }

    /// Does what is due by now, then takes the input. Times must not go back.
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
        // Of what is due together, the first set is done first.
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

    /// The last word on a connection, after all that is owed.
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

    /// Drops the heaviest connections until what is left fits; each takes its part of the pile along.
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

    /// The process ends at once.
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
