//! The resolver: a watch on discovery over HTTP/1.1. It reports results; when to watch is the module's
//! decision. Another source of lists would be another connection object that reports the same happenings.

use super::network_event::{Happening, Io, Object};
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
const SILENT: Micros = WATCH_SILENT_AFTER;
/// A call waits for its turn at discovery, which answers one after another, and says 503 itself when that takes too long. One
/// without a word for so long has fallen silent like a watch. Chosen: over the 3 s that discovery was seen to let a call wait.
const UNANSWERED: Micros = 3_500_000;
/// Bytes that drip are no word: a head, a text or a beat that is whole is one, or so many bytes of a long text.
const PROGRESS: usize = 4_096;

/// One watch.
#[derive(Debug)]
pub struct Watch {
    key: Key,
    stream: LineStream,
    connected: bool,
    response: StreamedResponse,
    texts: JsonStream,
    asked: Micros,
    /// When its last whole word came, if any did; else when it was asked.
    heard: Micros,
    /// Bytes since then.
    fresh: usize,
    /// Its head is whole; so was a text or a beat.
    answered: bool,
    told: bool,
    lost: bool,
}

impl Watch {
    /// Asks for the changes after a revision.
    pub fn start(discovery: SocketAddr, from: u64, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(discovery, io, key, Half::Near)?;
        let request = format!(
            "GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\
             Accept: application/json\r\n\r\n"
        );
        stream.push(request.as_bytes());
        let heard = io.now();
        io.timer(heard + UNANSWERED, key, 0);
        let (response, texts) = (StreamedResponse::new(), JsonStream::new());
        let (connected, answered, told, lost) = (false, false, false, false);
        Ok(Watch {
            key,
            stream,
            connected,
            response,
            texts,
            asked: heard,
            heard,
            fresh: 0,
            answered,
            told,
            lost,
        })
    }

    /// How far the call is: its timers carry that number.
    fn stage(&self) -> u32 {
        u32::from(self.answered) + u32::from(self.told)
    }

    /// When it is to be given up if nothing more comes.
    fn due(&self) -> Micros {
        let silent = self.heard + if self.answered { SILENT } else { UNANSWERED };
        if self.told { silent } else { silent.min(self.asked + UNANSWERED_AFTER) }
    }

    fn lose(&mut self, io: &mut Io, why: impl ToString) {
        self.lose_as(io, false, why);
    }

    fn lose_as(&mut self, io: &mut Io, silent: bool, why: impl ToString) {
        if !self.lost {
            self.lost = true;
            io.report(Happening::ResolverLost { watch: self.key, silent, why: why.to_string() });
        }
    }

    fn take(&mut self, io: &mut Io, bytes: &[u8]) {
        let (mut body, mut texts) = (Vec::new(), Vec::new());
        let result = self.response.feed(bytes, &mut body);
        let whole = self.texts.feed(&body, &mut texts);
        self.fresh += bytes.len();
        let is_told =
            !texts.is_empty() || !body.is_empty() && !self.texts.is_within() || self.fresh >= PROGRESS;
        if is_told || self.response.is_begun() && !self.answered {
            let before = self.stage();
            (self.heard, self.fresh, self.answered) = (io.now(), 0, true);
            self.told |= is_told;
            if self.stage() != before {
                io.timer(self.due(), self.key, self.stage());
            }
        }
        for mut text in texts {
            match EndpointUpdate::parse(&mut text) {
                Ok(result) => io.report(Happening::Resolved { watch: self.key, result }),
                // A bad list is dropped whole and counts as a failed call: the next watch begins at the
                // last revision that was taken.
                Err(error) => return self.lose(io, format!("a bad list: {error}")),
            }
        }
        if let Err(error) = whole {
            return self.lose(io, format!("a bad list: {error}"));
        }
        if let Err(error) = result {
            self.end(io, error);
        }
    }

    /// It says no more. What is half there is dropped, and asked for again.
    fn end(&mut self, io: &mut Io, why: impl std::fmt::Display) {
        if self.texts.is_within() {
            self.lose(io, format!("{why} in the middle of a list"));
        } else {
            self.lose(io, why);
        }
    }
}

impl Object for Watch {}

impl Connection for Watch {
    type Report = Happening;

    fn readable(&mut self, io: &mut Io, _: Half) {
        let fill = self.stream.fill();
        let bytes = self.stream.take_rest();
        if !bytes.is_empty() {
            self.take(io, &bytes);
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended => self.end(io, "the connection has ended"),
            Fill::Broken(error) if self.connected => self.lose(io, error),
            Fill::Broken(_) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, _: Half) {
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

    fn timer(&mut self, io: &mut Io, timer: u32) {
        let due = self.due();
        if timer != self.stage() {
            // Another one runs since the call got further.
        } else if due > io.now() {
            io.timer(due, self.key, timer);
        } else if self.told {
            self.lose_as(io, true, "a beat has not come, it is silent");
        } else {
            self.lose_as(io, true, if self.answered { "no list, it is silent" } else { "no answer" });
        }
    }

    fn done(&self) -> bool {
        self.lost
    }
}
