//! The protocol between proxies and emulated render nodes: handles the lines of the proxies and writes the outputs of
//! the node models.

use super::fault::Fault;
use super::nodes::{Nodes, Place};
use super::nodes_connection::{NodeConnection, Party, Report};
use crate::model::first_line::Said;
use crate::model::node::{Input, Opened, Output};
use crate::observation::{Attempt, AttemptEnd, NodeAnswer, Seen};
use crate::plan::ProxyId;
use crate::time::Micros;
use cottonnotch_reactor::{Io, Key};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

impl Nodes<'_> {
    /// Passes an input to a member's model and carries out the model's outputs.
    pub(super) fn model(&mut self, i: usize, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        let now = self.now();
        self.members[i].model.handle(now, input, &mut out);
        for output in out.drain(..) {
            self.perform(i, output);
        }
        self.out = out;
        let member = &mut self.members[i];
        if let Some(at) = member.model.next_timeout()
            && member.armed.is_none_or(|armed| at < armed)
        {
            member.armed = Some(at);
            self.reactor.io.owner_timer(at, i as u32);
        }
    }

    pub(super) fn perform(&mut self, i: usize, output: Output) {
        let serial = match output {
            Output::Answer(serial, _)
            | Output::Rubbish(serial, _)
            | Output::Load(serial, _)
            | Output::Return(serial)
            | Output::Bye(serial)
            | Output::Move(serial)
            | Output::Close(serial)
            | Output::Reset(serial) => serial,
            Output::Fell => {
                self.note(Seen::Fell { node: self.members[i].id });
                return self.fallen.push(i);
            }
        };
        let Some(key) = self.members[i].attempts.get(&serial).copied() else { return };
        let Some(place) = self.places.get_mut(&key) else { return };
        if place.silent {
            return place.held.push_back(output);
        }
        place.written = self.reactor.io.now();
        let attempt = Attempt { node: self.members[i].id, serial };
        match output {
            Output::Answer(_, answer @ NodeAnswer::Up(receipt)) => {
                self.connection(key, |c, _| c.say(format!("UP {receipt:016x}\r\n").as_bytes()));
                self.note(Seen::AttemptAnswered { attempt, answer });
            }
            Output::Answer(_, answer) => {
                let word: &[u8] = if answer == NodeAnswer::Busy { b"BUSY\r\n" } else { b"ERR\r\n" };
                self.last_answer(key, attempt, answer, word);
            }
            Output::Rubbish(_, noise) => self.last_answer(key, attempt, NodeAnswer::Error, &rubbish(noise)),
            Output::Load(_, us) => {
                self.connection(key, |c, _| c.say(format!("LOAD {us}\r\n").as_bytes()));
            }
            Output::Return(_) => {
                let Some((line, number)) = place.lines.pop_front() else { return };
                self.connection(key, |c, _| c.say(&line));
                number.into_iter().for_each(|line| self.note(Seen::LineReturned { attempt, line }));
            }
            Output::Bye(_) => self.last_word(key, b"BYE\r\n", AttemptEnd::Bye),
            Output::Move(_) => self.last_word(key, b"MOVE\r\n", AttemptEnd::Move),
            Output::Close(_) => self.last_word(key, b"", AttemptEnd::ByProxy),
            Output::Reset(_) | Output::Fell => self.cut(key),
        }
    }

    pub(super) fn last_answer(&mut self, key: Key, attempt: Attempt, answer: NodeAnswer, word: &[u8]) {
        self.connection(key, |c, io| c.say_last(word, io));
        self.note(Seen::AttemptAnswered { attempt, answer });
        self.over(key, self.now(), AttemptEnd::Cut);
    }

    pub(super) fn last_word(&mut self, key: Key, word: &[u8], over: AttemptEnd) {
        self.connection(key, |c, io| c.say_last(word, io));
        self.over(key, self.now(), over);
    }

    /// Resets a connection and records the end of its attempt.
    pub(super) fn cut(&mut self, key: Key) {
        self.over(key, self.now(), AttemptEnd::Cut);
        self.connection(key, |c, _| c.reset());
    }

    /// Records an attempt's end, but only once: a proxy that has ended its sending still gets `BYE`, which does not
    /// count as a second end.
    pub(super) fn over(&mut self, key: Key, at: Micros, over: AttemptEnd) {
        let Some(place) = self.places.get_mut(&key) else { return };
        let Some(serial) = place.serial.filter(|_| !place.over) else { return };
        place.over = true;
        let at = at.max(place.written);
        let attempt = Attempt { node: self.members[place.node].id, serial };
        self.notes.note(at, Seen::AttemptOver { attempt, over });
    }

    pub(super) fn connection(&mut self, key: Key, use_it: impl FnOnce(&mut NodeConnection, &mut Io<Report>)) {
        self.reactor.with(key, |party, io| {
            if let Some(connection) = party.connection() {
                use_it(connection, io);
            }
        });
    }

    pub(super) fn accept(&mut self, i: usize, proxy: ProxyId, own: Option<SocketAddr>) -> io::Result<()> {
        loop {
            let Some(post) = self.members[i].posts[usize::from(proxy.0)].as_ref() else { return Ok(()) };
            if post.is_silent() {
                return Ok(());
            }
            let Some((stream, from)) =
                post.accept().map_err(|e| Fault::of("the render nodes' connections", None, e))?
            else {
                return Ok(());
            };
            if own == Some(from) {
                continue;
            }
            let made = self.reactor.insert(|key, io| {
                Ok(Box::new(Party::Connection(NodeConnection::accepted(stream, key, io)?)))
            });
            // The connection is already closed, and nothing was read from it.
            let Ok(key) = made else { continue };
            self.members[i].connections.insert(key);
            let (lines, held) = (VecDeque::new(), VecDeque::new());
            let place =
                Place { node: i, proxy, serial: None, written: 0, over: false, lines, silent: false, held };
            self.places.insert(key, place);
        }
    }

    pub(super) fn first_line(&mut self, key: Key, line: &[u8], first_byte: Micros, at: Micros) {
        let open = match self.index.read(line) {
            Said::Open(open) => open,
            _ => return self.bad_first_line(key, line),
        };
        let Some(place) = self.places.get_mut(&key) else { return };
        let (i, proxy) = (place.node, place.proxy);
        let member = &mut self.members[i];
        let serial = member.serial;
        member.serial += 1;
        place.serial = Some(serial);
        member.attempts.insert(serial, key);
        let attempt = Attempt { node: member.id, serial };
        let standing = open.at == Some(member.id);
        self.notes.note(
            at,
            Seen::Attempt { attempt, request: open.request, session: open.session, proxy, first_byte },
        );
        let way = self.way(i, proxy);
        let opened =
            Opened { serial, request: open.request, session: open.session, wait: open.wait, standing, way };
        self.model(i, Input::Open(opened));
    }

    /// One-way latency between a proxy and a member.
    pub(super) fn way(&self, i: usize, proxy: ProxyId) -> Micros {
        let node = &self.plan.nodes[usize::from(self.members[i].id.0)];
        let near = self.plan.proxies.get(usize::from(proxy.0)).is_some_and(|p| p.zone == node.zone);
        let (same, cross) = self.plan.network.node_ms;
        (if near { same } else { cross } * 1e3) as Micros
    }

    pub(super) fn bad_first_line(&mut self, key: Key, line: &[u8]) {
        let Some(place) = self.places.get(&key) else { return };
        let (node, proxy) = (self.members[place.node].id, place.proxy);
        let hung = self.members[place.node].model.is_hung();
        let line = String::from_utf8_lossy(line).trim_end().to_owned();
        self.note(Seen::BadFirstLine { node, proxy, line });
        if !hung {
            self.connection(key, |c, io| c.say_last(b"SYNTAX\r\n", io));
        }
    }

    pub(super) fn line(&mut self, key: Key, line: Vec<u8>, at: Micros) {
        let Some(place) = self.places.get_mut(&key).filter(|place| !place.over) else { return };
        let (i, Some(serial)) = (place.node, place.serial) else { return };
        if !self.members[i].model.takes_lines(serial) {
            return;
        }
        let number = number(&line);
        place.lines.push_back((line, number));
        let attempt = Attempt { node: self.members[i].id, serial };
        number.into_iter().for_each(|line| self.notes.note(at, Seen::LineAtNode { attempt, line }));
        self.model(i, Input::Line(serial));
    }

    pub(super) fn ended(&mut self, key: Key, at: Micros) {
        let Some(place) = self.places.get(&key) else { return };
        match (place.node, place.serial) {
            (i, Some(serial)) => {
                self.over(key, at, AttemptEnd::ByProxy);
                self.model(i, Input::Ended(serial));
            }
            (_, None) => self.connection(key, |c, io| c.say_last(b"", io)),
        }
    }

    pub(super) fn gone(&mut self, key: Key, at: Micros) {
        self.over(key, at, AttemptEnd::ByProxy);
        let Some(place) = self.places.remove(&key) else { return };
        let member = &mut self.members[place.node];
        member.connections.remove(&key);
        if let Some(serial) = place.serial {
            member.attempts.remove(&serial);
            self.model(place.node, Input::Gone(serial));
        }
    }
}

/// Parses the number of a client's line, `M NUMBER PADDING`. Returns `None` for any other line.
fn number(line: &[u8]) -> Option<u32> {
    let mut words = line.split(|b| matches!(b, b' ' | b'\r' | b'\n'));
    if words.next() != Some(b"M") {
        return None;
    }
    std::str::from_utf8(words.next()?).ok()?.parse().ok()
}

/// A line that is not a valid answer for any value of `noise`.
fn rubbish(noise: u64) -> Vec<u8> {
    let mut line = vec![0xff];
    line.extend(noise.to_le_bytes().iter().map(|b| b | 0x80));
    line.extend(b"\r\n");
    line
}
