//! How the proxy's life changes: a new configuration, and the end.

use super::calls::Calls;
use super::messages::Messages;
use super::net::{Net, PART, ROUND};
use super::shutdown::{self, Shutdown};
use crate::config::{BadConfig, Config};
use cottonnotch_decision::{Event, Micros, RequestId};
use std::net::SocketAddr;

/// Gets the whole configuration anew, from both files.
pub type Reread = Box<dyn Fn() -> Result<Config, BadConfig>>;

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
}

impl Lifecycle {
    pub fn new(address: SocketAddr, reread: Reread) -> Self {
        Lifecycle { address, reread, shutdown: None }
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes a new configuration as a whole, or keeps the old one. No connection is touched.
    pub fn reload(&self, net: &mut Net, messages: &mut Messages) -> Option<Reloaded> {
        let new = match (self.reread)() {
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
        let longest = net.config.profile.settings.classes.iter().map(|c| c.deadline).max();
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
