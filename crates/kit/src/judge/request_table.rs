//! The requests that clients have put and are not done with: their attempts, answers and connections.

use super::deferred_checks::Check;
use super::lines_in_transit::Crossing;
use super::misbehaving_clients::RudeClients;
use super::node_states::Fleet;
use super::processes::{LifeId, Processes};
use super::rule::Rule;
use super::rule_output::{Desk, Subject};
use crate::observation::{Answer, Attempt, End, Left, NodeAnswer, Over, RequestId};
use crate::plan::{NodeId, ProxyId, Rules, SessionId};
use crate::time::{Micros, S};
use fnv::FnvHashMap;
use std::collections::BTreeSet;

/// A request is kept this long after its client is done with it, for attempts that are still out: longer than any
/// attempt of a class of requests takes.
const KEPT: Micros = 10 * S;

/// How a request was put.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub at: Micros,
    pub session: SessionId,
    pub life: LifeId,
    pub deadline: Micros,
}

/// How the client's connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Gone {
    Left(Left),
    Ended(End),
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Try {
    pub attempt: Attempt,
    pub proxy: ProxyId,
    pub at: Micros,
    /// The render node's process that got it.
    pub generation: u32,
    pub answer: Option<NodeAnswer>,
    /// When it was turned away or failed.
    pub refused: Option<Micros>,
    pub over: Option<(Micros, Over)>,
}

impl Try {
    /// Whether it is still out, for all that can be seen: what a dead process or a machine out of reach has of it
    /// can't be seen to end.
    pub fn out(&self, fleet: &Fleet) -> bool {
        self.refused.is_none()
            && self.over.is_none()
            && fleet.generation(self.attempt.node) == self.generation
            && fleet.heard(self.proxy, self.attempt.node)
    }
}

/// One request, and the connection that comes of it.
#[derive(Debug, Default)]
pub(super) struct Request {
    pub asked: Option<Asked>,
    /// The first answer, and when it was read.
    pub answer: Option<(Micros, Answer)>,
    pub tries: Vec<Try>,
    /// The attempt that became its connection.
    pub up: Option<usize>,
    pub moved: Option<Micros>,
    pub gone: Option<(Micros, Gone)>,
    /// Since when its render node returned lines, when the proxy ended the connection.
    pub steady_at_end: bool,
    /// Lines on their way to the render node, on their way back, and not returned yet.
    pub to_node: Crossing,
    pub to_client: Crossing,
    pub unreturned: Crossing,
    /// One finding for each request: what follows from it is no fault of its own.
    pub accused: bool,
}

impl Request {
    /// The attempt that became its connection, while the client has it.
    pub fn connection(&self) -> Option<&Try> {
        self.up.and_then(|up| self.tries.get(up))
    }

    /// The client still has its connection, and nothing has told it to go.
    pub fn stands(&self) -> bool {
        self.gone.is_none() && self.moved.is_none()
    }

    fn subject(&self, id: RequestId) -> Subject {
        let last = self.connection().or(self.tries.last());
        Subject {
            request: Some(id),
            session: self.asked.map(|a| a.session),
            node: last.map(|t| t.attempt.node),
            proxy: self.asked.map(|a| a.life.0).or(last.map(|t| t.proxy)),
            rude: None,
            attempts: self.tries.iter().map(|t| t.attempt).collect(),
        }
    }
}

/// What rules on requests look up, and where they write.
pub(super) struct Room<'a> {
    pub rules: &'a Rules,
    pub fleet: &'a Fleet,
    pub processes: &'a Processes,
    pub rude: &'a mut RudeClients,
    pub desk: &'a mut Desk,
}

/// All requests.
#[derive(Debug)]
pub(super) struct Ledger {
    pub requests: FnvHashMap<RequestId, Request>,
    pub by_attempt: FnvHashMap<Attempt, RequestId>,
    /// Which attempt got a receipt.
    pub receipts: FnvHashMap<u64, Attempt>,
    /// Connections that stand at each render node.
    standing: Vec<BTreeSet<RequestId>>,
}

impl Ledger {
    pub fn new(nodes: usize) -> Self {
        Ledger {
            requests: FnvHashMap::default(),
            by_attempt: FnvHashMap::default(),
            receipts: FnvHashMap::default(),
            standing: vec![BTreeSet::new(); nodes],
        }
    }

    /// How a request was put that has got no answer.
    pub fn unanswered(&self, id: RequestId) -> Option<Asked> {
        self.requests.get(&id).filter(|r| r.answer.is_none())?.asked
    }

    /// A request breaks a rule; only the first break of each is one.
    pub fn accuse(&mut self, at: Micros, rule: Rule, id: RequestId, what: String, desk: &mut Desk) {
        if let Some(request) = self.requests.get_mut(&id).filter(|r| !r.accused) {
            request.accused = true;
            desk.accuse(at, rule, request.subject(id), what);
        }
    }

    /// The attempt's request, and its place among the tries.
    pub fn of_attempt(&mut self, attempt: Attempt) -> Option<(RequestId, &mut Request, usize)> {
        let id = *self.by_attempt.get(&attempt)?;
        let request = self.requests.get_mut(&id)?;
        let place = request.tries.iter().position(|t| t.attempt == attempt)?;
        Some((id, request, place))
    }

    /// Its connection stands at that render node.
    pub fn stands_at(&mut self, id: RequestId, node: NodeId) {
        if let Some(standing) = self.standing.get_mut(usize::from(node.0)) {
            standing.insert(id);
        }
    }

    /// What stands at a render node.
    pub fn standing_at(&self, node: NodeId) -> Vec<RequestId> {
        self.standing.get(usize::from(node.0)).map(|s| s.iter().copied().collect()).unwrap_or_default()
    }

    /// The client has got what it gets, or has gone.
    pub fn client_done(&mut self, at: Micros, id: RequestId, desk: &mut Desk) {
        if let Some(node) = self.requests.get(&id).and_then(|r| r.connection()).map(|t| t.attempt.node)
            && let Some(standing) = self.standing.get_mut(usize::from(node.0))
        {
            standing.remove(&id);
        }
        desk.checks.add(at + KEPT, Check::LetGo(id));
    }

    /// Nothing is asked of it any more.
    pub fn let_go(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        for t in &request.tries {
            self.by_attempt.remove(&t.attempt);
            if let Some(NodeAnswer::Up(receipt)) = t.answer {
                self.receipts.remove(&receipt);
            }
        }
    }
}
