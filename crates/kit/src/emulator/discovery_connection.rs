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
const MAX_HEAD_LEN: usize = 16 * 1024;
/// Size in bytes of the pieces of a line that is written in pieces.
const PIECE_LEN: usize = 48;
/// Pause between two pieces.
const PIECE_INTERVAL: Micros = 10 * MS;
/// Path at which the list is served.
const LIST_PATH: &str = "/registry/instances";

/// Reports of connections and listeners to discovery's loop.
#[derive(Debug)]
pub(super) enum DiscoveryReport {
    Timer(u32),
    /// Connections wait to be accepted at this listener.
    Accept(Key),
    /// A call has been parsed on this connection.
    Call(Key, Call),
    /// All bytes of an update have been written to the socket.
    Written {
        key: Key,
        summary: UpdateSummary,
        at: Micros,
    },
    /// The connection is about to be removed from the loop.
    Closed(Key, Micros),
}

/// What an update tells a proxy. It counts as told once the update's bytes have been written.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateSummary {
    /// The phases of render nodes in the update.
    pub phases: Vec<(NodeId, Phase)>,
    /// The update is the first one of a watch.
    pub begins_watch: bool,
}

impl cottonnotch_reactor::Report for DiscoveryReport {
    fn timer(timer: u32) -> Self {
        DiscoveryReport::Timer(timer)
    }
}

/// One connection of a proxy.
#[derive(Debug)]
pub(super) struct DiscoveryConnection {
    key: Key,
    stream: LineStream,
    input: Vec<u8>,
    /// A call is being served. Further requests wait until it is answered.
    is_serving: bool,
    /// Byte strings to be written in this order, with a pause between two of them. The last piece of an update carries
    /// what the update tells.
    pieces: VecDeque<(Vec<u8>, Option<UpdateSummary>)>,
    /// What the updates in the stream's output buffer tell once the buffer is written.
    unreported: Vec<UpdateSummary>,
    paused: bool,
    closing: bool,
    done: bool,
}

impl DiscoveryConnection {
    pub fn accepted(stream: TcpStream, key: Key, io: &Io<DiscoveryReport>) -> io::Result<Self> {
        Ok(DiscoveryConnection {
            key,
            stream: LineStream::accepted(stream, io, key)?,
            input: Vec::new(),
            is_serving: false,
            pieces: VecDeque::new(),
            unreported: Vec::new(),
            paused: false,
            closing: false,
            done: false,
        })
    }

    /// Answers a call with the given JSON text, and takes up the next call.
    pub fn respond(&mut self, json: &str, summary: UpdateSummary, io: &mut Io<DiscoveryReport>) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
        let text = format!("{head}{}\r\n\r\n{json}\n", json.len() + 1);
        self.is_serving = false;
        self.write(text.into_bytes(), summary, io);
        self.take_call(io);
    }

    /// Answers a call with an HTTP error status, and closes the connection.
    pub fn respond_error(&mut self, status: &str, io: &mut Io<DiscoveryReport>) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        self.write(text.into_bytes(), UpdateSummary::default(), io);
        self.close(io);
    }

    /// Begins the chunked response of a watch with a first line.
    pub fn begin_watch(&mut self, json: &str, summary: UpdateSummary, io: &mut Io<DiscoveryReport>) {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend(encode_chunk(json));
        self.write(bytes, summary, io);
    }

    /// Writes a further line of a watch.
    pub fn write_line(&mut self, line: &str, summary: UpdateSummary, io: &mut Io<DiscoveryReport>) {
        self.write(encode_chunk(line), summary, io);
    }

    /// Writes a further line of a watch in pieces of [`PIECE_LEN`] bytes, with pauses in between.
    pub fn write_line_in_pieces(&mut self, line: &str, summary: UpdateSummary, io: &mut Io<DiscoveryReport>) {
        let bytes = encode_chunk(line);
        let last = bytes.len().div_ceil(PIECE_LEN) - 1;
        for (i, piece) in bytes.chunks(PIECE_LEN).enumerate() {
            self.pieces.push_back((piece.to_vec(), (i == last).then(|| summary.clone())));
        }
        self.write_next_piece(io);
    }

    /// Closes the connection without a reset once everything is written.
    pub fn close(&mut self, io: &mut Io<DiscoveryReport>) {
        self.closing = true;
        self.flush(io);
    }

    /// Ends the connection with a reset.
    pub fn reset(&mut self) {
        self.stream.reset();
        self.done = true;
    }

    fn write(&mut self, bytes: Vec<u8>, summary: UpdateSummary, io: &mut Io<DiscoveryReport>) {
        self.pieces.push_back((bytes, Some(summary)));
        self.write_next_piece(io);
    }

    fn write_next_piece(&mut self, io: &mut Io<DiscoveryReport>) {
        if self.paused {
            return;
        }
        if let Some((bytes, summary)) = self.pieces.pop_front() {
            self.stream.push(&bytes);
            self.unreported.extend(summary);
            self.paused = !self.pieces.is_empty();
            if self.paused {
                io.timer(io.now() + PIECE_INTERVAL, self.key, 0);
            }
        }
        self.flush(io);
    }

    fn flush(&mut self, io: &mut Io<DiscoveryReport>) {
        match self.stream.flush() {
            Ok(true) => {
                let (key, at) = (self.key, io.now());
                for summary in self.unreported.drain(..) {
                    io.report(DiscoveryReport::Written { key, summary, at });
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
    fn take_call(&mut self, io: &mut Io<DiscoveryReport>) {
        if self.is_serving || self.closing {
            return;
        }
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let request_len = match request.parse(&self.input) {
            Ok(httparse::Status::Complete(request_len)) => request_len,
            Ok(httparse::Status::Partial) if self.input.len() <= MAX_HEAD_LEN => return,
            _ => return self.respond_error("400 Bad Request", io),
        };
        let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path != LIST_PATH {
            return self.respond_error("404 Not Found", io);
        }
        if method != "GET" {
            return self.respond_error("405 Method Not Allowed", io);
        }
        let Some(call) = parse_query(query) else { return self.respond_error("400 Bad Request", io) };
        self.input.drain(..request_len);
        self.is_serving = true;
        io.report(DiscoveryReport::Call(self.key, call));
    }
}

impl Connection for DiscoveryConnection {
    type Report = DiscoveryReport;

    fn readable(&mut self, io: &mut Io<DiscoveryReport>, _: Half) {
        let fill = self.stream.fill();
        let bytes = self.stream.take_rest();
        // Input beyond the bound, and input after the connection began to close, is discarded. Input that
        // arrives during a watch is never parsed.
        if !self.closing && self.input.len() <= MAX_HEAD_LEN {
            self.input.extend(bytes);
        }
        self.take_call(io);
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.done = true,
        }
    }

    fn writable(&mut self, io: &mut Io<DiscoveryReport>, _: Half) {
        self.flush(io);
    }

    fn timer(&mut self, io: &mut Io<DiscoveryReport>, _: u32) {
        self.paused = false;
        self.write_next_piece(io);
    }

    fn done(&self) -> bool {
        self.done
    }

    fn closed(&mut self, io: &mut Io<DiscoveryReport>) {
        io.report(DiscoveryReport::Closed(self.key, io.now()));
    }
}

/// Parses the query part of a request's target.
fn parse_query(query: &str) -> Option<Call> {
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
fn encode_chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// An object on discovery's loop.
#[derive(Debug)]
pub(super) enum DiscoverySocket {
    Listener(Listener<DiscoveryReport>),
    Connection(DiscoveryConnection),
}

impl Connection for DiscoverySocket {
    type Report = DiscoveryReport;

    fn readable(&mut self, io: &mut Io<DiscoveryReport>, half: Half) {
        match self {
            DiscoverySocket::Listener(listener) => listener.readable(io, half),
            DiscoverySocket::Connection(connection) => connection.readable(io, half),
        }
    }

    fn writable(&mut self, io: &mut Io<DiscoveryReport>, half: Half) {
        match self {
            DiscoverySocket::Listener(listener) => listener.writable(io, half),
            DiscoverySocket::Connection(connection) => connection.writable(io, half),
        }
    }

    fn timer(&mut self, io: &mut Io<DiscoveryReport>, timer: u32) {
        match self {
            DiscoverySocket::Listener(listener) => listener.timer(io, timer),
            DiscoverySocket::Connection(connection) => connection.timer(io, timer),
        }
    }

    fn done(&self) -> bool {
        match self {
            DiscoverySocket::Listener(listener) => listener.done(),
            DiscoverySocket::Connection(connection) => connection.done(),
        }
    }

    fn closed(&mut self, io: &mut Io<DiscoveryReport>) {
        match self {
            DiscoverySocket::Listener(listener) => listener.closed(io),
            DiscoverySocket::Connection(connection) => connection.closed(io),
        }
    }
}
