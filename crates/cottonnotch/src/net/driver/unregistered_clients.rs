//! Accepted clients whose sockets could not be registered with the poll, for want of memory. They are owed an answer like
//! any other: registration is tried again, and where that goes on failing they are rejected.

use crate::net::final_answer::{FULL_RETRY_AFTER, busy_line};
use cottonnotch_decision::Micros;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

/// Registration is tried again for this long. A client waits for its answer at least as long as this and a second more.
const RETRY_FOR: Micros = 500_000;
/// After its answer a client is given this long to read it: a close over unread bytes would take it along.
const LINGER: Micros = 1_000_000;
/// Clients that may wait; one more is rejected at once.
const MAX_WAITING: usize = 256;

/// A client whose socket is not registered.
#[derive(Debug)]
struct UnregisteredClient {
    stream: TcpStream,
    since: Micros,
}

/// All such clients, oldest first.
#[derive(Debug, Default)]
pub struct UnregisteredClients {
    waiting: VecDeque<UnregisteredClient>,
    /// Those that have had their answer.
    answered: VecDeque<UnregisteredClient>,
}

impl UnregisteredClients {
    /// Adds a client that was accepted at this time.
    pub fn push(&mut self, stream: TcpStream, since: Micros) {
        self.waiting.push_back(UnregisteredClient { stream, since });
    }

    /// Whether a client is left.
    pub fn has_any(&self) -> bool {
        !self.waiting.is_empty() || !self.answered.is_empty()
    }

    /// Descriptors that they hold.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.answered.len()
    }

    /// Removes the one that has waited longest, for another try; [`Self::push_front`] takes it back if that fails.
    pub fn pop(&mut self) -> Option<(TcpStream, Micros)> {
        self.waiting.pop_front().map(|client| (client.stream, client.since))
    }

    /// Takes back the one that was tried in vain.
    pub fn push_front(&mut self, stream: TcpStream, since: Micros) {
        self.waiting.push_front(UnregisteredClient { stream, since });
    }

    /// Answers those that have waited too long, or are too many, and closes those that have read their answer. Returns how
    /// many were answered.
    pub fn give_up(&mut self, now: Micros) -> usize {
        let mut given_up = 0;
        while let Some(first) = self.waiting.front()
            && (now - first.since >= RETRY_FOR || self.waiting.len() > MAX_WAITING)
            && let Some(client) = self.waiting.pop_front()
        {
            given_up += 1;
            self.answered.extend(client.answer(now));
        }
        self.answered.retain_mut(|client| now - client.since < LINGER && client.is_reading());
        given_up
    }

    /// The process ends: all that wait are answered.
    pub fn answer_all(&mut self, now: Micros) -> usize {
        let count = self.waiting.len();
        let answered = self.waiting.drain(..).filter_map(|client| client.answer(now));
        self.answered.extend(answered);
        count
    }
}

impl UnregisteredClient {
    /// Tells the client to come again; `None` if it is gone.
    fn answer(mut self, now: Micros) -> Option<UnregisteredClient> {
        // The socket is new and empty: so short a line fits.
        let sent = self.stream.write_all(busy_line(FULL_RETRY_AFTER).as_bytes());
        sent.and_then(|()| self.stream.shutdown(Shutdown::Write)).ok()?;
        self.since = now;
        Some(self)
    }

    /// Reads away what has come; false once the client has closed.
    fn is_reading(&mut self) -> bool {
        let mut bytes = [0; 4096];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
    }
}
