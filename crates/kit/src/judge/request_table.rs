//! The requests that clients have put and are not done with: their attempts, answers and connections.

use super::deferred_checks::DeferredCheck;
use super::lines_in_transit::LinesInTransit;
use super::misbehaving_clients::MisbehavingClients;
use super::node_states::NodeStates;
use super::processes::{IncarnationId, ProxyProcesses};
use super::rule::Rule;
use super::rule_output::{RuleOutput, Subject};
use crate::observation::{Answer, Attempt, End, Left, NodeAnswer, Over, RequestId};
use crate::plan::{NodeId, ProxyId, Rules, SessionId};
use crate::time::{Micros, S};
use fnv::FnvHashMap;
use std::collections::BTreeSet;

/// A request is kept this long after its client is done with it, for attempts that are still out: longer than any
/// attempt of a class of requests takes.
const RETENTION: Micros = 10 * S;

/// How a request was put.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submission {
    pub at: Micros,
    pub session: SessionId,
    pub incarnation: IncarnationId,
    pub deadline: Micros,
}

/// How the client's connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientEnd {
    ByClient(Left),
    ByProxy(End),
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRecord {
    pub attempt: Attempt,
    pub proxy: ProxyId,
    pub at: Micros,
    /// The render node's process that got it.
    pub generation: u32,
    pub answer: Option<NodeAnswer>,
    /// When it was turned away or failed.
    pub rejected_at: Option<Micros>,
    pub ended: Option<(Micros, Over)>,
}

impl AttemptRecord {
    /// Whether it is still out, for all that can be seen: what a dead process or a machine out of reach has of it
    /// can't be seen to end.
    pub fn is_in_flight(&self, node_states: &NodeStates) -> bool {
        self.rejected_at.is_none()
            && self.ended.is_none()
            && node_states.generation(self.attempt.node) == self.generation
            && node_states.can_communicate(self.proxy, self.attempt.node)
    }
}

/// One request, and the connection that comes of it.
#[derive(Debug, Default)]
pub(super) struct Request {
    pub submission: Option<Submission>,
    /// The first answer, and when it was read.
    pub answer: Option<(Micros, Answer)>,
    pub attempts: Vec<AttemptRecord>,
    /// The attempt that became its connection.
    pub serving: Option<usize>,
    pub moved: Option<Micros>,
    pub client_end: Option<(Micros, ClientEnd)>,
    /// Since when its render node returned lines, when the proxy ended the connection.
    pub responsive_at_end: bool,
    /// Lines on their way to the render node, on their way back, and not returned yet.
    pub to_node: LinesInTransit,
    pub to_client: LinesInTransit,
    pub unreturned: LinesInTransit,
    /// One finding for each request: what follows from it is no fault of its own.
    pub reported: bool,
}

impl Request {
    /// The attempt that became its connection, while the client has it.
    pub fn connection(&self) -> Option<&AttemptRecord> {
        self.serving.and_then(|serving| self.attempts.get(serving))
    }

    /// The client still has its connection, and nothing has told it to go.
    pub fn is_established(&self) -> bool {
        self.client_end.is_none() && self.moved.is_none()
    }

    fn subject(&self, id: RequestId) -> Subject {
        let last = self.connection().or(self.attempts.last());
        Subject {
            request: Some(id),
            session: self.submission.map(|a| a.session),
            node: last.map(|t| t.attempt.node),
            proxy: self.submission.map(|a| a.incarnation.0).or(last.map(|t| t.proxy)),
            rude: None,
            attempts: self.attempts.iter().map(|t| t.attempt).collect(),
        }
    }
}

/// What rules on requests look up, and where they write.
pub(super) struct RuleContext<'a> {
    pub rules: &'a Rules,
    pub node_states: &'a NodeStates,
    pub processes: &'a ProxyProcesses,
    pub misbehaving_clients: &'a mut MisbehavingClients,
    pub output: &'a mut RuleOutput,
}

/// All requests.
#[derive(Debug)]
pub(super) struct RequestTable {
    pub requests: FnvHashMap<RequestId, Request>,
    pub by_attempt: FnvHashMap<Attempt, RequestId>,
    /// Which attempt got a receipt.
    pub receipts: FnvHashMap<u64, Attempt>,
    /// Connections that stand at each render node.
    established: Vec<BTreeSet<RequestId>>,
}

impl RequestTable {
    pub fn new(nodes: usize) -> Self {
        RequestTable {
            requests: FnvHashMap::default(),
            by_attempt: FnvHashMap::default(),
            receipts: FnvHashMap::default(),
            established: vec![BTreeSet::new(); nodes],
        }
    }

    /// How a request was put that has got no answer.
    pub fn unanswered(&self, id: RequestId) -> Option<Submission> {
        self.requests.get(&id).filter(|r| r.answer.is_none())?.submission
    }

    /// A request breaks a rule; only the first break of each is one.
    pub fn report_violation(
        &mut self,
        at: Micros,
        rule: Rule,
        id: RequestId,
        description: String,
        output: &mut RuleOutput,
    ) {
        if let Some(request) = self.requests.get_mut(&id).filter(|r| !r.reported) {
            request.reported = true;
            output.report_violation(at, rule, request.subject(id), description);
        }
    }

    /// The attempt's request, and its place among the tries.
    pub fn find_attempt(&mut self, attempt: Attempt) -> Option<(RequestId, &mut Request, usize)> {
        let id = *self.by_attempt.get(&attempt)?;
        let request = self.requests.get_mut(&id)?;
        let index = request.attempts.iter().position(|t| t.attempt == attempt)?;
        Some((id, request, index))
    }

    /// Its connection stands at that render node.
    pub fn add_established(&mut self, id: RequestId, node: NodeId) {
        if let Some(established) = self.established.get_mut(usize::from(node.0)) {
            established.insert(id);
        }
    }

    /// What stands at a render node.
    pub fn established_at(&self, node: NodeId) -> Vec<RequestId> {
        self.established.get(usize::from(node.0)).map(|s| s.iter().copied().collect()).unwrap_or_default()
    }

    /// The client has got what it gets, or has gone.
    pub fn client_finished(&mut self, at: Micros, id: RequestId, output: &mut RuleOutput) {
        if let Some(node) = self.requests.get(&id).and_then(|r| r.connection()).map(|t| t.attempt.node)
            && let Some(established) = self.established.get_mut(usize::from(node.0))
        {
            established.remove(&id);
        }
        output.defer(at + RETENTION, DeferredCheck::ForgetRequest(id));
    }

    /// Nothing is asked of it any more.
    pub fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        for t in &request.attempts {
            self.by_attempt.remove(&t.attempt);
            if let Some(NodeAnswer::Up(receipt)) = t.answer {
                self.receipts.remove(&receipt);
            }
        }
    }
}
