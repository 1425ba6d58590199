//! The protocol between proxies and emulated render nodes: handles the lines of the proxies and writes the outputs of
//! the node models.

use super::fault::Fault;
use super::nodes::{NodeEmulator, ProxyConnection};
use super::nodes_connection::{NodeConnection, NodeReport, NodeSocket};
use crate::model::first_line::LineKind;
use crate::model::node::{Input, NewAttempt, Output};
use crate::observation::{Attempt, AttemptEnd, NodeAnswer, Seen};
use crate::plan::ProxyId;
use crate::time::Micros;
use cottonnotch_reactor::{Io, Key};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

impl NodeEmulator<'_> {
    /// Passes an input to a member's model and carries outputs the model's outputs.
    pub(super) fn handle_input(&mut self, index: usize, input: Input) {
        let mut outputs = std::mem::take(&mut self.output_buffer);
        let now = self.now();
        self.nodes[index].model.handle(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.perform(index, output);
        }
        self.output_buffer = outputs;
        let node = &mut self.nodes[index];
        if let Some(at) = node.model.next_timeout()
            && node.timer_due.is_none_or(|due| at < due)
        {
            node.timer_due = Some(at);
            self.reactor.io.owner_timer(at, index as u32);
        }
    }

    /// Carries out an output of a node's model, or defers the output while the connection is silent.
    pub(super) fn perform(&mut self, index: usize, output: Output) {
        let serial = match output {
            Output::Answer(serial, _)
            | Output::Rubbish(serial, _)
            | Output::Load(serial, _)
            | Output::Return(serial)
            | Output::Bye(serial)
            | Output::Move(serial)
            | Output::Close(serial)
            | Output::Reset(serial) => serial,
            Output::Failed => {
                self.record(Seen::Fell { node: self.nodes[index].id });
                return self.failed_nodes.push(index);
            }
        };
        let Some(key) = self.nodes[index].attempts.get(&serial).copied() else { return };
        let Some(connection) = self.proxy_connections.get_mut(&key) else { return };
        if connection.silent {
            return connection.deferred_outputs.push_back(output);
        }
        connection.last_write = self.reactor.io.now();
        let attempt = Attempt { node: self.nodes[index].id, serial };
        match output {
            Output::Answer(_, answer @ NodeAnswer::Up(receipt)) => {
                self.with_connection(key, |c, _| c.write(format!("UP {receipt:016x}\r\n").as_bytes()));
                self.record(Seen::AttemptAnswered { attempt, answer });
            }
            Output::Answer(_, answer) => {
                let line: &[u8] = if answer == NodeAnswer::Busy { b"BUSY\r\n" } else { b"ERR\r\n" };
                self.write_last_answer(key, attempt, answer, line);
            }
            Output::Rubbish(_, noise) => {
                self.write_last_answer(key, attempt, NodeAnswer::Error, &invalid_answer(noise))
            }
            Output::Load(_, us) => {
                self.with_connection(key, |c, _| c.write(format!("LOAD {us}\r\n").as_bytes()));
            }
            Output::Return(_) => {
                let Some((line, number)) = connection.pending_lines.pop_front() else { return };
                self.with_connection(key, |c, _| c.write(&line));
                number.into_iter().for_each(|line| self.record(Seen::LineReturned { attempt, line }));
            }
            Output::Bye(_) => self.write_last_line(key, b"BYE\r\n", AttemptEnd::Bye),
            Output::Move(_) => self.write_last_line(key, b"MOVE\r\n", AttemptEnd::Move),
            Output::Close(_) => self.write_last_line(key, b"", AttemptEnd::ByProxy),
            Output::Reset(_) | Output::Failed => self.reset_connection(key),
        }
    }

    /// Writes an answer that ends the attempt, and records the answer and the end.
    pub(super) fn write_last_answer(&mut self, key: Key, attempt: Attempt, answer: NodeAnswer, line: &[u8]) {
        self.with_connection(key, |c, io| c.write_last(line, io));
        self.record(Seen::AttemptAnswered { attempt, answer });
        self.record_end(key, self.now(), AttemptEnd::Cut);
    }

    /// Writes the last line of an attempt, which may be empty, and records the attempt's end.
    pub(super) fn write_last_line(&mut self, key: Key, line: &[u8], over: AttemptEnd) {
        self.with_connection(key, |c, io| c.write_last(line, io));
        self.record_end(key, self.now(), over);
    }

    /// Resets a connection and records the end of its attempt.
    pub(super) fn reset_connection(&mut self, key: Key) {
        self.record_end(key, self.now(), AttemptEnd::Cut);
        self.with_connection(key, |c, _| c.reset());
    }

    /// Records an attempt's end, but only once: a proxy that has ended its sending still gets `BYE`, which does not
    /// count as a second end.
    pub(super) fn record_end(&mut self, key: Key, at: Micros, over: AttemptEnd) {
        let Some(connection) = self.proxy_connections.get_mut(&key) else { return };
        let Some(serial) = connection.serial.filter(|_| !connection.end_recorded) else { return };
        connection.end_recorded = true;
        let at = at.max(connection.last_write);
        let attempt = Attempt { node: self.nodes[connection.node_index].id, serial };
        self.notes.note(at, Seen::AttemptOver { attempt, over });
    }

    pub(super) fn with_connection(
        &mut self,
        key: Key,
        action: impl FnOnce(&mut NodeConnection, &mut Io<NodeReport>),
    ) {
        self.reactor.with(key, |socket, io| {
            if let Some(connection) = socket.connection() {
                action(connection, io);
            }
        });
    }

    /// Accepts all connections that wait at a node's listener for a proxy, unless the listener is silent. A connection
    /// from the address `filler` is closed at once.
    pub(super) fn accept_connections(
        &mut self,
        index: usize,
        proxy: ProxyId,
        filler: Option<SocketAddr>,
    ) -> io::Result<()> {
        loop {
            let Some(listener) = self.nodes[index].listeners[usize::from(proxy.0)].as_ref() else {
                return Ok(());
            };
            if listener.is_silent() {
                return Ok(());
            }
            let Some((stream, from)) =
                listener.accept().map_err(|e| Fault::of("the render nodes' connections", None, e))?
            else {
                return Ok(());
            };
            if filler == Some(from) {
                continue;
            }
            let inserted = self.reactor.insert(|key, io| {
                Ok(Box::new(NodeSocket::Connection(NodeConnection::accepted(stream, key, io)?)))
            });
            // The connection is already closed, and nothing was read from it.
            let Ok(key) = inserted else { continue };
            self.nodes[index].connections.insert(key);
            let (pending_lines, deferred_outputs) = (VecDeque::new(), VecDeque::new());
            let connection = ProxyConnection {
                node_index: index,
                proxy,
                serial: None,
                last_write: 0,
                end_recorded: false,
                pending_lines,
                silent: false,
                deferred_outputs,
            };
            self.proxy_connections.insert(key, connection);
        }
    }

    pub(super) fn handle_first_line(&mut self, key: Key, line: &[u8], first_byte: Micros, at: Micros) {
        let open = match self.session_index.classify(line) {
            LineKind::Request(open) => open,
            _ => return self.reject_first_line(key, line),
        };
        let Some(connection) = self.proxy_connections.get_mut(&key) else { return };
        let (index, proxy) = (connection.node_index, connection.proxy);
        let node = &mut self.nodes[index];
        let serial = node.next_serial;
        node.next_serial += 1;
        connection.serial = Some(serial);
        node.attempts.insert(serial, key);
        let attempt = Attempt { node: node.id, serial };
        let open_before_run = open.at == Some(node.id);
        self.notes.note(
            at,
            Seen::Attempt { attempt, request: open.request, session: open.session, proxy, first_byte },
        );
        let network_delay = self.one_way_latency(index, proxy);
        let opened = NewAttempt {
            serial,
            request: open.request,
            session: open.session,
            wait: open.wait,
            open_before_run,
            network_delay,
        };
        self.handle_input(index, Input::Open(opened));
    }

    /// One-way latency between a proxy and a node.
    pub(super) fn one_way_latency(&self, index: usize, proxy: ProxyId) -> Micros {
        let node = &self.plan.nodes[usize::from(self.nodes[index].id.0)];
        let near = self.plan.proxies.get(usize::from(proxy.0)).is_some_and(|p| p.zone == node.zone);
        let (same, cross) = self.plan.network.node_ms;
        (if near { same } else { cross } * 1e3) as Micros
    }

    /// Records a first line that no client sends. Answers `SYNTAX` unless the node is hung.
    pub(super) fn reject_first_line(&mut self, key: Key, line: &[u8]) {
        let Some(connection) = self.proxy_connections.get(&key) else { return };
        let (node, proxy) = (self.nodes[connection.node_index].id, connection.proxy);
        let hung = self.nodes[connection.node_index].model.is_hung();
        let line = String::from_utf8_lossy(line).trim_end().to_owned();
        self.record(Seen::BadFirstLine { node, proxy, line });
        if !hung {
            self.with_connection(key, |c, io| c.write_last(b"SYNTAX\r\n", io));
        }
    }

    /// Queues a line of the client to be returned, unless the attempt is over or the model takes no lines of it.
    pub(super) fn handle_line(&mut self, key: Key, line: Vec<u8>, at: Micros) {
        let Some(connection) =
            self.proxy_connections.get_mut(&key).filter(|connection| !connection.end_recorded)
        else {
            return;
        };
        let (index, Some(serial)) = (connection.node_index, connection.serial) else { return };
        if !self.nodes[index].model.takes_lines(serial) {
            return;
        }
        let number = line_number(&line);
        connection.pending_lines.push_back((line, number));
        let attempt = Attempt { node: self.nodes[index].id, serial };
        number.into_iter().for_each(|line| self.notes.note(at, Seen::LineAtNode { attempt, line }));
        self.handle_input(index, Input::Line(serial));
    }

    /// The proxy has ended its sending.
    pub(super) fn handle_peer_end(&mut self, key: Key, at: Micros) {
        let Some(connection) = self.proxy_connections.get(&key) else { return };
        match (connection.node_index, connection.serial) {
            (index, Some(serial)) => {
                self.record_end(key, at, AttemptEnd::ByProxy);
                self.handle_input(index, Input::Ended(serial));
            }
            (_, None) => self.with_connection(key, |c, io| c.write_last(b"", io)),
        }
    }

    /// The connection is about to be removed from the loop.
    pub(super) fn handle_closed(&mut self, key: Key, at: Micros) {
        self.record_end(key, at, AttemptEnd::ByProxy);
        let Some(connection) = self.proxy_connections.remove(&key) else { return };
        let node = &mut self.nodes[connection.node_index];
        node.connections.remove(&key);
        if let Some(serial) = connection.serial {
            node.attempts.remove(&serial);
            self.handle_input(connection.node_index, Input::Closed(serial));
        }
    }
}

/// Parses the number of a client's line, `M NUMBER PADDING`. Returns `None` for any other line.
fn line_number(line: &[u8]) -> Option<u32> {
    let mut words = line.split(|b| matches!(b, b' ' | b'\r' | b'\n'));
    if words.next() != Some(b"M") {
        return None;
    }
    std::str::from_utf8(words.next()?).ok()?.parse().ok()
}

/// A line that is not a valid answer for any value of `noise`.
fn invalid_answer(noise: u64) -> Vec<u8> {
    let mut line = vec![0xff];
    line.extend(noise.to_le_bytes().iter().map(|b| b | 0x80));
    line.extend(b"\r\n");
    line
}
