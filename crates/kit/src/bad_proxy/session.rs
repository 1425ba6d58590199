//! A client's connection, with its current attempt or the render node's connection.

use super::fault::Fault;
use super::first_line::FirstLine;
use super::relay::{Attempt, Order, Pass, Progress, Relay};
use super::report::{Io, Object, Report};
use crate::time::{MS, Micros, S};
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::TcpStream;
use std::io;

/// A client that has not sent a first line by then is rejected.
const FIRST_LINE_WITHIN: Micros = 1_500 * MS;
/// Time limit after a `PING`: the front sends these, and may pause for longer than a client.
const PING_WITHIN: Micros = 30 * S;
/// A render node that has not returned a line for this long is considered hung. The rule allows 7 s.
const SILENT_FOR: Micros = 5 * S;
/// After the client has ended its sending, the render node has this long to end its connection.
const FAR_END_WITHIN: Micros = 3 * S;
/// After the last line to a client, the client has this long to close first.
const LINGER_FOR: Micros = S;

/// Delays of the faults [`Fault::AnswersTwice`], [`Fault::CutsWithoutMove`], [`Fault::HoldsLine`] and
/// [`Fault::KeepsEnded`].
const SECOND_ANSWER: Micros = 300 * MS;
const CUT: Micros = S;
const HELD: Micros = 1_500 * MS;
const KEPT: Micros = 3 * S;

/// The busy answer: the client may retry after 200 ms.
const BUSY: &str = "BUSY 200\r\n";

const FIRST_LINE: u32 = 0;
const ATTEMPT: u32 = 1;
const SILENCE: u32 = 2;
const MOVE: u32 = 3;
const FAR_END: u32 = 4;
const LINGER: u32 = 5;
const FAULT: u32 = 6;

#[derive(Debug)]
enum State {
    /// The first line has not been read completely.
    Reading {
        until: Micros,
    },
    /// The client is owed a final answer, and no attempt is pending.
    Waiting,
    Trying(Box<Attempt>),
    Up(Box<Relay>),
    /// The last line was queued for the client, which has to close its connection.
    Ending,
    Gone,
    /// For [`Fault::InventedUp`] and [`Fault::ServesRude`]: no render node serves the client, and its lines are
    /// echoed.
    Pretending,
    /// For [`Fault::NoAnswer`] and [`Fault::IgnoresRude`]: nothing is sent to the client.
    Mute,
    /// For [`Fault::KeepsEnded`]: the render node's connection has ended, and the client's connection is still
    /// open.
    Kept {
        reset: bool,
    },
}

/// The state of [`Fault::HoldsLine`] for this client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    NotYet,
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
    hold: Hold,
}

impl Session {
    /// Creates a session from an accepted connection.
    pub fn accepted(stream: TcpStream, fault: Option<Fault>, key: Key, io: &mut Io) -> io::Result<Self> {
        let client = LineStream::accepted(stream, io, key)?;
        let until = io.now() + FIRST_LINE_WITHIN;
        io.timer(until, key, FIRST_LINE);
        Ok(Session { key, client, state: State::Reading { until }, fault, hold: Hold::NotYet })
    }

    /// Sets the fault that affects this request.
    pub fn strike(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    /// Starts an attempt. The session reports its outcome.
    pub fn try_at(&mut self, io: &mut Io, order: Order) {
        if !matches!(self.state, State::Waiting) {
            return;
        }
        io.timer(order.connect_until, self.key, ATTEMPT);
        io.timer(order.until, self.key, ATTEMPT);
        match Attempt::start(order, self.key, io) {
            Ok(attempt) => self.state = State::Trying(Box::new(attempt)),
            Err(_) => io.report(Report::AttemptOver(self.key)),
        }
    }

    /// Sends the busy answer, if the client is still owed an answer.
    pub fn refuse(&mut self, io: &mut Io) {
        if matches!(self.state, State::Waiting | State::Trying(_)) {
            self.end(io, BUSY);
        }
    }

    /// Rejects an invalid request with `ERR`.
    pub fn reject(&mut self, io: &mut Io, why: &str) {
        match self.fault {
            Some(Fault::IgnoresRude) => self.mute(io, None),
            Some(Fault::ServesRude) => self.pretend(io),
            _ => self.end(io, &format!("ERR {why}\r\n")),
        }
    }

    /// Schedules a move of the client, which takes place if it is still up.
    pub fn move_at(&self, io: &mut Io, at: Micros) {
        io.timer(at, self.key, MOVE);
    }

    /// Sends the client `MOVE`, if it is up.
    pub fn move_away(&mut self, io: &mut Io) {
        // Only complete lines are queued for the client, so `MOVE` cannot split a line.
        if matches!(self.state, State::Up(_) | State::Pretending) {
            self.end(io, "MOVE\r\n");
        }
    }

    /// Ends the client's connection because the proxy shuts down.
    pub fn leave(&mut self, io: &mut Io) {
        self.move_away(io);
        self.refuse(io);
        if let State::Reading { .. } = self.state {
            self.end(io, "");
        }
    }

    /// For a fault: sends nothing more, and closes at `until` if given.
    pub fn mute(&mut self, io: &mut Io, until: Option<Micros>) {
        self.state = State::Mute;
        if let Some(until) = until {
            io.timer(until, self.key, FAULT);
        }
        io.call_again(self.key, Half::Near);
    }

    /// For a fault: answers `UP` without a render node.
    pub fn pretend(&mut self, io: &mut Io) {
        // The receipt is valid both as a decimal and as a hexadecimal number.
        self.client.push(format!("UP {:016}\r\n", io.now()).as_bytes());
        self.client.take_rest();
        self.state = State::Pretending;
        io.call_again(self.key, Half::Near);
    }

    /// For a fault: closes without an answer.
    pub fn drop_client(&mut self) {
        self.state = State::Gone;
    }

    /// Sends the client its last line and ends the proxy's sending. A pending attempt or a relay is closed.
    fn end(&mut self, io: &mut Io, last: &str) {
        self.client.push(last.as_bytes());
        self.client.finish();
        self.client.take_rest();
        self.state = if self.client.flush().is_ok() { State::Ending } else { State::Gone };
        io.timer(io.now() + LINGER_FOR, self.key, LINGER);
        // The client's remaining input is read and discarded: a close with unread bytes resets the connection, and
        // the client could lose its last line.
        io.call_again(self.key, Half::Near);
    }

    fn first_line(&mut self, io: &mut Io) {
        loop {
            let fill = self.client.fill();
            match (self.client.take_line(), fill) {
                (Ok(Some(line)), _) if trim_end(&line) == b"PING" => {
                    self.client.push(b"PONG\r\n");
                    if self.client.flush().is_err() {
                        return self.state = State::Gone;
                    }
                    let until = io.now() + PING_WITHIN;
                    self.state = State::Reading { until };
                    io.timer(until, self.key, FIRST_LINE);
                }
                (Ok(Some(line)), _) => return self.opened(io, trim_end(&line)),
                (Err(error), _) => return self.reject(io, &error.to_string()),
                (Ok(None), Fill::Blocked) => return,
                (Ok(None), Fill::More) => return io.call_again(self.key, Half::Near),
                (Ok(None), _) => return self.state = State::Gone,
            }
        }
    }

    fn opened(&mut self, io: &mut Io, line: &[u8]) {
        match FirstLine::parse(line) {
            Err(error) => self.reject(io, &error.to_string()),
            Ok(line) => {
                self.state = State::Waiting;
                io.report(Report::Asked(self.key, line));
                // Further bytes, or the end of the client's sending, may have arrived with the line. The
                // edge-triggered poll reports them only once.
                self.watch_client(io);
            }
        }
    }

    /// Reads from a client that waits for its answer, and rejects a client that sends further lines before its
    /// answer.
    fn watch_client(&mut self, io: &mut Io) {
        match self.client.fill() {
            _ if self.client.has_input() => self.reject(io, "more than one line before the answer"),
            Fill::Ended | Fill::Broken(_) => self.state = State::Gone,
            Fill::Blocked | Fill::More => {}
        }
    }

    fn advance(&mut self, io: &mut Io) {
        let State::Trying(attempt) = &mut self.state else { return };
        match attempt.advance() {
            Progress::Pending => {}
            Progress::Failed => self.attempt_over(io),
            Progress::Up(line) => {
                self.client.push(&line);
                let State::Trying(attempt) = std::mem::replace(&mut self.state, State::Gone) else { return };
                self.state = State::Up(Box::new(attempt.into_relay()));
                io.report(Report::Up(self.key));
                match self.fault {
                    Some(Fault::AnswersTwice) => io.timer(io.now() + SECOND_ANSWER, self.key, FAULT),
                    Some(Fault::CutsWithoutMove) => io.timer(io.now() + CUT, self.key, FAULT),
                    _ => {}
                }
                // Both sides may already have sent more bytes.
                self.relay(io, Half::Far);
                self.relay(io, Half::Near);
            }
        }
    }

    fn attempt_over(&mut self, io: &mut Io) {
        // This drops the attempt, so its connection is closed before the next attempt starts.
        self.state = State::Waiting;
        io.report(Report::AttemptOver(self.key));
    }

    fn relay(&mut self, io: &mut Io, from: Half) {
        let State::Up(relay) = &mut self.state else { return };
        let now = io.now();
        if from == Half::Near && self.fault == Some(Fault::HoldsLine) {
            if self.hold == Hold::NotYet {
                // An end of the client's sending without a line is passed on below, as without the fault.
                self.client.fill();
                if self.client.has_input() {
                    self.hold = Hold::Holding;
                    io.timer(now + HELD, self.key, FAULT);
                }
            }
            if self.hold == Hold::Holding {
                return;
            }
        }
        let pass = match from {
            Half::Near => relay.pass_client(&mut self.client, now),
            Half::Far => relay.pass_node(&mut self.client),
        };
        if from == Half::Near && relay.waiting_since().is_some() {
            io.timer(now + SILENT_FOR, self.key, SILENCE);
        }
        match pass {
            Pass::On => {}
            Pass::More => io.call_again(self.key, from),
            Pass::ClientEnded => io.timer(now + FAR_END_WITHIN, self.key, FAR_END),
            Pass::ClientBroke => self.state = State::Gone,
            Pass::TooLong => self.move_away(io),
            Pass::NodeEnded { reset } if self.fault == Some(Fault::KeepsEnded) => {
                self.state = State::Kept { reset };
                io.timer(now + KEPT, self.key, FAULT);
                io.call_again(self.key, Half::Near);
            }
            Pass::NodeEnded { reset } => self.node_ended(io, reset),
        }
    }

    /// Ends the client's connection as the render node's connection ended.
    fn node_ended(&mut self, io: &mut Io, reset: bool) {
        if reset {
            self.client.reset();
            self.state = State::Gone;
        } else {
            self.end(io, "");
        }
    }

    fn echo(&mut self, io: &mut Io) {
        let fill = self.client.fill();
        while let Ok(Some(line)) = self.client.take_line() {
            self.client.push(&line);
        }
        let broken = self.client.flush().is_err();
        match fill {
            _ if broken => self.state = State::Gone,
            Fill::Blocked => {}
            Fill::More if self.client.is_full() => self.state = State::Gone,
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.end(io, ""),
        }
    }

    /// Discards the client's input, and detects the end of its connection.
    fn discard(&mut self, io: &mut Io) {
        match (self.client.discard(), &self.state) {
            (Fill::Blocked, _) => {}
            (Fill::More, _) => io.call_again(self.key, Half::Near),
            // The client has ended its sending only, and its last lines may not all be written.
            (Fill::Ended, State::Ending) if matches!(self.client.flush(), Ok(false)) => {}
            _ => self.state = State::Gone,
        }
    }
}

impl Connection for Session {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, leg: Half) {
        match (&self.state, leg) {
            (State::Reading { .. }, Half::Near) => self.first_line(io),
            (State::Waiting | State::Trying(_), Half::Near) => self.watch_client(io),
            (State::Trying(_), Half::Far) => self.advance(io),
            (State::Up(_), leg) => self.relay(io, leg),
            (State::Pretending, Half::Near) => self.echo(io),
            (State::Ending | State::Mute | State::Kept { .. }, Half::Near) => self.discard(io),
            // The event belongs to an attempt or relay that is closed.
            (_, _) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, leg: Half) {
        match (&mut self.state, leg) {
            (State::Trying(_), Half::Far) => self.advance(io),
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
            (FIRST_LINE, State::Reading { until }) if *until <= now => self.reject(io, "no first line came"),
            (ATTEMPT, State::Trying(attempt)) if attempt.is_overdue(now) => self.attempt_over(io),
            (SILENCE, State::Up(relay)) => {
                let hangs = relay.waiting_since().is_some_and(|since| since + SILENT_FOR <= now);
                if hangs && self.fault != Some(Fault::KeepsSilent) {
                    self.move_away(io);
                }
            }
            (MOVE, _) => self.move_away(io),
            (FAR_END, State::Up(_)) => self.end(io, ""),
            (LINGER, State::Ending) => self.state = State::Gone,
            (FAULT, State::Up(_)) => match self.fault {
                Some(Fault::AnswersTwice) => {
                    self.client.push(BUSY.as_bytes());
                    let _ = self.client.flush();
                }
                Some(Fault::CutsWithoutMove) => self.end(io, ""),
                _ => {
                    self.hold = Hold::Released;
                    io.call_again(self.key, Half::Near);
                }
            },
            (FAULT, State::Mute) => self.state = State::Gone,
            (FAULT, State::Kept { reset }) => {
                let reset = *reset;
                self.node_ended(io, reset);
            }
            _ => {}
        }
    }

    fn done(&self) -> bool {
        matches!(self.state, State::Gone)
    }

    fn closed(&mut self, io: &mut Io) {
        io.report(Report::Gone(self.key));
    }
}

impl Object for Session {
    fn session(&mut self) -> Option<&mut Session> {
        Some(self)
    }
}
