//! The table of requests with their attempts, answers and connections, kept until shortly after their end.

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

/// A request is retained this long after its client has finished, because observations of its attempts can still
/// arrive. No attempt of any class takes longer.
const REQUEST_RETENTION: Micros = 10 * S;

/// Submission of a request by a client.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submission {
    pub at: Micros,
    pub session: SessionId,
    /// The process of the proxy that received the request.
    pub incarnation: IncarnationId,
    /// Until when the client waits for an answer.
    pub deadline: Micros,
}

/// How the client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientEnd {
    ByClient(ClientClose),
    ByProxy(ProxyClose),
}

/// An attempt of a request, and its outcome so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRecord {
    pub attempt: Attempt,
    pub proxy: ProxyId,
    /// When the first line's last byte reached the render node.
    pub at: Micros,
    /// Generation of the render node at this time (see [`NodeStates::generation`]).
    pub generation: u32,
    pub answer: Option<NodeAnswer>,
    /// When the render node answered other than `UP`.
    pub rejected_at: Option<Micros>,
    /// When and how the attempt, or the connection that it opened, ended.
    pub ended: Option<(Micros, AttemptEnd)>,
}

impl AttemptRecord {
    /// Whether the attempt is in flight. An attempt at an ended process or an unreachable machine counts as ended,
    /// since its end can't be observed there.
    pub fn is_in_flight(&self, node_states: &NodeStates) -> bool {
        self.rejected_at.is_none()
            && self.ended.is_none()
            && node_states.generation(self.attempt.node) == self.generation
            && node_states.can_communicate(self.proxy, self.attempt.node)
    }
}

/// A request, and the connection that it opens.
#[derive(Debug, Default)]
pub(super) struct Request {
    pub submission: Option<Submission>,
    /// The first answer, and when it was read.
    pub answer: Option<(Micros, Answer)>,
    pub attempts: Vec<AttemptRecord>,
    /// Index of the attempt whose `UP` the client read; its connection serves the client.
    pub serving: Option<usize>,
    /// When the client read `MOVE`.
    pub moved_at: Option<Micros>,
    /// When and how the client's connection ended.
    pub client_end: Option<(Micros, ClientEnd)>,
    /// Whether the render node had returned lines for at least the grace time when the proxy ended the connection.
    pub responsive_at_end: bool,
    /// Lines from the client that have not reached the render node.
    pub to_node: LinesInTransit,
    /// Lines that the render node returned and that have not reached the client.
    pub to_client: LinesInTransit,
    /// Lines from the client that the render node has not returned.
    pub unreturned: LinesInTransit,
    /// Whether a violation of the request was reported. Further ones are consequences of the first and are not
    /// reported.
    pub reported: bool,
}

impl Request {
    /// The attempt whose connection serves, or served, the client.
    pub fn serving_attempt(&self) -> Option<&AttemptRecord> {
        self.serving.and_then(|index| self.attempts.get(index))
    }

    /// Whether the client's connection is open and the client has not read `MOVE`.
    pub fn is_established(&self) -> bool {
        self.client_end.is_none() && self.moved_at.is_none()
    }

    fn subject(&self, id: RequestId) -> Subject {
        let last = self.serving_attempt().or(self.attempts.last());
        Subject {
            request: Some(id),
            session: self.submission.map(|submission| submission.session),
            node: last.map(|record| record.attempt.node),
            proxy: self
                .submission
                .map(|submission| submission.incarnation.proxy)
                .or(last.map(|record| record.proxy)),
            misbehaving_client: None,
            attempts: self.attempts.iter().map(|record| record.attempt).collect(),
        }
    }
}

/// The state that the rules on requests use, and their output.
pub(super) struct RuleContext<'a> {
    pub rules: &'a Rules,
    pub node_states: &'a NodeStates,
    pub processes: &'a ProxyProcesses,
    pub misbehaving_clients: &'a mut MisbehavingClients,
    pub output: &'a mut RuleOutput,
}

/// All requests of the run that have not been removed.
#[derive(Debug)]
pub(super) struct RequestTable {
    pub requests: FnvHashMap<RequestId, Request>,
    pub by_attempt: FnvHashMap<Attempt, RequestId>,
    /// The attempt that a render node answered with the receipt.
    pub receipts: FnvHashMap<u64, Attempt>,
    /// Requests with an established connection at each render node.
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

    /// Reports a violation of a request. Only the first violation of each request is reported.
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
        let index = request.attempts.iter().position(|record| record.attempt == attempt)?;
        Some((id, request, index))
    }

    /// Adds the request's connection to those established at the render node.
    pub fn add_established(&mut self, id: RequestId, node: NodeId) {
        if let Some(established) = self.established.get_mut(usize::from(node.0)) {
            established.insert(id);
        }
    }

    /// The requests with an established connection at the render node.
    pub fn established_at(&self, node: NodeId) -> Vec<RequestId> {
        self.established
            .get(usize::from(node.0))
            .map(|requests| requests.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Records that the client has finished with the request: removes its connection now, and the request after the
    /// retention time.
    pub fn client_finished(&mut self, at: Micros, id: RequestId, output: &mut RuleOutput) {
        if let Some(node) = self
            .requests
            .get(&id)
            .and_then(|request| request.serving_attempt())
            .map(|record| record.attempt.node)
            && let Some(established) = self.established.get_mut(usize::from(node.0))
        {
            established.remove(&id);
        }
        output.defer(at + REQUEST_RETENTION, DeferredCheck::ForgetRequest(id));
    }

    /// Removes a request and its attempts.
    pub fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        for record in &request.attempts {
            self.by_attempt.remove(&record.attempt);
            if let Some(NodeAnswer::Up(receipt)) = record.answer {
                self.receipts.remove(&receipt);
            }
        }
    }
}
