//! What the outcomes of attempts and other nodes' reports show of a server: a pause, the end of one, or
//! nothing.

use super::balancer::Balancer;
use super::circuit_breaker::PauseCause;
use super::peer_reports::is_valid;
use crate::interface::*;

/// So many nodes must agree, or one and own experience: one alone may itself be cut off.
const QUORUM: usize = 2;
/// Reports alone keep no more than this part of the servers paused at a time: as many as are known to die
/// together (24%). However many nodes lie, the rest is used, and what is paused is tried at the next mark.
const MAX_PAUSED_FRACTION: f64 = 0.25;

impl Balancer {
    /// Draws from an outcome what it shows of the server.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        at: ServerId,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Full => self.pause(now, at, id, PauseCause::Overload, out),
            Outcome::Error | Outcome::TimedOut => {
                self.setups.failed();
                self.pause(now, at, id, PauseCause::Failure, out);
            }
            // A reset of an established connection too: the server is lost, or sheds what it cannot carry.
            Outcome::ConnectFailed | Outcome::Reset => self.pause(now, at, id, PauseCause::Failure, out),
            Outcome::Served => self.trial_succeeded(now, at, id, out),
            // Shows nothing: a trial leaves the server half-open. A set-up that was not used is for others.
            Outcome::Cancelled | Outcome::NotSent => {
                if outcome == Outcome::NotSent {
                    self.setups.tokens.give_back();
                }
                if let Some(s) = self.servers.get_mut(at) {
                    s.breaker.abandon_trial(id);
                }
            }
        }
    }

    /// Pauses a server; after the second failure in a row the log says so.
    fn pause(&mut self, now: Micros, at: ServerId, by: RequestId, cause: PauseCause, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(at) else { return };
        let Some(failures) = s.breaker.trip(now, by, cause) else { return };
        if failures.is_second {
            out.push(Action::Log { notification: Notification::PausedFailing, server: Some(at) });
        }
        s.peer_reports.forget_pause();
        s.report_health(now, at, out);
    }

    /// An attempt succeeded: if it was its server's trial, the server is back in the rotation.
    pub(super) fn trial_succeeded(
        &mut self,
        now: Micros,
        at: ServerId,
        by: RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(s) = self.servers.get_mut(at) else { return };
        let Some(recovery) = s.breaker.close_after_trial(by) else { return };
        if recovery.had_failed_often {
            out.push(Action::Log { notification: Notification::Recovered, server: Some(at) });
        }
        s.report_health(now, at, out);
        self.dispatch_queued(now, out);
    }

    /// Weighs another node's report of a server together with the other nodes' and this node's own
    /// experience. It is evidence, no order: it brings a pause or a trial forward where it is confirmed.
    pub(super) fn peer_reported(
        &mut self,
        now: Micros,
        from: u32,
        at: ServerId,
        verdict: PeerVerdict,
        out: &mut Vec<Action>,
    ) {
        let has_room = self.may_pause_another_on_reports(now);
        let next_mark = (now / SECOND + 1) * SECOND;
        let Some(s) = self.servers.get_mut(at).filter(|s| s.is_ready()) else { return };
        s.peer_reports.record(now, from, verdict);
        let healthy = s.peer_reports.count(PeerVerdict::Healthy);
        let unhealthy = s.peer_reports.count(PeerVerdict::Unhealthy);
        let own_evidence = s.breaker.overloaded_at.is_some_and(|at| is_valid(at, now));
        let is_agreed = unhealthy > healthy && unhealthy + usize::from(own_evidence) >= QUORUM;
        let is_paused = s.breaker.is_paused(now);
        match verdict {
            PeerVerdict::Unhealthy
                if is_agreed && !is_paused && has_room && s.peer_reports.may_pause(now) =>
            {
                s.breaker.paused_until = Some(next_mark);
                s.peer_reports.paused_until = Some(next_mark);
            }
            // Others are served there: the trial need not wait for a pause that grew with each failure.
            PeerVerdict::Healthy if is_paused && unhealthy == 0 && healthy >= QUORUM => {
                s.breaker.paused_until = s.breaker.paused_until.min(Some(next_mark));
            }
            _ => {}
        }
        s.report_health(now, at, out);
    }

    fn may_pause_another_on_reports(&self, now: Micros) -> bool {
        let paused = self.servers.iter().filter(|s| s.peer_reports.is_paused(now)).count();
        paused as f64 + 1.0 <= self.servers.ready.len() as f64 * MAX_PAUSED_FRACTION
    }
}
