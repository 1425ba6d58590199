//! Clients that arrive, until they ask for something: accepting them, and the descriptors there are for that.

use super::context::{ACCEPT, Net, PART};
use super::unregistered_clients::UnwatchedClients;
use crate::net::client_connection::Rpc;
use crate::net::management::PLACES;
use crate::net::network_event::Happening;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::Key;
use cottonnotch_reactor::line::{LineStream, Unwatched};
use cottonnotch_reactor::listener::{Binding, Listener, reject_new_connections};
use mio::net::{TcpListener, TcpStream};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Descriptors kept for what is no RPC: the listener, the watch, the poll, standard streams, signals, and
/// clients that are told that there is no room.
const RESERVED_SOCKETS: usize = 32;
/// A quarter of the descriptors is not given to clients that have not asked yet ...
const KEPT_FOR_CALLS: usize = 4;
/// ... but so many are always let in, the proxy's own few objects included.
const TOLD_AT_ONCE: usize = 14;
/// Accepted in one turn before others have theirs.
const ACCEPTED_AT_ONCE: usize = 32;
/// Wait before accepting again when there is no descriptor left.
const ACCEPT_AFTER: Micros = 20_000;
/// No client is let go for want of room sooner than this after it connected: a usual one has sent its line.
const DISMISSED_AFTER: Micros = 100_000;
/// A door that closes stays open for those who have begun to come in: on one machine their handshake takes microseconds.
const CLOSES_AFTER: Micros = 5_000;
/// It closes all the same after this, though some are left that there is no room for.
const CLOSES_AT_LAST: Micros = 1_500_000;
/// What a client is told when there is no descriptor for it.
pub const FULL_RETRY_AFTER: Micros = 1_000_000;

/// What room is wanted for.
#[derive(Clone, Copy, Debug)]
enum Wanted {
    /// One more client.
    Client,
    /// The subchannel's side of one more RPC.
    Call,
}

/// Where clients come in.
struct Door {
    listener: Rc<TcpListener>,
    key: Key,
    /// It closes, since then.
    closing: Option<Micros>,
}

/// Clients on their way in.
#[derive(Default)]
pub struct Arrivals {
    door: Option<Door>,
    /// Accepting goes on by a timer.
    is_due: bool,
    /// Clients in the order in which they connected, until they are let go or are gone.
    arrived: VecDeque<(Micros, Key)>,
    unwatched: UnwatchedClients,
}

impl Arrivals {
    /// Listens for clients; where. Fails as the system's calls do.
    pub fn open(&mut self, net: &mut Net, binding: Binding) -> io::Result<SocketAddr> {
        let (address, mut shared) = (net.config.listen, None);
        let key = net.reactor.insert(|key, io| {
            let (listener, socket) = Listener::bind_as(binding, address, |_| Happening::Acceptable, key, io)?;
            shared = Some(socket);
            Ok(Box::new(listener))
        })?;
        let listener = shared.ok_or(io::ErrorKind::NotConnected)?;
        let address = listener.local_addr()?;
        self.door = Some(Door { listener, key, closing: None });
        Ok(address)
    }

    /// Clients are let in.
    pub fn is_open(&self) -> bool {
        self.door.is_some()
    }

    /// Another process lets clients in from now on: who has begun to come in here still may, then the door is closed.
    pub fn close(&mut self, net: &mut Net, rpcs: usize) {
        let Some(door) = self.door.as_mut().filter(|door| door.closing.is_none()) else { return };
        door.closing = Some(net.now());
        if let Err(error) = reject_new_connections(&door.listener) {
            // Those who come between the last look and the close are reset.
            log::warn!(target: PART, error:%; "newcomers cannot be turned away before the door closes: {error}");
        }
        self.acceptable(net, rpcs);
    }

    /// Nobody is left who waits to be let in.
    fn idle(&mut self, net: &mut Net) {
        let Some(closing) = self.door.as_ref().and_then(|door| door.closing) else { return };
        let open_for = CLOSES_AFTER - (net.now() - closing);
        if open_for > 0 {
            return self.accept_in(net, open_for);
        }
        self.shut(net);
    }

    fn shut(&mut self, net: &mut Net) {
        if let Some(door) = self.door.take() {
            net.reactor.remove(door.key);
            log::info!(target: PART, "another process lets clients in, the door is closed");
        }
    }

    /// Clients wait to be accepted; `rpcs` are being served.
    pub fn acceptable(&mut self, net: &mut Net, rpcs: usize) {
        // While a timer runs, a new client is no reason to try sooner, nor for a second timer.
        if !self.is_due {
            self.accept(net, rpcs);
        }
    }

    /// The timer is due.
    pub fn accept_again(&mut self, net: &mut Net, rpcs: usize) {
        self.is_due = false;
        self.accept(net, rpcs);
    }

    /// Makes an object of an accepted client. Fails if the poll can't take its socket now.
    fn take_in(&mut self, net: &mut Net, stream: TcpStream) -> Result<(), Unwatched> {
        let mut given_back = None;
        let inserted = net.reactor.insert(|key, io| match LineStream::accepted(stream, io, key) {
            Ok(client) => Ok(Box::new(Rpc::accepted(client, key, io))),
            Err(unwatched) => {
                let kind = unwatched.error.kind();
                given_back = Some(unwatched);
                Err(kind.into())
            }
        });
        if let Ok(key) = inserted {
            self.arrived.push_back((net.now(), key));
        }
        given_back.map_or(Ok(()), Err)
    }

    /// Tries again for clients that could not be watched, and answers those that have waited too long.
    fn look_after_unwatched(&mut self, net: &mut Net) {
        while let Some((stream, since)) = self.unwatched.pop() {
            if let Err(Unwatched { stream, .. }) = self.take_in(net, stream) {
                self.unwatched.push_first(stream, since);
                break;
            }
        }
        for _ in 0..self.unwatched.give_up(net.now()) {
            net.records.turned_away(|| "its socket could not be watched".into());
        }
        if self.unwatched.are_there() && !self.is_due {
            self.accept_in(net, ACCEPT_AFTER);
        }
    }

    fn accept(&mut self, net: &mut Net, rpcs: usize) {
        self.accept_waiting(net, rpcs);
        self.look_after_unwatched(net);
    }

    fn accept_waiting(&mut self, net: &mut Net, rpcs: usize) {
        let now = net.now();
        let Some(door) = &self.door else { return };
        let listener = Rc::clone(&door.listener);
        if door.closing.is_some_and(|since| now - since > CLOSES_AT_LAST) {
            return self.shut(net);
        }
        if self.arrived.len() > 2 * net.config.sockets {
            self.arrived.retain(|(_, key)| net.reactor.contains(*key));
        }
        for _ in 0..ACCEPTED_AT_ONCE {
            if !self.make_room(net, rpcs, Wanted::Client) {
                return self.accept_in(net, ACCEPT_AFTER);
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Err(Unwatched { stream, error }) = self.take_in(net, stream) {
                        log::warn!(target: PART, error:%; "a client cannot be watched yet: {error}");
                        self.unwatched.push(stream, now);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return self.idle(net),
                Err(error) if is_passing(&error) => {}
                Err(error) => {
                    // Guards against EMFILE: the edge is told once, so without this timer the waiting
                    // clients would never be accepted.
                    let (connections, sockets) = (net.reactor.connections(), net.config.sockets);
                    log::error!(target: PART, connections, sockets, error:%; "cannot accept: {error}");
                    return self.accept_in(net, ACCEPT_AFTER);
                }
            }
        }
        self.accept_in(net, 0);
    }

    fn accept_in(&mut self, net: &mut Net, wait: Micros) {
        self.is_due = true;
        net.timer_in(wait, ACCEPT);
    }

    /// Lets clients go that have asked nothing until there is room for the subchannel's side of one more RPC;
    /// false if there is none.
    pub fn make_room_for_call(&mut self, net: &mut Net, rpcs: usize) -> bool {
        self.make_room(net, rpcs, Wanted::Call)
    }

    /// The proxy goes away: clients that rest are told, or a line that comes when the process has ended would be lost.
    pub fn go_away(&mut self, net: &mut Net) {
        self.unwatched.answer_all(net.now());
        for (_, key) in self.arrived.drain(..) {
            if net.with_front(key, |front, io| front.go_away(io, 0)) == Some(true) {
                net.records.turned_away(|| "the proxy leaves, and it had said nothing".into());
            }
        }
    }

    /// Guards against clients that connect by hundreds and say nothing, or stay when they were answered: they
    /// would hold the descriptors of others.
    fn make_room(&mut self, net: &mut Net, rpcs: usize, wanted: Wanted) -> bool {
        while !has_room(net, rpcs, self.unwatched.len(), wanted) {
            let now = net.now();
            let Some((at, key)) = self.arrived.front().copied() else { return false };
            if at + DISMISSED_AFTER > now {
                return false;
            }
            self.arrived.pop_front();
            if net.with_front(key, |front, io| front.dismiss(io, FULL_RETRY_AFTER)) == Some(true) {
                net.records.turned_away(|| "no room for clients that say nothing".into());
            }
        }
        true
    }
}

/// For a client, a part is kept for the subchannels of those that ask, and if RPCs have all of it, a few are let
/// in to be told so.
fn has_room(net: &Net, rpcs: usize, unwatched: usize, wanted: Wanted) -> bool {
    let (connections, sockets) = (net.reactor.connections() + unwatched, net.config.sockets);
    // An RPC counts two: the client's, which is among the connections, and the subchannel's.
    // Operators' places are kept for them whether they are there or not: a flood of clients must not take them.
    let reserved = RESERVED_SOCKETS + if net.config.mgmt.is_some() { PLACES + 1 } else { 0 };
    let free = sockets.saturating_sub(reserved + connections + rpcs + net.held_elsewhere);
    match wanted {
        Wanted::Call => free > 0,
        // RPCs whose clients have just left may still be counted, and are no connections any more.
        Wanted::Client => free > sockets / KEPT_FOR_CALLS || connections.saturating_sub(rpcs) < TOLD_AT_ONCE,
    }
}

/// The client was gone before it was accepted, or a signal came.
fn is_passing(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
