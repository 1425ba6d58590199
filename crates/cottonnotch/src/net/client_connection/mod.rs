//! A client's connection: implements the line protocol towards the client as an explicit state machine.

mod attempting;
mod commands;
mod first_line;
mod ping_limit;
mod relaying;

use super::attempt::Attempt;
use super::client_protocol::ClientProtocol;
use super::final_answer::error_line;
use super::network_event::{ClientEvent, Io, NetworkEvent};
use super::object::Object;
use super::open_line::OpenLine;
use super::relay::Relay;
use super::request_error::RequestError;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Connection, Half, Key};
use ping_limit::PingLimit;
use std::net::SocketAddr;

/// The time limit for the first line; a client that exceeds it gets an error. A client that connects and sends
/// nothing must get an answer within 3 s and must not hold a file descriptor that other clients need.
const FIRST_LINE_TIMEOUT: Micros = 1_500_000;
/// The time limit for the next line after a PING. The load balancer in front of the proxy checks its health with
/// PING, and may be silent for longer than other clients.
const PING_TIMEOUT: Micros = 30_000_000;
/// How long the proxy waits for the client to close first after the final answer. Closing with unread bytes would
/// reset the connection, and the client could lose the answer.
const LINGER: Micros = 1_000_000;
/// If a client's line stays unanswered for this long, the endpoint counts as silent and the client is migrated. The
/// protocol allows 7 s from the moment when the endpoint stops answering. Clients send a line every 2 s, so the
/// first unanswered line may be sent up to 2 s after that moment.
const SILENCE_TIMEOUT: Micros = 4_500_000;
/// How long the proxy waits for the endpoint to close after the client has ended its sending.
const ENDPOINT_END_TIMEOUT: Micros = 2_000_000;

// The timer ids of a connection.
const FIRST_LINE_TIMER: u32 = 0;
const ATTEMPT_TIMER: u32 = 1;
const SILENCE_TIMER: u32 = 2;
const CLOSE_TIMER: u32 = 3;
const ENDPOINT_END_TIMER: u32 = 4;

/// The log target of this module and its submodules, on which log filters and collectors rely.
const LOG_TARGET: &str = "cottonnotch::net::client_connection";

#[derive(Debug)]
enum State {
    /// The first line has not arrived; the client is rejected at `until`. `pings` counts the PINGs that came instead.
    ReadingFirstLine { until: Micros, pings: PingLimit },
    /// The client is owed a final answer, and no attempt is in flight.
    Queued,
    /// An attempt is in flight.
    Attempting(Box<Attempt>),
    /// The connection is established, and lines are relayed.
    Established(Box<Relay>),
    /// The final answer was given, or the connection has ended; the proxy waits until `until` for the client to
    /// close.
    Answered { until: Micros },
    /// The connection is finished and can be removed.
    Closed,
}

/// A client's connection, with its attempt or relay.
#[derive(Debug)]
pub struct ClientConnection {
    key: Key,
    client: LineStream,
    state: State,
    /// The client's first line; `None` until a valid one has arrived.
    line: Option<OpenLine>,
    /// When the client stops waiting for its answer; `None` if it named no deadline.
    deadline: Option<Micros>,
    /// The address of the endpoint of the latest attempt; `None` before the first attempt.
    endpoint_address: Option<SocketAddr>,
}

impl ClientConnection {
    /// Creates the state for an accepted connection.
    pub fn accepted(client: LineStream, key: Key, io: &mut Io) -> Self {
        let until = io.now() + FIRST_LINE_TIMEOUT;
        io.timer(until, key, FIRST_LINE_TIMER);
        let state = State::ReadingFirstLine { until, pings: PingLimit::default() };
        ClientConnection { key, client, state, line: None, deadline: None, endpoint_address: None }
    }

    fn report(&self, io: &mut Io, event: ClientEvent) {
        io.report(NetworkEvent::Client(self.key, event));
    }

    /// Sends the client its last line and ends the proxy's sending.
    fn send_final_line(&mut self, io: &mut Io, line: &str) {
        self.client.push(line.as_bytes());
        self.finish_client(io);
    }

    fn finish_client(&mut self, io: &mut Io) {
        self.client.finish();
        self.client.take_rest();
        // Replacing the state closes the attempt's connection, or the relay's connection to the endpoint.
        let until = io.now() + LINGER;
        self.state = match self.client.flush() {
            Ok(_) => State::Answered { until },
            Err(_) => State::Closed,
        };
        io.timer(until, self.key, CLOSE_TIMER);
        // Unread input has to be discarded now, because the poll is edge-triggered and does not report it again.
        io.call_again(self.key, Half::Near);
    }

    /// Rejects a client with an error. Malformed input is answered here and never forwarded, because an endpoint
    /// would answer it with SYNTAX, or with an error that looks like a failure of the endpoint.
    fn reject_client(&mut self, io: &mut Io, error: RequestError) {
        self.send_final_line(io, &error_line(&error));
        self.report(io, ClientEvent::Rejected(error));
    }

    /// Discards the input of a client that has its final answer, until the client closes.
    fn discard_input(&mut self, io: &mut Io) {
        match self.client.discard() {
            Fill::Ended | Fill::Broken(_) => self.state = State::Closed,
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Blocked => {}
        }
    }

    /// Returns the client's id and the endpoint's address for a log line.
    fn log_fields(&self) -> (&str, String) {
        let wire_id = self.line.as_ref().map_or("-", OpenLine::id);
        let address = self.endpoint_address.map_or("-".to_owned(), |address| address.to_string());
        (wire_id, address)
    }
}

impl Connection for ClientConnection {
    type Report = NetworkEvent;

    fn readable(&mut self, io: &mut Io, half: Half) {
        match (&self.state, half) {
            (State::ReadingFirstLine { .. }, Half::Near) => self.read_first_line(io),
            (State::Queued | State::Attempting(_), Half::Near) => self.watch_client(io),
            (State::Attempting(_), Half::Far) => self.advance_attempt(io),
            (State::Established(_), half) => self.relay(io, half),
            (State::Answered { .. }, Half::Near) => self.discard_input(io),
            // The event belongs to an attempt that is already closed.
            (_, _) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, half: Half) {
        match (&mut self.state, half) {
            (State::Attempting(_), Half::Far) => self.advance_attempt(io),
            (State::Established(relay), Half::Far) => {
                relay.flush();
                // The client may not have been read while the buffer for the endpoint was full.
                io.call_again(self.key, Half::Near);
            }
            (State::Established(_), Half::Near) => {
                // A broken connection is detected by the next read.
                let _ = self.client.flush();
                io.call_again(self.key, Half::Far);
            }
            (_, Half::Near) => {
                if self.client.flush().is_err() && matches!(self.state, State::Answered { .. }) {
                    self.state = State::Closed;
                }
            }
            (_, Half::Far) => {}
        }
    }

    fn timer(&mut self, io: &mut Io, timer: u32) {
        let now = io.now();
        match (timer, &self.state) {
            (FIRST_LINE_TIMER, State::ReadingFirstLine { until, .. }) => {
                if *until <= now {
                    self.reject_client(io, RequestError::NoFirstLine);
                } else {
                    io.timer(*until, self.key, FIRST_LINE_TIMER);
                }
            }
            (ATTEMPT_TIMER, State::Attempting(_)) => self.check_attempt_timeout(io),
            (SILENCE_TIMER, State::Established(_)) => self.check_silence(io),
            (CLOSE_TIMER, State::Answered { until }) if *until <= now => self.state = State::Closed,
            (ENDPOINT_END_TIMER, State::Established(_)) => self.close_after_client(io),
            _ => {}
        }
    }

    fn done(&self) -> bool {
        matches!(self.state, State::Closed)
    }
}

impl Object for ClientConnection {
    fn client(&mut self) -> Option<&mut dyn ClientProtocol> {
        Some(self)
    }
}
