//! How the proxy's life changes: a new configuration, and the end.

use super::context::{Context, DRAIN_ROUND, LOG_TARGET};
use super::hot_restart::HotRestart;
use super::management::shared_file;
use super::message_latency::MessageLatency;
use super::request_table::RequestTable;
use super::shutdown::{self, Shutdown};
use crate::config::{Config, ConfigError};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Event, Micros, RequestId};
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use std::io;
use std::net::SocketAddr;

/// Gets the whole configuration anew, from both files.
pub type Reread = Box<dyn Fn() -> Result<Config, ConfigError>>;

/// Discovery is waited for so long at a start beside an earlier process, which goes on serving meanwhile.
const TAKEOVER_TIMEOUT: Micros = 2_000_000;
/// Descriptors beside those of objects and of endpoints' sides: standard streams, the poll, signals' other ends.
const UNCOUNTED_DESCRIPTORS: usize = 10;

/// A configuration that was taken.
pub struct Reloaded {
    /// For the module.
    pub event: Event,
    /// Discovery is elsewhere now.
    pub discovery_moved: bool,
}

/// A round of the shutdown.
pub struct DrainRound {
    /// To be moved now.
    pub migrating: Vec<RequestId>,
    /// What is still there afterwards is abandoned.
    pub is_last: bool,
}

/// What it takes to change.
pub struct Lifecycle {
    /// Where clients connect, also where the system chose the port.
    address: SocketAddr,
    reread: Reread,
    shutdown: Option<Shutdown>,
    /// This process among others of its proxy, where they can meet.
    hot_restart: Option<HotRestart>,
    /// An earlier process serves still; `None`: that could not be told yet.
    has_predecessor: Option<bool>,
    hidden_log: RateLimitedLog,
    began: Micros,
}

impl Lifecycle {
    /// A process that starts. Others of its proxy are looked for only where operators can say when it is to take over.
    pub fn new(context: &Context, reread: Reread) -> Self {
        let began = context.now();
        let path = context.config.mgmt.and_then(|_| shared_file(context.config.listen, "process"));
        let hot_restart = path.map(|path| HotRestart::new(path, began));
        let (shutdown, hidden_log) = (None, RateLimitedLog::default());
        let mut lifecycle = Lifecycle {
            address: context.config.listen,
            reread,
            shutdown,
            hot_restart,
            has_predecessor: None,
            hidden_log,
            began,
        };
        lifecycle.show(began);
        lifecycle
    }

    /// Clients may connect there.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Shows this process to the others, if it isn't yet: the folder may be full for a while.
    fn show(&mut self, now: Micros) {
        if let Some(Err(error)) = self.hot_restart.as_mut().map(HotRestart::show) {
            self.log_hidden(now, &error);
        }
    }

    fn log_hidden(&mut self, now: Micros, error: &io::Error) {
        if let Some(left_out) = self.hidden_log.due(now) {
            log::warn!(
                target: LOG_TARGET, error:%, left_out;
                "this process cannot show itself to others of its proxy, or not see them, and tries on: {error}"
            );
        }
    }

    /// Another process may find this one, now or once it can be shown.
    pub fn can_hot_restart(&self) -> bool {
        self.hot_restart.is_some()
    }

    /// Looks for other processes of this proxy, and tells them of this one; true if an earlier one serves still.
    pub fn has_predecessor(&mut self, context: &mut Context) -> bool {
        self.show(context.now());
        let Some(hot_restart) = &self.hot_restart else { return false };
        let siblings = match hot_restart.siblings() {
            Ok(siblings) => siblings,
            Err(error) => {
                self.log_hidden(context.now(), &error);
                // One is taken to be there until its time to show itself is over.
                return self.has_predecessor.unwrap_or(context.now() - self.began < TAKEOVER_TIMEOUT);
            }
        };
        context.sibling_descriptors = siblings.iter().map(|sibling| sibling.held).sum();
        if !siblings.is_empty() {
            // A request holds two, its own object's and the endpoint's; what is beyond objects is some ten.
            let held = context.reactor.connections() + context.requests + UNCOUNTED_DESCRIPTORS;
            // What can't be told leaves the other with what it heard before.
            let _ = hot_restart.publish_descriptors(held);
        }
        let has_predecessor = siblings.iter().any(|sibling| hot_restart.is_older(sibling));
        self.has_predecessor = Some(has_predecessor);
        has_predecessor
    }

    /// Clients that an earlier process serves are to be taken over: the list is discovery's own and calls by hand are known, or
    /// both have had their time.
    pub fn can_take_over(&self, now: Micros, has_maintenance: bool) -> bool {
        has_maintenance || now - self.began >= TAKEOVER_TIMEOUT
    }

    /// This process serves: an earlier one may leave.
    pub fn announce_ready(&mut self) {
        if let Some(Err(error)) = self.hot_restart.as_mut().map(HotRestart::announce_ready) {
            log::warn!(target: LOG_TARGET, error:%; "an earlier process cannot be told that this one serves: {error}");
        }
    }

    /// A later process serves clients.
    pub fn has_successor(&self) -> bool {
        self.hot_restart.as_ref().is_some_and(HotRestart::has_successor)
    }

    /// Takes a new configuration as a whole, or keeps the old one. No connection is touched.
    pub fn reload(&self, context: &mut Context, latency: &mut MessageLatency) -> Option<Reloaded> {
        let reread = (self.reread)().and_then(|new| new.check_replaces(&context.config).map(|()| new));
        let new = match reread {
            Ok(new) => new,
            Err(error) => {
                log::error!(
                    target: LOG_TARGET, key = error.key();
                    "configuration kept, the new one is faulty: {error}"
                );
                context.records.reload_kept(&error);
                return None;
            }
        };
        let old = &context.config;
        if new.listen != old.listen {
            log::warn!(
                target: LOG_TARGET, key = "listen", address:% = self.address;
                "listen cannot change while clients are served, still at {}", self.address
            );
        }
        if new.mgmt != old.mgmt {
            log::warn!(
                target: LOG_TARGET, key = "mgmt";
                "mgmt cannot change while clients are served, the old one stays"
            );
        }
        if new.peer_addresses != old.peer_addresses {
            log::warn!(
                target: LOG_TARGET, key = "peers";
                "peers cannot change while clients are served, the old ones go on"
            );
        }
        let operator = new.operator.replacing(&old.operator);
        log::info!(
            target: LOG_TARGET, discovery:% = new.discovery;
            "configuration read again, discovery at {}", new.discovery
        );
        let discovery_moved = new.discovery != old.discovery;
        let profile = new.profile.renumbered_from(&old.profile);
        latency.set(&profile);
        context.records.set(&profile);
        context.records.reload_taken();
        context.reactor.io.buffer_bound = new.buffer_bound;
        if let Some(rules) = &mut context.rules {
            rules.reload(new.rules.clone(), &profile);
        } else if new.rules.is_some() {
            log::warn!(target: LOG_TARGET, "rules cannot begin while clients are served");
        }
        let event = Event::Settings(Box::new(profile.settings.clone()));
        let (initial_endpoints, peer_addresses) = (old.initial_endpoints.clone(), old.peer_addresses.clone());
        context.config = Config {
            listen: old.listen,
            mgmt: old.mgmt,
            seed: old.seed,
            initial_endpoints,
            peer_addresses,
            profile,
            operator,
            ..new
        };
        Some(Reloaded { event, discovery_moved })
    }

    /// The process was asked to stop; false if that goes on already.
    pub fn terminate(&mut self, context: &Context, requests: &RequestTable) -> bool {
        if self.shutdown.is_some() {
            return false;
        }
        let now = context.now();
        let Profile { settings, withdrawn, .. } = &context.config.profile;
        let offered = (0..).zip(&settings.classes).filter(|(number, _)| !withdrawn.contains(number));
        // Of those that are offered: who sends SIGKILL knows no others.
        let longest = offered.map(|(_, class)| class.deadline).max();
        let (requests, up) = (requests.len(), requests.up().count());
        log::info!(target: LOG_TARGET, requests, up; "asked to stop: clients are moved");
        context.records.shutdown();
        self.shutdown = Some(Shutdown::begin(now, longest.unwrap_or(0)));
        true
    }

    /// The next round of a shutdown, if one goes on; sets the timer of the one after.
    pub fn next_round(&mut self, context: &mut Context, requests: &RequestTable) -> Option<DrainRound> {
        let now = context.now();
        let shutdown = self.shutdown.as_mut()?;
        context.set_timer(shutdown::DRAIN_ROUND, DRAIN_ROUND);
        let mut migrating: Vec<RequestId> = requests.up().map(|(_, id)| id).collect();
        migrating.truncate(shutdown.quota(now, migrating.len()));
        Some(DrainRound { migrating, is_last: shutdown.is_last(now) })
    }

    /// A shutdown goes on.
    pub fn is_draining(&self) -> bool {
        self.shutdown.is_some()
    }

    /// A shutdown is over.
    pub fn is_over(&self, now: Micros) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_over(now))
    }
}
