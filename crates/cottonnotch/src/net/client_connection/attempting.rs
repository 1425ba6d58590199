//! While an attempt is in flight.

use super::{ATTEMPT_TIMER, ClientConnection, LOG_TARGET, State};
use crate::net::attempt::Progress;
use crate::net::network_event::{ClientEvent, Io, NetworkEvent};
use crate::net::relay::Relay;
use cottonnotch_decision::Outcome;
use cottonnotch_reactor::Half;

impl ClientConnection {
    /// Goes on with the attempt as far as its socket allows.
    pub(super) fn advance_attempt(&mut self, io: &mut Io) {
        // It may be connected long after it was begun, and a line that is not written can't run.
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

    /// The endpoint has answered with its `UP` line: from now on lines are relayed.
    fn establish(&mut self, io: &mut Io, up_line: &[u8]) {
        let State::Attempting(attempt) = std::mem::replace(&mut self.state, State::Closed) else { return };
        let elapsed = attempt.elapsed(io.now());
        log::trace!(
            target: LOG_TARGET, client:? = self.key, elapsed_us = elapsed;
            "client {:?} is up after {elapsed} us", self.key
        );
        self.client.push(up_line);
        self.state = State::Established(Box::new(Relay::new(attempt.into_link(), io.now())));
        self.report(io, ClientEvent::Established { elapsed });
        // Either side may have sent more already.
        self.relay(io, Half::Far);
        self.relay(io, Half::Near);
    }

    pub(super) fn end_attempt(&mut self, io: &mut Io, outcome: Outcome) {
        // Dropping the attempt closes its connection: never two attempts in flight.
        log::trace!(
            target: LOG_TARGET, client:? = self.key, outcome:?;
            "client {:?}: attempt ended as {outcome:?}", self.key
        );
        self.state = State::Queued;
        self.report(io, ClientEvent::AttemptEnded(outcome));
    }

    /// The attempt's timer is due: ends the attempt if its time is up, or sets the timer anew.
    pub(super) fn check_attempt_timeout(&mut self, io: &mut Io) {
        let State::Attempting(attempt) = &self.state else { return };
        let now = io.now();
        if let Some(outcome) = attempt.overdue(now) {
            self.end_attempt(io, outcome);
        } else if let Some(due) = attempt.next_timeout() {
            io.timer(due.max(now), self.key, ATTEMPT_TIMER);
        }
    }
}
