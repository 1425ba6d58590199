//! Up to the answer: the first line is read, and then the client is only watched for its end.

use super::{ClientConnection, LOG_TARGET, PING_TIMEOUT, State};
use crate::net::final_answer::error_line;
use crate::net::network_event::{ClientEvent, Io};
use crate::net::open_line::OpenLine;
use crate::net::request_error::RequestError;
use cottonnotch_decision::Outcome;
use cottonnotch_reactor::Half;
use cottonnotch_reactor::line::{Fill, trim_end};

impl ClientConnection {
    pub(super) fn read_first_line(&mut self, io: &mut Io) {
        loop {
            let fill = self.client.fill();
            match self.client.take_line() {
                Ok(Some(line)) if trim_end(&line) == b"PING" => {
                    if !self.answer_ping(io) {
                        return;
                    }
                }
                Ok(Some(line)) => return self.handle_first_line(io, trim_end(&line)),
                Err(error) => return self.reject_client(io, error.into()),
                Ok(None) => match fill {
                    Fill::Blocked => return,
                    Fill::More => return io.call_again(self.key, Half::Near),
                    Fill::Ended | Fill::Broken(_) => {
                        self.state = State::Closed;
                        return;
                    }
                },
            }
        }
    }

    /// False if the connection is broken, which closes it.
    fn answer_ping(&mut self, io: &mut Io) -> bool {
        self.client.push(b"PONG\r\n");
        if self.client.flush().is_err() {
            self.state = State::Closed;
            return false;
        }
        self.state = State::ReadingFirstLine { until: io.now() + PING_TIMEOUT, pinged: true };
        true
    }

    fn handle_first_line(&mut self, io: &mut Io, line: &[u8]) {
        log::trace!(
            target: LOG_TARGET, client:? = self.key;
            "client {:?} opens with '{}'", self.key, line.escape_ascii()
        );
        match OpenLine::parse(line) {
            Ok(_) if self.client.has_input() => self.reject_client(io, RequestError::DataBeforeAnswer),
            Ok((line, request)) => {
                self.deadline = request.time_left.map(|left| io.now() + left);
                self.line = Some(line);
                self.state = State::Queued;
                self.report(io, ClientEvent::ConnectionRequested(request));
                // The client's end may have come with the line; an edge is reported once.
                io.call_again(self.key, Half::Near);
            }
            Err(error) => self.reject_client(io, error.into()),
        }
    }

    /// While no answer is given, the client's side is read only to see whether it left. Guards against one
    /// that sends many commands at once: a client waits for its answer, and what it sends before would have
    /// to be kept, or be lost with the attempt.
    pub(super) fn watch_client(&mut self, io: &mut Io) {
        let outcome = match &self.state {
            State::Attempting(attempt) if attempt.is_written() => Outcome::Cancelled,
            _ => Outcome::NotSent,
        };
        match self.client.fill() {
            // By the protocol's pages whoever ends its sending gives up, as the proxy itself does towards an endpoint;
            // and a client that has closed both sides looks the same from here. But only whoever is answered was not
            // lost, so it gets an error: one that reads on sees it, and one that left doesn't.
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

    /// Whether an answer is still awaited, as far as the client's socket shows now. Guards against a client that left,
    /// and whose end waits its turn behind a thousand others' events: nothing may begin for it.
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
