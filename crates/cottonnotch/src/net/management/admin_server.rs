//! The admin server: a listener for operators with connections of its own, so that clients can't take them.

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

/// The log's part of this file: filters and collectors know it by this.
const LOG_TARGET: &str = "cottonnotch::net::management::admin_server";
/// Connections at a time. One more takes the place of the oldest.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// No connection is closed for another one sooner than this. Guards against a crowd that would let none finish.
const EVICTABLE_AFTER: Micros = 50_000;
/// Accepted in one turn before others have theirs.
const ACCEPT_BATCH: usize = 8;
/// Wait before accepting again when no connection may be closed yet.
const ACCEPT_RETRY_AFTER: Micros = 10_000;

/// The listener for operators, with their connections.
pub struct AdminServer {
    listener: Rc<TcpListener>,
    connections: VecDeque<(Micros, Key)>,
    /// Accepting goes on by a timer.
    is_timer_set: bool,
    timer: u32,
}

impl AdminServer {
    /// Listens there. Fails as the system's calls do. `timer` is the owner's for [`Self::on_accept_timer`].
    pub fn open(reactor: &mut Reactor<dyn Object>, address: SocketAddr, timer: u32) -> io::Result<Self> {
        let mut shared = None;
        reactor.insert(|key, io| {
            let report = |_| NetworkEvent::AdminsWaiting;
            let (listener, socket) = Listener::bind(address, report, key, io)?;
            shared = Some(socket);
            Ok(Box::new(listener))
        })?;
        let listener = shared.ok_or(io::ErrorKind::NotConnected)?;
        Ok(AdminServer { listener, connections: VecDeque::new(), is_timer_set: false, timer })
    }

    /// Where it listens, also where the system chose the port.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Operators wait to be accepted.
    pub fn on_connections_waiting(&mut self, reactor: &mut Reactor<dyn Object>) {
        // While a timer runs, a new connection is no reason to try sooner.
        if !self.is_timer_set {
            self.accept(reactor);
        }
    }

    /// The timer is due.
    pub fn on_accept_timer(&mut self, reactor: &mut Reactor<dyn Object>) {
        self.is_timer_set = false;
        self.accept(reactor);
    }

    fn accept(&mut self, reactor: &mut Reactor<dyn Object>) {
        for _ in 0..ACCEPT_BATCH {
            if !self.make_room(reactor) {
                return self.accept_after(reactor, ACCEPT_RETRY_AFTER);
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
                    return self.accept_after(reactor, ACCEPT_RETRY_AFTER);
                }
            }
        }
        self.accept_after(reactor, 0);
    }

    fn accept_after(&mut self, reactor: &mut Reactor<dyn Object>, wait: Micros) {
        self.is_timer_set = true;
        let now = reactor.io.now();
        reactor.io.owner_timer(now + wait, self.timer);
    }

    /// Guards against connections that stay and send nothing: the oldest is closed.
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
