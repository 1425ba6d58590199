//! The acceptor: clients are accepted, and those that have sent no request yet are evicted where descriptors run short.

use super::context::{ACCEPT_CLIENTS, Context};
use super::log_target::LOG_TARGET;
use super::unregistered_clients::UnregisteredClients;
use crate::net::client_connection::ClientConnection;
use crate::net::final_answer::FULL_RETRY_AFTER;
use crate::net::management::admin_server::MAX_ADMIN_CONNECTIONS;
use crate::net::network_event::NetworkEvent;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::Key;
use cottonnotch_reactor::line::{LineStream, RegistrationError};
use cottonnotch_reactor::listener::{Binding, Listener, reject_new_connections};
use mio::net::{TcpListener, TcpStream};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Descriptors reserved for what is no request: the listener, the watch, the poll, standard streams, signals, and
/// clients that are rejected for want of capacity.
const RESERVED_SOCKETS: usize = 32;
/// One part in this many of the descriptors is not given to clients that have sent no request yet ...
const RESERVED_SHARE_FOR_ATTEMPTS: usize = 4;
/// ... but this many connections are always admitted, the proxy's own few objects included.
const ALWAYS_ADMITTED: usize = 14;
/// Accepted in one turn before others have theirs.
const ACCEPT_BATCH: usize = 32;
/// Wait before accepting again when there is no descriptor left.
const ACCEPT_RETRY_AFTER: Micros = 20_000;
/// No client is evicted sooner than this after it connected: a usual one has sent its line by then.
const EVICTABLE_AFTER: Micros = 100_000;
/// A listener that closes stays open for clients whose handshake has begun: on one machine that takes microseconds.
const CLOSE_AFTER: Micros = 5_000;
/// It closes all the same after this, though some are left for whom there is no capacity.
const CLOSE_AT_LATEST: Micros = 1_500_000;

/// What a descriptor is needed for.
#[derive(Clone, Copy, Debug)]
enum SocketUse {
    /// One more client.
    Client,
    /// The endpoint's side of one more request.
    Endpoint,
}

/// The listener for clients.
struct ClientListener {
    listener: Rc<TcpListener>,
    key: Key,
    /// When it began to close, if it does.
    closing: Option<Micros>,
}

/// Accepts clients.
#[derive(Default)]
pub struct Acceptor {
    client_listener: Option<ClientListener>,
    /// Accepting goes on by a timer.
    is_timer_set: bool,
    /// Clients in the order in which they connected, until they are evicted or closed: the first of them are candidates
    /// for eviction, which spares those that have sent a request.
    accepted_clients: VecDeque<(Micros, Key)>,
    unregistered: UnregisteredClients,
}

impl Acceptor {
    /// Listens for clients; the address. Fails as the system calls do.
    pub fn listen(&mut self, context: &mut Context, binding: Binding) -> io::Result<SocketAddr> {
        let (address, mut shared) = (context.config.listen, None);
        let key = context.reactor.insert(|key, io| {
            let (listener, socket) =
                Listener::bind_with(binding, address, |_| NetworkEvent::ClientsWaiting, key, io)?;
            shared = Some(socket);
            Ok(Box::new(listener))
        })?;
        let listener = shared.ok_or(io::ErrorKind::NotConnected)?;
        let address = listener.local_addr()?;
        self.client_listener = Some(ClientListener { listener, key, closing: None });
        Ok(address)
    }

    /// Clients are accepted.
    pub fn is_listening(&self) -> bool {
        self.client_listener.is_some()
    }

    /// Another process accepts clients from now on: those whose handshake has begun here still are, then the listener closes.
    pub fn begin_close(&mut self, context: &mut Context, requests: usize) {
        let Some(open) = self.client_listener.as_mut().filter(|listener| listener.closing.is_none()) else {
            return;
        };
        open.closing = Some(context.now());
        if let Err(error) = reject_new_connections(&open.listener) {
            // Those who connect between the last accept and the close are reset.
            log::warn!(target: LOG_TARGET, error:%; "new connections cannot be refused before the listener closes: {error}");
        }
        self.on_clients_waiting(context, requests);
    }

    /// No client is left that waits to be accepted: a listener that closes is closed, if it has had its time.
    fn on_backlog_empty(&mut self, context: &mut Context) {
        let Some(closing) = self.client_listener.as_ref().and_then(|listener| listener.closing) else {
            return;
        };
        let open_for = CLOSE_AFTER - (context.now() - closing);
        if open_for > 0 {
            return self.accept_after(context, open_for);
        }
        self.close_listener(context);
    }

    fn close_listener(&mut self, context: &mut Context) {
        if let Some(client_listener) = self.client_listener.take() {
            context.reactor.remove(client_listener.key);
            log::info!(target: LOG_TARGET, "another process accepts clients, the listener is closed");
        }
    }

    /// Clients wait to be accepted; this many requests are in progress.
    pub fn on_clients_waiting(&mut self, context: &mut Context, requests: usize) {
        // While a timer runs, a new client is no reason to try sooner, nor for a second timer.
        if !self.is_timer_set {
            self.accept(context, requests);
        }
    }

    /// The timer is due.
    pub fn on_accept_timer(&mut self, context: &mut Context, requests: usize) {
        self.is_timer_set = false;
        self.accept(context, requests);
    }

    /// Puts an accepted client on the loop. Fails if its socket can't be registered now.
    fn admit(&mut self, context: &mut Context, stream: TcpStream) -> Result<(), RegistrationError> {
        let mut given_back = None;
        let inserted = context.reactor.insert(|key, io| match LineStream::accepted(stream, io, key) {
            Ok(client) => Ok(Box::new(ClientConnection::accepted(client, key, io))),
            Err(unwatched) => {
                let kind = unwatched.error.kind();
                given_back = Some(unwatched);
                Err(kind.into())
            }
        });
        if let Ok(key) = inserted {
            self.accepted_clients.push_back((context.now(), key));
        }
        given_back.map_or(Ok(()), Err)
    }

    /// Tries again to register clients' sockets, and answers clients that have waited too long.
    fn retry_unregistered(&mut self, context: &mut Context) {
        while let Some((stream, since)) = self.unregistered.pop() {
            if let Err(RegistrationError { stream, .. }) = self.admit(context, stream) {
                self.unregistered.push_front(stream, since);
                break;
            }
        }
        for _ in 0..self.unregistered.give_up(context.now()) {
            context.records.client_rejected(|| "its socket could not be watched".into());
        }
        if self.unregistered.has_any() && !self.is_timer_set {
            self.accept_after(context, ACCEPT_RETRY_AFTER);
        }
    }

    fn accept(&mut self, context: &mut Context, requests: usize) {
        self.accept_waiting(context, requests);
        self.retry_unregistered(context);
    }

    fn accept_waiting(&mut self, context: &mut Context, requests: usize) {
        let now = context.now();
        let Some(client_listener) = &self.client_listener else { return };
        let listener = Rc::clone(&client_listener.listener);
        if client_listener.closing.is_some_and(|since| now - since > CLOSE_AT_LATEST) {
            return self.close_listener(context);
        }
        if self.accepted_clients.len() > 2 * context.config.sockets {
            self.accepted_clients.retain(|(_, key)| context.reactor.contains(*key));
        }
        for _ in 0..ACCEPT_BATCH {
            if !self.make_room(context, requests, SocketUse::Client) {
                return self.accept_after(context, ACCEPT_RETRY_AFTER);
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Err(RegistrationError { stream, error }) = self.admit(context, stream) {
                        log::warn!(target: LOG_TARGET, error:%; "a client's socket cannot be registered yet: {error}");
                        self.unregistered.push(stream, now);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.on_backlog_empty(context);
                }
                Err(error) if is_transient(&error) => {}
                Err(error) => {
                    // Guards against EMFILE: the edge is reported once, so without this timer the waiting
                    // clients would never be accepted.
                    let (connections, sockets) = (context.reactor.connections(), context.config.sockets);
                    log::error!(target: LOG_TARGET, connections, sockets, error:%; "cannot accept: {error}");
                    return self.accept_after(context, ACCEPT_RETRY_AFTER);
                }
            }
        }
        self.accept_after(context, 0);
    }

    fn accept_after(&mut self, context: &mut Context, wait: Micros) {
        self.is_timer_set = true;
        context.set_timer(wait, ACCEPT_CLIENTS);
    }

    /// Evicts clients that have sent no request until there is a descriptor for the endpoint's side of one more request;
    /// false if there is none.
    pub fn make_room_for_attempt(&mut self, context: &mut Context, requests: usize) -> bool {
        self.make_room(context, requests, SocketUse::Endpoint)
    }

    /// The proxy shuts down: idle clients are rejected, or a line that comes when the process has ended would be lost.
    pub fn reject_idle_clients(&mut self, context: &mut Context) {
        self.unregistered.answer_all(context.now());
        for (_, key) in self.accepted_clients.drain(..) {
            if context.with_client(key, |client, io| client.reject_idle(io, 0)) == Some(true) {
                context.records.client_rejected(|| "the proxy leaves, and it had said nothing".into());
            }
        }
    }

    /// Guards against clients that connect by hundreds and send nothing, or stay when they were answered: they would hold
    /// the descriptors of others.
    fn make_room(&mut self, context: &mut Context, requests: usize, socket_use: SocketUse) -> bool {
        while !has_descriptor(context, requests, self.unregistered.len(), socket_use) {
            let now = context.now();
            let Some((at, key)) = self.accepted_clients.front().copied() else { return false };
            if at + EVICTABLE_AFTER > now {
                return false;
            }
            self.accepted_clients.pop_front();
            if context.with_client(key, |client, io| client.evict_idle(io, FULL_RETRY_AFTER)) == Some(true) {
                context.records.client_rejected(|| "no room for clients that say nothing".into());
            }
        }
        true
    }
}

/// Whether there is a descriptor for this. From clients, a share is reserved for the endpoints' sides of requests; if
/// requests have all of it, a few clients are admitted to be rejected.
fn has_descriptor(context: &Context, requests: usize, unregistered: usize, socket_use: SocketUse) -> bool {
    let (connections, sockets) = (context.reactor.connections() + unregistered, context.config.sockets);
    // A request counts two: the client's, which is among the connections, and the endpoint's.
    // Operators' connections are reserved whether they are there or not: a flood of clients must not take them.
    let reserved =
        RESERVED_SOCKETS + if context.config.mgmt.is_some() { MAX_ADMIN_CONNECTIONS + 1 } else { 0 };
    let free = sockets.saturating_sub(reserved + connections + requests + context.sibling_descriptors);
    match socket_use {
        SocketUse::Endpoint => free > 0,
        // Requests whose clients have just left may still be counted, and are no connections any more.
        SocketUse::Client => {
            free > sockets / RESERVED_SHARE_FOR_ATTEMPTS
                || connections.saturating_sub(requests) < ALWAYS_ADMITTED
        }
    }
}

/// The client was gone before it was accepted, or a signal came.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
