//! A proxy's connection to discovery: requests by httparse, answers whole or in chunks.

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

/// A request is not longer.
const MAX_HEAD: usize = 16 * 1024;
/// What comes in pieces comes in pieces of so many bytes, ...
const PIECE: usize = 48;
/// ... this long after one another.
const PAUSE: Micros = 10 * MS;
/// The list's path.
const PATH: &str = "/registry/instances";

/// What connections and listeners have to tell.
#[derive(Debug)]
pub(super) enum Report {
    Timer(u32),
    Accept(Key),
    Call(Key, Call),
    /// All bytes that tell this have been written.
    Written {
        key: Key,
        tells: Tells,
        at: Micros,
    },
    /// The object is about to be dropped.
    Gone(Key, Micros),
}

/// What bytes tell a proxy once they are written.
#[derive(Clone, Debug, Default)]
pub(super) struct Tells {
    /// Phases of nodes.
    pub nodes: Vec<(NodeId, Phase)>,
    /// They are a watch's first.
    pub begins: bool,
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// One connection.
#[derive(Debug)]
pub(super) struct DiscoveryConnection {
    key: Key,
    stream: LineStream,
    raw: Vec<u8>,
    /// A call is being served; what comes meanwhile waits.
    busy: bool,
    /// Written one after another, with pauses while there is more than one.
    pieces: VecDeque<(Vec<u8>, Option<Tells>)>,
    /// What is told once all that was pushed is written.
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

    /// Answers a call with a text, and takes the next one.
    pub fn answer(&mut self, json: &str, tells: Tells, io: &mut Io<Report>) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
        let text = format!("{head}{}\r\n\r\n{json}\n", json.len() + 1);
        self.busy = false;
        self.write(text.into_bytes(), tells, io);
        self.calls(io);
    }

    /// Answers a call with an error, and closes.
    pub fn refuse(&mut self, status: &str, io: &mut Io<Report>) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        self.write(text.into_bytes(), Tells::default(), io);
        self.close(io);
    }

    /// Begins an answer without end.
    pub fn begin(&mut self, json: &str, tells: Tells, io: &mut Io<Report>) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend(chunk(json));
        self.write(bytes, tells, io);
    }

    /// Goes on with a line.
    pub fn line(&mut self, line: &str, tells: Tells, io: &mut Io<Report>) {
        self.write(chunk(line), tells, io);
    }

    /// Goes on with a line that comes bit by bit.
    pub fn line_in_pieces(&mut self, line: &str, tells: Tells, io: &mut Io<Report>) {
        let bytes = chunk(line);
        let last = bytes.len().div_ceil(PIECE) - 1;
        for (i, piece) in bytes.chunks(PIECE).enumerate() {
            self.pieces.push_back((piece.to_vec(), (i == last).then(|| tells.clone())));
        }
        self.next_piece(io);
    }

    /// Closes in order once all is written.
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
                    // Closes as soon as the other side has read it and ended: a reset could overtake what is written.
                    self.stream.finish();
                    self.done |= self.stream.flush().is_err();
                }
            }
            Ok(false) => {}
            Err(_) => self.done = true,
        }
    }

    /// Takes the next call, if one has come.
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
        // What comes while a watch goes on, or beyond all bounds, is nobody's.
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

/// What a query asks for.
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

/// A chunk that holds one line.
fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// All objects on discovery's loop.
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
