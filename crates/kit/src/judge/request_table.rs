//! The requests that clients have sent, until shortly after their end: attempts, answers and connections.

use super::deferred_checks::DeferredCheck;
use super::incarnation::IncarnationId;
use super::lines_in_transit::LinesInTransit;
use super::misbehaving_clients::MisbehavingClients;
use super::node_states::NodeStates;
use super::processes::ProxyProcesses;
use super::rule::Rule;
use super::rule_output::RuleOutput;
use super::subject::Subject;
use crate::observation::{Answer, Attempt, AttemptEnd, ClientClose, NodeAnswer, ProxyClose, RequestId};
use crate::plan::{NodeId, ProxyId, Rules, SessionId};
use crate::time::{Micros, S};
use fnv::FnvHashMap;
use std::collections::BTreeSet;

/// A request is retained this long after its client's end, for attempts still in flight: longer than any class's attempt
/// takes.
const RETENTION: Micros = 10 * S;

/// How a request was submitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submission {
    pub at: Micros,
    pub session: SessionId,
    pub incarnation: IncarnationId,
    pub deadline: Micros,
}

/// How the client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientEnd {
    ByClient(ClientClose),
    ByProxy(ProxyClose),
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
    /// When it was rejected or failed.
    pub rejected_at: Option<Micros>,
    pub ended: Option<(Micros, AttemptEnd)>,
}

impl AttemptRecord {
    /// Whether it is in flight as far as can be observed: its end at a dead process or an unreachable machine can't be.
    pub fn is_in_flight(&self, node_states: &NodeStates) -> bool {
        self.rejected_at.is_none()
            && self.ended.is_none()
            && node_states.generation(self.attempt.node) == self.generation
            && node_states.can_communicate(self.proxy, self.attempt.node)
    }
}

/// One request, and the connection that it opens.
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
    /// When the proxy ended the connection, the render node had returned lines for at least the grace time.
    pub responsive_at_end: bool,
    /// Lines in transit to the render node, in transit back, and not returned yet.
    pub to_node: LinesInTransit,
    pub to_client: LinesInTransit,
    pub unreturned: LinesInTransit,
    /// A violation was reported; only the first of a request counts, since others follow from it.
    pub reported: bool,
}

impl Request {
    /// The attempt that became its connection, while the client has it.
    pub fn connection(&self) -> Option<&AttemptRecord> {
        self.serving.and_then(|serving| self.attempts.get(serving))
    }

    /// The client's connection is open and it was not asked to move.
    pub fn is_established(&self) -> bool {
        self.client_end.is_none() && self.moved.is_none()
    }

    fn subject(&self, id: RequestId) -> Subject {
        let last = self.connection().or(self.attempts.last());
        Subject {
            request: Some(id),
            session: self.submission.map(|a| a.session),
            node: last.map(|t| t.attempt.node),
            proxy: self.submission.map(|a| a.incarnation.proxy).or(last.map(|t| t.proxy)),
            rude: None,
            attempts: self.attempts.iter().map(|t| t.attempt).collect(),
        }
    }
}

/// The state that rules on requests read, and their output.
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
    /// Established connections at each render node.
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

    /// The submission of a request that has no answer yet.
    pub fn unanswered(&self, id: RequestId) -> Option<Submission> {
        self.requests.get(&id).filter(|r| r.answer.is_none())?.submission
    }

    /// Reports a violation by a request; only the first of each request counts.
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

    /// The request of an attempt, and the attempt's index in it.
    pub fn find_attempt(&mut self, attempt: Attempt) -> Option<(RequestId, &mut Request, usize)> {
        let id = *self.by_attempt.get(&attempt)?;
        let request = self.requests.get_mut(&id)?;
        let index = request.attempts.iter().position(|t| t.attempt == attempt)?;
        Some((id, request, index))
    }

    /// Adds an established connection at a render node.
    pub fn add_established(&mut self, id: RequestId, node: NodeId) {
        if let Some(established) = self.established.get_mut(usize::from(node.0)) {
            established.insert(id);
        }
    }

    /// The established connections at a render node.
    pub fn established_at(&self, node: NodeId) -> Vec<RequestId> {
        self.established.get(usize::from(node.0)).map(|s| s.iter().copied().collect()).unwrap_or_default()
    }

    /// The client needs nothing further from the request: removes its connection, and the request after the retention time.
    pub fn client_finished(&mut self, at: Micros, id: RequestId, output: &mut RuleOutput) {
        if let Some(node) = self.requests.get(&id).and_then(|r| r.connection()).map(|t| t.attempt.node)
            && let Some(established) = self.established.get_mut(usize::from(node.0))
        {
            established.remove(&id);
        }
        output.defer(at + RETENTION, DeferredCheck::ForgetRequest(id));
    }

    /// Removes a request and its attempts.
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
