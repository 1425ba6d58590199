//! Handling of a client's connection while an attempt is in flight.

use super::{ATTEMPT_TIMER, ClientConnection, LOG_TARGET, State};
use crate::net::attempt::Progress;
use crate::net::network_event::{ClientEvent, Io, NetworkEvent};
use crate::net::relay::Relay;
use cottonnotch_decision::Outcome;
use cottonnotch_reactor::Half;

impl ClientConnection {
    /// Continues the attempt as far as its socket allows without blocking.
    pub(super) fn advance_attempt(&mut self, io: &mut Io) {
        // The attempt may connect long after its start, when the client may have left. As long as the first line is
        // not written, the attempt can be dropped without effect.
        let is_unwritten = matches!(&self.state, State::Attempting(attempt) if !attempt.is_written());
        if is_unwritten && !self.check_client_present(io) {
            return;
        }
        let State::Attempting(attempt) = &mut self.state else { return };
        let progress = attempt.advance(io.now());
        if attempt.take_newly_written() {
            io.report(NetworkEvent::Client(self.key, ClientEvent::AttemptWritten));
        }
        match progress {
            Progress::Pending => {}
            Progress::Again => io.call_again(self.key, Half::Far),
            Progress::Ended(outcome) => self.end_attempt(io, outcome),
            Progress::Up(line) => self.establish(io, &line),
        }
    }

    /// Establishes the connection after the endpoint's `UP` line; from now on lines are relayed.
    fn establish(&mut self, io: &mut Io, up_line: &[u8]) {
        let State::Attempting(attempt) = std::mem::replace(&mut self.state, State::Closed) else { return };
        let elapsed = attempt.elapsed(io.now());
        log::trace!(
            target: LOG_TARGET, client:? = self.key, elapsed_us = elapsed;
            "client {:?} is established after {elapsed} us", self.key
        );
        self.client.push(up_line);
        self.state = State::Established(Box::new(Relay::new(attempt.into_stream(), io.now())));
        self.report(io, ClientEvent::Established { elapsed });
        // Both sides may already have sent more data.
        self.relay(io, Half::Far);
        self.relay(io, Half::Near);
    }

    pub(super) fn end_attempt(&mut self, io: &mut Io, outcome: Outcome) {
        // Replacing the state drops the attempt and closes its connection, so that two attempts are never in flight.
        log::trace!(
            target: LOG_TARGET, client:? = self.key, outcome:?;
            "client {:?}: attempt ended with {outcome:?}", self.key
        );
        self.state = State::Queued;
        self.report(io, ClientEvent::AttemptEnded(outcome));
    }

    /// Handles the attempt's timer: ends the attempt if its time limit has expired, and sets the timer again
    /// otherwise.
    pub(super) fn check_attempt_timeout(&mut self, io: &mut Io) {
        let State::Attempting(attempt) = &self.state else { return };
        let now = io.now();
        if let Some(outcome) = attempt.expiry_outcome(now) {
            self.end_attempt(io, outcome);
        } else if let Some(due) = attempt.next_timeout() {
            io.timer(due.max(now), self.key, ATTEMPT_TIMER);
        }
    }
}
