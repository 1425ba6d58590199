//! One operator's connection: reads a request, reports it, writes the response, and ends.

use super::admin_request::{AdminRequest, AdminResponse};
use crate::net::network_event::{Io, NetworkEvent};
use crate::net::object::{AdminResponder, Object};
use cottonnotch_decision::Micros;
use cottonnotch_reactor::http_server::{BadRequest, RequestReader};
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::TcpStream;
use std::io;

/// A request is complete after this, or the response says that it is late. Guards against connections that send nothing,
/// half a request, or a byte at a time.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// An operator that was answered is given this long to read and to close: one that never reads holds a connection no longer.
const LINGER: Micros = 1_000_000;

#[derive(Debug)]
enum State {
    Reading(RequestReader),
    /// The request was reported to the driver, which responds in the same turn of the loop.
    Reported,
    Answered,
    Closed,
}

/// An operator's connection, from its beginning to its end.
#[derive(Debug)]
pub struct AdminConnection {
    key: Key,
    stream: LineStream,
    state: State,
    until: Micros,
}

impl AdminConnection {
    /// Takes over an accepted connection.
    pub fn accepted(stream: TcpStream, key: Key, io: &mut Io) -> io::Result<Self> {
        let stream = LineStream::accepted(stream, io, key)?;
        let until = io.now() + REQUEST_TIMEOUT;
        io.timer(until, key, 0);
        Ok(AdminConnection { key, stream, state: State::Reading(RequestReader::default()), until })
    }

    fn send_response(&mut self, io: &mut Io, response: &AdminResponse) {
        if let State::Answered | State::Closed = self.state {
            return;
        }
        self.stream.push(&response.encode());
        self.stream.finish();
        self.state = match self.stream.flush() {
            Ok(_) => State::Answered,
            Err(_) => State::Closed,
        };
        self.until = io.now() + LINGER;
        io.timer(self.until, self.key, 0);
        // What came after the request is read away: a close with bytes unread would reset the connection, and could take
        // the response with it.
        io.call_again(self.key, Half::Near);
    }

    fn read(&mut self, io: &mut Io) {
        let State::Reading(reader) = &mut self.state else { return };
        let fill = self.stream.fill();
        let read = reader.feed(&self.stream.take_rest());
        match (read, fill) {
            (Ok(Some(request)), _) => match AdminRequest::parse(&request) {
                Ok(request) => {
                    self.state = State::Reported;
                    io.report(NetworkEvent::AdminRequested(self.key, request));
                }
                Err(answer) => self.send_response(io, &answer),
            },
            (Err(bad), _) => self.send_response(io, &bad.into()),
            (Ok(None), Fill::Blocked) => {}
            (Ok(None), Fill::More) => io.call_again(self.key, Half::Near),
            // Half a request, and no more to come: it may still read why.
            (Ok(None), Fill::Ended) => self.send_response(io, &BadRequest::Malformed.into()),
            (Ok(None), Fill::Broken(_)) => self.state = State::Closed,
        }
    }
}

impl AdminResponder for AdminConnection {
    fn respond(&mut self, io: &mut Io, response: &AdminResponse) {
        self.send_response(io, response);
    }
}

impl Connection for AdminConnection {
    type Report = NetworkEvent;

    fn readable(&mut self, io: &mut Io, _: Half) {
        match self.state {
            State::Reading(_) => self.read(io),
            State::Answered => match self.stream.discard() {
                Fill::Ended | Fill::Broken(_) => self.state = State::Closed,
                Fill::More => io.call_again(self.key, Half::Near),
                Fill::Blocked => {}
            },
            State::Reported | State::Closed => {}
        }
    }

    fn writable(&mut self, _: &mut Io, _: Half) {
        if self.stream.flush().is_err() {
            self.state = State::Closed;
        }
    }

    fn timer(&mut self, io: &mut Io, _: u32) {
        if io.now() < self.until {
            return;
        }
        match self.state {
            State::Reading(_) => self.send_response(io, &BadRequest::Late.into()),
            // Its last byte came in the turn in which its time is up: it is carried out, and answered in this turn.
            State::Reported => {}
            _ => self.state = State::Closed,
        }
    }

    fn done(&self) -> bool {
        matches!(self.state, State::Closed)
    }
}

impl Object for AdminConnection {
    fn admin(&mut self) -> Option<&mut dyn AdminResponder> {
        Some(self)
    }
}
