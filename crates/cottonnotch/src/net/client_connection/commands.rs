//! The commands of the driver to a client's connection.

use super::{ATTEMPT_TIMER, ClientConnection, LOG_TARGET, State};
use crate::net::attempt::Attempt;
use crate::net::client_protocol::{AttemptParameters, CancelScope, ClientProtocol};
use crate::net::final_answer::{MOVE, busy_line, error_line};
use crate::net::invariant::invariant;
use crate::net::network_event::Io;
use cottonnotch_decision::{Micros, Outcome};
use std::fmt::Display;

impl ClientConnection {
    /// Returns whether the client waits for an attempt or for its final answer. The client may have left, or have
    /// been rejected because it sent data too early, while the report of it is still queued; it must not get a
    /// second answer.
    fn is_queued(&self) -> bool {
        invariant!(
            !matches!(self.state, State::Attempting(_) | State::Established(_)),
            "nothing is asked of a request whose attempt is in flight or that is established"
        ) && matches!(self.state, State::Queued)
    }

    /// Sends the final answer. Returns false if no answer is owed any more.
    fn give_final_answer(&mut self, io: &mut Io, line: impl FnOnce() -> String) -> bool {
        let is_queued = self.is_queued();
        if is_queued {
            self.send_final_line(io, &line());
        }
        is_queued
    }
}

impl ClientProtocol for ClientConnection {
    fn start_attempt(&mut self, io: &mut Io, parameters: AttemptParameters) -> bool {
        if !self.is_queued() {
            return false;
        }
        let Some(line) = &self.line else { return false };
        let now = io.now();
        let timeout = (parameters.timeout > 0).then(|| now + parameters.timeout);
        let deadline = [timeout, self.deadline].into_iter().flatten().min();
        self.endpoint_address = Some(parameters.address);
        match Attempt::start(io, self.key, &parameters, line.clone(), deadline) {
            Ok(attempt) => {
                if let Some(due) = attempt.next_timeout() {
                    io.timer(due, self.key, ATTEMPT_TIMER);
                }
                self.state = State::Attempting(Box::new(attempt));
                true
            }
            Err(error) => {
                let (wire_id, address) = (line.id(), parameters.address);
                log::warn!(
                    target: LOG_TARGET, wire_id, address:%, error:%;
                    "attempt to {address} could not begin: {error}"
                );
                false
            }
        }
    }

    fn is_awaiting_answer(&mut self, io: &mut Io) -> bool {
        self.check_client_present(io) && matches!(self.state, State::Queued)
    }

    fn cancel_attempt(&mut self, io: &mut Io, scope: CancelScope) -> bool {
        let State::Attempting(attempt) = &self.state else { return false };
        let outcome = match (attempt.is_written(), scope) {
            (true, CancelScope::UnwrittenOnly) => return false,
            (true, CancelScope::AnyAttempt) => Outcome::Cancelled,
            (false, _) => Outcome::NotSent,
        };
        self.end_attempt(io, outcome);
        true
    }

    fn reject(&mut self, io: &mut Io, retry_after: Micros) -> bool {
        self.give_final_answer(io, || busy_line(retry_after))
    }

    fn fail(&mut self, io: &mut Io, reason: &dyn Display) -> bool {
        self.give_final_answer(io, || error_line(reason))
    }

    fn migrate(&mut self, io: &mut Io) -> bool {
        let State::Established(relay) = &mut self.state else { return false };
        relay.relay_buffered_lines(&mut self.client, io.now());
        // Only whole lines are queued for the client, so this line cannot split another one.
        self.send_final_line(io, MOVE);
        true
    }

    fn reject_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool {
        if let State::ReadingFirstLine { .. } = self.state {
            // The client's first line may have arrived without having been read yet.
            self.read_first_line(io);
        }
        match self.state {
            // The client has received its PONG and has sent no request, so it could mistake a BUSY for another
            // answer.
            State::ReadingFirstLine { pings, .. } if pings.any() => {
                self.finish_client(io);
                false
            }
            State::ReadingFirstLine { .. } => {
                self.send_final_line(io, &busy_line(retry_after));
                true
            }
            _ => false,
        }
    }

    fn evict_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool {
        let rejected = self.reject_idle(io, retry_after);
        // This also closes the connections of clients that sent PING and stayed: hundreds of them once kept all
        // other clients from being accepted.
        if let State::Answered { .. } = self.state {
            // Closing with unread bytes would reset the connection, and the client would lose the line that was
            // just written.
            self.client.discard();
            self.state = State::Closed;
        }
        rejected
    }

    fn oldest_unanswered(&self, now: Micros) -> Option<Micros> {
        match &self.state {
            State::Established(relay) => relay.oldest_unanswered(now),
            _ => None,
        }
    }
}
