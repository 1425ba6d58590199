//! The discovery client: a watch on discovery over HTTP/1.1. It reports endpoint updates; when to watch is the decision
//! module's choice. Another source of lists would be another connection object that reports the same network events.

use super::network_event::{Io, NetworkEvent, WatchLoss};
use super::object::Object;
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
/// A request waits for its turn at discovery, which answers one after another, and answers 503 itself when that takes
/// too long. One without an answer for this long counts as silent, like a watch. Chosen: over the 3 s that discovery was
/// seen to let a request wait.
const ANSWER_TIMEOUT: Micros = 3_500_000;
/// Single bytes are no progress: a complete head, text or heartbeat is, or this many bytes of a long text.
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
    /// When it last made progress; before that, when it was requested.
    last_progress: Micros,
    /// Bytes since then.
    bytes_since_progress: usize,
    /// The response's head is complete.
    has_head: bool,
    /// A text or a heartbeat was complete.
    has_data: bool,
    /// Its end was reported.
    lost: bool,
}

impl DiscoveryWatch {
    /// Requests the changes after a revision; 0: the complete list.
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

    /// How far the response is: its timers carry that number.
    fn progress_stage(&self) -> u32 {
        u32::from(self.has_head) + u32::from(self.has_data)
    }

    /// When it is to be given up if nothing more comes.
    fn due(&self) -> Micros {
        let silent = self.last_progress + if self.has_head { SILENCE_TIMEOUT } else { ANSWER_TIMEOUT };
        if self.has_data { silent } else { silent.min(self.requested_at + UNANSWERED_AFTER) }
    }

    fn fail(&mut self, io: &mut Io, reason: impl ToString) {
        self.report_lost(io, WatchLoss::Failed, reason);
    }

    fn report_lost(&mut self, io: &mut Io, loss: WatchLoss, reason: impl ToString) {
        if !self.lost {
            self.lost = true;
            io.report(NetworkEvent::WatchLost { watch: self.key, loss, reason: reason.to_string() });
        }
    }

    fn receive(&mut self, io: &mut Io, bytes: &[u8]) {
        let (mut body, mut texts) = (Vec::new(), Vec::new());
        let result = self.response.feed(bytes, &mut body);
        let parsed = self.texts.feed(&body, &mut texts);
        self.bytes_since_progress += bytes.len();
        let is_progress = !texts.is_empty()
            || !body.is_empty() && !self.texts.has_partial_text()
            || self.bytes_since_progress >= PROGRESS_BYTES;
        if is_progress || self.response.has_head() && !self.has_head {
            self.note_progress(io, is_progress);
        }
        for mut text in texts {
            match EndpointUpdate::parse(&mut text) {
                Ok(update) => io.report(NetworkEvent::EndpointUpdate { watch: self.key, update }),
                // A bad list is dropped whole and counts as a failed call: the next watch begins at the
                // last revision that was taken.
                Err(error) => return self.fail(io, format!("a bad list: {error}")),
            }
        }
        if let Err(error) = parsed {
            return self.fail(io, format!("a bad list: {error}"));
        }
        if let Err(error) = result {
            self.end(io, error);
        }
    }

    fn note_progress(&mut self, io: &mut Io, has_data: bool) {
        let stage_before = self.progress_stage();
        (self.last_progress, self.bytes_since_progress, self.has_head) = (io.now(), 0, true);
        self.has_data |= has_data;
        if self.progress_stage() != stage_before {
            io.timer(self.due(), self.key, self.progress_stage());
        }
    }

    /// The response has ended. A list that is half there is dropped, and asked for again.
    fn end(&mut self, io: &mut Io, why: impl std::fmt::Display) {
        if self.texts.has_partial_text() {
            self.fail(io, format!("{why} in the middle of a list"));
        } else {
            self.fail(io, why);
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
            Fill::Broken(error) if self.connected => self.fail(io, error),
            Fill::Broken(_) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, _: Half) {
        if !self.connected {
            match self.stream.connected() {
                Ok(connected) => self.connected = connected,
                Err(error) => return self.fail(io, error),
            }
        }
        if self.connected
            && let Err(error) = self.stream.flush()
        {
            self.fail(io, error);
        }
    }

    fn timer(&mut self, io: &mut Io, timer: u32) {
        let due = self.due();
        if timer != self.progress_stage() {
            // Another one runs since the response got further.
        } else if due > io.now() {
            io.timer(due, self.key, timer);
        } else if self.has_data {
            self.report_lost(io, WatchLoss::Silent, "a beat has not come, it is silent");
        } else {
            self.report_lost(
                io,
                WatchLoss::Silent,
                if self.has_head { "no list, it is silent" } else { "no answer" },
            );
        }
    }

    fn done(&self) -> bool {
        self.lost
    }
}
