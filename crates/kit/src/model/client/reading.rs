//! How a client handles the lines that it reads.

use super::established::{ConnectionInfo, EstablishedConnection, ReturnedLine};
use super::lines::{Draw, escaped_prefix, is_load_report, looks_like_answer, parse_answer, random_draw};
use super::{Attempt, LingerReason, Outputs, Session, State, record};
use crate::observation::{Answer, ClientClose, Seen};
use crate::time::{MS, Micros, S};
use rand::RngExt;

/// After a refusal or a failure, a client keeps the connection open for this long, or until its next attempt if that
/// is earlier, to see the proxy's close or a second answer.
const REFUSED_LINGER: Micros = S;

impl Session {
    pub(super) fn handle_line(&mut self, now: Micros, line: &[u8], out: Outputs) {
        if matches!(self.state, State::Asked { deadline, .. } if now >= deadline) {
            // The timer may fire after the line is read. The answer is late in that case too.
            self.handle_due(now, &|_| false, out);
        }
        match &mut self.state {
            State::Asked { attempt, .. } => {
                let attempt = *attempt;
                self.handle_answer(now, attempt, parse_answer(line), out);
            }
            State::Lingering { request, why: LingerReason::Late, next, .. } => {
                let (request, next) = (*request, *next);
                record(out, now, Seen::Answered { request, answer: parse_answer(line) });
                self.close_unserved(now, request, ClientClose::GaveUp, next, out);
            }
            State::Lingering { request, why, .. } => match why {
                _ if looks_like_answer(line) => {
                    record(out, now, Seen::Answered { request: *request, answer: parse_answer(line) });
                }
                LingerReason::Refused => {
                    record(out, now, Seen::Garbled { request: *request, line: escaped_prefix(line) })
                }
                // Lines that the render node sent before the move may still arrive.
                _ => {}
            },
            State::Up(connection) if line == b"MOVE" => {
                let request = connection.info.request;
                connection.end(now, out);
                record(out, now, Seen::Moved { request });
                let next = self.schedule_after_break(now);
                self.state = State::Lingering { request, why: LingerReason::Moved, until: next.due, next };
            }
            // The `MOVE` was sent before the proxy saw the end of the client's sending.
            State::Finishing(..) if line == b"MOVE" => {}
            State::Up(connection) | State::Finishing(connection, _) => {
                handle_line_when_up(connection, now, line, out)
            }
            _ => {}
        }
    }

    pub(super) fn handle_answer(&mut self, now: Micros, attempt: Attempt, answer: Answer, out: Outputs) {
        let request = attempt.request;
        record(out, now, Seen::Answered { request, answer: answer.clone() });
        let retry_after = match answer {
            Answer::Up(_) => {
                let class = self.planned().class;
                record(out, now, Seen::SetupTook { class, took: now - attempt.due });
                let line_interval = self.plan.habits.line_every.max(MS);
                let phase = random_draw(self.planned().seed, Draw::Phase, u64::from(self.attempts))
                    .random_range(0..line_interval);
                let message_aim = self.class().message_aim;
                let (session, until) = (self.id, self.until);
                let info =
                    ConnectionInfo { session, request, proxy: attempt.proxy, class, message_aim, until };
                self.state = State::Up(Box::new(EstablishedConnection::new(now, phase, line_interval, info)));
                (self.failed_series, self.lost_connection, self.is_retry) = (0, false, false);
                return;
            }
            Answer::Busy(retry_after) => retry_after,
            Answer::Failed(_) => 0,
        };
        let next = self.schedule_after_failure(now, retry_after);
        self.state =
            State::Lingering { request, why: LingerReason::Refused, until: now + REFUSED_LINGER, next };
    }
}

/// Handles a line on a connection that is up, or that was up until the client ended its sending.
fn handle_line_when_up(connection: &mut EstablishedConnection, now: Micros, line: &[u8], out: Outputs) {
    // A render node also sends `BYE` without a request if its own timer expires first.
    if line == b"BYE" || is_load_report(line) {
        return;
    }
    let returned = connection.match_returned_line(now, line, out);
    let request = connection.info.request;
    match returned {
        ReturnedLine::InOrder => {}
        ReturnedLine::Unknown if looks_like_answer(line) => {
            record(out, now, Seen::Answered { request, answer: parse_answer(line) })
        }
        ReturnedLine::OutOfOrder | ReturnedLine::Unknown => {
            record(out, now, Seen::Garbled { request, line: escaped_prefix(line) })
        }
    }
}
