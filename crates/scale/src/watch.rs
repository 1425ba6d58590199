//! A watch on discovery, as the daemon's: one endless HTTP response with JSON texts, lost when a heartbeat is overdue.

use crate::sockets::{Io, Object, Report};
use cottonnotch_decision::Micros;
use cottonnotch_decision::list_polling::WATCH_SILENT_AFTER;
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::http::StreamedResponse;
use cottonnotch_reactor::json_stream::JsonStream;
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Connection, Half, Key};
use std::io;
use std::net::SocketAddr;

/// Time to the first byte of the response, as in the daemon.
const RESPONSE_TIMEOUT: Micros = 4_000_000;

/// A watch of a member.
pub struct Watch {
    member: usize,
    key: Key,
    stream: LineStream,
    connected: bool,
    response: StreamedResponse,
    json_stream: JsonStream,
    last_received: Micros,
    answered: bool,
    lost: bool,
}

impl Watch {
    /// Requests the changes after a revision. Fails if no socket can be opened.
    pub fn start(member: usize, discovery: SocketAddr, from: u64, key: Key, io: &mut Io) -> io::Result<Self> {
        let mut stream = LineStream::connect(discovery, io, key, Half::Near)?;
        let request = format!(
            "GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\
             Accept: application/json\r\n\r\n"
        );
        stream.push(request.as_bytes());
        let last_received = io.now();
        io.timer(last_received + RESPONSE_TIMEOUT, key, 0);
        let (response, json_stream) = (StreamedResponse::new(), JsonStream::new());
        Ok(Watch {
            member,
            key,
            stream,
            connected: false,
            response,
            json_stream,
            last_received,
            answered: false,
            lost: false,
        })
    }

    fn report_lost(&mut self, io: &mut Io, silent: bool) {
        if !std::mem::replace(&mut self.lost, true) {
            io.report(Report::WatchLost { member: self.member, watch: self.key, silent });
        }
    }

    fn parse_response(&mut self, io: &mut Io, bytes: &[u8]) {
        let (mut body, mut json_stream) = (Vec::new(), Vec::new());
        let response_is_valid = self.response.feed(bytes, &mut body).is_ok();
        let json_is_valid = self.json_stream.feed(&body, &mut json_stream).is_ok();
        for text in json_stream {
            io.report(Report::EndpointUpdate { member: self.member, watch: self.key, text });
        }
        if !response_is_valid || !json_is_valid {
            self.report_lost(io, false);
        }
    }
}

/// Parses a list as the daemon does; `None`: it is malformed, and counts as a failed request.
pub fn parse_endpoints(mut text: Vec<u8>) -> Option<EndpointUpdate> {
    EndpointUpdate::parse(&mut text).ok()
}

impl Connection for Watch {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, _: Half) {
        let fill = self.stream.fill();
        let bytes = self.stream.take_rest();
        if !bytes.is_empty() {
            self.last_received = io.now();
            if !std::mem::replace(&mut self.answered, true) {
                io.timer(self.last_received + WATCH_SILENT_AFTER, self.key, 0);
            }
            self.parse_response(io, &bytes);
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended => self.report_lost(io, false),
            Fill::Broken(_) if self.connected => self.report_lost(io, false),
            Fill::Broken(_) => {}
        }
    }

    fn writable(&mut self, io: &mut Io, _: Half) {
        if !self.connected {
            match self.stream.connected() {
                Ok(connected) => self.connected = connected,
                Err(_) => return self.report_lost(io, false),
            }
        }
        if self.connected && self.stream.flush().is_err() {
            self.report_lost(io, false);
        }
    }

    fn timer(&mut self, io: &mut Io, _: u32) {
        let due = self.last_received + if self.answered { WATCH_SILENT_AFTER } else { RESPONSE_TIMEOUT };
        if due > io.now() {
            io.timer(due, self.key, 0);
        } else {
            self.report_lost(io, true);
        }
    }

    fn done(&self) -> bool {
        self.lost
    }
}

impl Object for Watch {}
