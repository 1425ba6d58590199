//! Handling of a client's connection up to its answer: reads the first line, and then only watches whether the
//! client leaves.

use super::{ClientConnection, LOG_TARGET, PING_TIMEOUT, State};
use crate::net::final_answer::error_line;
use crate::net::network_event::{ClientEvent, Io};
use crate::net::open_line::OpenLine;
use crate::net::request_error::RequestError;
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_reactor::Half;
use cottonnotch_reactor::line::{Fill, trim_end};

impl ClientConnection {
    /// Reads what has arrived, up to the limit of one callback.
    pub(super) fn read_first_line(&mut self, io: &mut Io) {
        let fill = self.client.fill();
        let line = match self.answer_pings(io) {
            Ok(line) => line,
            Err(error) => return self.reject_client(io, error),
        };
        if self.client.flush().is_err() {
            self.state = State::Closed;
            return;
        }
        match (line, fill) {
            (Some(line), _) => self.handle_first_line(io, trim_end(&line)),
            (None, Fill::Blocked) => {}
            (None, Fill::More) => io.call_again(self.key, Half::Near),
            (None, Fill::Ended | Fill::Broken(_)) => self.state = State::Closed,
        }
    }

    /// Queues the answers to the PINGs that have arrived, and returns the first line that is not a PING.
    fn answer_pings(&mut self, io: &Io) -> Result<Option<Vec<u8>>, RequestError> {
        while let Some(line) = self.client.take_line()? {
            if trim_end(&line) != b"PING" {
                return Ok(Some(line));
            }
            self.answer_ping(io.now())?;
        }
        Ok(None)
    }

    /// Queues the answer to a PING. Fails if the client sends PINGs too fast or does not read the answers.
    fn answer_ping(&mut self, now: Micros) -> Result<(), RequestError> {
        let State::ReadingFirstLine { until, pings } = &mut self.state else { return Ok(()) };
        if !pings.admit(now) || self.client.is_full() {
            return Err(RequestError::TooManyPings);
        }
        *until = now + PING_TIMEOUT;
        self.client.push(b"PONG\r\n");
        Ok(())
    }

    fn handle_first_line(&mut self, io: &mut Io, line: &[u8]) {
        log::trace!(
            target: LOG_TARGET, client:? = self.key;
            "client {:?} sent the first line '{}'", self.key, line.escape_ascii()
        );
        match OpenLine::parse(line) {
            Ok(_) if self.client.has_input() => self.reject_client(io, RequestError::DataBeforeAnswer),
            Ok((line, request)) => {
                self.deadline = request.time_left.map(|left| io.now() + left);
                self.line = Some(line);
                self.state = State::Queued;
                self.report(io, ClientEvent::ConnectionRequested(request));
                // The client may have closed its side along with the line. The poll is edge-triggered and does not
                // report that again, so the socket has to be read once more.
                io.call_again(self.key, Half::Near);
            }
            Err(error) => self.reject_client(io, error.into()),
        }
    }

    /// Checks whether the client has left or has sent data before its answer. A client has to wait for its answer:
    /// data that it sends earlier would have to be buffered, or would be lost with the attempt, so such a client is
    /// rejected.
    pub(super) fn watch_client(&mut self, io: &mut Io) {
        let outcome = match &self.state {
            State::Attempting(attempt) if attempt.is_written() => Outcome::Cancelled,
            _ => Outcome::NotSent,
        };
        match self.client.fill() {
            // In the protocol, a peer that ends its sending gives up; the proxy does the same towards an endpoint.
            // A client that has closed both directions cannot be told apart from one that still reads. A request
            // without an answer counts as lost, so the client gets an error, which it sees if it still reads.
            Fill::Ended => {
                self.send_final_line(io, &error_line(&"the client has ended its sending"));
                self.report(io, ClientEvent::Left(outcome));
            }
            Fill::Broken(_) => {
                self.state = State::Closed;
                self.report(io, ClientEvent::Left(outcome));
            }
            Fill::Blocked | Fill::More if self.client.has_input() => {
                self.reject_client(io, RequestError::DataBeforeAnswer)
            }
            Fill::Blocked | Fill::More => {}
        }
    }

    /// Reads the client's socket and returns whether an answer is still owed. A client may have left while the
    /// event for it is queued behind a thousand others; no attempt may start for such a client.
    pub(super) fn check_client_present(&mut self, io: &mut Io) -> bool {
        if self.owes_answer() {
            self.watch_client(io);
        }
        self.owes_answer()
    }

    fn owes_answer(&self) -> bool {
        matches!(self.state, State::Queued | State::Attempting(_))
    }
}
