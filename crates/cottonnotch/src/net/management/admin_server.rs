//! Where operators are let in: a listener with places of its own, so that clients can't take them.

use super::admin_connection::Caller;
use crate::net::network_event::{Happening, Object};
use cottonnotch_decision::Micros;
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Key, Reactor};
use mio::net::TcpListener;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Callers at a time. One more takes the place of the one that has been there longest.
pub const PLACES: usize = 12;
/// No caller gives up its place sooner than this. Guards against a crowd of callers that would let none finish.
const KEPT_FOR: Micros = 50_000;
/// Accepted in one turn before others have theirs.
const ACCEPTED_AT_ONCE: usize = 8;
/// Wait before accepting again when there is no place.
const ACCEPT_AFTER: Micros = 10_000;

/// The operators' desk.
pub struct Desk {
    listener: Rc<TcpListener>,
    callers: VecDeque<(Micros, Key)>,
    /// Accepting goes on by a timer.
    is_due: bool,
    timer: u32,
}

impl Desk {
    /// Listens there. Fails as the system's calls do. `timer` is the owner's for [`Self::accept_again`].
    pub fn open(reactor: &mut Reactor<dyn Object>, address: SocketAddr, timer: u32) -> io::Result<Self> {
        let mut shared = None;
        reactor.insert(|key, io| {
            let report = |_| Happening::Callable;
            let (listener, socket) = Listener::bind(address, report, key, io)?;
            shared = Some(socket);
            Ok(Box::new(listener))
        })?;
        let listener = shared.ok_or(io::ErrorKind::NotConnected)?;
        Ok(Desk { listener, callers: VecDeque::new(), is_due: false, timer })
    }

    /// Where it is, also where the system chose the port.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Callers wait to be let in.
    pub fn acceptable(&mut self, reactor: &mut Reactor<dyn Object>) {
        // While a timer runs, a new caller is no reason to try sooner.
        if !self.is_due {
            self.accept(reactor);
        }
    }

    /// The timer is due.
    pub fn accept_again(&mut self, reactor: &mut Reactor<dyn Object>) {
        self.is_due = false;
        self.accept(reactor);
    }

    fn accept(&mut self, reactor: &mut Reactor<dyn Object>) {
        for _ in 0..ACCEPTED_AT_ONCE {
            if !self.make_room(reactor) {
                return self.accept_in(reactor, ACCEPT_AFTER);
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    match reactor.insert(|key, io| Ok(Box::new(Caller::accepted(stream, key, io)?))) {
                        Ok(key) => self.callers.push_back((reactor.io.now(), key)),
                        Err(error) => {
                            log::warn!(error:%; "operator's call lost while it was accepted: {error}")
                        }
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::debug!("an operator's call was not accepted: {error}");
                    return self.accept_in(reactor, ACCEPT_AFTER);
                }
            }
        }
        self.accept_in(reactor, 0);
    }

    fn accept_in(&mut self, reactor: &mut Reactor<dyn Object>, wait: Micros) {
        self.is_due = true;
        let now = reactor.io.now();
        reactor.io.owner_timer(now + wait, self.timer);
    }

    /// Guards against callers that stay and say nothing: the oldest gives up its place.
    fn make_room(&mut self, reactor: &mut Reactor<dyn Object>) -> bool {
        self.callers.retain(|(_, key)| reactor.contains(*key));
        while self.callers.len() >= PLACES {
            let Some((since, key)) = self.callers.front().copied() else { return true };
            if since + KEPT_FOR > reactor.io.now() {
                return false;
            }
            self.callers.pop_front();
            reactor.remove(key);
        }
        true
    }
}
