//! What every part of the driver uses: the loop, the configuration, the clocks, and the records.

use super::audit::Audit;
use super::clock_file::ClockFile;
use super::log_target::LOG_TARGET;
use super::records::Records;
use crate::config::Config;
use crate::net::client_protocol::ClientProtocol;
use crate::net::network_event::Io;
use crate::net::object::Object;
use crate::rules::RulesService;
use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::WallClock;
use cottonnotch_reactor::{Clock, Key, Reactor};

/// The first of the driver's timers, every second: the decision module's tokens are below it.
pub const TICK: u32 = 1 << 16;
/// The next round of a shutdown is due.
pub const DRAIN_ROUND: u32 = TICK + 1;
/// Connections from before the start are tried again.
pub const REOPEN: u32 = TICK + 2;
/// Accepting clients goes on.
pub const ACCEPT_CLIENTS: u32 = TICK + 3;
/// The peers' member has something to do.
pub const PEERS: u32 = TICK + 4;
/// Accepting operators goes on.
pub const ACCEPT_ADMINS: u32 = TICK + 5;
/// Other processes of this proxy are looked at.
pub const POLL_SIBLINGS: u32 = TICK + 6;

/// Two readings of the loop's clock around one of the wall clock are no further apart than this, or the sample is void.
const MAX_SAMPLE_TIME: Micros = 10_000;

/// The loop, the configuration and the records.
pub struct Context {
    /// The event loop.
    pub reactor: Reactor<dyn Object>,
    /// The configuration that counts now.
    pub config: Config,
    /// Records and metrics.
    pub records: Records,
    /// Checks and counts what is done with each request.
    pub audit: Audit,
    /// The machine's wall clock beside the loop's.
    pub wall_clock: WallClock,
    /// Where that is stored for the next process.
    pub clock_file: ClockFile,
    /// The rules, if there are any.
    pub rules: Option<RulesService>,
    /// Descriptors that other processes of this proxy hold: the limit is for all of them.
    pub sibling_descriptors: usize,
    /// Requests in progress, as of the last poll of the other processes.
    pub requests: usize,
}

impl Context {
    /// The present time.
    pub fn now(&self) -> Micros {
        self.reactor.io.now()
    }

    /// Reads the wall clock. A reading during which the process stood still says nothing, and is left to the next one.
    pub fn observe_wall_clock(&mut self) {
        let before = self.now();
        let unix = Clock::wall_now();
        let now = self.now();
        if now - before <= MAX_SAMPLE_TIME && self.wall_clock.observe(now, unix) {
            log::warn!(target: LOG_TARGET, unix; "the wall clock was stepped; times go on by the monotonic clock");
            self.save_wall_clock();
        }
    }

    /// Stores what is known of the wall clock for the next process.
    pub fn save_wall_clock(&self) {
        if let Err(error) = self.clock_file.save(&self.wall_clock) {
            log::info!(target: LOG_TARGET, error:%; "what was seen of the wall clock cannot be stored: {error}");
        }
    }

    /// Reports the timer after this time.
    pub fn set_timer(&mut self, after: Micros, timer: u32) {
        let now = self.now();
        self.reactor.io.owner_timer(now + after, timer);
    }

    /// Calls `use_client` on a client's connection, if it still exists.
    pub fn with_client<T>(
        &mut self,
        key: Key,
        use_client: impl FnOnce(&mut dyn ClientProtocol, &mut Io) -> T,
    ) -> Option<T> {
        self.reactor.with(key, |object, io| object.client().map(|client| use_client(client, io))).flatten()
    }

    /// Whether the client still waits for its answer and no attempt is in flight; a client that has left is reported.
    pub fn is_awaiting_answer(&mut self, key: Key) -> bool {
        self.with_client(key, |client, io| client.is_awaiting_answer(io)) == Some(true)
    }
}
