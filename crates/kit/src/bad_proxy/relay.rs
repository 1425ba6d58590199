//! The render node's side of a client: an attempt, and the connection that comes of it.

use super::report::Io;
use crate::time::Micros;
use cottonnotch_reactor::line::{Fill, LineStream, trim_end};
use cottonnotch_reactor::{Half, Key};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// Unanswered lines that are remembered. Guards against a client that only sends.
const MOST_UNANSWERED: usize = 256;

/// An attempt to be made.
#[derive(Debug)]
pub(super) struct Order {
    pub address: SocketAddr,
    /// The whole first line.
    pub line: Vec<u8>,
    /// The connection stands by then, or could not be made.
    pub connect_until: Micros,
    /// Given up then.
    pub until: Micros,
    /// For the fault: given up then whatever comes back.
    pub in_vain: bool,
}

/// How far an attempt is.
#[derive(Debug)]
pub(super) enum Progress {
    Pending,
    /// The `UP` line, as it came.
    Up(Vec<u8>),
    Failed,
}

/// An attempt that is out.
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

    /// Its time is up.
    pub fn is_overdue(&self, now: Micros) -> bool {
        self.order.until <= now || (!self.connected && self.order.connect_until <= now)
    }

    /// Goes on as far as the socket allows.
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

    /// The connection, now that it is up.
    pub fn into_relay(self) -> Relay {
        Relay { link: self.link, unanswered: VecDeque::new(), client_ended: false }
    }
}

/// How a pass over one direction ended.
#[derive(Debug)]
pub(super) enum Pass {
    On,
    /// There may be more; to be called again.
    More,
    /// The client has ended its sending; what the render node still sends is passed on.
    ClientEnded,
    /// The client broke off; nothing is left to do.
    ClientBroke,
    /// The client sent a line without end.
    TooLong,
    /// The render node has ended, by a reset or in order; the client's side is to end alike.
    NodeEnded {
        reset: bool,
    },
}

/// A connection that is up.
#[derive(Debug)]
pub(super) struct Relay {
    link: LineStream,
    /// When each line of the client's that did not come back yet was passed on.
    unanswered: VecDeque<Micros>,
    client_ended: bool,
}

impl Relay {
    /// Since when the client waits for a line to come back.
    pub fn waiting_since(&self) -> Option<Micros> {
        self.unanswered.front().copied()
    }

    /// Writes on to the render node what did not fit before.
    pub fn flush(&mut self) {
        // A broken connection is found by reading.
        let _ = self.link.flush();
    }

    /// Passes on what the client sent.
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

    /// Passes on what the render node sent.
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
