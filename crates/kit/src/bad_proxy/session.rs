//! A client's connection, with its current attempt or the render node's connection.

use super::fault::Fault;
use super::first_line::FirstLine;
use super::relay::{Attempt, AttemptSpec, ForwardOutcome, Progress, Relay};
use super::report::{Io, Object, Report};
use crate::time::{MS, Micros, S};
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::TcpStream;
use std::io;

/// A client that has not sent a first line by then is rejected.
const FIRST_LINE_TIMEOUT: Micros = 1_500 * MS;
/// Time limit after a `PING`: the front sends these, and may pause for longer than a client.
const PING_TIMEOUT: Micros = 30 * S;
/// A render node that has not returned a line for this long is considered hung. The rule allows 7 s.
const HANG_TIMEOUT: Micros = 5 * S;
/// After the client has ended its sending, the render node has this long to end its connection.
const NODE_END_TIMEOUT: Micros = 3 * S;
/// After the last line to a client, the client has this long to close first.
const LINGER_TIMEOUT: Micros = S;

/// Delays of the faults [`Fault::AnswersTwice`], [`Fault::CutsWithoutMove`], [`Fault::HoldsLine`] and
/// [`Fault::KeepsEnded`].
const SECOND_ANSWER_DELAY: Micros = 300 * MS;
const CUT_DELAY: Micros = S;
const HOLD_TIME: Micros = 1_500 * MS;
const KEEP_ENDED_TIME: Micros = 3 * S;

/// The busy answer: the client may retry after 200 ms.
const BUSY_ANSWER: &str = "BUSY 200\r\n";

const FIRST_LINE_TIMER: u32 = 0;
const ATTEMPT_TIMER: u32 = 1;
const HANG_TIMER: u32 = 2;
const MOVE_TIMER: u32 = 3;
const NODE_END_TIMER: u32 = 4;
const LINGER_TIMER: u32 = 5;
const FAULT_TIMER: u32 = 6;

#[derive(Debug)]
enum State {
    /// The first line has not been read completely.
    ReadingFirstLine {
        until: Micros,
    },
    /// The client is owed a final answer, and no attempt is pending.
    Waiting,
    Attempting(Box<Attempt>),
    Up(Box<Relay>),
    /// The last line was queued for the client, which has to close its connection.
    Closing,
    Closed,
    /// For [`Fault::InventedUp`] and [`Fault::ServesRude`]: no render node serves the client, and its lines are
    /// echoed.
    Echoing,
    /// For [`Fault::NoAnswer`] and [`Fault::IgnoresRude`]: nothing is sent to the client.
    Silent,
    /// For [`Fault::KeepsEnded`]: the render node's connection has ended, and the client's connection is still
    /// open.
    KeptOpen {
        reset: bool,
    },
}

/// The state of [`Fault::HoldsLine`] for this client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldState {
    NotHeld,
    Holding,
    Released,
}

/// A client's connection.
#[derive(Debug)]
pub(super) struct Session {
    key: Key,
    client: LineStream,
    state: State,
    fault: Option<Fault>,
    hold_state: HoldState,
}

impl Session {
    /// Creates a session from an accepted connection.
    pub fn accepted(stream: TcpStream, fault: Option<Fault>, key: Key, io: &mut Io) -> io::Result<Self> {
        let client = LineStream::accepted(stream, io, key)?;
        let until = io.now() + FIRST_LINE_TIMEOUT;
        io.timer(until, key, FIRST_LINE_TIMER);
        Ok(Session {
            key,
            client,
            state: State::ReadingFirstLine { until },
            fault,
            hold_state: HoldState::NotHeld,
        })
    }

    /// Sets the fault that affects this request.
    pub fn set_fault(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    /// Starts an attempt. The session reports its outcome.
    pub fn start_attempt(&mut self, io: &mut Io, spec: AttemptSpec) {
        if !matches!(self.state, State::Waiting) {
            return;
        }
        io.timer(spec.connect_deadline, self.key, ATTEMPT_TIMER);
        io.timer(spec.deadline, self.key, ATTEMPT_TIMER);
        match Attempt::start(spec, self.key, io) {
            Ok(attempt) => self.state = State::Attempting(Box::new(attempt)),
            Err(_) => io.report(Report::AttemptFailed(self.key)),
        }
    }

    /// Sends the busy answer, if the client is still owed an answer.
    pub fn answer_busy(&mut self, io: &mut Io) {
        if matches!(self.state, State::Waiting | State::Attempting(_)) {
            self.send_last_line(io, BUSY_ANSWER);
        }
    }

    /// Rejects an invalid request with `ERR`.
    pub fn reject(&mut self, io: &mut Io, why: &str) {
        match self.fault {
            Some(Fault::IgnoresRude) => self.stay_silent(io, None),
            Some(Fault::ServesRude) => self.serve_by_echo(io),
            _ => self.send_last_line(io, &format!("ERR {why}\r\n")),
        }
    }

    /// Schedules a move of the client, which takes place if it is still up.
    pub fn schedule_move(&self, io: &mut Io, at: Micros) {
        io.timer(at, self.key, MOVE_TIMER);
    }

    /// Sends the client `MOVE`, if it is up.
    pub fn move_client(&mut self, io: &mut Io) {
        // Only complete lines are queued for the client, so `MOVE` cannot split a line.
        if matches!(self.state, State::Up(_) | State::Echoing) {
            self.send_last_line(io, "MOVE\r\n");
        }
    }

    /// Ends the client's connection because the proxy shuts down.
    pub fn shut_down(&mut self, io: &mut Io) {
        self.move_client(io);
        self.answer_busy(io);
        if let State::ReadingFirstLine { .. } = self.state {
            self.send_last_line(io, "");
        }
    }

    /// For a fault: sends nothing more, and closes at `until` if given.
    pub fn stay_silent(&mut self, io: &mut Io, until: Option<Micros>) {
        self.state = State::Silent;
        if let Some(until) = until {
            io.timer(until, self.key, FAULT_TIMER);
        }
        io.call_again(self.key, Half::Near);
    }

    /// For a fault: answers `UP` without a render node.
    pub fn serve_by_echo(&mut self, io: &mut Io) {
        // The receipt is valid both as a decimal and as a hexadecimal number.
        self.client.push(format!("UP {:016}\r\n", io.now()).as_bytes());
        self.client.take_rest();
        self.state = State::Echoing;
        io.call_again(self.key, Half::Near);
    }

    /// For a fault: closes without an answer.
    pub fn close_without_answer(&mut self) {
        self.state = State::Closed;
    }

    /// Sends the client its last line and ends the proxy's sending. A pending attempt or a relay is closed.
    fn send_last_line(&mut self, io: &mut Io, last_line: &str) {
        self.client.push(last_line.as_bytes());
        self.client.finish();
        self.client.take_rest();
        self.state = if self.client.flush().is_ok() { State::Closing } else { State::Closed };
        io.timer(io.now() + LINGER_TIMEOUT, self.key, LINGER_TIMER);
        // The client's remaining input is read and discarded: a close with unread bytes resets the connection, and
        // the client could lose its last line.
        io.call_again(self.key, Half::Near);
    }

    fn read_first_line(&mut self, io: &mut Io) {
        loop {
            let fill = self.client.fill();
            match (self.client.take_line(), fill) {
                (Ok(Some(line)), _) if trim_end(&line) == b"PING" => {
                    self.client.push(b"PONG\r\n");
                    if self.client.flush().is_err() {
                        return self.state = State::Closed;
                    }
                    let until = io.now() + PING_TIMEOUT;
                    self.state = State::ReadingFirstLine { until };
                    io.timer(until, self.key, FIRST_LINE_TIMER);
                }
                (Ok(Some(line)), _) => return self.handle_first_line(io, trim_end(&line)),
                (Err(error), _) => return self.reject(io, &error.to_string()),
                (Ok(None), Fill::Blocked) => return,
                (Ok(None), Fill::More) => return io.call_again(self.key, Half::Near),
                (Ok(None), _) => return self.state = State::Closed,
            }
        }
    }

    fn handle_first_line(&mut self, io: &mut Io, line: &[u8]) {
        match FirstLine::parse(line) {
            Err(error) => self.reject(io, &error.to_string()),
            Ok(line) => {
                self.state = State::Waiting;
                io.report(Report::RequestReceived(self.key, line));
                // Further bytes, or the end of the client's sending, may have arrived with the line. The
                // edge-triggered poll reports them only once.
                self.check_waiting_client(io);
            }
        }
    }

    /// Reads from a client that waits for its answer, and rejects a client that sends further lines before its
    /// answer.
    fn check_waiting_client(&mut self, io: &mut Io) {
        match self.client.fill() {
            _ if self.client.has_input() => self.reject(io, "more than one line before the answer"),
            Fill::Ended | Fill::Broken(_) => self.state = State::Closed,
            Fill::Blocked | Fill::More => {}
        }
    }

    fn advance_attempt(&mut self, io: &mut Io) {
        let State::Attempting(attempt) = &mut self.state else { return };
        match attempt.advance() {
            Progress::Pending => {}
            Progress::Failed => self.fail_attempt(io),
            Progress::Up(line) => {
                self.client.push(&line);
                let State::Attempting(attempt) = std::mem::replace(&mut self.state, State::Closed) else {
                    return;
                };
                self.state = State::Up(Box::new(attempt.into_relay()));
                io.report(Report::Up(self.key));
                match self.fault {
                    Some(Fault::AnswersTwice) => {
                        io.timer(io.now() + SECOND_ANSWER_DELAY, self.key, FAULT_TIMER)
                    }
                    Some(Fault::CutsWithoutMove) => io.timer(io.now() + CUT_DELAY, self.key, FAULT_TIMER),
                    _ => {}
                }
                // Both sides may already have sent more bytes.
                self.forward(io, Half::Far);
                self.forward(io, Half::Near);
            }
        }
    }

    fn fail_attempt(&mut self, io: &mut Io) {
        // This drops the attempt, so its connection is closed before the next attempt starts.
        self.state = State::Waiting;
        io.report(Report::AttemptFailed(self.key));
    }

    fn forward(&mut self, io: &mut Io, from: Half) {
        let State::Up(relay) = &mut self.state else { return };
        let now = io.now();
        if from == Half::Near && self.fault == Some(Fault::HoldsLine) {
            if self.hold_state == HoldState::NotHeld {
                // An end of the client's sending without a line is passed on below, as without the fault.
                self.client.fill();
                if self.client.has_input() {
                    self.hold_state = HoldState::Holding;
                    io.timer(now + HOLD_TIME, self.key, FAULT_TIMER);
                }
            }
            if self.hold_state == HoldState::Holding {
                return;
            }
        }
        let result = match from {
            Half::Near => relay.forward_from_client(&mut self.client, now),
            Half::Far => relay.forward_from_node(&mut self.client),
        };
        if from == Half::Near && relay.unanswered_since().is_some() {
            io.timer(now + HANG_TIMEOUT, self.key, HANG_TIMER);
        }
        match result {
            ForwardOutcome::Idle => {}
            ForwardOutcome::MoreInput => io.call_again(self.key, from),
            ForwardOutcome::ClientEnded => io.timer(now + NODE_END_TIMEOUT, self.key, NODE_END_TIMER),
            ForwardOutcome::ClientBroken => self.state = State::Closed,
            ForwardOutcome::LineTooLong => self.move_client(io),
            ForwardOutcome::NodeEnded { reset } if self.fault == Some(Fault::KeepsEnded) => {
                self.state = State::KeptOpen { reset };
                io.timer(now + KEEP_ENDED_TIME, self.key, FAULT_TIMER);
                io.call_again(self.key, Half::Near);
            }
            ForwardOutcome::NodeEnded { reset } => self.end_as_render_node(io, reset),
        }
    }

    /// Ends the client's connection as the render node's connection ended.
    fn end_as_render_node(&mut self, io: &mut Io, reset: bool) {
        if reset {
            self.client.reset();
            self.state = State::Closed;
        } else {
            self.send_last_line(io, "");
        }
    }

    fn echo(&mut self, io: &mut Io) {
        let fill = self.client.fill();
        while let Ok(Some(line)) = self.client.take_line() {
            self.client.push(&line);
        }
        let broken = self.client.flush().is_err();
        match fill {
            _ if broken => self.state = State::Closed,
            Fill::Blocked => {}
            Fill::More if self.client.is_full() => self.state = State::Closed,
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.send_last_line(io, ""),
        }
    }

    /// Discards the client's input, and detects the end of its connection.
    fn discard(&mut self, io: &mut Io) {
        match (self.client.discard(), &self.state) {
            (Fill::Blocked, _) => {}
            (Fill::More, _) => io.call_again(self.key, Half::Near),
            // The client has ended its sending only, and its last lines may not all be written.
            (Fill::Ended, State::Closing) if matches!(self.client.flush(), Ok(false)) => {}
            _ => self.state = State::Closed,
        }
    }
}

impl Connection for Session {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, leg: Half) {
        match (&self.state, leg) {
            (State::ReadingFirstLine { .. }, Half::Near) => self.read_first_line(io),
            (State::Waiting | State::Attempting(_), Half::Near) => self.check_waiting_client(io),
            (State::Attempting(_), Half::Far) => self.advance_attempt(io),
            (State::Up(_), leg) => self.forward(io, leg),
            (State::Echoing, Half::Near) => self.echo(io),
            (State::Closing | State::Silent | State::KeptOpen { .. }, Half::Near) => self.discard(io),
            // The event belongs to an attempt or relay that is closed.
            (_, _) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, leg: Half) {
        match (&mut self.state, leg) {
            (State::Attempting(_), Half::Far) => self.advance_attempt(io),
            (State::Up(relay), Half::Far) => {
                relay.flush();
                // The client was not read while the buffer to the render node was full.
                io.call_again(self.key, Half::Near);
            }
            (_, Half::Near) => {
                // The next read reports a broken connection.
                let _ = self.client.flush();
                io.call_again(self.key, Half::Near);
                io.call_again(self.key, Half::Far);
            }
            (_, Half::Far) => {}
        }
    }

    fn timer(&mut self, io: &mut Io, timer: u32) {
        let now = io.now();
        match (timer, &mut self.state) {
            (FIRST_LINE_TIMER, State::ReadingFirstLine { until }) if *until <= now => {
                self.reject(io, "no first line came")
            }
            (ATTEMPT_TIMER, State::Attempting(attempt)) if attempt.is_overdue(now) => self.fail_attempt(io),
            (HANG_TIMER, State::Up(relay)) => {
                let is_hung = relay.unanswered_since().is_some_and(|since| since + HANG_TIMEOUT <= now);
                if is_hung && self.fault != Some(Fault::KeepsSilent) {
                    self.move_client(io);
                }
            }
            (MOVE_TIMER, _) => self.move_client(io),
            (NODE_END_TIMER, State::Up(_)) => self.send_last_line(io, ""),
            (LINGER_TIMER, State::Closing) => self.state = State::Closed,
            (FAULT_TIMER, State::Up(_)) => match self.fault {
                Some(Fault::AnswersTwice) => {
                    self.client.push(BUSY_ANSWER.as_bytes());
                    let _ = self.client.flush();
                }
                Some(Fault::CutsWithoutMove) => self.send_last_line(io, ""),
                _ => {
                    self.hold_state = HoldState::Released;
                    io.call_again(self.key, Half::Near);
                }
            },
            (FAULT_TIMER, State::Silent) => self.state = State::Closed,
            (FAULT_TIMER, State::KeptOpen { reset }) => {
                let reset = *reset;
                self.end_as_render_node(io, reset);
            }
            _ => {}
        }
    }

    fn done(&self) -> bool {
        matches!(self.state, State::Closed)
    }

    fn closed(&mut self, io: &mut Io) {
        io.report(Report::ClientClosed(self.key));
    }
}

impl Object for Session {
    fn session(&mut self) -> Option<&mut Session> {
        Some(self)
    }
}
