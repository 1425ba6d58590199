//! The render node's side of a client: an attempt, and the connection that a successful attempt opens.

use super::report::Io;
use crate::time::Micros;
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Half, Key};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// At most this many unanswered lines are recorded, so that a client that only sends uses bounded memory.
const MAX_UNANSWERED: usize = 256;

/// The parameters of an attempt.
#[derive(Debug)]
pub(super) struct AttemptSpec {
    pub address: SocketAddr,
    /// The complete first line.
    pub line: Vec<u8>,
    /// The attempt fails if the connection is not established by then.
    pub connect_deadline: Micros,
    /// The attempt fails if it is not answered by then.
    pub deadline: Micros,
    /// For `Fault::TooManyAttempts`: the answer is discarded, and the attempt ends at `until`.
    pub discard_answer: bool,
}

/// The state of an attempt after it was advanced.
#[derive(Debug)]
pub(super) enum Progress {
    Pending,
    /// The render node answered with this `UP` line.
    Up(Vec<u8>),
    Failed,
}

/// An attempt that has not been answered.
#[derive(Debug)]
pub(super) struct Attempt {
    stream: LineStream,
    connected: bool,
    spec: AttemptSpec,
}

impl Attempt {
    pub fn start(spec: AttemptSpec, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(spec.address, io, key, Half::Far)?;
        stream.push(&spec.line);
        Ok(Attempt { stream, connected: false, spec })
    }

    /// Whether the attempt has exceeded its time to connect or its time for the answer.
    pub fn is_overdue(&self, now: Micros) -> bool {
        self.spec.deadline <= now || (!self.connected && self.spec.connect_deadline <= now)
    }

    /// Connects, sends and reads as far as the socket allows.
    pub fn advance(&mut self) -> Progress {
        if !self.connected {
            match self.stream.connected() {
                Ok(true) => self.connected = true,
                Ok(false) => return Progress::Pending,
                Err(_) => return Progress::Failed,
            }
        }
        if self.stream.flush().is_err() {
            return Progress::Failed;
        }
        if self.spec.discard_answer {
            self.stream.discard();
            return Progress::Pending;
        }
        let fill = self.stream.fill();
        match (self.stream.take_line(), fill) {
            (Ok(Some(line)), _) if line.starts_with(b"UP ") => Progress::Up(line),
            (Ok(None), Fill::Blocked | Fill::More) => Progress::Pending,
            _ => Progress::Failed,
        }
    }

    /// Converts the attempt, which was answered with `UP`, into a relay.
    pub fn into_relay(self) -> Relay {
        Relay { stream: self.stream, unanswered: VecDeque::new(), client_ended: false }
    }
}

/// The result of passing on bytes in one direction.
#[derive(Debug)]
pub(super) enum ForwardOutcome {
    Idle,
    /// More input may be available; the caller has to call again.
    MoreInput,
    /// The client ended its sending. The render node's output is still passed on.
    ClientEnded,
    /// The client broke the connection. Nothing remains to be done.
    ClientBroken,
    /// The client sent a line that exceeds the maximum length.
    LineTooLong,
    /// The render node's connection ended, by a reset or in order. The client's connection has to end in the same
    /// way.
    NodeEnded {
        reset: bool,
    },
}

/// The connection to the render node of a client that is up.
#[derive(Debug)]
pub(super) struct Relay {
    stream: LineStream,
    /// The times at which unanswered lines of the client were passed on, oldest first.
    unanswered: VecDeque<Micros>,
    client_ended: bool,
}

impl Relay {
    /// The time since which the client waits for a line to be returned.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered.front().copied()
    }

    /// Writes pending bytes to the render node.
    pub fn flush(&mut self) {
        // The next read reports a broken connection.
        let _ = self.stream.flush();
    }

    /// Passes lines from the client to the render node.
    pub fn forward_from_client(&mut self, client: &mut LineStream, now: Micros) -> ForwardOutcome {
        if self.client_ended || self.stream.is_full() {
            return ForwardOutcome::Idle;
        }
        let fill = client.fill();
        loop {
            match client.take_line() {
                Ok(Some(line)) => {
                    self.stream.push(&line);
                    if self.unanswered.len() < MAX_UNANSWERED {
                        self.unanswered.push_back(now);
                    }
                }
                Ok(None) => break,
                Err(_) => return ForwardOutcome::LineTooLong,
            }
        }
        let result = match fill {
            Fill::Blocked => ForwardOutcome::Idle,
            Fill::More => ForwardOutcome::MoreInput,
            Fill::Ended => {
                self.stream.push(&client.take_rest());
                self.stream.finish();
                self.client_ended = true;
                ForwardOutcome::ClientEnded
            }
            Fill::Broken(_) => {
                self.stream.reset();
                return ForwardOutcome::ClientBroken;
            }
        };
        self.flush();
        result
    }

    /// Passes lines from the render node to the client.
    pub fn forward_from_node(&mut self, client: &mut LineStream) -> ForwardOutcome {
        if client.is_full() {
            return ForwardOutcome::Idle;
        }
        let fill = self.stream.fill();
        loop {
            match self.stream.take_line() {
                Ok(Some(line)) => {
                    let verb = trim_end(&line).split(|b| *b == b' ').next().unwrap_or_default();
                    if !matches!(verb, b"LOAD" | b"BYE" | b"MOVE") {
                        self.unanswered.pop_front();
                    }
                    client.push(&line);
                }
                Ok(None) => break,
                Err(_) => return ForwardOutcome::NodeEnded { reset: true },
            }
        }
        let result = match fill {
            Fill::Blocked => ForwardOutcome::Idle,
            Fill::More => ForwardOutcome::MoreInput,
            Fill::Ended => {
                client.push(&self.stream.take_rest());
                ForwardOutcome::NodeEnded { reset: false }
            }
            Fill::Broken(_) => ForwardOutcome::NodeEnded { reset: true },
        };
        match client.flush() {
            Err(_) if !matches!(result, ForwardOutcome::NodeEnded { .. }) => {
                self.stream.reset();
                ForwardOutcome::ClientBroken
            }
            _ => result,
        }
    }
}
