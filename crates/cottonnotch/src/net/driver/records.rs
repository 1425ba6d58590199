//! Events of this proxy, for the program's records (`docs/records.md`) and for the metrics (`docs/ops/status.md`): the
//! decision module's terms become the schema's. One call for an ending feeds both. While records are off, each call costs
//! a comparison and at most a count.

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

/// The records, and the names that the settings' numbers stand for: made once, since most records have one.
pub struct Records {
    recorder: Recorder,
    metrics: Metrics,
    classes: Vec<Name>,
    tenants: Vec<Name>,
}

impl Records {
    /// Records by this recorder, in the names of these settings.
    pub fn new(recorder: Recorder, profile: &Profile) -> Self {
        let mut records =
            Records { recorder, metrics: Metrics::default(), classes: Vec::new(), tenants: Vec::new() };
        records.configure(profile);
        records
    }

    /// The settings have changed.
    pub fn configure(&mut self, Profile { settings, classes, tenants, .. }: &Profile) {
        self.classes = (0..settings.classes.len()).map(|i| classes.name(i as u32).into()).collect();
        self.metrics.set_classes((0..settings.classes.len()).map(|i| classes.name(i as u32)));
        self.tenants = (0..settings.tenants.len()).map(|i| tenants.name(i as u32).into()).collect();
    }

    /// The counts so far.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// A list, or changes of it, was taken; each entry with its name and address.
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

    /// The decision module rates an endpoint anew.
    pub fn endpoint_health(&self, endpoint: impl FnOnce() -> Name, health: ServerHealth) {
        self.recorder.record_with(|| Event::Endpoint {
            endpoint: endpoint(),
            state: match health {
                ServerHealth::Up => schema::EndpointState::Up,
                ServerHealth::Paused { until } => schema::EndpointState::Paused { until_us: micros(until) },
                ServerHealth::Trial => schema::EndpointState::Trial,
                ServerHealth::Draining => schema::EndpointState::Draining,
                ServerHealth::Unlisted => schema::EndpointState::Removed,
            },
        });
    }

    /// A request was accepted.
    pub fn request(&self, request: &Request, wire_id: u64) {
        self.recorder.record_with(|| {
            let name = |names: &[Name], number: u16| names.get(usize::from(number)).cloned();
            Event::Request {
                request: request.id.0,
                wire_id: schema::Hex(wire_id),
                class: name(&self.classes, request.class.0).unwrap_or_else(|| "-".into()),
                tenant: request.tenant.and_then(|tenant| name(&self.tenants, tenant.0)),
                deadline_ms: request.left.map(millis),
                group: request.group.map(schema::Hex),
                is_retry: request.again,
            }
        });
    }

    /// An attempt begins, under these rules if there are any.
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
            timeout_ms: millis(timeout),
            applied_rules: basis().map(applied_rules),
        });
    }

    /// An attempt has ended without a connection, this long after it began.
    pub fn attempt_ended(&self, RequestId(request): RequestId, attempt: u32, outcome: Outcome, took: Micros) {
        self.recorder.record_with(|| Event::AttemptEnded {
            request,
            attempt,
            outcome: outcome_of(outcome),
            took_us: micros(took),
        });
    }

    /// An attempt brought `UP`, which is the final answer.
    pub fn established(&mut self, tracked: &TrackedRequest, endpoint: impl FnOnce() -> Name, took: Micros) {
        self.metrics.served(tracked.class);
        let (request, attempt) = (tracked.id.0, tracked.latest_attempt_number());
        self.recorder.record_with(|| Event::Up {
            request,
            attempt,
            endpoint: endpoint(),
            took_us: micros(took),
        });
        self.recorder.record_with(|| Event::Answer { request, answer: Answer::Up });
    }

    /// Final answer: a rejection, under these rules if there are any.
    pub fn rejected(
        &mut self,
        tracked: &TrackedRequest,
        retry_after: Micros,
        basis: impl FnOnce() -> Option<VerdictBasis>,
    ) {
        self.metrics.rejected(tracked.class);
        let request = tracked.id.0;
        let answer = || Answer::Rejected {
            retry_after_ms: millis(retry_after),
            applied_rules: basis().map(applied_rules),
        };
        self.recorder.record_with(|| Event::Answer { request, answer: answer() });
    }

    /// Final answer: an error.
    pub fn failed(&mut self, tracked: &TrackedRequest, reason: &dyn Display) {
        self.metrics.failed(tracked.class);
        let request = tracked.id.0;
        let answer = || Answer::Failed { reason: reason.to_string().into() };
        self.recorder.record_with(|| Event::Answer { request, answer: answer() });
    }

    /// The last byte of an attempt's first line was written.
    pub fn attempt_written(&mut self) {
        self.metrics.attempt_written();
    }

    /// A client of this class, if it is one of the settings', got an error before it had a request.
    pub fn rejected_as_invalid(&mut self, class: Option<u32>, reason: impl FnOnce() -> Reason) {
        class.into_iter().for_each(|class| self.metrics.failed(class));
        self.client_rejected(reason);
    }

    /// A client of this class got a rejection before it had a request.
    pub fn rejected_for_sockets(&mut self, class: Option<u32>, reason: impl FnOnce() -> Reason) {
        class.into_iter().for_each(|class| self.metrics.rejected(class));
        self.client_rejected(reason);
    }

    /// A client got an error or a rejection, and had no request.
    pub fn client_rejected(&self, reason: impl FnOnce() -> Reason) {
        self.recorder.record_with(|| Event::ClientRejected { reason: reason() });
    }

    /// An established connection is migrated.
    pub fn migrated(
        &self,
        RequestId(request): RequestId,
        endpoint: impl FnOnce() -> Name,
        reason: MoveReason,
    ) {
        self.recorder.record_with(|| Event::Moved { request, endpoint: endpoint(), reason });
    }

    /// An established connection has ended.
    pub fn ended(&self, RequestId(request): RequestId, outcome: Outcome) {
        self.recorder.record_with(|| Event::Ended { request, outcome: outcome_of(outcome) });
    }

    /// A client left before its answer.
    pub fn client_left(&self, RequestId(request): RequestId) {
        self.recorder.record_with(|| Event::ClientLeft { request });
    }

    /// The watch on discovery is lost, or a call for it failed.
    pub fn watch_lost(&mut self) {
        self.metrics.watch_lost();
    }

    /// A list came with a lower revision than the last one, and was accepted.
    pub fn older_list_accepted(&mut self) {
        self.metrics.older_list_accepted();
    }

    /// Changes came with a lower revision than the last one, and were rejected.
    pub fn older_list_rejected(&mut self) {
        self.metrics.older_list_rejected();
    }

    /// A new configuration counts.
    pub fn reload_applied(&mut self) {
        self.metrics.configuration_applied();
        self.recorder.record_with(|| Event::Reload { reload: Reload::Applied });
    }

    /// A new configuration is faulty.
    pub fn reload_rejected(&mut self, reason: &dyn Display) {
        self.metrics.configuration_rejected();
        let reload = || Reload::Rejected { reason: reason.to_string().into() };
        self.recorder.record_with(|| Event::Reload { reload: reload() });
    }

    /// Another proxy is in this state now.
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

    /// The process was asked to stop.
    pub fn shutdown(&self) {
        self.recorder.record_with(|| Event::Shutdown {});
    }

    /// The last of them; waits so long at most for the writer.
    pub fn close(&mut self, within: Duration) -> Counts {
        self.recorder.close(within)
    }
}

fn applied_rules(basis: VerdictBasis) -> Box<AppliedRules> {
    let VerdictBasis { version, rules, is_uncertain: version_uncertain, .. } = basis;
    Box::new(AppliedRules { version, rules, version_uncertain })
}

fn micros(time: Micros) -> u64 {
    time.try_into().unwrap_or(0)
}

/// As on the wire: rounded up, so that only nothing is 0.
fn millis(time: Micros) -> u32 {
    micros(time).div_ceil(1000).try_into().unwrap_or(u32::MAX)
}

fn outcome_of(outcome: Outcome) -> schema::Outcome {
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
