//! One attempt to establish a connection at an endpoint: connects, writes the client's first line, and waits for
//! the answer.

use super::client_protocol::AttemptParameters;
use super::network_event::Io;
use super::open_line::OpenLine;
use crate::rules::Clock;
use cottonnotch_decision::{Micros, Outcome};
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Half, Key};
use std::io;
use std::net::SocketAddr;

/// The log target of this module, on which log filters and collectors rely.
const LOG_TARGET: &str = "cottonnotch::net::attempt";

/// The phase of an attempt. The endpoint cannot have executed the request before the last byte of the first line is
/// written; from then on it may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    Writing,
    Waiting,
}

/// The result of advancing an attempt.
#[derive(Debug)]
pub enum Progress {
    /// The attempt waits for its socket.
    Pending,
    /// The attempt stopped before the socket would have blocked; the caller must call again.
    Again,
    /// The endpoint accepted the connection; holds its `UP` line unchanged.
    Up(Vec<u8>),
    /// The attempt has ended without a connection.
    Ended(Outcome),
}

/// An attempt that is in flight.
#[derive(Debug)]
pub struct Attempt {
    address: SocketAddr,
    stream: LineStream,
    /// The client's first line; it is sent once the TCP connection is established, with the time that is left then.
    line: OpenLine,
    phase: Phase,
    /// Whether [`Self::take_newly_written`] has already returned true.
    write_reported: bool,
    started: Micros,
    connect_deadline: Micros,
    /// When the proxy stops waiting for the answer; `None` if nothing limits it.
    deadline: Option<Micros>,
    /// The time, on the clock of the rules, from which the first line must not be written any more.
    rules_write_deadline: Option<Micros>,
    /// The time, on the event loop's clock, from which the first line must not be written any more.
    write_deadline: Option<Micros>,
}

/// Classifies an answer line of the endpoint, as the protocol defines it.
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
    /// Starts the attempt. `line` is the client's first line; `deadline` is when the proxy stops waiting for the
    /// answer.
    pub fn start(
        io: &mut Io,
        key: Key,
        parameters: &AttemptParameters,
        line: OpenLine,
        deadline: Option<Micros>,
    ) -> io::Result<Self> {
        let stream = LineStream::connect(parameters.address, io, key, Half::Far)?;
        let started = io.now();
        let connect_deadline = started + parameters.connect_timeout;
        let AttemptParameters { address, rules_write_deadline, write_deadline, .. } = *parameters;
        let phase = Phase::Connecting;
        Ok(Attempt {
            address,
            stream,
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

    /// Returns the earliest time at which the attempt may be overdue; `None` if it has no time limit.
    pub fn next_timeout(&self) -> Option<Micros> {
        let connect = (self.phase == Phase::Connecting).then_some(self.connect_deadline);
        [connect, self.deadline].into_iter().flatten().min()
    }

    /// Returns the time since the attempt started.
    pub fn elapsed(&self, now: Micros) -> Micros {
        now - self.started
    }

    /// Continues the attempt as far as the socket allows without blocking.
    pub fn advance(&mut self, now: Micros) -> Progress {
        // If the socket becomes ready and the time limit expires in the same turn of the event loop, readiness is
        // handled first. The attempt is given up here all the same: its first line is not written, so it cannot
        // have been executed.
        if let Some(outcome) = self.expiry_outcome(now).filter(|_| !self.is_written()) {
            return Progress::Ended(outcome);
        }
        if self.phase == Phase::Connecting {
            match self.stream.connected() {
                Ok(true) => self.begin_writing(now),
                Ok(false) => return Progress::Pending,
                Err(_) => return Progress::Ended(Outcome::ConnectFailed),
            }
        }
        if self.phase == Phase::Writing {
            if self.is_too_late_to_write(now) {
                return Progress::Ended(Outcome::NotSent);
            }
            match self.stream.flush() {
                Ok(true) => self.phase = Phase::Waiting,
                Ok(false) => return Progress::Pending,
                // The last byte was not written, so the request was not executed.
                Err(_) => return Progress::Ended(Outcome::ConnectFailed),
            }
        }
        let fill = self.stream.fill();
        match (self.stream.take_line(), fill) {
            (Ok(Some(line)), _) => classify_answer(self.address, line),
            (Err(_), _) => Progress::Ended(Outcome::Error),
            (Ok(None), Fill::Blocked) => Progress::Pending,
            (Ok(None), Fill::More) => Progress::Again,
            (Ok(None), Fill::Ended | Fill::Broken(_)) => Progress::Ended(Outcome::Reset),
        }
    }

    fn is_too_late_to_write(&self, now: Micros) -> bool {
        // After a suspension of the process, or with a slow endpoint, other rules may be in force by now, so the
        // decision has to be made again.
        self.rules_write_deadline.is_some_and(|deadline| Clock.now() >= deadline)
            // A retry that arrives after its idempotency window would be executed as a new request.
            || self.write_deadline.is_some_and(|deadline| now >= deadline)
    }

    /// Queues the first line with the time for which the proxy will wait from now on, because connecting may have
    /// taken long.
    fn begin_writing(&mut self, now: Micros) {
        let left = self.deadline.map(|deadline| deadline - now);
        self.stream.push(&self.line.forwarded(left));
        self.phase = Phase::Writing;
    }

    /// Returns whether the first line has been completely written; true only once for each attempt.
    pub fn take_newly_written(&mut self) -> bool {
        self.is_written() && !std::mem::replace(&mut self.write_reported, true)
    }

    /// Returns whether the first line has been completely written, so that the endpoint may have executed the
    /// request.
    pub fn is_written(&self) -> bool {
        self.phase == Phase::Waiting
    }

    /// Returns the outcome of the attempt if its time limit has expired.
    pub fn expiry_outcome(&self, now: Micros) -> Option<Outcome> {
        if self.deadline.is_some_and(|deadline| deadline <= now) {
            // Before the first line is written, the endpoint cannot have executed the request.
            let waiting = self.phase == Phase::Waiting;
            return Some(if waiting { Outcome::TimedOut } else { Outcome::ConnectFailed });
        }
        let connect_timed_out = self.phase == Phase::Connecting && self.connect_deadline <= now;
        connect_timed_out.then_some(Outcome::ConnectFailed)
    }

    /// Returns the connection to the endpoint; called once the endpoint has accepted.
    pub fn into_stream(self) -> LineStream {
        self.stream
    }
}
