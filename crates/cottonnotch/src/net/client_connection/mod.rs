//! A client's connection: the line protocol towards the client, as an explicit state machine from the first line to
//! the last.

mod attempting;
mod commands;
mod first_line;
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
use std::net::SocketAddr;

/// A connection whose first line is not there after this gets an error. Guards against clients that connect
/// and say nothing: they are owed an answer within 3 s, and the descriptor is for others.
const FIRST_LINE_TIMEOUT: Micros = 1_500_000;
/// The load balancer in front, which asks by PING whether the proxy serves, may be silent for longer.
const PING_TIMEOUT: Micros = 30_000_000;
/// A client that was answered is given this long to close first: a close with its bytes unread would reset
/// the connection and could take the answer with it.
const LINGER: Micros = 1_000_000;
/// A client's line unanswered for this long: the endpoint is silent, and the client is migrated. The protocol allows
/// 7 s from when nothing comes back any more; clients send a line every 2 s, so the first one that shows it may be
/// that late.
const SILENCE_TIMEOUT: Micros = 4_500_000;
/// After the client's end, the endpoint is given this long to end too.
const ENDPOINT_END_TIMEOUT: Micros = 2_000_000;

/// The timers of a connection.
const FIRST_LINE_TIMER: u32 = 0;
const ATTEMPT_TIMER: u32 = 1;
const SILENCE_TIMER: u32 = 2;
const CLOSE_TIMER: u32 = 3;
const ENDPOINT_END_TIMER: u32 = 4;

/// The log's part of these files: filters and collectors know it by this.
const LOG_TARGET: &str = "cottonnotch::net::client_connection";

#[derive(Debug)]
enum State {
    /// The first line is not there yet.
    ReadingFirstLine { until: Micros, pinged: bool },
    /// A final answer is owed, and no attempt is in flight.
    Queued,
    /// An attempt is in flight.
    Attempting(Box<Attempt>),
    /// Established: lines are relayed.
    Established(Box<Relay>),
    /// The final answer is given, or the connection is over; the client's end is awaited up to then.
    Answered { until: Micros },
    /// Nothing is left to do.
    Closed,
}

/// A client's connection, with the attempt or relay behind it.
#[derive(Debug)]
pub struct ClientConnection {
    key: Key,
    client: LineStream,
    state: State,
    line: Option<OpenLine>,
    deadline: Option<Micros>,
    /// Where the latest attempt went.
    endpoint_address: Option<SocketAddr>,
}

impl ClientConnection {
    /// Takes over an accepted connection.
    pub fn accepted(client: LineStream, key: Key, io: &mut Io) -> Self {
        let until = io.now() + FIRST_LINE_TIMEOUT;
        io.timer(until, key, FIRST_LINE_TIMER);
        let state = State::ReadingFirstLine { until, pinged: false };
        ClientConnection { key, client, state, line: None, deadline: None, endpoint_address: None }
    }

    fn report(&self, io: &mut Io, event: ClientEvent) {
        io.report(NetworkEvent::Client(self.key, event));
    }

    /// Writes the client's last line and ends our sending.
    fn send_final_line(&mut self, io: &mut Io, line: &str) {
        self.client.push(line.as_bytes());
        self.end_client(io);
    }

    fn end_client(&mut self, io: &mut Io) {
        self.client.finish();
        self.client.take_rest();
        // Dropping the state closes the attempt or the relay's far side.
        let until = io.now() + LINGER;
        self.state = match self.client.flush() {
            Ok(_) => State::Answered { until },
            Err(_) => State::Closed,
        };
        io.timer(until, self.key, CLOSE_TIMER);
        // What came with the line is read away, and more that comes: an edge is reported once.
        io.call_again(self.key, Half::Near);
    }

    /// Rejects a client with an error. Guards against rubbish: it costs one line and is never forwarded, where an
    /// endpoint would answer SYNTAX, or an error that looks like the endpoint's own fault.
    fn reject_client(&mut self, io: &mut Io, error: RequestError) {
        self.send_final_line(io, &error_line(&error));
        self.report(io, ClientEvent::Rejected(error));
    }

    /// Reads away what an answered client still sends, up to its end.
    fn discard_input(&mut self, io: &mut Io) {
        match self.client.discard() {
            Fill::Ended | Fill::Broken(_) => self.state = State::Closed,
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Blocked => {}
        }
    }

    /// The client's id and the endpoint's address, for a log line.
    fn log_names(&self) -> (&str, String) {
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
            // Left over from an attempt that is closed.
            (_, _) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, half: Half) {
        match (&mut self.state, half) {
            (State::Attempting(_), Half::Far) => self.advance_attempt(io),
            (State::Established(relay), Half::Far) => {
                relay.flush();
                // The client may have been left unread while this side was full.
                io.call_again(self.key, Half::Near);
            }
            (State::Established(_), Half::Near) => {
                // A broken connection is found by reading.
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
