//! How the proxy's life changes: a new configuration, and the end.

use super::context::{Net, PART, ROUND};
use super::hot_restart::Replacement;
use super::management::shared_file;
use super::message_latency::Messages;
use super::request_table::Calls;
use super::shutdown::{self, Shutdown};
use crate::config::{BadConfig, Config};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Event, Micros, RequestId};
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use std::io;
use std::net::SocketAddr;

/// Gets the whole configuration anew, from both files.
pub type Reread = Box<dyn Fn() -> Result<Config, BadConfig>>;

/// Discovery is waited for so long at a start beside an earlier process, which goes on serving meanwhile.
const SETTLED_AFTER: Micros = 2_000_000;
/// Descriptors beside those of objects and of subchannels' sides: standard streams, the poll, signals' other ends.
const UNCOUNTED: usize = 10;

/// A configuration that was taken.
pub struct Reloaded {
    /// For the module.
    pub event: Event,
    /// Discovery is elsewhere now.
    pub moved: bool,
}

/// A round of the shutdown.
pub struct Round {
    /// To be moved now.
    pub leaving: Vec<RequestId>,
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
    replacement: Option<Replacement>,
    /// An earlier process serves still; `None`: that could not be told yet.
    has_elder: Option<bool>,
    hidden: RateLimitedLog,
    began: Micros,
}

impl Lifecycle {
    /// A process that starts. Others of its proxy are looked for only where operators can say when it is to take over.
    pub fn new(net: &Net, reread: Reread) -> Self {
        let began = net.now();
        let place = net.config.mgmt.and_then(|_| shared_file(net.config.listen, "process"));
        let replacement = place.map(|place| Replacement::new(place, began));
        let (shutdown, hidden) = (None, RateLimitedLog::default());
        let mut lifecycle = Lifecycle {
            address: net.config.listen,
            reread,
            shutdown,
            replacement,
            has_elder: None,
            hidden,
            began,
        };
        lifecycle.show(began);
        lifecycle
    }

    /// Clients may connect there.
    pub fn listens_on(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Shows this process to the others, if it isn't yet: the folder may be full for a while.
    fn show(&mut self, now: Micros) {
        if let Some(Err(error)) = self.replacement.as_mut().map(Replacement::show) {
            self.say_hidden(now, &error);
        }
    }

    fn say_hidden(&mut self, now: Micros, error: &io::Error) {
        if let Some(left_out) = self.hidden.due(now) {
            log::warn!(
                target: PART, error:%, left_out;
                "this process cannot show itself to others of its proxy, or not see them, and tries on: {error}"
            );
        }
    }

    /// Another process may find this one, now or once it can be shown.
    pub fn may_be_replaced(&self) -> bool {
        self.replacement.is_some()
    }

    /// Looks for other processes of this proxy, and tells them of this one; true if an earlier one serves still.
    pub fn has_elder(&mut self, net: &mut Net) -> bool {
        self.show(net.now());
        let Some(replacement) = &self.replacement else { return false };
        let others = match replacement.others() {
            Ok(others) => others,
            Err(error) => {
                self.say_hidden(net.now(), &error);
                // One is taken to be there until its time to show itself is over.
                return self.has_elder.unwrap_or(net.now() - self.began < SETTLED_AFTER);
            }
        };
        net.held_elsewhere = others.iter().map(|other| other.held).sum();
        if !others.is_empty() {
            // An RPC holds two, its own object's and the subchannel's; what is beyond objects is some ten.
            let held = net.reactor.connections() + net.rpcs + UNCOUNTED;
            // What can't be told leaves the other with what it heard before.
            let _ = replacement.tell_held(held);
        }
        let has_elder = others.iter().any(|other| replacement.is_elder(other));
        self.has_elder = Some(has_elder);
        has_elder
    }

    /// Clients that an earlier process serves are to be taken over: the list is discovery's own and calls by hand are known, or
    /// both have had their time.
    pub fn is_settled(&self, now: Micros, is_informed: bool) -> bool {
        is_informed || now - self.began >= SETTLED_AFTER
    }

    /// This process serves: an earlier one may leave.
    pub fn say_ready(&mut self) {
        if let Some(Err(error)) = self.replacement.as_mut().map(Replacement::say_ready) {
            log::warn!(target: PART, error:%; "an earlier process cannot be told that this one serves: {error}");
        }
    }

    /// A later process serves clients.
    pub fn has_successor(&self) -> bool {
        self.replacement.as_ref().is_some_and(Replacement::has_successor)
    }

    /// Takes a new configuration as a whole, or keeps the old one. No connection is touched.
    pub fn reload(&self, net: &mut Net, messages: &mut Messages) -> Option<Reloaded> {
        let reread = (self.reread)().and_then(|new| new.succeeds(&net.config).map(|()| new));
        let new = match reread {
            Ok(new) => new,
            Err(error) => {
                log::error!(
                    target: PART, key = error.key();
                    "configuration kept, the new one is faulty: {error}"
                );
                net.records.reload_kept(&error);
                return None;
            }
        };
        let old = &net.config;
        if new.listen != old.listen {
            log::warn!(
                target: PART, key = "listen", address:% = self.address;
                "listen cannot change while clients are served, still at {}", self.address
            );
        }
        if new.mgmt != old.mgmt {
            log::warn!(
                target: PART, key = "mgmt";
                "mgmt cannot change while clients are served, the old one stays"
            );
        }
        if new.tier != old.tier {
            log::warn!(
                target: PART, key = "peers";
                "peers cannot change while clients are served, the old ones go on"
            );
        }
        let operator = new.operator.succeed(&old.operator);
        log::info!(
            target: PART, discovery:% = new.discovery;
            "configuration read again, discovery at {}", new.discovery
        );
        let moved = new.discovery != old.discovery;
        let profile = new.profile.succeed(&old.profile);
        messages.set(&profile);
        net.records.set(&profile);
        net.records.reload_taken();
        net.reactor.io.buffer_bound = new.buffer_bound;
        if let Some(rules) = &mut net.rules {
            rules.reload(new.rules.clone(), &profile);
        } else if new.rules.is_some() {
            log::warn!(target: PART, "rules cannot begin while clients are served");
        }
        let event = Event::Settings(Box::new(profile.settings.clone()));
        let (known, tier) = (old.known.clone(), old.tier.clone());
        net.config = Config {
            listen: old.listen,
            mgmt: old.mgmt,
            seed: old.seed,
            known,
            tier,
            profile,
            operator,
            ..new
        };
        Some(Reloaded { event, moved })
    }

    /// The process was asked to stop; false if that goes on already.
    pub fn terminate(&mut self, net: &Net, calls: &Calls) -> bool {
        if self.shutdown.is_some() {
            return false;
        }
        let now = net.now();
        let Profile { settings, withdrawn, .. } = &net.config.profile;
        let offered = (0..).zip(&settings.classes).filter(|(number, _)| !withdrawn.contains(number));
        // Of those that are offered: who sends SIGKILL knows no others.
        let longest = offered.map(|(_, class)| class.deadline).max();
        let (rpcs, up) = (calls.len(), calls.up().count());
        log::info!(target: PART, rpcs, up; "asked to stop: clients are moved");
        net.records.shutdown();
        self.shutdown = Some(Shutdown::begin(now, longest.unwrap_or(0)));
        true
    }

    /// The next round of a shutdown, if one goes on; sets the timer of the one after.
    pub fn round(&mut self, net: &mut Net, calls: &Calls) -> Option<Round> {
        let now = net.now();
        let shutdown = self.shutdown.as_mut()?;
        net.timer_in(shutdown::ROUND, ROUND);
        let mut leaving: Vec<RequestId> = calls.up().map(|(_, id)| id).collect();
        leaving.truncate(shutdown.quota(now, leaving.len()));
        Some(Round { leaving, is_last: shutdown.is_last(now) })
    }

    /// A shutdown goes on.
    pub fn is_leaving(&self) -> bool {
        self.shutdown.is_some()
    }

    /// A shutdown is over.
    pub fn is_over(&self, now: Micros) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_over(now))
    }
}
