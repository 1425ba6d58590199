//! The admin server: a listener for operators. Its connections are limited separately, so that clients cannot use
//! them up.

use super::admin_connection::AdminConnection;
use crate::net::network_event::NetworkEvent;
use crate::net::object::Object;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Key, Reactor};
use mio::net::TcpListener;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// The log target of this module, on which log filters and collectors rely.
const LOG_TARGET: &str = "cottonnotch::net::management::admin_server";
/// The maximum number of concurrent connections. If it is reached, a new connection replaces the oldest.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// The minimum age at which a connection may be closed for a new one. Without it, many connections at once would
/// replace one another before any of them finishes.
const EVICTABLE_AFTER: Micros = 50_000;
/// The maximum number of connections accepted in one turn, so that other connections are not delayed.
const ACCEPT_BATCH: usize = 8;
/// How long to wait before the next accept if no connection may be closed yet, or if the accept failed.
const ACCEPT_RETRY_AFTER: Micros = 10_000;

/// The listener for operators, and the open connections.
pub struct AdminServer {
    listener: Rc<TcpListener>,
    /// The open connections with the times at which they were accepted, the oldest first.
    connections: VecDeque<(Micros, Key)>,
    /// Whether a timer is set that continues accepting.
    is_timer_set: bool,
    /// The id of the accept timer.
    timer: u32,
}

impl AdminServer {
    /// Listens on this address. Returns the error of a failed system call. `timer` is the id of the timer on which
    /// the owner calls [`Self::on_accept_timer`].
    pub fn open(reactor: &mut Reactor<dyn Object>, address: SocketAddr, timer: u32) -> io::Result<Self> {
        let mut listener_socket = None;
        reactor.insert(|key, io| {
            let report = |_| NetworkEvent::AdminsWaiting;
            let (listener, socket) = Listener::bind(address, report, key, io)?;
            listener_socket = Some(socket);
            Ok(Box::new(listener))
        })?;
        let listener = listener_socket.ok_or(io::ErrorKind::NotConnected)?;
        Ok(AdminServer { listener, connections: VecDeque::new(), is_timer_set: false, timer })
    }

    /// Returns the local address, with the port that the system chose if none was configured.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Handles the event that connections wait to be accepted.
    pub fn on_connections_waiting(&mut self, reactor: &mut Reactor<dyn Object>) {
        // If the timer is set, accepting continues when it fires, not earlier.
        if !self.is_timer_set {
            self.accept(reactor);
        }
    }

    /// Handles the accept timer.
    pub fn on_accept_timer(&mut self, reactor: &mut Reactor<dyn Object>) {
        self.is_timer_set = false;
        self.accept(reactor);
    }

    fn accept(&mut self, reactor: &mut Reactor<dyn Object>) {
        for _ in 0..ACCEPT_BATCH {
            if !self.make_room(reactor) {
                return self.schedule_accept(reactor, ACCEPT_RETRY_AFTER);
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    match reactor.insert(|key, io| Ok(Box::new(AdminConnection::accepted(stream, key, io)?)))
                    {
                        Ok(key) => self.connections.push_back((reactor.io.now(), key)),
                        Err(error) => {
                            log::warn!(target: LOG_TARGET, error:%; "admin connection lost while it was accepted: {error}")
                        }
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::debug!(target: LOG_TARGET, "an admin connection was not accepted: {error}");
                    return self.schedule_accept(reactor, ACCEPT_RETRY_AFTER);
                }
            }
        }
        self.schedule_accept(reactor, 0);
    }

    fn schedule_accept(&mut self, reactor: &mut Reactor<dyn Object>, delay: Micros) {
        self.is_timer_set = true;
        let now = reactor.io.now();
        reactor.io.owner_timer(now + delay, self.timer);
    }

    /// Closes the oldest connections if there are too many, so that idle ones do not block the server. Returns
    /// false if the oldest connection may not be closed yet.
    fn make_room(&mut self, reactor: &mut Reactor<dyn Object>) -> bool {
        self.connections.retain(|(_, key)| reactor.contains(*key));
        while self.connections.len() >= MAX_ADMIN_CONNECTIONS {
            let Some((since, key)) = self.connections.front().copied() else { return true };
            if since + EVICTABLE_AFTER > reactor.io.now() {
                return false;
            }
            self.connections.pop_front();
            reactor.remove(key);
        }
        true
    }
}
