//! The resolver: a watch on discovery over HTTP/1.1. It reports results; when to watch is the module's
//! decision. Another source of lists would be another connection object that reports the same happenings.

use super::happening::{Happening, Io, Object};
use super::resolver_result::ResolverResult;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::http::LineResponse;
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Connection, Key, Leg};
use std::io;
use std::net::SocketAddr;

/// A watch says something every 2 s; one that is silent for this long is lost. Guards against a discovery
/// that vanished: its connection stays open, and the list would quietly grow old.
const SILENT: Micros = 5_000_000;

/// One watch.
#[derive(Debug)]
pub struct Watch {
    key: Key,
    stream: LineStream,
    connected: bool,
    response: LineResponse,
    heard: Micros,
    lost: bool,
}

impl Watch {
    /// Asks for the changes after a revision.
    pub fn start(discovery: SocketAddr, from: u64, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(discovery, io, key, Leg::Near)?;
        let request = format!(
            "GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\
             Accept: application/json\r\n\r\n"
        );
        stream.push(request.as_bytes());
        let heard = io.now();
        io.timer(heard + SILENT, key, 0);
        Ok(Watch { key, stream, connected: false, response: LineResponse::new(), heard, lost: false })
    }

    fn lose(&mut self, io: &mut Io, why: impl ToString) {
        if !self.lost {
            self.lost = true;
            io.tell(Happening::ResolverLost { watch: self.key, why: why.to_string() });
        }
    }

    fn take(&mut self, io: &mut Io, bytes: &[u8]) {
        let mut lines = Vec::new();
        let result = self.response.feed(bytes, &mut lines);
        for mut line in lines.into_iter().filter(|line| !line.is_empty()) {
            match ResolverResult::parse(&mut line) {
                Ok(result) => io.tell(Happening::Resolved { watch: self.key, result }),
                // A bad list is dropped whole and counts as a failed call: the next watch begins at the
                // last revision that was taken.
                Err(error) => return self.lose(io, format!("a bad list: {error}")),
            }
        }
        if let Err(error) = result {
            self.lose(io, error);
        }
    }
}

impl Object for Watch {}

impl Connection for Watch {
    type Report = Happening;

    fn readable(&mut self, io: &mut Io, _: Leg) {
        let fill = self.stream.fill();
        let bytes = self.stream.take_rest();
        if !bytes.is_empty() {
            self.heard = io.now();
            self.take(io, &bytes);
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Leg::Near),
            Fill::Ended => self.lose(io, "the connection has ended"),
            Fill::Broken(error) if self.connected => self.lose(io, error),
            Fill::Broken(_) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, _: Leg) {
        if !self.connected {
            match self.stream.connected() {
                Ok(connected) => self.connected = connected,
                Err(error) => return self.lose(io, error),
            }
        }
        if self.connected
            && let Err(error) = self.stream.flush()
        {
            self.lose(io, error);
        }
    }

    fn timer(&mut self, io: &mut Io, _: u32) {
        let due = self.heard + SILENT;
        if due <= io.now() {
            self.lose(io, "silent for several beats");
        } else {
            io.timer(due, self.key, 0);
        }
    }

    fn done(&self) -> bool {
        self.lost
    }
}
