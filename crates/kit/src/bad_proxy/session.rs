//! A client's connection, with the attempt or the render node's connection behind it.

use super::fault::Fault;
use super::first_line::FirstLine;
use super::relay::{Attempt, Order, Pass, Progress, Relay};
use super::report::{Io, Object, Report};
use crate::time::{MS, Micros, S};
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::TcpStream;
use std::io;

/// A client that has said nothing by then is turned away.
const FIRST_LINE_WITHIN: Micros = 1_500 * MS;
/// But the front, which says `PING`, may pause for longer.
const PING_WITHIN: Micros = 30 * S;
/// A line that did not come back for this long: the render node hangs. The rule allows 7 s.
const SILENT_FOR: Micros = 5 * S;
/// After the client's end, its render node is to end too.
const FAR_END_WITHIN: Micros = 3 * S;
/// A client that has read its last line is given this long to close first.
const LINGER_FOR: Micros = S;

/// How long, and after what, the faults do what they do.
const SECOND_ANSWER: Micros = 300 * MS;
const CUT: Micros = S;
const HELD: Micros = 1_500 * MS;
const KEPT: Micros = 3 * S;

/// The unavailable status: the client may come again after 200 ms.
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
    /// The first line is not there yet.
    Reading {
        until: Micros,
    },
    /// A final answer is owed, and no attempt is out.
    Waiting,
    Trying(Box<Attempt>),
    Up(Box<Relay>),
    /// Its last line is written, and its own end awaited.
    Ending,
    Gone,
    /// For the fault: served by nobody, lines are echoed.
    Pretending,
    /// For the fault: never told a word.
    Mute,
    /// For the fault: the render node has ended, and the client is not told yet.
    Kept {
        reset: bool,
    },
}

/// What the fault has done with the client's lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    NotYet,
    Holding,
    Released,
}

/// The connection.
#[derive(Debug)]
pub(super) struct Session {
    key: Key,
    client: LineStream,
    state: State,
    fault: Option<Fault>,
    hold: Hold,
}

impl Session {
    /// Takes over an accepted connection.
    pub fn accepted(stream: TcpStream, fault: Option<Fault>, key: Key, io: &mut Io) -> io::Result<Self> {
        let client = LineStream::accepted(stream, io, key)?;
        let until = io.now() + FIRST_LINE_WITHIN;
        io.timer(until, key, FIRST_LINE);
        Ok(Session { key, client, state: State::Reading { until }, fault, hold: Hold::NotYet })
    }

    /// The fault that strikes this request, if one does.
    pub fn strike(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    /// Makes an attempt; how it ends is reported.
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

    /// Final answer: the unavailable status.
    pub fn refuse(&mut self, io: &mut Io) {
        if matches!(self.state, State::Waiting | State::Trying(_)) {
            self.end(io, BUSY);
        }
    }

    /// Final answer to what can't be served.
    pub fn reject(&mut self, io: &mut Io, why: &str) {
        match self.fault {
            Some(Fault::IgnoresRude) => self.mute(io, None),
            Some(Fault::ServesRude) => self.pretend(io),
            _ => self.end(io, &format!("ERR {why}\r\n")),
        }
    }

    /// Moves the client then, if it is still up.
    pub fn move_at(&self, io: &mut Io, at: Micros) {
        io.timer(at, self.key, MOVE);
    }

    /// Moves the client.
    pub fn move_away(&mut self, io: &mut Io) {
        // Only whole lines are queued for the client, so this falls between two.
        if matches!(self.state, State::Up(_) | State::Pretending) {
            self.end(io, "MOVE\r\n");
        }
    }

    /// The proxy ends: each client gets its last line.
    pub fn leave(&mut self, io: &mut Io) {
        self.move_away(io);
        self.refuse(io);
        if let State::Reading { .. } = self.state {
            self.end(io, "");
        }
    }

    /// For the fault: says nothing, and closes then.
    pub fn mute(&mut self, io: &mut Io, until: Option<Micros>) {
        self.state = State::Mute;
        if let Some(until) = until {
            io.timer(until, self.key, FAULT);
        }
        io.call_again(self.key, Half::Near);
    }

    /// For the fault: serves the client without a render node.
    pub fn pretend(&mut self, io: &mut Io) {
        // Reads as a receipt, whether its digits are taken for decimal or hexadecimal ones.
        self.client.push(format!("UP {:016}\r\n", io.now()).as_bytes());
        self.client.take_rest();
        self.state = State::Pretending;
        io.call_again(self.key, Half::Near);
    }

    /// For the fault: closes without a word.
    pub fn drop_client(&mut self) {
        self.state = State::Gone;
    }

    /// Writes the client's last line and ends our sending; an attempt or relay behind it is closed.
    fn end(&mut self, io: &mut Io, last: &str) {
        self.client.push(last.as_bytes());
        self.client.finish();
        self.client.take_rest();
        self.state = if self.client.flush().is_ok() { State::Ending } else { State::Gone };
        io.timer(io.now() + LINGER_FOR, self.key, LINGER);
        // What else it sent is read away: a close with bytes unread could take the last line with it.
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
                // More, or the client's end, may have come with the line; an edge is told once.
                self.watch_client(io);
            }
        }
    }

    /// A client waits for its answer. Guards against one that sends many commands at once.
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
                // Either side may have sent more already.
                self.relay(io, Half::Far);
                self.relay(io, Half::Near);
            }
        }
    }

    fn attempt_over(&mut self, io: &mut Io) {
        // This closes it: the next one goes out after that.
        self.state = State::Waiting;
        io.report(Report::AttemptOver(self.key));
    }

    fn relay(&mut self, io: &mut Io, from: Half) {
        let State::Up(relay) = &mut self.state else { return };
        let now = io.now();
        if from == Half::Near && self.fault == Some(Fault::HoldsLine) {
            if self.hold == Hold::NotYet {
                // An end without a line is passed on below, as usual.
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

    /// The client's side ends as the render node's did.
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

    /// Nothing is passed on any more: reads away what comes, and sees the client's end.
    fn discard(&mut self, io: &mut Io) {
        match (self.client.discard(), &self.state) {
            (Fill::Blocked, _) => {}
            (Fill::More, _) => io.call_again(self.key, Half::Near),
            // Its last lines may not all be written; it has only ended its own sending.
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
            // Left over from what is closed.
            (_, _) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, leg: Half) {
        match (&mut self.state, leg) {
            (State::Trying(_), Half::Far) => self.advance(io),
            (State::Up(relay), Half::Far) => {
                relay.flush();
                // The client was left unread while this side was full.
                io.call_again(self.key, Half::Near);
            }
            (_, Half::Near) => {
                // A broken connection is found by reading.
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
