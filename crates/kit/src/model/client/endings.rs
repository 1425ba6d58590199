//! How a connection ends: by the proxy, by a drop, or at the end of the run.

use super::words::{Draw, draw};
use super::{Next, Out, Output, Session, State, Why, note};
use crate::observation::{ClientClose, ProxyClose, RequestId, Seen};
use crate::time::Micros;
use rand::RngExt;

impl Session {
    /// Closes a connection that did not serve the client, and schedules the next try.
    pub(super) fn leave(&mut self, now: Micros, request: RequestId, why: ClientClose, next: Next, out: Out) {
        note(out, now, Seen::Left { request, why });
        out.push(Output::Close);
        self.state = State::Waiting(next);
    }

    pub(super) fn ended(&mut self, now: Micros, how: ProxyClose, out: Out) {
        match &mut self.state {
            // The proxy has not received a request before the end of the first line.
            State::Connecting(_) | State::Opening(..) => {
                out.push(Output::Close);
                self.unreached(now, out);
            }
            State::Asked { of, .. } => {
                let request = of.request;
                note(out, now, Seen::Ended { request, how });
                out.push(Output::Close);
                self.state = State::Waiting(self.after_failure(now, 0));
            }
            State::Lingering { request, why, next, .. } => {
                if *why != Why::Refused {
                    note(out, now, Seen::Ended { request: *request, how });
                }
                out.push(Output::Close);
                self.state = State::Waiting(*next);
            }
            State::Up(standing) => {
                let request = standing.whose.request;
                standing.end(now, out);
                note(out, now, Seen::Ended { request, how });
                out.push(Output::Close);
                self.state = State::Waiting(self.after_break(now));
            }
            State::Finishing(..) => {
                out.push(Output::Close);
                self.state = State::AttemptEnd;
            }
            State::Waiting(_) | State::AttemptEnd => {}
        }
    }

    pub(super) fn dropped(&mut self, now: Micros, share: f64, back_within: Micros, seed: u64, out: Out) {
        let State::Up(standing) = &mut self.state else { return };
        let planned = &self.plan.sessions[self.id.0 as usize];
        let mut chance = draw(planned.seed, Draw::Drop, seed);
        if chance.random::<f64>() >= share {
            return;
        }
        let due = now + chance.random_range(0..=back_within.max(0));
        let request = standing.whose.request;
        standing.end(now, out);
        note(out, now, Seen::Left { request, why: ClientClose::Dropped });
        out.push(Output::Reset);
        self.again = true;
        self.state = State::Waiting(Next { due, fresh: true });
    }

    pub(super) fn stop(&mut self, now: Micros, out: Out) {
        match std::mem::replace(&mut self.state, State::AttemptEnd) {
            State::Up(mut standing) => {
                standing.end(now, out);
                note(out, now, Seen::Left { request: standing.whose.request, why: ClientClose::Done });
            }
            State::Asked { of, deadline } => {
                let why = if now < deadline { ClientClose::Impatient } else { ClientClose::GaveUp };
                note(out, now, Seen::Left { request: of.request, why });
            }
            State::Lingering { request, why: Why::Late, .. } => {
                note(out, now, Seen::Left { request, why: ClientClose::GaveUp });
            }
            State::Waiting(_) | State::AttemptEnd => return,
            _ => {}
        }
        out.push(Output::Close);
    }
}
