//! An operator's connection: reads one request, reports it to the driver, writes the response, and closes.

use super::admin_request::{AdminRequest, AdminResponse};
use crate::net::network_event::{Io, NetworkEvent};
use crate::net::object::{AdminResponder, Object};
use cottonnotch_decision::Micros;
use cottonnotch_reactor::http_server::{BadRequest, RequestReader};
use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Connection, Half, Key};
use mio::net::TcpStream;
use std::io;

/// The time limit for a complete request, after which the response is an error. This limits connections that send
/// nothing, an incomplete request, or one byte at a time.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// How long an operator may take to read the response and close the connection, so that a client that never reads
/// does not hold a connection.
const LINGER: Micros = 1_000_000;

#[derive(Debug)]
enum State {
    Reading(RequestReader),
    /// The request was reported to the driver, which responds in the same turn of the event loop.
    Reported,
    Answered,
    Closed,
}

/// An operator's connection.
#[derive(Debug)]
pub struct AdminConnection {
    key: Key,
    stream: LineStream,
    state: State,
    /// When reading the request, or waiting for the operator to close, times out.
    deadline: Micros,
}

impl AdminConnection {
    /// Creates the state for an accepted connection.
    pub fn accepted(stream: TcpStream, key: Key, io: &mut Io) -> io::Result<Self> {
        let stream = LineStream::accepted(stream, io, key)?;
        let deadline = io.now() + REQUEST_TIMEOUT;
        io.timer(deadline, key, 0);
        Ok(AdminConnection { key, stream, state: State::Reading(RequestReader::default()), deadline })
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
        self.deadline = io.now() + LINGER;
        io.timer(self.deadline, self.key, 0);
        // Input after the request is read and discarded: closing with unread bytes would reset the connection, and
        // the operator could lose the response.
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
                Err(response) => self.send_response(io, &response),
            },
            (Err(error), _) => self.send_response(io, &error.into()),
            (Ok(None), Fill::Blocked) => {}
            (Ok(None), Fill::More) => io.call_again(self.key, Half::Near),
            // The peer has ended its sending in the middle of a request, but may still read the error.
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
        if io.now() < self.deadline {
            return;
        }
        match self.state {
            State::Reading(_) => self.send_response(io, &BadRequest::Late.into()),
            // The request became complete in the turn in which its time limit expired. It is executed, and answered
            // in this turn.
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

#[cfg(test)]
#[path = "admin_connection_tests.rs"]
mod tests;
