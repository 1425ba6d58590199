//! One attempt to open a connection at an endpoint: connect, write the client's first line, wait for the answer.

use super::client_protocol::AttemptParameters;
use super::network_event::Io;
use super::open_line::OpenLine;
use crate::rules::Clock;
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Half, Key};
use std::io;
use std::net::SocketAddr;

/// The log's part of this file: filters and collectors know it by this.
const LOG_TARGET: &str = "cottonnotch::net::attempt";

/// Until the last byte of the first line is written, the attempt can't have run; from then on it may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    Writing,
    Waiting,
}

/// How far the attempt is.
#[derive(Debug)]
pub enum Progress {
    Pending,
    /// Stopped before it would have blocked; to be called again.
    Again,
    /// The endpoint's `UP` line, as it came.
    Up(Vec<u8>),
    Ended(Outcome),
}

/// An attempt in flight.
#[derive(Debug)]
pub struct Attempt {
    address: SocketAddr,
    link: LineStream,
    /// Sent once the connection is established, with the time that is left then.
    line: OpenLine,
    phase: Phase,
    /// That the line is written was reported.
    write_reported: bool,
    started: Micros,
    connect_deadline: Micros,
    deadline: Option<Micros>,
    /// By the rules' clock.
    rules_write_deadline: Option<Micros>,
    write_deadline: Option<Micros>,
}

/// What an answer line means, by the protocol's table.
fn classify_answer(address: SocketAddr, line: Vec<u8>) -> Progress {
    let words = trim_end(&line);
    let verb = words.split(|b| *b == b' ').next().unwrap_or_default();
    match verb {
        b"UP" => Progress::Up(line),
        b"BUSY" => Progress::Ended(Outcome::Full),
        b"MOVE" => Progress::Ended(Outcome::Cancelled),
        b"ERR" => Progress::Ended(Outcome::Error),
        _ => {
            let words = words.escape_ascii();
            log::warn!(target: LOG_TARGET, address:%, answer:% = words; "endpoint answered an attempt with '{words}'");
            Progress::Ended(Outcome::Error)
        }
    }
}

impl Attempt {
    /// Begins the attempt; `line` is the client's first line, `deadline` when the proxy stops waiting.
    pub fn start(
        io: &mut Io,
        key: Key,
        parameters: &AttemptParameters,
        line: OpenLine,
        deadline: Option<Micros>,
    ) -> io::Result<Self> {
        let link = LineStream::connect(parameters.address, io, key, Half::Far)?;
        let started = io.now();
        let connect_deadline = started + parameters.connect_timeout;
        let AttemptParameters { address, rules_write_deadline, write_deadline, .. } = *parameters;
        let phase = Phase::Connecting;
        Ok(Attempt {
            address,
            link,
            line,
            phase,
            write_reported: false,
            started,
            connect_deadline,
            deadline,
            rules_write_deadline,
            write_deadline,
        })
    }

    /// When the attempt is next due to be ended.
    pub fn next_timeout(&self) -> Option<Micros> {
        let connect = (self.phase == Phase::Connecting).then_some(self.connect_deadline);
        [connect, self.deadline].into_iter().flatten().min()
    }

    /// Time since it began.
    pub fn elapsed(&self, now: Micros) -> Micros {
        now - self.started
    }

    /// Goes on as far as the socket allows.
    pub fn advance(&mut self, now: Micros) -> Progress {
        // It was connected and its time was up in one turn, of which readiness is reported first: given up is given up, and
        // a line that is not written can't run.
        if let Some(outcome) = self.overdue(now).filter(|_| !self.is_written()) {
            return Progress::Ended(outcome);
        }
        if self.phase == Phase::Connecting {
            match self.link.connected() {
                Ok(true) => self.begin_writing(now),
                Ok(false) => return Progress::Pending,
                Err(_) => return Progress::Ended(Outcome::ConnectFailed),
            }
        }
        if self.phase == Phase::Writing {
            if self.is_too_late_to_write(now) {
                return Progress::Ended(Outcome::NotSent);
            }
            match self.link.flush() {
                Ok(true) => self.phase = Phase::Waiting,
                Ok(false) => return Progress::Pending,
                // The last byte was not written: it never ran.
                Err(_) => return Progress::Ended(Outcome::ConnectFailed),
            }
        }
        let fill = self.link.fill();
        match (self.link.take_line(), fill) {
            (Ok(Some(line)), _) => classify_answer(self.address, line),
            (Err(_), _) => Progress::Ended(Outcome::Error),
            (Ok(None), Fill::Blocked) => Progress::Pending,
            (Ok(None), Fill::More) => Progress::Again,
            (Ok(None), Fill::Ended | Fill::Broken(_)) => Progress::Ended(Outcome::Reset),
        }
    }

    fn is_too_late_to_write(&self, now: Micros) -> bool {
        // The process was stopped, or the endpoint slow: by now other rules may count. It is decided anew.
        self.rules_write_deadline.is_some_and(|deadline| Clock.now() >= deadline)
            // A repeat that arrives after its window has an effect of its own.
            || self.write_deadline.is_some_and(|deadline| now >= deadline)
    }

    /// The render node is told how long the proxy waits from now on: the connection may have taken long to establish.
    fn begin_writing(&mut self, now: Micros) {
        let left = self.deadline.map(|deadline| deadline - now);
        self.link.push(&self.line.forwarded(left));
        self.phase = Phase::Writing;
    }

    /// The first line has been written whole; true once for each attempt.
    pub fn take_newly_written(&mut self) -> bool {
        self.is_written() && !std::mem::replace(&mut self.write_reported, true)
    }

    /// The first line has been written whole: it may have run.
    pub fn is_written(&self) -> bool {
        self.phase == Phase::Waiting
    }

    /// The outcome of the attempt if its time is over.
    pub fn overdue(&self, now: Micros) -> Option<Outcome> {
        if self.deadline.is_some_and(|deadline| deadline <= now) {
            // While not even connected, nothing can have run.
            let waiting = self.phase == Phase::Waiting;
            return Some(if waiting { Outcome::TimedOut } else { Outcome::ConnectFailed });
        }
        let connect_timed_out = self.phase == Phase::Connecting && self.connect_deadline <= now;
        connect_timed_out.then_some(Outcome::ConnectFailed)
    }

    /// The connection, once it is established.
    pub fn into_link(self) -> LineStream {
        self.link
    }
}
