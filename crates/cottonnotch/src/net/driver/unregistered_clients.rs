//! Accepted clients whose sockets could not be registered with the poll for lack of memory. Like every client, they
//! are owed an answer: registration is retried, and clients for which it keeps failing are rejected.

use crate::net::final_answer::{FULL_RETRY_AFTER, busy_line};
use cottonnotch_decision::Micros;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

/// How long registration is retried. Clients wait for an answer at least a second longer than this.
const REGISTRATION_TIMEOUT: Micros = 500_000;
/// Time that a client has to read its answer before the socket is closed. Closing a socket with unread input resets
/// the connection and would discard the answer.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// Maximum number of waiting clients. A client in excess of it causes the oldest one to be rejected at once.
const MAX_WAITING: usize = 256;
/// Maximum number of reads from one client in one call. What is left is read by the next call or dropped at the close.
const MAX_READS_PER_CALL: usize = 4;

/// A client whose socket is not registered.
#[derive(Debug)]
struct UnregisteredClient {
    stream: TcpStream,
    /// When the client was accepted, or when it was answered if it has been.
    since: Micros,
}

/// All clients with unregistered sockets, oldest first.
#[derive(Debug, Default)]
pub struct UnregisteredClients {
    waiting: VecDeque<UnregisteredClient>,
    /// Clients that have been answered and may not have read their answer yet.
    answered: VecDeque<UnregisteredClient>,
}

impl UnregisteredClients {
    /// Adds a client that was accepted at time `since`.
    pub fn push(&mut self, stream: TcpStream, since: Micros) {
        self.waiting.push_back(UnregisteredClient { stream, since });
    }

    /// Whether any client is left, waiting or answered.
    pub fn has_any(&self) -> bool {
        !self.waiting.is_empty() || !self.answered.is_empty()
    }

    /// The number of descriptors that these clients hold.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.answered.len()
    }

    /// Removes the client that has waited longest, for another try. If the try fails, [`Self::push_front`] puts the
    /// client back.
    pub fn pop(&mut self) -> Option<(TcpStream, Micros)> {
        self.waiting.pop_front().map(|client| (client.stream, client.since))
    }

    /// Puts back the client whose registration failed again.
    pub fn push_front(&mut self, stream: TcpStream, since: Micros) {
        self.waiting.push_front(UnregisteredClient { stream, since });
    }

    /// Rejects clients that have waited too long or exceed `MAX_WAITING`, and closes answered clients that have
    /// read their answer. Returns the number of clients that were rejected.
    pub fn reject_expired(&mut self, now: Micros) -> usize {
        let mut rejected = 0;
        while let Some(first) = self.waiting.front()
            && (now - first.since >= REGISTRATION_TIMEOUT || self.waiting.len() > MAX_WAITING)
            && let Some(client) = self.waiting.pop_front()
        {
            rejected += 1;
            self.answered.extend(client.reject(now));
        }
        self.answered.retain_mut(|client| now - client.since < LINGER_TIMEOUT && client.discard_input());
        rejected
    }

    /// Rejects all waiting clients when the process ends. Returns their number.
    pub fn reject_all(&mut self, now: Micros) -> usize {
        let count = self.waiting.len();
        let answered = self.waiting.drain(..).filter_map(|client| client.reject(now));
        self.answered.extend(answered);
        count
    }
}

impl UnregisteredClient {
    /// Tells the client to retry later. Returns `None` if the client is gone.
    fn reject(mut self, now: Micros) -> Option<UnregisteredClient> {
        // The socket is new and its send buffer empty, so the short line fits.
        let sent = self.stream.write_all(busy_line(FULL_RETRY_AFTER).as_bytes());
        sent.and_then(|()| self.stream.shutdown(Shutdown::Write)).ok()?;
        self.since = now;
        Some(self)
    }

    /// Discards received input, at most [`MAX_READS_PER_CALL`] reads of it. Returns false once the client has closed the
    /// connection.
    fn discard_input(&mut self) -> bool {
        let mut bytes = [0; 4096];
        for _ in 0..MAX_READS_PER_CALL {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }
}
