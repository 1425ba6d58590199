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
const SILENT: Micros = 4 * S;

/// A connection that watches discovery.
#[derive(Debug)]
pub(super) struct Watch {
    key: Key,
    stream: LineStream,
    response: StreamedResponse,
    texts: JsonStream,
    heard: Micros,
    lost: bool,
}

impl Watch {
    /// Requests the changes after a revision.
    pub fn start(discovery: SocketAddr, from: u64, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(discovery, io, key, Half::Near)?;
        let request =
            format!("GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        stream.push(request.as_bytes());
        let heard = io.now();
        io.timer(heard + SILENT, key, 0);
        Ok(Watch {
            key,
            stream,
            response: StreamedResponse::new(),
            texts: JsonStream::new(),
            heard,
            lost: false,
        })
    }

    fn lose(&mut self, io: &mut Io) {
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
            self.heard = io.now();
        }
        let (mut body, mut texts) = (Vec::new(), Vec::new());
        let sound = self.response.feed(&bytes, &mut body).is_ok();
        let sound = self.texts.feed(&body, &mut texts).is_ok() && sound;
        for mut text in texts {
            match List::parse(&mut text) {
                Ok(list) => io.report(Report::Listed(self.key, list)),
                // A list that cannot be parsed is not applied. The next watch starts from the last applied
                // revision.
                Err(_) => return self.lose(io),
            }
        }
        match (sound, fill) {
            (true, Fill::Blocked) => {}
            (true, Fill::More) => io.call_again(self.key, Half::Near),
            // While the connection is being established, `writable` reports failures.
            (true, Fill::Broken(error)) if error.kind() == io::ErrorKind::NotConnected => {}
            _ => self.lose(io),
        }
    }

    fn writable(&mut self, io: &mut Io, _: Half) {
        let written = self.stream.connected().and_then(|up| if up { self.stream.flush() } else { Ok(true) });
        if written.is_err() {
            self.lose(io);
        }
    }

    fn timer(&mut self, io: &mut Io, _: u32) {
        let due = self.heard + SILENT;
        if due <= io.now() {
            self.lose(io);
        } else {
            io.timer(due, self.key, 0);
        }
    }

    fn done(&self) -> bool {
        self.lost
    }
}
