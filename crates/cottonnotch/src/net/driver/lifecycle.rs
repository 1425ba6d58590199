//! The state of the process: hot restart, reload of the configuration, and shutdown.

use super::context::{Context, DRAIN_ROUND_TIMER};
use super::hot_restart::HotRestart;
use super::log_target::LOG_TARGET;
use super::management::shared_file_path;
use super::message_latency::MessageLatency;
use super::open_ids::{MAX_USED_IDS, OpenIds, Sibling, TableFile};
use super::request_table::RequestTable;
use super::shutdown::{self, Shutdown};
use crate::config::{Config, ConfigError};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Event, Micros, RequestId};
use cottonnotch_reactor::listener::is_address_in_use;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Reads the whole configuration again, from both files.
pub type ReadConfig = Box<dyn Fn() -> Result<Config, ConfigError>>;

/// How long a process that starts beside a predecessor waits for discovery. The predecessor serves in the meantime.
const TAKEOVER_TIMEOUT: Micros = 2_000_000;
/// Descriptors other than those of reactor objects and of connections to endpoints: standard streams, the poll, the
/// other ends of the signal pipes and of the waker, the process file, and the tables of open ids.
const UNCOUNTED_DESCRIPTORS: usize = 14;

/// The result of applying a new configuration.
pub struct Reloaded {
    /// The event with the new settings, for the decision module.
    pub event: Event,
    /// Whether discovery's address has changed.
    pub discovery_moved: bool,
}

/// One round of the shutdown.
pub struct DrainRound {
    /// Requests to be migrated in this round.
    pub migrating: Vec<RequestId>,
    /// Whether this is the last round, after which all remaining requests are ended.
    pub is_last: bool,
}

/// Whether an earlier process of this proxy serves clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// There is no earlier process, or it has stopped.
    None,
    /// The earlier process accepts clients, and this process takes them over.
    Serving,
}

/// The state of the process: hot restart, configuration and shutdown.
pub struct Lifecycle {
    /// The address at which clients connect, with the port that the system chose if none was configured.
    address: SocketAddr,
    read_config: ReadConfig,
    shutdown: Option<Shutdown>,
    /// Finds other processes of this proxy. `None` if no operators' address or no shared folder is configured.
    hot_restart: Option<HotRestart>,
    /// The file in which this process publishes its open ids, or `None` if it could not be created yet.
    id_table: Option<Arc<TableFile>>,
    /// The other processes of this proxy that were alive at the last successful search.
    siblings: Vec<Sibling>,
    /// The number of processes that the decision module was last told.
    announced_processes: u32,
    /// Whether the last search for other processes succeeded.
    knows_siblings: bool,
    /// The result of the last successful search for a predecessor, or `None` before the first one.
    predecessor: Option<Predecessor>,
    hot_restart_failure_log: RateLimitedLog,
    /// When this process started.
    started_at: Micros,
}

impl Lifecycle {
    /// Creates the state of a starting process. It looks for other processes of its proxy only if an operators'
    /// address is configured: operators' status requests tell when it may take over.
    pub fn new(context: &Context, read_config: ReadConfig) -> Self {
        let started_at = context.now();
        let path = context.config.mgmt.and_then(|_| shared_file_path(context.config.listen, "process"));
        let hot_restart = path.map(|path| HotRestart::new(path, started_at));
        let (shutdown, hot_restart_failure_log) = (None, RateLimitedLog::default());
        let mut lifecycle = Lifecycle {
            address: context.config.listen,
            read_config,
            shutdown,
            hot_restart,
            id_table: None,
            siblings: Vec::new(),
            announced_processes: 1,
            knows_siblings: false,
            predecessor: None,
            hot_restart_failure_log,
            started_at,
        };
        lifecycle.publish_process_files(context);
        lifecycle
    }

    /// Sets the address at which clients connect.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Publishes this process's files, if that has not been done yet. This may fail for a while, for example because
    /// the folder is full.
    fn publish_process_files(&mut self, context: &Context) {
        if let Err(error) = self.try_publish(context.config.sockets) {
            self.log_hot_restart_failure(context.now(), &error);
        }
    }

    fn try_publish(&mut self, sockets: usize) -> io::Result<()> {
        let Some(hot_restart) = &mut self.hot_restart else { return Ok(()) };
        // In this order: a process whose file is there without a table is one that has none.
        if self.id_table.is_none() {
            let path = hot_restart.id_table_path(hot_restart.started_unix());
            self.id_table = Some(Arc::new(TableFile::create(&path, sockets + MAX_USED_IDS)?));
        }
        hot_restart.publish()
    }

    fn log_hot_restart_failure(&mut self, now: Micros, error: &io::Error) {
        if let Some(left_out) = self.hot_restart_failure_log.due(now) {
            log::warn!(
                target: LOG_TARGET, error:%, left_out;
                "this process cannot show itself to others of its proxy, or not see them, and retries: {error}"
            );
        }
    }

    /// Whether another process can find this one, now or once its file is published.
    pub fn can_hot_restart(&self) -> bool {
        self.hot_restart.is_some()
    }

    /// Looks for other processes of this proxy, and publishes how many descriptors this one holds.
    pub fn find_predecessor(&mut self, context: &mut Context) -> Predecessor {
        self.publish_process_files(context);
        let Some(hot_restart) = &self.hot_restart else { return Predecessor::None };
        let siblings = match hot_restart.siblings() {
            Ok(siblings) => siblings,
            Err(error) => {
                self.knows_siblings = false;
                self.log_hot_restart_failure(context.now(), &error);
                return self.assumed_predecessor(context.now());
            }
        };
        self.knows_siblings = true;
        let table_path = |started_unix| hot_restart.id_table_path(started_unix);
        self.siblings =
            siblings.iter().map(|sibling| Sibling::new(sibling.started_unix, table_path)).collect();
        self.siblings.sort();
        context.sibling_descriptors = siblings.iter().map(|sibling| sibling.descriptors).sum();
        if !siblings.is_empty() {
            // Each request uses two descriptors: one of its own object, which is among the connections, and one of
            // the endpoint's connection.
            let descriptors =
                context.reactor.connections() + context.requests_in_progress + UNCOUNTED_DESCRIPTORS;
            // If publishing fails, the other process uses the last number that it read.
            let _ = hot_restart.publish_descriptors(descriptors);
        }
        let has_predecessor = siblings.iter().any(|sibling| hot_restart.is_older(sibling));
        let predecessor = if has_predecessor { Predecessor::Serving } else { Predecessor::None };
        self.predecessor = Some(predecessor);
        predecessor
    }

    /// The predecessor to assume while the other processes cannot be examined: the last result, or before the first
    /// one a serving predecessor until `TAKEOVER_TIMEOUT` has passed.
    fn assumed_predecessor(&self, now: Micros) -> Predecessor {
        let assumed =
            if now - self.started_at < TAKEOVER_TIMEOUT { Predecessor::Serving } else { Predecessor::None };
        self.predecessor.unwrap_or(assumed)
    }

    /// Returns an event if the number of processes of this proxy has changed. Every process that is alive counts: one that
    /// starts or drains may still have requests to place.
    pub fn process_count_change(&mut self) -> Option<Event> {
        let count = 1 + self.siblings.len() as u32;
        let has_changed = std::mem::replace(&mut self.announced_processes, count) != count;
        has_changed.then_some(Event::Processes(count))
    }

    /// Tells the exchange of open ids which other processes are alive. This may fail for a while; the next call retries.
    pub fn update_open_ids(&mut self, context: &mut Context, open_ids: &mut OpenIds) {
        let Some(hot_restart) = &self.hot_restart else { return };
        let (started_unix, file) = (hot_restart.started_unix(), self.id_table.as_ref());
        if let Err(error) = open_ids.set_siblings(context, started_unix, file, &self.siblings) {
            self.log_hot_restart_failure(context.now(), &error);
        }
    }

    /// Whether no client of this process can have an id that is open at another process without either noticing. While this
    /// process cannot show itself to others or not see them, that is so if nobody else listens at its address.
    pub fn is_exchanging_ids(&self, open_ids: &OpenIds) -> bool {
        match &self.hot_restart {
            None => true,
            Some(hot_restart) if hot_restart.is_published() && self.knows_siblings => {
                open_ids.is_acknowledged_by(&self.siblings)
            }
            Some(_) => !is_address_in_use(self.address),
        }
    }

    /// Whether this process may take over the clients of its predecessor. `is_informed` means that discovery has sent
    /// its list and the manual overrides are loaded; otherwise the timeout for both must have passed.
    pub fn can_take_over(&self, now: Micros, is_informed: bool) -> bool {
        is_informed || now - self.started_at >= TAKEOVER_TIMEOUT
    }

    /// Announces that this process serves clients, so that its predecessor may stop.
    pub fn announce_ready(&mut self) {
        if let Some(Err(error)) = self.hot_restart.as_mut().map(HotRestart::announce_ready) {
            log::warn!(target: LOG_TARGET, error:%; "an earlier process cannot be told that this one serves: {error}");
        }
    }

    /// Whether a later process serves clients.
    pub fn has_successor(&self) -> bool {
        self.hot_restart.as_ref().is_some_and(HotRestart::has_successor)
    }

    /// Applies a new configuration as a whole, or keeps the old one. Connections are not affected.
    pub fn reload(&self, context: &mut Context, latency: &mut MessageLatency) -> Option<Reloaded> {
        let read = (self.read_config)().and_then(|new| new.check_replaces(&context.config).map(|()| new));
        let new = match read {
            Ok(new) => new,
            Err(error) => {
                log::error!(
                    target: LOG_TARGET, key = error.key();
                    "configuration kept, the new one is faulty: {error}"
                );
                context.records.reload_rejected(&error);
                return None;
            }
        };
        self.log_ignored_changes(&context.config, &new);
        let operator = new.operator.replacing(&context.config.operator);
        let new = Config { operator, ..new };
        log::info!(
            target: LOG_TARGET, discovery:% = new.discovery;
            "configuration read again, discovery at {}", new.discovery
        );
        let discovery_moved = new.discovery != context.config.discovery;
        let profile = new.profile.renumbered_from(&context.config.profile);
        let new = Config { profile, ..new };
        latency.configure(&new.profile);
        context.records.configure(&new.profile);
        context.records.reload_applied();
        context.reactor.io.buffer_bound = new.buffer_bound;
        reload_rules(context, &new);
        let event = Event::Settings(Box::new(new.profile.settings.clone()));
        context.config = merge_config(&context.config, new);
        Some(Reloaded { event, discovery_moved })
    }

    /// Logs the changes that take effect only after a restart.
    fn log_ignored_changes(&self, old: &Config, new: &Config) {
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
    }

    /// Begins the shutdown. Returns false if it has already begun.
    pub fn terminate(&mut self, context: &Context, requests: &RequestTable) -> bool {
        if self.shutdown.is_some() {
            return false;
        }
        let now = context.now();
        let Profile { settings, withdrawn, .. } = &context.config.profile;
        let offered = (0..).zip(&settings.classes).filter(|(number, _)| !withdrawn.contains(number));
        // Withdrawn classes do not count: the supervisor, which sends SIGKILL, knows only the offered classes.
        let longest_deadline = offered.map(|(_, class)| class.deadline).max();
        let (requests, up) = (requests.len(), requests.established().count());
        log::info!(target: LOG_TARGET, requests, up; "asked to stop: clients are migrated");
        context.records.shutdown();
        self.shutdown = Some(Shutdown::begin(now, longest_deadline.unwrap_or(0)));
        true
    }

    /// Computes the next round of the shutdown and sets the timer for the following one. Returns `None` if no
    /// shutdown is in progress.
    pub fn next_drain_round(&mut self, context: &mut Context, requests: &RequestTable) -> Option<DrainRound> {
        let now = context.now();
        let shutdown = self.shutdown.as_mut()?;
        context.set_timer(shutdown::ROUND_INTERVAL, DRAIN_ROUND_TIMER);
        let mut migrating: Vec<RequestId> = requests.established().map(|(_, id)| id).collect();
        migrating.truncate(shutdown.quota(now, migrating.len()));
        Some(DrainRound { migrating, is_last: shutdown.is_last(now) })
    }

    /// Whether a shutdown is in progress.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether the shutdown is complete.
    pub fn is_over(&self, now: Micros) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_over(now))
    }
}

fn reload_rules(context: &mut Context, new: &Config) {
    if let Some(rules) = &mut context.rules {
        rules.reload(new.rules.clone(), &new.profile);
    } else if new.rules.is_some() {
        log::warn!(target: LOG_TARGET, "rules cannot begin while clients are served");
    }
}

/// The new configuration, with the old values of everything that cannot change while clients are served.
fn merge_config(old: &Config, new: Config) -> Config {
    Config {
        listen: old.listen,
        mgmt: old.mgmt,
        seed: old.seed,
        initial_endpoints: old.initial_endpoints.clone(),
        peer_addresses: old.peer_addresses.clone(),
        ..new
    }
}
