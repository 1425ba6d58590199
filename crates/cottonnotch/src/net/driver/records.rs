//! Converts events of this proxy to the program's records (`docs/records.md`) and metrics (`docs/ops/status.md`), in
//! the terms of the record schema. One call for the end of a request feeds both. While records are off, each call
//! costs a comparison and at most a count.

use super::request_table::TrackedRequest;
use crate::net::management::metrics::Metrics;
use crate::rules::VerdictBasis;
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Entry, Micros, Outcome, Request, RequestId, ServerHealth, ServerState};
use cottonnotch_gossip::State;
use cottonnotch_records as schema;
use cottonnotch_records::{
    Answer, AppliedRules, Counts, EndpointChange, Event, MoveReason, Name, PeerState, Phase, Reason,
    Recorder, Reload,
};
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// The recorder, the metrics, and the names of classes and tenants. The names are created once because most records
/// contain one.
pub struct Records {
    recorder: Recorder,
    metrics: Metrics,
    classes: Vec<Name>,
    tenants: Vec<Name>,
}

impl Records {
    /// Creates records that go to this recorder and use the names in this profile.
    pub fn new(recorder: Recorder, profile: &Profile) -> Self {
        let mut records =
            Records { recorder, metrics: Metrics::default(), classes: Vec::new(), tenants: Vec::new() };
        records.configure(profile);
        records
    }

    /// Applies changed settings.
    pub fn configure(&mut self, Profile { settings, classes, tenants, .. }: &Profile) {
        self.classes = (0..settings.classes.len()).map(|i| classes.name(i as u32).into()).collect();
        self.metrics.set_classes((0..settings.classes.len()).map(|i| classes.name(i as u32)));
        self.tenants = (0..settings.tenants.len()).map(|i| tenants.name(i as u32).into()).collect();
    }

    /// The current metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Records a list or changes of a list; each entry comes with its name and address.
    pub fn endpoint_list<'a>(
        &self,
        revision: u64,
        complete: bool,
        entries: impl Iterator<Item = (&'a Entry, Name, Option<SocketAddr>)>,
    ) {
        self.recorder.record_with(|| {
            let change = |(entry, endpoint, address): (&Entry, Name, Option<SocketAddr>)| {
                let phase = match entry.state {
                    ServerState::Ready => Phase::Up,
                    ServerState::Draining => Phase::Draining,
                    ServerState::Removed => Phase::Removed,
                };
                EndpointChange { endpoint, phase, address }
            };
            Event::List { revision, complete, changes: entries.map(change).collect() }
        });
    }

    /// Records the decision module's new rating of an endpoint.
    pub fn endpoint_health(&self, endpoint: impl FnOnce() -> Name, health: ServerHealth) {
        self.recorder.record_with(|| Event::Endpoint {
            endpoint: endpoint(),
            state: match health {
                ServerHealth::Up => schema::EndpointState::Up,
                ServerHealth::Paused { until } => {
                    schema::EndpointState::Paused { until_us: to_micros(until) }
                }
                ServerHealth::Trial => schema::EndpointState::Trial,
                ServerHealth::Draining => schema::EndpointState::Draining,
                ServerHealth::Unlisted => schema::EndpointState::Removed,
            },
        });
    }

    /// Records that a request was accepted.
    pub fn request(&self, request: &Request, wire_id: u64) {
        self.recorder.record_with(|| {
            let name = |names: &[Name], number: u16| names.get(usize::from(number)).cloned();
            Event::Request {
                request: request.id.0,
                wire_id: schema::Hex(wire_id),
                class: name(&self.classes, request.class.0).unwrap_or_else(|| "-".into()),
                tenant: request.tenant.and_then(|tenant| name(&self.tenants, tenant.0)),
                deadline_ms: request.left.map(to_millis),
                group: request.group.map(schema::Hex),
                is_retry: request.again,
            }
        });
    }

    /// Records that an attempt begins, with the rules that applied, if any.
    pub fn attempt(
        &self,
        RequestId(request): RequestId,
        attempt: u32,
        endpoint: impl FnOnce() -> Name,
        timeout: Micros,
        basis: impl FnOnce() -> Option<VerdictBasis>,
    ) {
        self.recorder.record_with(|| Event::Attempt {
            request,
            attempt,
            endpoint: endpoint(),
            timeout_ms: to_millis(timeout),
            applied_rules: basis().map(applied_rules),
        });
    }

    /// Records that an attempt ended without a connection; `elapsed` is its duration.
    pub fn attempt_ended(
        &self,
        RequestId(request): RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        self.recorder.record_with(|| Event::AttemptEnded {
            request,
            attempt,
            outcome: to_schema_outcome(outcome),
            took_us: to_micros(elapsed),
        });
    }

    /// Records that an attempt was answered with `UP`, which is the final answer.
    pub fn established(
        &mut self,
        tracked: &TrackedRequest,
        endpoint: impl FnOnce() -> Name,
        elapsed: Micros,
    ) {
        self.metrics.served(tracked.class);
        let (request, attempt) = (tracked.id.0, tracked.latest_attempt_number());
        self.recorder.record_with(|| Event::Up {
            request,
            attempt,
            endpoint: endpoint(),
            took_us: to_micros(elapsed),
        });
        self.recorder.record_with(|| Event::Answer { request, answer: Answer::Up });
    }

    /// Records a rejection as the final answer, with the rules that applied, if any.
    pub fn rejected(
        &mut self,
        tracked: &TrackedRequest,
        retry_after: Micros,
        basis: impl FnOnce() -> Option<VerdictBasis>,
    ) {
        self.metrics.rejected(tracked.class);
        let request = tracked.id.0;
        let answer = || Answer::Rejected {
            retry_after_ms: to_millis(retry_after),
            applied_rules: basis().map(applied_rules),
        };
        self.recorder.record_with(|| Event::Answer { request, answer: answer() });
    }

    /// Records an error as the final answer.
    pub fn failed(&mut self, tracked: &TrackedRequest, reason: &dyn Display) {
        self.metrics.failed(tracked.class);
        let request = tracked.id.0;
        let answer = || Answer::Failed { reason: reason.to_string().into() };
        self.recorder.record_with(|| Event::Answer { request, answer: answer() });
    }

    /// Counts an attempt whose first line was completely written.
    pub fn attempt_written(&mut self) {
        self.metrics.attempt_written();
    }

    /// Records an error sent to a client before it had a request; `class` is `None` if the settings do not have the
    /// class.
    pub fn rejected_as_invalid(&mut self, class: Option<u32>, reason: impl FnOnce() -> Reason) {
        class.into_iter().for_each(|class| self.metrics.failed(class));
        self.client_rejected(reason);
    }

    /// Records a rejection of a client before it had a request; `class` is `None` if the settings do not have the
    /// class.
    pub fn rejected_before_request(&mut self, class: Option<u32>, reason: impl FnOnce() -> Reason) {
        class.into_iter().for_each(|class| self.metrics.rejected(class));
        self.client_rejected(reason);
    }

    /// Records an error or a rejection sent to a client that had no request.
    pub fn client_rejected(&self, reason: impl FnOnce() -> Reason) {
        self.recorder.record_with(|| Event::ClientRejected { reason: reason() });
    }

    /// Records that an established connection is migrated.
    pub fn migrated(
        &self,
        RequestId(request): RequestId,
        endpoint: impl FnOnce() -> Name,
        reason: MoveReason,
    ) {
        self.recorder.record_with(|| Event::Moved { request, endpoint: endpoint(), reason });
    }

    /// Records that an established connection ended.
    pub fn ended(&self, RequestId(request): RequestId, outcome: Outcome) {
        self.recorder.record_with(|| Event::Ended { request, outcome: to_schema_outcome(outcome) });
    }

    /// Records that a client left before it was answered.
    pub fn client_left(&self, RequestId(request): RequestId) {
        self.recorder.record_with(|| Event::ClientLeft { request });
    }

    /// Counts that the watch on discovery was lost or could not be started.
    pub fn watch_lost(&mut self) {
        self.metrics.watch_lost();
    }

    /// Counts a list that was accepted although its revision is lower than the last one.
    pub fn older_list_accepted(&mut self) {
        self.metrics.older_list_accepted();
    }

    /// Counts changes that were rejected because their revision is lower than the last one.
    pub fn older_list_rejected(&mut self) {
        self.metrics.older_list_rejected();
    }

    /// Records that a new configuration was applied.
    pub fn reload_applied(&mut self) {
        self.metrics.configuration_applied();
        self.recorder.record_with(|| Event::Reload { reload: Reload::Applied });
    }

    /// Records that a new configuration was rejected.
    pub fn reload_rejected(&mut self, reason: &dyn Display) {
        self.metrics.configuration_rejected();
        let reload = || Reload::Rejected { reason: reason.to_string().into() };
        self.recorder.record_with(|| Event::Reload { reload: reload() });
    }

    /// Records the new state of another proxy.
    pub fn peer(&self, peer: u32, state: State, incarnation: u64) {
        self.recorder.record_with(|| {
            let state = match state {
                State::Alive => PeerState::Alive,
                State::Suspect => PeerState::Suspect,
                State::Dead => PeerState::Dead,
                State::Left => PeerState::Left,
            };
            Event::Peer { peer, state, incarnation }
        });
    }

    /// Records that the process was asked to stop.
    pub fn shutdown(&self) {
        self.recorder.record_with(|| Event::Shutdown {});
    }

    /// Closes the records and waits at most `within` for the writer.
    pub fn close(&mut self, within: Duration) -> Counts {
        self.recorder.close(within)
    }
}

fn applied_rules(basis: VerdictBasis) -> Box<AppliedRules> {
    let VerdictBasis { version, rules, is_uncertain: version_uncertain, .. } = basis;
    Box::new(AppliedRules { version, rules, version_uncertain })
}

fn to_micros(time: Micros) -> u64 {
    time.try_into().unwrap_or(0)
}

/// Converts to milliseconds as on the wire: rounded up, so that only a time of zero (or below) becomes 0.
fn to_millis(time: Micros) -> u32 {
    to_micros(time).div_ceil(1000).try_into().unwrap_or(u32::MAX)
}

fn to_schema_outcome(outcome: Outcome) -> schema::Outcome {
    match outcome {
        Outcome::Served => schema::Outcome::Served,
        Outcome::Error => schema::Outcome::Error,
        Outcome::Full => schema::Outcome::Full,
        Outcome::TimedOut => schema::Outcome::TimedOut,
        Outcome::ConnectFailed => schema::Outcome::ConnectFailed,
        Outcome::Reset => schema::Outcome::Reset,
        Outcome::Cancelled => schema::Outcome::Cancelled,
        Outcome::NotSent => schema::Outcome::NotSent,
    }
}
