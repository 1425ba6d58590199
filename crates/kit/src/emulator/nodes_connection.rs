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
pub(super) enum NodeReport {
    Timer(u32),
    /// Connections wait to be accepted at this listener.
    Accept(Key),
    /// The proxy sent `PING` or `STATS` instead of a first line.
    Probe(Key),
    /// The first line of an attempt.
    FirstLine {
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
    PeerEnded(Key, Micros),
    /// The connection is about to be removed from the loop.
    Closed(Key, Micros),
}

impl cottonnotch_reactor::Report for NodeReport {
    fn timer(timer: u32) -> Self {
        NodeReport::Timer(timer)
    }
}

/// One connection of a proxy to a render node.
#[derive(Debug)]
pub(super) struct NodeConnection {
    key: Key,
    stream: LineStream,
    first_byte: Option<Micros>,
    has_first_line: bool,
    /// The emulated network lets nothing through.
    silent: bool,
    /// The proxy has ended its sending.
    peer_ended: bool,
    /// The node has ended its sending; further input is discarded.
    closing: bool,
    done: bool,
}

impl NodeConnection {
    pub fn accepted(stream: TcpStream, key: Key, io: &Io<NodeReport>) -> io::Result<Self> {
        let stream = LineStream::accepted(stream, io, key)?;
        Ok(NodeConnection {
            key,
            stream,
            first_byte: None,
            has_first_line: false,
            silent: false,
            peer_ended: false,
            closing: false,
            done: false,
        })
    }

    /// Writes the bytes, now or as soon as the socket takes them.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.push(bytes);
        self.flush();
    }

    /// Writes the bytes and ends the sending. Further input is read and discarded.
    pub fn write_last(&mut self, bytes: &[u8], io: &mut Io<NodeReport>) {
        self.closing = true;
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

    /// Stops reading and writing until [`resume`](Self::resume).
    pub fn silence(&mut self) {
        self.silent = true;
    }

    /// Resumes reading and writing after [`silence`](Self::silence), and reads the input that has arrived meanwhile.
    pub fn resume(&mut self, io: &mut Io<NodeReport>) {
        self.silent = false;
        self.flush();
        self.readable(io, Half::Near);
    }

    fn flush(&mut self) {
        if self.silent {
            return;
        }
        match self.stream.flush() {
            Ok(all) => self.done |= all && self.closing && self.peer_ended,
            Err(_) => self.done = true,
        }
    }

    fn report_lines(&mut self, io: &mut Io<NodeReport>) {
        let at = io.now();
        loop {
            match self.stream.take_line() {
                Ok(Some(line)) if self.has_first_line => {
                    io.report(NodeReport::Line { key: self.key, line, at })
                }
                Ok(Some(line)) => {
                    let first_byte = self.first_byte.take().unwrap_or(at);
                    if matches!(&line[..], b"PING\r\n" | b"STATS\r\n") {
                        io.report(NodeReport::Probe(self.key));
                    } else {
                        self.has_first_line = true;
                        io.report(NodeReport::FirstLine { key: self.key, line, first_byte, at });
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    self.stream.take_rest();
                    return io.report(NodeReport::TooLong(self.key));
                }
            }
        }
        if !self.has_first_line && self.stream.has_input() {
            self.first_byte = self.first_byte.or(Some(at));
        }
    }
}

impl Connection for NodeConnection {
    type Report = NodeReport;

    fn readable(&mut self, io: &mut Io<NodeReport>, _: Half) {
        if self.silent || self.peer_ended {
            return;
        }
        let fill = if self.closing { self.stream.discard() } else { self.stream.fill() };
        if !self.closing {
            self.report_lines(io);
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended => {
                self.peer_ended = true;
                if self.closing {
                    self.flush();
                } else {
                    io.report(NodeReport::PeerEnded(self.key, io.now()));
                }
            }
            Fill::Broken(_) => self.done = true,
        }
    }

    fn writable(&mut self, _: &mut Io<NodeReport>, _: Half) {
        self.flush();
    }

    fn timer(&mut self, io: &mut Io<NodeReport>, _: u32) {
        if self.silent {
            io.timer(io.now() + LINGER, self.key, 0);
        } else {
            self.done = true;
        }
    }

    fn done(&self) -> bool {
        self.done
    }

    fn closed(&mut self, io: &mut Io<NodeReport>) {
        io.report(NodeReport::Closed(self.key, io.now()));
    }
}

/// An object on a render nodes' loop.
#[derive(Debug)]
pub(super) enum NodeSocket {
    Listener(Listener<NodeReport>),
    Connection(NodeConnection),
}

impl NodeSocket {
    pub fn connection(&mut self) -> Option<&mut NodeConnection> {
        match self {
            NodeSocket::Connection(connection) => Some(connection),
            NodeSocket::Listener(_) => None,
        }
    }
}

impl Connection for NodeSocket {
    type Report = NodeReport;

    fn readable(&mut self, io: &mut Io<NodeReport>, half: Half) {
        match self {
            NodeSocket::Listener(listener) => listener.readable(io, half),
            NodeSocket::Connection(connection) => connection.readable(io, half),
        }
    }

    fn writable(&mut self, io: &mut Io<NodeReport>, half: Half) {
        match self {
            NodeSocket::Listener(listener) => listener.writable(io, half),
            NodeSocket::Connection(connection) => connection.writable(io, half),
        }
    }

    fn timer(&mut self, io: &mut Io<NodeReport>, timer: u32) {
        match self {
            NodeSocket::Listener(listener) => listener.timer(io, timer),
            NodeSocket::Connection(connection) => connection.timer(io, timer),
        }
    }

    fn done(&self) -> bool {
        match self {
            NodeSocket::Listener(listener) => listener.done(),
            NodeSocket::Connection(connection) => connection.done(),
        }
    }

    fn closed(&mut self, io: &mut Io<NodeReport>) {
        match self {
            NodeSocket::Listener(listener) => listener.closed(io),
            NodeSocket::Connection(connection) => connection.closed(io),
        }
    }
}
