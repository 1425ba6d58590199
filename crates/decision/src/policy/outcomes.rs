//! Evaluation of attempt outcomes and of other nodes' reports: whether they start or end the pause of a
//! server.

use super::balancer::Balancer;
use super::circuit_breaker::PauseCause;
use super::peer_reports::is_valid;
use crate::interface::*;

/// Number of nodes that must agree before a report has an effect. This node's own experience counts as one
/// of them. One node alone is not enough, because it may itself be cut off.
const QUORUM: usize = 2;
/// Largest fraction of the servers that reports alone may keep paused at a time: as many as are known to
/// die together (24%). However many nodes report falsely, the other servers stay in use, and the paused
/// ones are tried at the next full second.
const MAX_PAUSED_FRACTION: f64 = 0.25;

impl Balancer {
    /// Updates the state of a server from the outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        server: ServerId,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Full => self.pause(now, server, id, PauseCause::Overload, out),
            Outcome::Error | Outcome::TimedOut => {
                self.setups.record_failure();
                self.pause(now, server, id, PauseCause::Failure, out);
            }
            // This includes the reset of an established connection: the server is lost, or sheds load that
            // it cannot carry.
            Outcome::ConnectFailed | Outcome::Reset => self.pause(now, server, id, PauseCause::Failure, out),
            Outcome::Served => self.trial_succeeded(now, server, id, out),
            // These outcomes say nothing about the server, so a trial leaves it half-open. The token of a
            // set-up that was not sent is returned for other requests.
            Outcome::Cancelled | Outcome::NotSent => {
                if outcome == Outcome::NotSent {
                    self.setups.tokens.give_back();
                }
                if let Some(s) = self.servers.get_mut(server) {
                    s.breaker.abandon_trial(id);
                }
            }
        }
    }

    /// Pauses a server, and logs the second failure in a row.
    fn pause(
        &mut self,
        now: Micros,
        server: ServerId,
        request: RequestId,
        cause: PauseCause,
        out: &mut Vec<Action>,
    ) {
        let Some(s) = self.servers.get_mut(server) else { return };
        let Some(trip) = s.breaker.trip(now, request, cause) else { return };
        if trip.is_second_failure {
            out.push(Action::Log { notification: Notification::PausedFailing, server: Some(server) });
        }
        s.peer_reports.forget_pause();
        s.report_health(now, server, out);
    }

    /// Handles a successful attempt. If the attempt was the trial of its server, the server returns to the
    /// rotation.
    pub(super) fn trial_succeeded(
        &mut self,
        now: Micros,
        server: ServerId,
        request: RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(s) = self.servers.get_mut(server) else { return };
        let Some(recovery) = s.breaker.close_after_trial(request) else { return };
        if recovery.had_failed_repeatedly {
            out.push(Action::Log { notification: Notification::Recovered, server: Some(server) });
        }
        s.report_health(now, server, out);
        self.dispatch_queued(now, out);
    }

    /// Weighs another node's report of a server together with the other nodes' reports and this node's own
    /// experience. A report is evidence, not a command: if it is confirmed, it pauses the server or brings
    /// the trial forward.
    pub(super) fn peer_reported(
        &mut self,
        now: Micros,
        from: u32,
        server: ServerId,
        verdict: PeerVerdict,
        out: &mut Vec<Action>,
    ) {
        let may_pause_another = self.may_pause_another_on_reports(now);
        let next_full_second = (now / SECOND + 1) * SECOND;
        let Some(s) = self.servers.get_mut(server).filter(|s| s.is_ready()) else { return };
        s.peer_reports.record(now, from, verdict);
        let healthy = s.peer_reports.count(PeerVerdict::Healthy);
        let unhealthy = s.peer_reports.count(PeerVerdict::Unhealthy);
        let has_own_evidence = s.breaker.last_tripped_at.is_some_and(|at| is_valid(at, now));
        let is_confirmed = unhealthy > healthy && unhealthy + usize::from(has_own_evidence) >= QUORUM;
        let is_paused = s.breaker.is_paused(now);
        match verdict {
            PeerVerdict::Unhealthy
                if is_confirmed && !is_paused && may_pause_another && s.peer_reports.may_pause(now) =>
            {
                s.breaker.paused_until = Some(next_full_second);
                s.peer_reports.paused_until = Some(next_full_second);
            }
            // Other nodes are served there, so the trial need not wait for a pause that grew with each
            // failure.
            PeerVerdict::Healthy if is_paused && unhealthy == 0 && healthy >= QUORUM => {
                s.breaker.paused_until = s.breaker.paused_until.min(Some(next_full_second));
            }
            _ => {}
        }
        s.report_health(now, server, out);
    }

    fn may_pause_another_on_reports(&self, now: Micros) -> bool {
        let paused = self.servers.iter().filter(|s| s.peer_reports.is_paused(now)).count();
        paused as f64 + 1.0 <= self.servers.ready.len() as f64 * MAX_PAUSED_FRACTION
    }
}
