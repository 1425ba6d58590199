//! The watch on discovery's endpoint list.

use super::lists::List;
use super::report::{Io, Object, Report};
use crate::time::{Micros, S};
use cottonnotch_reactor::http::StreamedResponse;
use cottonnotch_reactor::json_stream::JsonStream;
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Connection, Half, Key};
use std::io;
use std::net::SocketAddr;

/// Discovery sends something every 2 s. A watch that is silent for longer than this is lost: the rules treat a
/// change as known to the proxy after 6 s, even if discovery could not deliver it.
const SILENCE_TIMEOUT: Micros = 4 * S;

/// A connection that watches discovery.
#[derive(Debug)]
pub(super) struct Watch {
    key: Key,
    stream: LineStream,
    response: StreamedResponse,
    json_stream: JsonStream,
    last_input: Micros,
    lost: bool,
}

impl Watch {
    /// Requests the changes after a revision.
    pub fn start(discovery: SocketAddr, from: u64, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(discovery, io, key, Half::Near)?;
        let request =
            format!("GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        stream.push(request.as_bytes());
        let last_input = io.now();
        io.timer(last_input + SILENCE_TIMEOUT, key, 0);
        Ok(Watch {
            key,
            stream,
            response: StreamedResponse::new(),
            json_stream: JsonStream::new(),
            last_input,
            lost: false,
        })
    }

    fn report_lost(&mut self, io: &mut Io) {
        if !self.lost {
            self.lost = true;
            io.report(Report::WatchLost(self.key));
        }
    }
}

impl Object for Watch {}

impl Connection for Watch {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, _: Half) {
        let fill = self.stream.fill();
        let bytes = self.stream.take_rest();
        if !bytes.is_empty() {
            self.last_input = io.now();
        }
        let (mut body, mut texts) = (Vec::new(), Vec::new());
        let is_valid = self.response.feed(&bytes, &mut body).is_ok();
        let is_valid = self.json_stream.feed(&body, &mut texts).is_ok() && is_valid;
        for mut text in texts {
            match List::parse(&mut text) {
                Ok(list) => io.report(Report::ListReceived(self.key, list)),
                // A list that cannot be parsed is not applied. The next watch starts from the last applied
                // revision.
                Err(_) => return self.report_lost(io),
            }
        }
        match (is_valid, fill) {
            (true, Fill::Blocked) => {}
            (true, Fill::More) => io.call_again(self.key, Half::Near),
            // While the connection is being established, `writable` reports failures.
            (true, Fill::Broken(error)) if error.kind() == io::ErrorKind::NotConnected => {}
            _ => self.report_lost(io),
        }
    }

    fn writable(&mut self, io: &mut Io, _: Half) {
        let written = self.stream.connected().and_then(|up| if up { self.stream.flush() } else { Ok(true) });
        if written.is_err() {
            self.report_lost(io);
        }
    }

    fn timer(&mut self, io: &mut Io, _: u32) {
        let timeout_at = self.last_input + SILENCE_TIMEOUT;
        if timeout_at <= io.now() {
            self.report_lost(io);
        } else {
            io.timer(timeout_at, self.key, 0);
        }
    }

    fn done(&self) -> bool {
        self.lost
    }
}
