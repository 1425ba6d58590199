//! How a connection ends: by the proxy, by a drop, or at the end of the run.

use super::lines::{Draw, random_draw};
use super::{LingerReason, NextAttempt, Output, Outputs, Session, State, record};
use crate::observation::{ClientClose, ProxyClose, RequestId, Seen};
use crate::time::Micros;
use rand::RngExt;

impl Session {
    /// Closes a connection that did not serve the client, and schedules the next attempt.
    pub(super) fn close_unserved(
        &mut self,
        now: Micros,
        request: RequestId,
        why: ClientClose,
        next: NextAttempt,
        out: Outputs,
    ) {
        record(out, now, Seen::Left { request, why });
        out.push(Output::Close);
        self.state = State::Waiting(next);
    }

    pub(super) fn handle_end(&mut self, now: Micros, how: ProxyClose, out: Outputs) {
        match &mut self.state {
            // The proxy has not received a request before the end of the first line.
            State::Connecting(_) | State::SendingFirstLine(..) => {
                out.push(Output::Close);
                self.handle_unreached(now, out);
            }
            State::Asked { attempt, .. } => {
                let request = attempt.request;
                record(out, now, Seen::Ended { request, how });
                out.push(Output::Close);
                self.state = State::Waiting(self.schedule_after_failure(now, 0));
            }
            State::Lingering { request, why, next, .. } => {
                if *why != LingerReason::Refused {
                    record(out, now, Seen::Ended { request: *request, how });
                }
                out.push(Output::Close);
                self.state = State::Waiting(*next);
            }
            State::Up(connection) => {
                let request = connection.info.request;
                connection.end(now, out);
                record(out, now, Seen::Ended { request, how });
                out.push(Output::Close);
                self.state = State::Waiting(self.schedule_after_break(now));
            }
            State::Finishing(..) => {
                out.push(Output::Close);
                self.state = State::Over;
            }
            State::Waiting(_) | State::Over => {}
        }
    }

    pub(super) fn handle_drop(
        &mut self,
        now: Micros,
        share: f64,
        back_within: Micros,
        seed: u64,
        out: Outputs,
    ) {
        let State::Up(connection) = &mut self.state else { return };
        let planned = &self.plan.sessions[self.id.0 as usize];
        let mut chance = random_draw(planned.seed, Draw::Drop, seed);
        if chance.random::<f64>() >= share {
            return;
        }
        let due = now + chance.random_range(0..=back_within.max(0));
        let request = connection.info.request;
        connection.end(now, out);
        record(out, now, Seen::Left { request, why: ClientClose::Dropped });
        out.push(Output::Reset);
        self.lost_connection = true;
        self.state = State::Waiting(NextAttempt { due, starts_series: true });
    }

    pub(super) fn stop(&mut self, now: Micros, out: Outputs) {
        match std::mem::replace(&mut self.state, State::Over) {
            State::Up(mut connection) => {
                connection.end(now, out);
                record(out, now, Seen::Left { request: connection.info.request, why: ClientClose::Done });
            }
            State::Asked { attempt, deadline } => {
                let why = if now < deadline { ClientClose::Impatient } else { ClientClose::GaveUp };
                record(out, now, Seen::Left { request: attempt.request, why });
            }
            State::Lingering { request, why: LingerReason::Late, .. } => {
                record(out, now, Seen::Left { request, why: ClientClose::GaveUp });
            }
            State::Waiting(_) | State::Over => return,
            _ => {}
        }
        out.push(Output::Close);
    }
}
