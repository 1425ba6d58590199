//! A proxy's HTTP connection to discovery: requests are parsed by httparse; responses have a stated length or are
//! chunked.

use crate::model::discovery::Call;
use crate::plan::NodeId;
use crate::plan::Phase;
use crate::time::{MS, Micros};
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Connection, Half, Io, Key};
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io;

/// Longest request head, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Size in bytes of the pieces of a line that is written in pieces.
const PIECE: usize = 48;
/// Pause between two pieces.
const PAUSE: Micros = 10 * MS;
/// Path at which the list is served.
const PATH: &str = "/registry/instances";

/// Reports of connections and listeners to discovery's loop.
#[derive(Debug)]
pub(super) enum Report {
    Timer(u32),
    Accept(Key),
    Call(Key, Call),
    /// All bytes of an update have been written to the socket.
    Written {
        key: Key,
        tells: Tells,
        at: Micros,
    },
    /// The connection is about to be removed from the loop.
    Gone(Key, Micros),
}

/// What an update tells a proxy. It counts as told once the update's bytes have been written.
#[derive(Clone, Debug, Default)]
pub(super) struct Tells {
    /// The phases of render nodes in the update.
    pub nodes: Vec<(NodeId, Phase)>,
    /// The update is the first one of a watch.
    pub begins: bool,
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// One connection of a proxy.
#[derive(Debug)]
pub(super) struct DiscoveryConnection {
    key: Key,
    stream: LineStream,
    raw: Vec<u8>,
    /// A call is being served. Further requests wait until it is answered.
    busy: bool,
    /// Byte strings to be written in this order, with a pause between two of them. The last piece of an update carries
    /// what the update tells.
    pieces: VecDeque<(Vec<u8>, Option<Tells>)>,
    /// What the updates in the stream's output buffer tell once the buffer is written.
    pushed: Vec<Tells>,
    paused: bool,
    closing: bool,
    done: bool,
}

impl DiscoveryConnection {
    pub fn accepted(stream: TcpStream, key: Key, io: &Io<Report>) -> io::Result<Self> {
        Ok(DiscoveryConnection {
            key,
            stream: LineStream::accepted(stream, io, key)?,
            raw: Vec::new(),
            busy: false,
            pieces: VecDeque::new(),
            pushed: Vec::new(),
            paused: false,
            closing: false,
            done: false,
        })
    }

    /// Answers a call with the given JSON text, and takes up the next call.
    pub fn answer(&mut self, json: &str, tells: Tells, io: &mut Io<Report>) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
        let text = format!("{head}{}\r\n\r\n{json}\n", json.len() + 1);
        self.busy = false;
        self.write(text.into_bytes(), tells, io);
        self.calls(io);
    }

    /// Answers a call with an HTTP error status, and closes the connection.
    pub fn refuse(&mut self, status: &str, io: &mut Io<Report>) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        self.write(text.into_bytes(), Tells::default(), io);
        self.close(io);
    }

    /// Begins the chunked response of a watch with a first line.
    pub fn begin(&mut self, json: &str, tells: Tells, io: &mut Io<Report>) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend(chunk(json));
        self.write(bytes, tells, io);
    }

    /// Writes a further line of a watch.
    pub fn line(&mut self, line: &str, tells: Tells, io: &mut Io<Report>) {
        self.write(chunk(line), tells, io);
    }

    /// Writes a further line of a watch in pieces of [`PIECE`] bytes, with pauses in between.
    pub fn line_in_pieces(&mut self, line: &str, tells: Tells, io: &mut Io<Report>) {
        let bytes = chunk(line);
        let last = bytes.len().div_ceil(PIECE) - 1;
        for (i, piece) in bytes.chunks(PIECE).enumerate() {
            self.pieces.push_back((piece.to_vec(), (i == last).then(|| tells.clone())));
        }
        self.next_piece(io);
    }

    /// Closes the connection without a reset once everything is written.
    pub fn close(&mut self, io: &mut Io<Report>) {
        self.closing = true;
        self.flush(io);
    }

    /// Ends the connection with a reset.
    pub fn reset(&mut self) {
        self.stream.reset();
        self.done = true;
    }

    fn write(&mut self, bytes: Vec<u8>, tells: Tells, io: &mut Io<Report>) {
        self.pieces.push_back((bytes, Some(tells)));
        self.next_piece(io);
    }

    fn next_piece(&mut self, io: &mut Io<Report>) {
        if self.paused {
            return;
        }
        if let Some((bytes, tells)) = self.pieces.pop_front() {
            self.stream.push(&bytes);
            self.pushed.extend(tells);
            self.paused = !self.pieces.is_empty();
            if self.paused {
                io.timer(io.now() + PAUSE, self.key, 0);
            }
        }
        self.flush(io);
    }

    fn flush(&mut self, io: &mut Io<Report>) {
        match self.stream.flush() {
            Ok(true) => {
                let (key, at) = (self.key, io.now());
                for tells in self.pushed.drain(..) {
                    io.report(Report::Written { key, tells, at });
                }
                if self.closing && self.pieces.is_empty() {
                    // Ends only the sending: closing the socket now could cause a reset that discards data the peer
                    // has not read yet. The connection is done once the peer closes it.
                    self.stream.finish();
                    self.done |= self.stream.flush().is_err();
                }
            }
            Ok(false) => {}
            Err(_) => self.done = true,
        }
    }

    /// Parses and reports the next call, if a complete request has arrived.
    fn calls(&mut self, io: &mut Io<Report>) {
        if self.busy || self.closing {
            return;
        }
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let used = match request.parse(&self.raw) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if self.raw.len() <= MAX_HEAD => return,
            _ => return self.refuse("400 Bad Request", io),
        };
        let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path != PATH {
            return self.refuse("404 Not Found", io);
        }
        if method != "GET" {
            return self.refuse("405 Method Not Allowed", io);
        }
        let Some(call) = call(query) else { return self.refuse("400 Bad Request", io) };
        self.raw.drain(..used);
        self.busy = true;
        io.report(Report::Call(self.key, call));
    }
}

impl Connection for DiscoveryConnection {
    type Report = Report;

    fn readable(&mut self, io: &mut Io<Report>, _: Half) {
        let fill = self.stream.fill();
        let bytes = self.stream.take_rest();
        // Input beyond the bound, and input after the connection began to close, is discarded. Input that
        // arrives during a watch is never parsed.
        if !self.closing && self.raw.len() <= MAX_HEAD {
            self.raw.extend(bytes);
        }
        self.calls(io);
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.done = true,
        }
    }

    fn writable(&mut self, io: &mut Io<Report>, _: Half) {
        self.flush(io);
    }

    fn timer(&mut self, io: &mut Io<Report>, _: u32) {
        self.paused = false;
        self.next_piece(io);
    }

    fn done(&self) -> bool {
        self.done
    }

    fn closed(&mut self, io: &mut Io<Report>) {
        io.report(Report::Gone(self.key, io.now()));
    }
}

/// Parses the query part of a request's target.
fn call(query: &str) -> Option<Call> {
    let (mut watch, mut from) = (false, 0);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=')? {
            ("watch", "1") => watch = true,
            ("from", revision) => from = revision.parse().ok()?,
            _ => return None,
        }
    }
    Some(if watch { Call::Watch { from } } else { Call::List })
}

/// Encodes one line as a chunk of a chunked response.
fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// An object on discovery's loop.
#[derive(Debug)]
pub(super) enum Party {
    Listener(Listener<Report>),
    Connection(DiscoveryConnection),
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
