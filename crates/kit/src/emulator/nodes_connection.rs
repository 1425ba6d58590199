//! A proxy's connection to an emulated render node, as a reactor object.

use crate::time::{Micros, S};
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Connection, Half, Io, Key};
use mio::net::TcpStream;
use std::io;

/// After its last output, a connection waits this long for the proxy to close. Closing a socket with unread input
/// causes a reset, which could discard that output before the proxy has read it.
const LINGER: Micros = 5 * S;

/// Reports of connections and listeners to the render nodes' loop.
#[derive(Debug)]
pub(super) enum Report {
    Timer(u32),
    /// Connections wait to be accepted at this listener.
    Accept(Key),
    /// The proxy sent `PING` or `STATS` instead of a first line.
    Probe(Key),
    /// The first line of an attempt.
    First {
        key: Key,
        line: Vec<u8>,
        first_byte: Micros,
        at: Micros,
    },
    /// A line after the first one.
    Line {
        key: Key,
        line: Vec<u8>,
        at: Micros,
    },
    /// A line is longer than [`cottonnotch_reactor::line::MAX_LINE`].
    TooLong(Key),
    /// The proxy has ended its sending.
    Ended(Key, Micros),
    /// The connection is about to be removed from the loop.
    Gone(Key, Micros),
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// One connection of a proxy to a render node.
#[derive(Debug)]
pub(super) struct NodeConnection {
    key: Key,
    stream: LineStream,
    first_byte: Option<Micros>,
    opened: bool,
    /// The emulated network lets nothing through.
    silent: bool,
    /// The proxy has ended its sending.
    ended: bool,
    /// The node has ended its sending; further input is discarded.
    leaving: bool,
    done: bool,
}

impl NodeConnection {
    pub fn accepted(stream: TcpStream, key: Key, io: &Io<Report>) -> io::Result<Self> {
        let stream = LineStream::accepted(stream, io, key)?;
        Ok(NodeConnection {
            key,
            stream,
            first_byte: None,
            opened: false,
            silent: false,
            ended: false,
            leaving: false,
            done: false,
        })
    }

    /// Writes the bytes, now or as soon as the socket takes them.
    pub fn say(&mut self, bytes: &[u8]) {
        self.stream.push(bytes);
        self.flush();
    }

    /// Writes the bytes and ends the sending. Further input is read and discarded.
    pub fn say_last(&mut self, bytes: &[u8], io: &mut Io<Report>) {
        self.leaving = true;
        self.stream.push(bytes);
        self.stream.finish();
        self.flush();
        if !self.done {
            io.timer(io.now() + LINGER, self.key, 0);
        }
    }

    /// Ends the connection with a reset.
    pub fn reset(&mut self) {
        self.stream.reset();
        self.done = true;
    }

    /// Stops reading and writing until [`wake`](Self::wake).
    pub fn hush(&mut self) {
        self.silent = true;
    }

    /// Resumes reading and writing after [`hush`](Self::hush), and reads the input that has arrived meanwhile.
    pub fn wake(&mut self, io: &mut Io<Report>) {
        self.silent = false;
        self.flush();
        self.readable(io, Half::Near);
    }

    fn flush(&mut self) {
        if self.silent {
            return;
        }
        match self.stream.flush() {
            Ok(all) => self.done |= all && self.leaving && self.ended,
            Err(_) => self.done = true,
        }
    }

    fn lines(&mut self, io: &mut Io<Report>) {
        let at = io.now();
        loop {
            match self.stream.take_line() {
                Ok(Some(line)) if self.opened => io.report(Report::Line { key: self.key, line, at }),
                Ok(Some(line)) => {
                    let first_byte = self.first_byte.take().unwrap_or(at);
                    if matches!(&line[..], b"PING\r\n" | b"STATS\r\n") {
                        io.report(Report::Probe(self.key));
                    } else {
                        self.opened = true;
                        io.report(Report::First { key: self.key, line, first_byte, at });
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    self.stream.take_rest();
                    return io.report(Report::TooLong(self.key));
                }
            }
        }
        if !self.opened && self.stream.has_input() {
            self.first_byte = self.first_byte.or(Some(at));
        }
    }
}

impl Connection for NodeConnection {
    type Report = Report;

    fn readable(&mut self, io: &mut Io<Report>, _: Half) {
        if self.silent || self.ended {
            return;
        }
        let fill = if self.leaving { self.stream.discard() } else { self.stream.fill() };
        if !self.leaving {
            self.lines(io);
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended => {
                self.ended = true;
                if self.leaving {
                    self.flush();
                } else {
                    io.report(Report::Ended(self.key, io.now()));
                }
            }
            Fill::Broken(_) => self.done = true,
        }
    }

    fn writable(&mut self, _: &mut Io<Report>, _: Half) {
        self.flush();
    }

    fn timer(&mut self, io: &mut Io<Report>, _: u32) {
        if self.silent {
            io.timer(io.now() + LINGER, self.key, 0);
        } else {
            self.done = true;
        }
    }

    fn done(&self) -> bool {
        self.done
    }

    fn closed(&mut self, io: &mut Io<Report>) {
        io.report(Report::Gone(self.key, io.now()));
    }
}

/// An object on a render nodes' loop.
#[derive(Debug)]
pub(super) enum Party {
    Listener(Listener<Report>),
    Connection(NodeConnection),
}

impl Party {
    pub fn connection(&mut self) -> Option<&mut NodeConnection> {
        match self {
            Party::Connection(connection) => Some(connection),
            Party::Listener(_) => None,
        }
    }
}

impl Connection for Party {
    type Report = Report;

    fn readable(&mut self, io: &mut Io<Report>, leg: Half) {
        match self {
            Party::Listener(listener) => listener.readable(io, leg),
            Party::Connection(connection) => connection.readable(io, leg),
        }
    }

    fn writable(&mut self, io: &mut Io<Report>, leg: Half) {
        match self {
            Party::Listener(listener) => listener.writable(io, leg),
            Party::Connection(connection) => connection.writable(io, leg),
        }
    }

    fn timer(&mut self, io: &mut Io<Report>, timer: u32) {
        match self {
            Party::Listener(listener) => listener.timer(io, timer),
            Party::Connection(connection) => connection.timer(io, timer),
        }
    }

    fn done(&self) -> bool {
        match self {
            Party::Listener(listener) => listener.done(),
            Party::Connection(connection) => connection.done(),
        }
    }

    fn closed(&mut self, io: &mut Io<Report>) {
        match self {
            Party::Listener(listener) => listener.closed(io),
            Party::Connection(connection) => connection.closed(io),
        }
    }
}
