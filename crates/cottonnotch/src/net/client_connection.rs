//! A client's request: the line protocol in front of the decisions, as an explicit state machine.

use super::attempt::{Attempt, Progress};
use super::invariant::invariant;
use super::network_event::{AttemptOrder, CancelScope, ClientProtocol, Io, NetworkEvent, Object};
use super::open_line::OpenLine;
use super::relay::{Observation, Relay, RelayOutcome};
use super::request_error::RequestError;
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_reactor::line::{Fill, LineStream, MAX_LINE, trim_end};
use cottonnotch_reactor::{Connection, Half, Key};
use std::fmt::Display;
use std::net::SocketAddr;

/// A connection whose first line is not there after this gets an error. Guards against clients that connect
/// and say nothing: they are owed a word within 3 s, and the descriptor is for others.
const FIRST_LINE_TIMEOUT: Micros = 1_500_000;
/// The front, which asks by PING whether the proxy serves, may be silent for longer.
const PING_TIMEOUT: Micros = 30_000_000;
/// A client that was answered is given this long to close first: a close with its bytes unread would reset
/// the connection and could take the answer with it.
const LINGER: Micros = 1_000_000;
/// A client's line unanswered for this long: the endpoint is silent, and the client is moved. The protocol allows 7 s from when
/// nothing comes back any more; clients send a line every 2 s, so the first one that shows it may be that late.
const SILENCE_TIMEOUT: Micros = 4_500_000;
/// After the client's end, the endpoint is given this long to end too.
const ENDPOINT_END_TIMEOUT: Micros = 2_000_000;

/// The timers of a request.
const FIRST_LINE_TIMER: u32 = 0;
const ATTEMPT_TIMER: u32 = 1;
const SILENCE_TIMER: u32 = 2;
const CLOSE_TIMER: u32 = 3;
const ENDPOINT_END_TIMER: u32 = 4;

#[derive(Debug)]
enum State {
    /// The first line is not there yet.
    Reading { until: Micros, pinged: bool },
    /// A final answer is owed, and no attempt is out.
    Waiting,
    /// An attempt is out.
    Attempting(Box<Attempt>),
    /// Served: lines are relayed.
    Up(Box<Relay>),
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
        let state = State::Reading { until, pinged: false };
        ClientConnection { key, client, state, line: None, deadline: None, endpoint_address: None }
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
        // What came with the line is read away, and more that comes: an edge is told once.
        io.call_again(self.key, Half::Near);
    }

    /// Turns a client away with an error. Guards against rubbish: it costs one line and is never passed on,
    /// where an endpoint would answer SYNTAX, or an error that looks like the endpoint's own trouble.
    fn reject_client(&mut self, io: &mut Io, why: RequestError) {
        self.send_final_line(io, &format!("ERR {why}\r\n"));
        io.report(NetworkEvent::ClientRejected { client: self.key, why });
    }

    /// The client waits for an attempt or its answer. Guards against a second answer: it may have left, or have been
    /// turned away for what it sent too early, and the report of that waits its turn.
    fn is_waiting_for_decision(&self) -> bool {
        invariant!(
            !matches!(self.state, State::Attempting(_) | State::Up(_)),
            "nothing is asked of a request whose attempt is out or that is up"
        ) && matches!(self.state, State::Waiting)
    }

    fn read_first_line(&mut self, io: &mut Io) {
        loop {
            let fill = self.client.fill();
            match self.client.take_line() {
                Ok(Some(line)) => match trim_end(&line) {
                    b"PING" => {
                        self.client.push(b"PONG\r\n");
                        if self.client.flush().is_err() {
                            self.state = State::Closed;
                            return;
                        }
                        self.state = State::Reading { until: io.now() + PING_TIMEOUT, pinged: true };
                    }
                    line => return self.handle_first_line(io, line),
                },
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

    fn handle_first_line(&mut self, io: &mut Io, line: &[u8]) {
        log::trace!(client:? = self.key; "client {:?} opens with '{}'", self.key, line.escape_ascii());
        match OpenLine::parse(line) {
            Ok(_) if self.client.has_input() => self.reject_client(io, RequestError::DataBeforeAnswer),
            Ok((line, wanted)) => {
                self.deadline = wanted.time_left.map(|left| io.now() + left);
                self.line = Some(line);
                self.state = State::Waiting;
                io.report(NetworkEvent::ConnectionRequested(self.key, wanted));
                // The client's end may have come with the line; an edge is told once.
                io.call_again(self.key, Half::Near);
            }
            Err(error) => self.reject_client(io, error.into()),
        }
    }

    /// While no answer is given, the client's side is read only to see whether it left. Guards against one
    /// that sends many commands at once: a client waits for its answer, and what it sends before would have
    /// to be kept, or be lost with the attempt.
    fn watch_client(&mut self, io: &mut Io) {
        let outcome = match &self.state {
            State::Attempting(attempt) if attempt.is_written() => Outcome::Cancelled,
            _ => Outcome::NotSent,
        };
        match self.client.fill() {
            // By the protocol's pages whoever ends its sending gives up, as the proxy itself does towards an endpoint; and a
            // client that has closed both sides looks the same from here. But only whoever is answered was not lost, so it
            // is told: one that reads on hears it, and one that left doesn't.
            Fill::Ended => {
                self.send_final_line(io, "ERR the client has ended its sending\r\n");
                io.report(NetworkEvent::ClientLeft { client: self.key, outcome });
            }
            Fill::Broken(_) => {
                self.state = State::Closed;
                io.report(NetworkEvent::ClientLeft { client: self.key, outcome });
            }
            Fill::Blocked | Fill::More if self.client.has_input() => {
                self.reject_client(io, RequestError::DataBeforeAnswer)
            }
            Fill::Blocked | Fill::More => {}
        }
    }

    /// Whether an answer is still waited for, as far as the client's socket shows now. Guards against one that left, and
    /// whose end waits its turn behind a thousand others' events: nothing may begin for it.
    fn check_client_present(&mut self, io: &mut Io) -> bool {
        if matches!(self.state, State::Waiting | State::Attempting(_)) {
            self.watch_client(io);
        }
        matches!(self.state, State::Waiting | State::Attempting(_))
    }

    fn advance_attempt(&mut self, io: &mut Io) {
        // It may come up long after it was begun, and a line that is not written can't run.
        let is_unwritten = matches!(&self.state, State::Attempting(attempt) if !attempt.is_written());
        if is_unwritten && !self.check_client_present(io) {
            return;
        }
        let State::Attempting(attempt) = &mut self.state else { return };
        let progress = attempt.advance(io.now());
        if attempt.take_newly_written() {
            io.report(NetworkEvent::AttemptWritten { client: self.key });
        }
        match progress {
            Progress::Pending => {}
            Progress::Again => io.call_again(self.key, Half::Far),
            Progress::Ended(outcome) => self.attempt_ended(io, outcome),
            Progress::Up(line) => {
                let elapsed = attempt.elapsed(io.now());
                log::trace!(client:? = self.key, elapsed_us = elapsed; "client {:?} is up after {elapsed} us", self.key);
                self.client.push(&line);
                let State::Attempting(attempt) = std::mem::replace(&mut self.state, State::Closed) else {
                    return;
                };
                self.state = State::Up(Box::new(Relay::new(attempt.into_link(), io.now())));
                io.report(NetworkEvent::Established { client: self.key, elapsed });
                // Either side may have sent more already.
                self.relay(io, Half::Far);
                self.relay(io, Half::Near);
            }
        }
    }

    fn attempt_ended(&mut self, io: &mut Io, outcome: Outcome) {
        // Dropping the attempt closes its connection: never two attempts out.
        log::trace!(client:? = self.key, outcome:?; "client {:?}: attempt ended as {outcome:?}", self.key);
        self.state = State::Waiting;
        io.report(NetworkEvent::AttemptEnded { client: self.key, outcome });
    }

    fn relay(&mut self, io: &mut Io, from: Half) {
        let State::Up(relay) = &mut self.state else { return };
        let now = io.now();
        let idle = relay.oldest_unanswered(now).is_none();
        let mut observations = Vec::new();
        let outcome_of_pass = match from {
            Half::Near => relay.relay_client(&mut self.client, now),
            Half::Far => relay.relay_endpoint(&mut self.client, now, &mut observations),
        };
        if idle && relay.oldest_unanswered(now).is_some() {
            io.timer(now + SILENCE_TIMEOUT, self.key, SILENCE_TIMER);
        }
        for observation in observations {
            io.report(match observation {
                Observation::Load(load) => NetworkEvent::LoadReported { client: self.key, load },
                Observation::Answered(delay) => NetworkEvent::LineAnswered { client: self.key, delay },
            });
        }
        match outcome_of_pass {
            RelayOutcome::Continue => {}
            RelayOutcome::More => io.call_again(self.key, from),
            RelayOutcome::ClientEnded => io.timer(now + ENDPOINT_END_TIMEOUT, self.key, ENDPOINT_END_TIMER),
            RelayOutcome::LineTooLong => {
                let wire_id = self.line.as_ref().map_or("-", OpenLine::id);
                let address = self
                    .endpoint_address
                    .map_or("-".to_owned(), |endpoint_address| endpoint_address.to_string());
                log::warn!(wire_id, address; "endpoint sent a line of over {MAX_LINE} bytes, client moved");
                self.migrate(io);
                io.report(NetworkEvent::ConnectionEnded { client: self.key, outcome: Outcome::Reset });
            }
            RelayOutcome::Over { outcome, reset } => self.finish_relay(io, outcome, reset),
        }
    }

    /// The connection is over; the client's side ends as the endpoint's did.
    fn finish_relay(&mut self, io: &mut Io, outcome: Outcome, reset: bool) {
        io.report(NetworkEvent::ConnectionEnded { client: self.key, outcome });
        if reset {
            self.client.reset();
            self.state = State::Closed;
        } else {
            self.end_client(io);
        }
    }
}

/// The unavailable status on the wire.
pub fn busy(retry_after: Micros) -> String {
    match retry_after {
        0 => "BUSY\r\n".to_owned(),
        after => format!("BUSY {}\r\n", (after + 999) / 1000),
    }
}

impl Connection for ClientConnection {
    type Report = NetworkEvent;

    fn readable(&mut self, io: &mut Io, leg: Half) {
        match (&self.state, leg) {
            (State::Reading { .. }, Half::Near) => self.read_first_line(io),
            (State::Waiting | State::Attempting(_), Half::Near) => self.watch_client(io),
            (State::Attempting(_), Half::Far) => self.advance_attempt(io),
            (State::Up(_), leg) => self.relay(io, leg),
            (State::Answered { .. }, Half::Near) => match self.client.discard() {
                Fill::Ended | Fill::Broken(_) => self.state = State::Closed,
                Fill::More => io.call_again(self.key, Half::Near),
                Fill::Blocked => {}
            },
            // Left over from an attempt that is closed.
            (_, _) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, leg: Half) {
        match (&mut self.state, leg) {
            (State::Attempting(_), Half::Far) => self.advance_attempt(io),
            (State::Up(relay), Half::Far) => {
                relay.flush();
                // The client may have been left unread while this side was full.
                io.call_again(self.key, Half::Near);
            }
            (State::Up(_), Half::Near) => {
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
            (FIRST_LINE_TIMER, State::Reading { until, .. }) => {
                if *until <= now {
                    self.reject_client(io, RequestError::NoFirstLine);
                } else {
                    io.timer(*until, self.key, FIRST_LINE_TIMER);
                }
            }
            (ATTEMPT_TIMER, State::Attempting(attempt)) => match attempt.overdue(now) {
                Some(outcome) => self.attempt_ended(io, outcome),
                None => {
                    if let Some(due) = attempt.next_timeout() {
                        io.timer(due.max(now), self.key, ATTEMPT_TIMER);
                    }
                }
            },
            (SILENCE_TIMER, State::Up(relay)) => match relay.oldest_unanswered(now) {
                // Guards against an endpoint that hangs or was cut off: its connections stay open and
                // silent, and TCP does not notice.
                Some(waited) if waited >= SILENCE_TIMEOUT => {
                    let waited_ms = waited / 1000;
                    let wire_id = self.line.as_ref().map_or("-", OpenLine::id);
                    let address = self
                        .endpoint_address
                        .map_or("-".to_owned(), |endpoint_address| endpoint_address.to_string());
                    log::info!(
                        wire_id, address, waited_ms;
                        "endpoint silent for {waited_ms} ms, client moved"
                    );
                    self.migrate(io);
                    io.report(NetworkEvent::EndpointSilent { client: self.key });
                    io.report(NetworkEvent::ConnectionEnded { client: self.key, outcome: Outcome::Reset });
                }
                Some(waited) => io.timer(now + SILENCE_TIMEOUT - waited, self.key, SILENCE_TIMER),
                None => {}
            },
            (CLOSE_TIMER, State::Answered { until }) if *until <= now => self.state = State::Closed,
            (ENDPOINT_END_TIMER, State::Up(_)) => {
                io.report(NetworkEvent::ConnectionEnded { client: self.key, outcome: Outcome::Cancelled });
                self.state = State::Closed;
            }
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

impl ClientProtocol for ClientConnection {
    fn attempt(&mut self, io: &mut Io, order: AttemptOrder) -> bool {
        if !self.is_waiting_for_decision() {
            return false;
        }
        let Some(line) = &self.line else { return false };
        let now = io.now();
        let timeout = (order.timeout > 0).then(|| now + order.timeout);
        let until = [timeout, self.deadline].into_iter().flatten().min();
        self.endpoint_address = Some(order.address);
        match Attempt::start(io, self.key, &order, line.clone(), until) {
            Ok(attempt) => {
                if let Some(due) = attempt.next_timeout() {
                    io.timer(due, self.key, ATTEMPT_TIMER);
                }
                self.state = State::Attempting(Box::new(attempt));
                true
            }
            Err(error) => {
                let (wire_id, address) = (line.id(), order.address);
                log::warn!(
                    wire_id, address:%, error:%;
                    "attempt to {address} could not begin: {error}"
                );
                false
            }
        }
    }

    fn is_awaiting_answer(&mut self, io: &mut Io) -> bool {
        self.check_client_present(io) && matches!(self.state, State::Waiting)
    }

    fn cancel_attempt(&mut self, io: &mut Io, what: CancelScope) -> bool {
        let State::Attempting(attempt) = &self.state else { return false };
        let outcome = match (attempt.is_written(), what) {
            (true, CancelScope::UnwrittenOnly) => return false,
            (true, CancelScope::AnyAttempt) => Outcome::Cancelled,
            (false, _) => Outcome::NotSent,
        };
        self.attempt_ended(io, outcome);
        true
    }

    fn reject(&mut self, io: &mut Io, retry_after: Micros) -> bool {
        let is_waiting = self.is_waiting_for_decision();
        if is_waiting {
            self.send_final_line(io, &busy(retry_after));
        }
        is_waiting
    }

    fn fail(&mut self, io: &mut Io, why: &dyn Display) -> bool {
        let is_waiting = self.is_waiting_for_decision();
        if is_waiting {
            self.send_final_line(io, &format!("ERR {why}\r\n"));
        }
        is_waiting
    }

    fn migrate(&mut self, io: &mut Io) -> bool {
        let up = matches!(self.state, State::Up(_));
        if up {
            // Only whole lines are queued for the client, so this falls between two.
            self.send_final_line(io, "MOVE\r\n");
        }
        up
    }

    fn decline_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool {
        if let State::Reading { .. } = self.state {
            // A usual client's line may be there already and only not read yet.
            self.read_first_line(io);
        }
        let declined = matches!(self.state, State::Reading { pinged: false, .. });
        match self.state {
            State::Reading { pinged: false, .. } => self.send_final_line(io, &busy(retry_after)),
            // It has had its PONG, and would take a BUSY for another one's.
            State::Reading { pinged: true, .. } => self.end_client(io),
            _ => {}
        }
        declined
    }

    fn evict_idle(&mut self, io: &mut Io, retry_after: Micros) -> bool {
        let declined = self.decline_idle(io, retry_after);
        // Guards against those that ask by PING and stay, too: by hundreds, they kept every other client from being accepted.
        if let State::Answered { .. } = self.state {
            // A close over unread bytes resets the connection, and takes the word that was just written with it.
            self.client.discard();
            self.state = State::Closed;
        }
        declined
    }

    fn oldest_unanswered(&self, now: Micros) -> Option<Micros> {
        match &self.state {
            State::Up(relay) => relay.oldest_unanswered(now),
            _ => None,
        }
    }
}
