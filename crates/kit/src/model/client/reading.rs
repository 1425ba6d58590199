//! How a client handles the lines that it reads.

use super::standing::{Returned, Standing, Whose};
use super::words::{Draw, answer, draw, is_load, kept, looks_like_answer};
use super::{Out, Session, State, Try, Why, note};
use crate::observation::{Answer, ClientClose, Seen};
use crate::time::{MS, Micros, S};
use rand::RngExt;

/// After a refusal or a failure, a client keeps the connection open for this long, or until its next try if that is
/// earlier, to see the proxy's close or a second answer.
const REFUSED_LINGER: Micros = S;

impl Session {
    pub(super) fn line(&mut self, now: Micros, line: &[u8], out: Out) {
        if matches!(self.state, State::Asked { deadline, .. } if now >= deadline) {
            // The timer may fire after the line is read. The answer is late in that case too.
            self.due(now, &|_| false, out);
        }
        match &mut self.state {
            State::Asked { of, .. } => {
                let of = *of;
                self.answered(now, of, answer(line), out);
            }
            State::Lingering { request, why: Why::Late, next, .. } => {
                let (request, next) = (*request, *next);
                note(out, now, Seen::Answered { request, answer: answer(line) });
                self.leave(now, request, ClientClose::GaveUp, next, out);
            }
            State::Lingering { request, why, .. } => match why {
                _ if looks_like_answer(line) => {
                    note(out, now, Seen::Answered { request: *request, answer: answer(line) });
                }
                Why::Refused => note(out, now, Seen::Garbled { request: *request, line: kept(line) }),
                // Lines that the render node sent before the move may still arrive.
                _ => {}
            },
            State::Up(standing) if line == b"MOVE" => {
                let request = standing.whose.request;
                standing.end(now, out);
                note(out, now, Seen::Moved { request });
                let next = self.after_break(now);
                self.state = State::Lingering { request, why: Why::Moved, until: next.due, next };
            }
            // The `MOVE` was sent before the proxy saw the end of the client's sending.
            State::Finishing(..) if line == b"MOVE" => {}
            State::Up(standing) | State::Finishing(standing, _) => relayed(standing, now, line, out),
            _ => {}
        }
    }

    pub(super) fn answered(&mut self, now: Micros, of: Try, answer: Answer, out: Out) {
        let request = of.request;
        note(out, now, Seen::Answered { request, answer: answer.clone() });
        let told = match answer {
            Answer::Up(_) => {
                let class = self.planned().class;
                note(out, now, Seen::SetupTook { class, took: now - of.due });
                let every = self.plan.habits.line_every.max(MS);
                let phase =
                    draw(self.planned().seed, Draw::Phase, u64::from(self.tries)).random_range(0..every);
                let message_aim = self.class().message_aim;
                let (session, until) = (self.id, self.until);
                let whose = Whose { session, request, proxy: of.proxy, class, message_aim, until };
                self.state = State::Up(Box::new(Standing::begin(now, phase, every, whose)));
                (self.failed, self.again, self.repeat) = (0, false, false);
                return;
            }
            Answer::Busy(told) => told,
            Answer::Failed(_) => 0,
        };
        let next = self.after_failure(now, told);
        self.state = State::Lingering { request, why: Why::Refused, until: now + REFUSED_LINGER, next };
    }
}

/// Handles a line on a connection that is up, or that was up until the client ended its sending.
fn relayed(standing: &mut Standing, now: Micros, line: &[u8], out: Out) {
    // A render node also sends `BYE` without a request if its own timer expires first.
    if line == b"BYE" || is_load(line) {
        return;
    }
    let returned = standing.returned(now, line, out);
    let request = standing.whose.request;
    match returned {
        Returned::Own => {}
        Returned::Not if looks_like_answer(line) => {
            note(out, now, Seen::Answered { request, answer: answer(line) })
        }
        Returned::Skipping | Returned::Not => note(out, now, Seen::Garbled { request, line: kept(line) }),
    }
}
