//! The render node's side of a client: an attempt, and the connection that a successful attempt opens.

use super::report::Io;
use crate::time::Micros;
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Half, Key};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// At most this many unanswered lines are recorded, so that a client that only sends uses bounded memory.
const MOST_UNANSWERED: usize = 256;

/// The parameters of an attempt.
#[derive(Debug)]
pub(super) struct Order {
    pub address: SocketAddr,
    /// The complete first line.
    pub line: Vec<u8>,
    /// The attempt fails if the connection is not established by then.
    pub connect_until: Micros,
    /// The attempt fails if it is not answered by then.
    pub until: Micros,
    /// For `Fault::TooManyAttempts`: the answer is discarded, and the attempt ends at `until`.
    pub in_vain: bool,
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
    link: LineStream,
    connected: bool,
    order: Order,
}

impl Attempt {
    pub fn start(order: Order, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut link = LineStream::connect(order.address, io, key, Half::Far)?;
        link.push(&order.line);
        Ok(Attempt { link, connected: false, order })
    }

    /// Whether the attempt has exceeded its time to connect or its time for the answer.
    pub fn is_overdue(&self, now: Micros) -> bool {
        self.order.until <= now || (!self.connected && self.order.connect_until <= now)
    }

    /// Connects, sends and reads as far as the socket allows.
    pub fn advance(&mut self) -> Progress {
        if !self.connected {
            match self.link.connected() {
                Ok(true) => self.connected = true,
                Ok(false) => return Progress::Pending,
                Err(_) => return Progress::Failed,
            }
        }
        if self.link.flush().is_err() {
            return Progress::Failed;
        }
        if self.order.in_vain {
            self.link.discard();
            return Progress::Pending;
        }
        let fill = self.link.fill();
        match (self.link.take_line(), fill) {
            (Ok(Some(line)), _) if line.starts_with(b"UP ") => Progress::Up(line),
            (Ok(None), Fill::Blocked | Fill::More) => Progress::Pending,
            _ => Progress::Failed,
        }
    }

    /// Converts the attempt, which was answered with `UP`, into a relay.
    pub fn into_relay(self) -> Relay {
        Relay { link: self.link, unanswered: VecDeque::new(), client_ended: false }
    }
}

/// The result of passing on bytes in one direction.
#[derive(Debug)]
pub(super) enum Pass {
    On,
    /// More input may be available; the caller has to call again.
    More,
    /// The client ended its sending. The render node's output is still passed on.
    ClientEnded,
    /// The client broke the connection. Nothing remains to be done.
    ClientBroke,
    /// The client sent a line that exceeds the maximum length.
    TooLong,
    /// The render node's connection ended, by a reset or in order. The client's connection has to end in the same
    /// way.
    NodeEnded {
        reset: bool,
    },
}

/// The connection to the render node of a client that is up.
#[derive(Debug)]
pub(super) struct Relay {
    link: LineStream,
    /// The times at which unanswered lines of the client were passed on, oldest first.
    unanswered: VecDeque<Micros>,
    client_ended: bool,
}

impl Relay {
    /// The time since which the client waits for a line to be returned.
    pub fn waiting_since(&self) -> Option<Micros> {
        self.unanswered.front().copied()
    }

    /// Writes pending bytes to the render node.
    pub fn flush(&mut self) {
        // The next read reports a broken connection.
        let _ = self.link.flush();
    }

    /// Passes lines from the client to the render node.
    pub fn pass_client(&mut self, client: &mut LineStream, now: Micros) -> Pass {
        if self.client_ended || self.link.is_full() {
            return Pass::On;
        }
        let fill = client.fill();
        loop {
            match client.take_line() {
                Ok(Some(line)) => {
                    self.link.push(&line);
                    if self.unanswered.len() < MOST_UNANSWERED {
                        self.unanswered.push_back(now);
                    }
                }
                Ok(None) => break,
                Err(_) => return Pass::TooLong,
            }
        }
        let pass = match fill {
            Fill::Blocked => Pass::On,
            Fill::More => Pass::More,
            Fill::Ended => {
                self.link.push(&client.take_rest());
                self.link.finish();
                self.client_ended = true;
                Pass::ClientEnded
            }
            Fill::Broken(_) => {
                self.link.reset();
                return Pass::ClientBroke;
            }
        };
        self.flush();
        pass
    }

    /// Passes lines from the render node to the client.
    pub fn pass_node(&mut self, client: &mut LineStream) -> Pass {
        if client.is_full() {
            return Pass::On;
        }
        let fill = self.link.fill();
        loop {
            match self.link.take_line() {
                Ok(Some(line)) => {
                    let verb = trim_end(&line).split(|b| *b == b' ').next().unwrap_or_default();
                    if !matches!(verb, b"LOAD" | b"BYE" | b"MOVE") {
                        self.unanswered.pop_front();
                    }
                    client.push(&line);
                }
                Ok(None) => break,
                Err(_) => return Pass::NodeEnded { reset: true },
            }
        }
        let pass = match fill {
            Fill::Blocked => Pass::On,
            Fill::More => Pass::More,
            Fill::Ended => {
                client.push(&self.link.take_rest());
                Pass::NodeEnded { reset: false }
            }
            Fill::Broken(_) => Pass::NodeEnded { reset: true },
        };
        match client.flush() {
            Err(_) if !matches!(pass, Pass::NodeEnded { .. }) => {
                self.link.reset();
                Pass::ClientBroke
            }
            _ => pass,
        }
    }
}
