//! What every part of the driver uses: the loop, what the proxy was told, and the records.

use super::audit::Audit;
use super::clock_file::ClockFile;
use super::records::Records;
use crate::config::Config;
use crate::net::network_event::{ClientProtocol, Io, Object};
use crate::rules::RulesService;
use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::WallClock;
use cottonnotch_reactor::{Clock, Key, Reactor};

/// The driver's timers: the module's tokens are below these.
pub const TICK: u32 = 1 << 16;
pub const DRAIN_ROUND: u32 = TICK + 1;
pub const REOPEN: u32 = TICK + 2;
pub const ACCEPT_CLIENTS: u32 = TICK + 3;
pub const PEERS: u32 = TICK + 4;
pub const ACCEPT_ADMINS: u32 = TICK + 5;
pub const POLL_SIBLINGS: u32 = TICK + 6;

/// The driver's part in the log, whichever of its files writes the line: filters and collectors know it by this.
pub const LOG_TARGET: &str = "cottonnotch::net::driver";

/// Two looks at the loop's clock around one at the wall clock are no further apart than this, or the look is void.
const SAMPLE_WITHIN: Micros = 10_000;

/// The loop, the configuration and the records.
pub struct Context {
    pub reactor: Reactor<dyn Object>,
    pub config: Config,
    pub records: Records,
    /// Checks and counts what is done with each request.
    pub audit: Audit,
    /// The machine's wall clock beside the loop's, and where that is kept for the next process.
    pub wall_clock: WallClock,
    pub clock_file: ClockFile,
    /// The rules, if there are any.
    pub rules: Option<RulesService>,
    /// Descriptors that other processes of this proxy hold: the limit is for all of them.
    pub sibling_descriptors: usize,
    /// requests that are being served, as of the last look.
    pub requests: usize,
}

impl Context {
    /// The present time.
    pub fn now(&self) -> Micros {
        self.reactor.io.now()
    }

    /// Looks at the wall clock. A look during which the process stood still says nothing, and is left to the next one.
    pub fn observe_wall_clock(&mut self) {
        let before = self.now();
        let unix = Clock::wall();
        let now = self.now();
        if now - before <= SAMPLE_WITHIN && self.wall_clock.observe(now, unix) {
            log::warn!(target: LOG_TARGET, unix; "the wall clock was stepped; times go on by the monotonic clock");
            self.save_wall_clock();
        }
    }

    /// Keeps what is known of the wall clock for the next process.
    pub fn save_wall_clock(&self) {
        if let Err(error) = self.clock_file.save(&self.wall_clock) {
            log::info!(target: LOG_TARGET, error:%; "what was seen of the wall clock cannot be kept: {error}");
        }
    }

    /// Reports the timer after this time.
    pub fn set_timer(&mut self, after: Micros, timer: u32) {
        let now = self.now();
        self.reactor.io.owner_timer(now + after, timer);
    }

    /// Calls `use_it` on a client's request, if it still exists.
    pub fn with_client<T>(
        &mut self,
        key: Key,
        use_it: impl FnOnce(&mut dyn ClientProtocol, &mut Io) -> T,
    ) -> Option<T> {
        self.reactor.with(key, |object, io| object.client().map(|client| use_it(client, io))).flatten()
    }
}
