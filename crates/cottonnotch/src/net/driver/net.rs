//! What every part of the driver uses: the loop, what the proxy was told, and the records.

use super::audit::Audit;
use super::records::Records;
use crate::config::Config;
use crate::net::happening::{Front, Io, Object};
use crate::rules::Rulebook;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::{Key, Reactor};

/// The driver's timers: the module's tokens are below these.
pub const TICK: u32 = 1 << 16;
pub const ROUND: u32 = TICK + 1;
pub const REOPEN: u32 = TICK + 2;
pub const ACCEPT: u32 = TICK + 3;
pub const GOSSIP: u32 = TICK + 4;
pub const CALLERS: u32 = TICK + 5;
pub const LOOK: u32 = TICK + 6;

/// The driver's part in the log, whichever of its files writes the line: filters and collectors know it by this.
pub const PART: &str = "cottonnotch::net::driver";

/// The loop, the configuration and the records.
pub struct Net {
    pub reactor: Reactor<dyn Object>,
    pub config: Config,
    pub records: Records,
    /// Checks and counts what is done with each request.
    pub audit: Audit,
    /// The rules, if there are any.
    pub rules: Option<Rulebook>,
    /// Descriptors that other processes of this proxy hold: the limit is for all of them.
    pub held_elsewhere: usize,
    /// RPCs that are being served, as of the last look.
    pub rpcs: usize,
}

impl Net {
    /// The present time.
    pub fn now(&self) -> Micros {
        self.reactor.io.now()
    }

    /// Reports the timer after this time.
    pub fn timer_in(&mut self, after: Micros, timer: u32) {
        let now = self.now();
        self.reactor.io.owner_timer(now + after, timer);
    }

    /// Calls `use_it` on a client's RPC, if it still exists.
    pub fn with_front<T>(
        &mut self,
        key: Key,
        use_it: impl FnOnce(&mut dyn Front, &mut Io) -> T,
    ) -> Option<T> {
        self.reactor.with(key, |object, io| object.front().map(|front| use_it(front, io))).flatten()
    }
}
