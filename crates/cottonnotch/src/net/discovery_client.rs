//! The discovery client: a watch on discovery over HTTP/1.1. It reports results; when to watch is the module's
//! decision. Another source of lists would be another connection object that reports the same network events.

use super::network_event::{Io, NetworkEvent, Object};
use cottonnotch_decision::Micros;
use cottonnotch_decision::list_polling::{UNANSWERED_AFTER, WATCH_SILENT_AFTER};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::http::StreamedResponse;
use cottonnotch_reactor::json_stream::JsonStream;
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Connection, Half, Key};
use std::io;
use std::net::SocketAddr;

/// Guards against a discovery that vanished: its connection stays open, and the list would quietly grow old.
const SILENCE_TIMEOUT: Micros = WATCH_SILENT_AFTER;
/// A call waits for its turn at discovery, which answers one after another, and says 503 itself when that takes too long. One
/// without a word for so long has fallen silent like a watch. Chosen: over the 3 s that discovery was seen to let a call wait.
const ANSWER_TIMEOUT: Micros = 3_500_000;
/// Bytes that drip are no word: a head, a text or a beat that is whole is one, or so many bytes of a long text.
const PROGRESS_BYTES: usize = 4_096;

/// One watch.
#[derive(Debug)]
pub struct DiscoveryWatch {
    key: Key,
    stream: LineStream,
    connected: bool,
    response: StreamedResponse,
    texts: JsonStream,
    requested_at: Micros,
    /// When its last whole word came, if any did; else when it was asked.
    last_progress: Micros,
    /// Bytes since then.
    bytes_since_progress: usize,
    /// Its head is whole; so was a text or a beat.
    has_head: bool,
    has_data: bool,
    lost: bool,
}

impl DiscoveryWatch {
    /// Asks for the changes after a revision.
    pub fn start(discovery: SocketAddr, from: u64, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(discovery, io, key, Half::Near)?;
        let request = format!(
            "GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\
             Accept: application/json\r\n\r\n"
        );
        stream.push(request.as_bytes());
        let last_progress = io.now();
        io.timer(last_progress + ANSWER_TIMEOUT, key, 0);
        let (response, texts) = (StreamedResponse::new(), JsonStream::new());
        let (connected, has_head, has_data, lost) = (false, false, false, false);
        Ok(DiscoveryWatch {
            key,
            stream,
            connected,
            response,
            texts,
            requested_at: last_progress,
            last_progress,
            bytes_since_progress: 0,
            has_head,
            has_data,
            lost,
        })
    }

    /// How far the call is: its timers carry that number.
    fn progress_stage(&self) -> u32 {
        u32::from(self.has_head) + u32::from(self.has_data)
    }

    /// When it is to be given up if nothing more comes.
    fn due(&self) -> Micros {
        let silent = self.last_progress + if self.has_head { SILENCE_TIMEOUT } else { ANSWER_TIMEOUT };
        if self.has_data { silent } else { silent.min(self.requested_at + UNANSWERED_AFTER) }
    }

    fn report_lost(&mut self, io: &mut Io, why: impl ToString) {
        self.report_lost_as(io, false, why);
    }

    fn report_lost_as(&mut self, io: &mut Io, silent: bool, why: impl ToString) {
        if !self.lost {
            self.lost = true;
            io.report(NetworkEvent::WatchLost { watch: self.key, silent, why: why.to_string() });
        }
    }

    fn receive(&mut self, io: &mut Io, bytes: &[u8]) {
        let (mut body, mut texts) = (Vec::new(), Vec::new());
        let result = self.response.feed(bytes, &mut body);
        let parsed = self.texts.feed(&body, &mut texts);
        self.bytes_since_progress += bytes.len();
        let is_progress = !texts.is_empty()
            || !body.is_empty() && !self.texts.is_within()
            || self.bytes_since_progress >= PROGRESS_BYTES;
        if is_progress || self.response.is_begun() && !self.has_head {
            let before = self.progress_stage();
            (self.last_progress, self.bytes_since_progress, self.has_head) = (io.now(), 0, true);
            self.has_data |= is_progress;
            if self.progress_stage() != before {
                io.timer(self.due(), self.key, self.progress_stage());
            }
        }
        for mut text in texts {
            match EndpointUpdate::parse(&mut text) {
                Ok(result) => io.report(NetworkEvent::EndpointUpdate { watch: self.key, result }),
                // A bad list is dropped whole and counts as a failed call: the next watch begins at the
                // last revision that was taken.
                Err(error) => return self.report_lost(io, format!("a bad list: {error}")),
            }
        }
        if let Err(error) = parsed {
            return self.report_lost(io, format!("a bad list: {error}"));
        }
        if let Err(error) = result {
            self.end(io, error);
        }
    }

    /// It says no more. What is half there is dropped, and asked for again.
    fn end(&mut self, io: &mut Io, why: impl std::fmt::Display) {
        if self.texts.is_within() {
            self.report_lost(io, format!("{why} in the middle of a list"));
        } else {
            self.report_lost(io, why);
        }
    }
}

impl Object for DiscoveryWatch {}

impl Connection for DiscoveryWatch {
    type Report = NetworkEvent;

    fn readable(&mut self, io: &mut Io, _: Half) {
        let fill = self.stream.fill();
        let bytes = self.stream.take_rest();
        if !bytes.is_empty() {
            self.receive(io, &bytes);
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended => self.end(io, "the connection has ended"),
            Fill::Broken(error) if self.connected => self.report_lost(io, error),
            Fill::Broken(_) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, _: Half) {
        if !self.connected {
            match self.stream.connected() {
                Ok(connected) => self.connected = connected,
                Err(error) => return self.report_lost(io, error),
            }
        }
        if self.connected
            && let Err(error) = self.stream.flush()
        {
            self.report_lost(io, error);
        }
    }

    fn timer(&mut self, io: &mut Io, timer: u32) {
        let due = self.due();
        if timer != self.progress_stage() {
            // Another one runs since the call got further.
        } else if due > io.now() {
            io.timer(due, self.key, timer);
        } else if self.has_data {
            self.report_lost_as(io, true, "a beat has not come, it is silent");
        } else {
            self.report_lost_as(io, true, if self.has_head { "no list, it is silent" } else { "no answer" });
        }
    }

    fn done(&self) -> bool {
        self.lost
    }
}
