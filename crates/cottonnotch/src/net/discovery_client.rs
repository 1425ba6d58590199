//! The discovery client: watches discovery over HTTP/1.1 and reports endpoint updates. The decision module chooses
//! when to start a watch. Another source of endpoint lists could be added as a connection that reports the same
//! network events.

use super::network_event::{Io, NetworkEvent, WatchLoss};
use super::object::Object;
use cottonnotch_decision::Micros;
use cottonnotch_decision::list_polling::{UNANSWERED_AFTER, silent_after};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::http::StreamedResponse;
use cottonnotch_reactor::json_stream::JsonStream;
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Connection, Half, Key};
use std::io;
use std::net::SocketAddr;

/// The time without a response after which a request is reported as silent, so that the next one goes out beside it.
const ANSWER_TIMEOUT: Micros = 3_500_000;
/// The time without progress after which a request or a watch that was reported as silent is given up.
const GIVE_UP_TIMEOUT: Micros = 15_000_000;
/// The number of bytes of an incomplete JSON text that counts as progress. Otherwise only a complete response head,
/// JSON text or heartbeat counts, so that single bytes do not keep a watch alive.
const PROGRESS_BYTES: usize = 4_096;

/// One watch on discovery.
#[derive(Debug)]
pub struct DiscoveryWatch {
    key: Key,
    stream: LineStream,
    connected: bool,
    response: StreamedResponse,
    json_texts: JsonStream,
    requested_at: Micros,
    /// When the watch last made progress; initially, when it was requested.
    last_progress: Micros,
    /// The number of bytes received since the last progress.
    bytes_since_progress: usize,
    /// Whether the head of the response is complete.
    head_complete: bool,
    /// Whether a JSON text or a heartbeat has been received completely.
    has_data: bool,
    /// How long an answered watch may be silent.
    silence_timeout: Micros,
    /// Whether the watch was reported as silent since it last made progress.
    silence_reported: bool,
    /// The id of the timer that was set last; earlier ones are outdated.
    timer: u32,
    /// Whether the watch has ended.
    has_ended: bool,
}

impl DiscoveryWatch {
    /// Requests the changes after revision `from`; 0 requests the complete list.
    pub fn start(discovery: SocketAddr, from: u64, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(discovery, io, key, Half::Near)?;
        let request = format!(
            "GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\
             Accept: application/json\r\n\r\n"
        );
        stream.push(request.as_bytes());
        let last_progress = io.now();
        let (response, json_texts) = (StreamedResponse::new(), JsonStream::new());
        let (connected, head_complete, has_data) = (false, false, false);
        let mut watch = DiscoveryWatch {
            key,
            stream,
            connected,
            response,
            json_texts,
            requested_at: last_progress,
            last_progress,
            bytes_since_progress: 0,
            head_complete,
            has_data,
            silence_timeout: silent_after(0),
            silence_reported: false,
            timer: 0,
            has_ended: false,
        };
        watch.set_timer(io);
        Ok(watch)
    }

    fn set_timer(&mut self, io: &mut Io) {
        self.timer += 1;
        io.timer(self.deadline(), self.key, self.timer);
    }

    /// Returns when the watch is reported as silent if it makes no further progress, or given up if that was reported.
    fn deadline(&self) -> Micros {
        if self.silence_reported {
            return self.last_progress + GIVE_UP_TIMEOUT;
        }
        let silence_deadline =
            self.last_progress + if self.head_complete { self.silence_timeout } else { ANSWER_TIMEOUT };
        if self.has_data {
            silence_deadline
        } else {
            silence_deadline.min(self.requested_at + UNANSWERED_AFTER)
        }
    }

    /// Ends the watch. If it was reported as silent, the next request is under way and nothing is reported.
    fn fail(&mut self, io: &mut Io, reason: impl ToString) {
        if !self.has_ended && !self.silence_reported {
            self.report_lost(io, WatchLoss::Failed, reason);
        }
        self.has_ended = true;
    }

    fn report_lost(&self, io: &mut Io, loss: WatchLoss, reason: impl ToString) {
        io.report(NetworkEvent::WatchLost { watch: self.key, loss, reason: reason.to_string() });
    }

    fn report_silent(&mut self, io: &mut Io) {
        let reason = match (self.head_complete, self.has_data) {
            (_, true) => "discovery sent no heartbeat, it is silent",
            (true, false) => "discovery sent no list, it is silent",
            (false, false) => "discovery sent no response",
        };
        self.report_lost(io, WatchLoss::Silent, reason);
        self.silence_reported = true;
        self.set_timer(io);
    }

    fn receive(&mut self, io: &mut Io, bytes: &[u8]) {
        let (mut body, mut json_texts) = (Vec::new(), Vec::new());
        let result = self.response.feed(bytes, &mut body);
        let parsed = self.json_texts.feed(&body, &mut json_texts);
        self.bytes_since_progress += bytes.len();
        let is_heartbeat = json_texts.is_empty() && !body.is_empty() && !self.json_texts.has_partial_text();
        let is_progress =
            !json_texts.is_empty() || is_heartbeat || self.bytes_since_progress >= PROGRESS_BYTES;
        if is_heartbeat && !self.has_data {
            io.report(NetworkEvent::WatchUnchanged { watch: self.key });
        }
        if is_progress || self.response.has_head() && !self.head_complete {
            self.record_progress(io, is_progress);
        }
        for mut text in json_texts {
            match EndpointUpdate::parse(&mut text) {
                Ok(update) => io.report(NetworkEvent::EndpointUpdate { watch: self.key, update }),
                // An invalid list is dropped completely and counts as a failed request: the next watch starts at
                // the last revision that was accepted.
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

    fn record_progress(&mut self, io: &mut Io, has_data: bool) {
        let before = (self.head_complete, self.has_data, self.silence_reported);
        (self.last_progress, self.bytes_since_progress, self.head_complete) = (io.now(), 0, true);
        if has_data && !self.has_data {
            self.has_data = true;
            self.silence_timeout = silent_after(io.now() - self.requested_at);
        }
        self.silence_reported = false;
        if before != (self.head_complete, self.has_data, self.silence_reported) {
            self.set_timer(io);
        }
    }

    /// Handles the end of the response. An incomplete list is dropped and requested again.
    fn end(&mut self, io: &mut Io, reason: impl std::fmt::Display) {
        if self.json_texts.has_partial_text() {
            self.fail(io, format!("{reason} in the middle of a list"));
        } else {
            self.fail(io, reason);
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
        if timer != self.timer {
            // The timer is outdated, and a later one is set.
        } else if self.deadline() > io.now() {
            self.set_timer(io);
        } else if self.silence_reported {
            self.has_ended = true;
        } else {
            self.report_silent(io);
        }
    }

    fn done(&self) -> bool {
        self.has_ended
    }
}
