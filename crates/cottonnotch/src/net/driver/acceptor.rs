//! Accepts clients, and evicts clients that have not sent a request when descriptors run short.

use super::context::{ACCEPT_CLIENTS_TIMER, Context};
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

/// Descriptors reserved for purposes other than requests: the listener, the watch, the poll, standard streams,
/// signals, and clients that are rejected for lack of capacity.
const RESERVED_SOCKETS: usize = 32;
/// One part in `ATTEMPT_RESERVE_DIVISOR` of the descriptors is reserved for connections to endpoints and not given to
/// new clients.
const ATTEMPT_RESERVE_DIVISOR: usize = 4;
/// New clients are admitted in spite of that reserve while fewer connections than this are open without a request.
/// The count includes the proxy's own few reactor objects.
const MIN_ADMITTED_CONNECTIONS: usize = 14;
/// Maximum number of clients accepted in one iteration of the event loop, so that other events are handled in
/// between.
const ACCEPT_BATCH: usize = 32;
/// Longest delay before accepting again when no descriptor is free.
const ACCEPT_RETRY_DELAY: Micros = 20_000;
/// Minimum age of a connection before it may be evicted: a normal client has sent its line by then.
const MIN_AGE_FOR_EVICTION: Micros = 100_000;
/// Minimum age of a connection before it may be evicted once other clients have waited in the backlog for
/// `MIN_AGE_FOR_EVICTION`: the time of their requests runs while the proxy has not read them.
const MIN_AGE_UNDER_PRESSURE: Micros = 5_000;
/// A closing listener stays open this long for clients whose handshake has begun. A handshake on one machine takes
/// microseconds.
const LISTENER_CLOSE_DELAY: Micros = 5_000;
/// A closing listener is closed after this time even if clients remain for which there is no capacity.
const LISTENER_CLOSE_TIMEOUT: Micros = 1_500_000;

/// The purpose for which a descriptor is needed.
#[derive(Clone, Copy, Debug)]
enum SocketUse {
    /// The connection of one more client.
    Client,
    /// The connection to the endpoint for one more request.
    Endpoint,
}

/// The listening socket for clients.
struct ClientListener {
    listener: Rc<TcpListener>,
    key: Key,
    /// When the listener began to close, or `None` if it is not closing.
    closing_since: Option<Micros>,
}

/// Accepts clients and tracks those that may be evicted.
#[derive(Default)]
pub struct Acceptor {
    client_listener: Option<ClientListener>,
    /// Whether a timer is set that resumes accepting.
    is_timer_set: bool,
    /// Accepted clients in the order in which they connected, until they are evicted or closed. Eviction tries the
    /// oldest first and spares clients that have sent a request.
    accepted_clients: VecDeque<(Micros, Key)>,
    unregistered: UnregisteredClients,
    /// Since when clients have waited in the backlog because no descriptor was free; `None` since the backlog was last
    /// empty.
    waiting_since: Option<Micros>,
}

impl Acceptor {
    /// Starts to listen for clients and returns the bound address.
    ///
    /// Returns the system's error if the listener cannot be set up.
    pub fn listen(&mut self, context: &mut Context, binding: Binding) -> io::Result<SocketAddr> {
        let (address, mut shared_listener) = (context.config.listen, None);
        let key = context.reactor.insert(|key, io| {
            let (listener, socket) =
                Listener::bind_with(binding, address, |_| NetworkEvent::ClientsWaiting, key, io)?;
            shared_listener = Some(socket);
            Ok(Box::new(listener))
        })?;
        let listener = shared_listener.ok_or(io::ErrorKind::NotConnected)?;
        let address = listener.local_addr()?;
        self.client_listener = Some(ClientListener { listener, key, closing_since: None });
        Ok(address)
    }

    /// Whether the listener is open.
    pub fn is_listening(&self) -> bool {
        self.client_listener.is_some()
    }

    /// Begins to close the listener because another process accepts clients from now on. Clients whose handshake with
    /// this process has begun are still accepted first.
    pub fn begin_close(&mut self, context: &mut Context, requests: usize) {
        let Some(client_listener) =
            self.client_listener.as_mut().filter(|listener| listener.closing_since.is_none())
        else {
            return;
        };
        client_listener.closing_since = Some(context.now());
        if let Err(error) = reject_new_connections(&client_listener.listener) {
            // The listener still accepts new connections then, and those that arrive between the last accept and the
            // close are reset.
            log::warn!(target: LOG_TARGET, error:%; "new connections cannot be refused before the listener closes: {error}");
        }
        self.on_clients_waiting(context, requests);
    }

    /// Closes a closing listener whose backlog is empty, or sets a timer if `LISTENER_CLOSE_DELAY` has not passed yet.
    fn on_backlog_empty(&mut self, context: &mut Context) {
        let Some(closing_since) = self.client_listener.as_ref().and_then(|listener| listener.closing_since)
        else {
            return;
        };
        let remaining = LISTENER_CLOSE_DELAY - (context.now() - closing_since);
        if remaining > 0 {
            return self.accept_after(context, remaining);
        }
        self.close_listener(context);
    }

    fn close_listener(&mut self, context: &mut Context) {
        if let Some(client_listener) = self.client_listener.take() {
            context.reactor.remove(client_listener.key);
            log::info!(target: LOG_TARGET, "another process accepts clients, the listener is closed");
        }
    }

    /// Accepts clients that are waiting in the backlog; `requests` is the number of requests in progress.
    pub fn on_clients_waiting(&mut self, context: &mut Context, requests: usize) {
        // While a timer is set, a new client causes neither an earlier attempt nor a second timer.
        if !self.is_timer_set {
            self.accept(context, requests);
        }
    }

    /// Resumes accepting when the timer fires.
    pub fn on_accept_timer(&mut self, context: &mut Context, requests: usize) {
        self.is_timer_set = false;
        self.accept(context, requests);
    }

    /// Registers an accepted client with the event loop. Returns the socket with the error if it cannot be registered
    /// now.
    fn register_client(&mut self, context: &mut Context, stream: TcpStream) -> Result<(), RegistrationError> {
        let mut registration_error = None;
        let inserted = context.reactor.insert(|key, io| match LineStream::accepted(stream, io, key) {
            Ok(client) => Ok(Box::new(ClientConnection::accepted(client, key, io))),
            Err(failure) => {
                let kind = failure.error.kind();
                registration_error = Some(failure);
                Err(kind.into())
            }
        });
        if let Ok(key) = inserted {
            self.accepted_clients.push_back((context.now(), key));
        }
        registration_error.map_or(Ok(()), Err)
    }

    /// Retries the registration of clients' sockets, and rejects clients whose registration has failed for too long.
    fn retry_unregistered(&mut self, context: &mut Context) {
        while let Some((stream, since)) = self.unregistered.pop() {
            if let Err(RegistrationError { stream, .. }) = self.register_client(context, stream) {
                self.unregistered.push_front(stream, since);
                break;
            }
        }
        for _ in 0..self.unregistered.reject_expired(context.now()) {
            context.records.client_rejected(|| "its socket could not be watched".into());
        }
        if self.unregistered.has_any() && !self.is_timer_set {
            self.accept_after(context, ACCEPT_RETRY_DELAY);
        }
    }

    fn accept(&mut self, context: &mut Context, requests: usize) {
        self.accept_from_backlog(context, requests);
        self.retry_unregistered(context);
    }

    fn accept_from_backlog(&mut self, context: &mut Context, requests: usize) {
        let now = context.now();
        let Some(client_listener) = &self.client_listener else { return };
        let listener = Rc::clone(&client_listener.listener);
        if client_listener.closing_since.is_some_and(|since| now - since > LISTENER_CLOSE_TIMEOUT) {
            return self.close_listener(context);
        }
        if self.accepted_clients.len() > 2 * context.config.sockets {
            self.accepted_clients.retain(|(_, key)| context.reactor.contains(*key));
        }
        for _ in 0..ACCEPT_BATCH {
            if !self.ensure_descriptor(context, requests, SocketUse::Client) {
                return self.accept_after_eviction(context);
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Err(RegistrationError { stream, error }) = self.register_client(context, stream) {
                        log::warn!(target: LOG_TARGET, error:%; "a client's socket cannot be registered yet: {error}");
                        self.unregistered.push(stream, now);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.waiting_since = None;
                    return self.on_backlog_empty(context);
                }
                Err(error) if is_transient_accept_error(&error) => {}
                Err(error) => {
                    // Handles EMFILE: readiness is edge-triggered and reported once, so without this timer the
                    // waiting clients would never be accepted.
                    let (connections, sockets) = (context.reactor.connections(), context.config.sockets);
                    log::error!(target: LOG_TARGET, connections, sockets, error:%; "cannot accept: {error}");
                    self.evict_batch(context);
                    return self.accept_after_eviction(context);
                }
            }
        }
        self.accept_after(context, 0);
    }

    fn accept_after(&mut self, context: &mut Context, wait: Micros) {
        self.is_timer_set = true;
        context.set_timer(wait, ACCEPT_CLIENTS_TIMER);
    }

    /// Resumes accepting once the oldest accepted client may be evicted.
    fn accept_after_eviction(&mut self, context: &mut Context) {
        let now = context.now();
        self.waiting_since.get_or_insert(now);
        let wait = match self.accepted_clients.front() {
            Some((accepted_at, _)) => accepted_at + self.min_age_for_eviction(now) - now,
            None => ACCEPT_RETRY_DELAY,
        };
        self.accept_after(context, wait.clamp(MIN_AGE_UNDER_PRESSURE, ACCEPT_RETRY_DELAY));
    }

    fn min_age_for_eviction(&self, now: Micros) -> Micros {
        match self.waiting_since {
            Some(since) if now - since >= MIN_AGE_FOR_EVICTION => MIN_AGE_UNDER_PRESSURE,
            _ => MIN_AGE_FOR_EVICTION,
        }
    }

    /// Evicts clients that have not sent a request until a descriptor is free for the connection to an endpoint.
    /// Returns false if none can be freed.
    pub fn ensure_descriptor_for_attempt(&mut self, context: &mut Context, requests: usize) -> bool {
        self.ensure_descriptor(context, requests, SocketUse::Endpoint)
    }

    /// Rejects idle clients when the proxy shuts down: a line that arrives after the process has ended would be lost.
    pub fn reject_idle_clients(&mut self, context: &mut Context) {
        self.unregistered.reject_all(context.now());
        for (_, key) in self.accepted_clients.drain(..) {
            if context.with_client(key, |client, io| client.reject_idle(io, 0)) == Some(true) {
                context.records.client_rejected(|| "the proxy leaves, and it had said nothing".into());
            }
        }
    }

    /// Evicts idle clients until a descriptor is free; returns false if none can be freed. Without this, clients that
    /// connect by the hundreds and send nothing, or stay connected after their answer, would use up the descriptors
    /// of other clients.
    fn ensure_descriptor(&mut self, context: &mut Context, requests: usize, socket_use: SocketUse) -> bool {
        while !has_free_descriptor(context, requests, self.unregistered.len(), socket_use) {
            if !self.evict_oldest(context) {
                return false;
            }
        }
        true
    }

    /// Evicts the oldest accepted client unless it has sent a request. Returns false if none is old enough.
    fn evict_oldest(&mut self, context: &mut Context) -> bool {
        let now = context.now();
        let min_age = self.min_age_for_eviction(now);
        let Some((accepted_at, key)) = self.accepted_clients.front().copied() else { return false };
        if accepted_at + min_age > now {
            return false;
        }
        self.accepted_clients.pop_front();
        if context.with_client(key, |client, io| client.evict_idle(io, FULL_RETRY_AFTER)) == Some(true) {
            context.records.client_rejected(|| "no room for clients that say nothing".into());
        }
        true
    }

    /// Evicts a batch of idle clients after the operating system has refused a descriptor.
    fn evict_batch(&mut self, context: &mut Context) {
        for _ in 0..ACCEPT_BATCH {
            if !self.evict_oldest(context) {
                return;
            }
        }
    }
}

/// Whether a descriptor is free for this use. A share of the descriptors is reserved for connections to endpoints. If
/// requests use that share up, a few clients are still admitted so that they can be rejected.
fn has_free_descriptor(
    context: &Context,
    requests: usize,
    unregistered: usize,
    socket_use: SocketUse,
) -> bool {
    let (connections, sockets) = (context.reactor.connections() + unregistered, context.config.sockets);
    // A request uses two descriptors: the client's, which is included in `connections`, and the endpoint's.
    // Descriptors for operators are reserved whether or not operators are connected, so that a flood of clients
    // cannot use them up.
    let reserved =
        RESERVED_SOCKETS + if context.config.mgmt.is_some() { MAX_ADMIN_CONNECTIONS + 1 } else { 0 };
    let free = sockets.saturating_sub(reserved + connections + requests + context.sibling_descriptors);
    match socket_use {
        SocketUse::Endpoint => free > 0,
        // The subtraction saturates because requests whose clients have just left may still be counted while their
        // connections are not.
        SocketUse::Client => {
            free > sockets / ATTEMPT_RESERVE_DIVISOR
                || connections.saturating_sub(requests) < MIN_ADMITTED_CONNECTIONS
        }
    }
}

/// Whether the client disconnected before it was accepted, or a signal interrupted the call.
fn is_transient_accept_error(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
