//! State that all parts of the driver share: the event loop, the configuration, the clocks and the records.

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

/// Timer that fires every second, and the lowest timer number of the driver: the decision module's tokens are
/// smaller.
pub const TICK_TIMER: u32 = 1 << 16;
/// Timer for the next round of a shutdown.
pub const DRAIN_ROUND_TIMER: u32 = TICK_TIMER + 1;
/// Timer for the next attempt to reopen connections that were open before the start.
pub const REOPEN_TIMER: u32 = TICK_TIMER + 2;
/// Timer to resume accepting clients.
pub const ACCEPT_CLIENTS_TIMER: u32 = TICK_TIMER + 3;
/// Timer of the peers' member.
pub const PEERS_TIMER: u32 = TICK_TIMER + 4;
/// Timer to resume accepting operators' connections.
pub const ACCEPT_ADMINS_TIMER: u32 = TICK_TIMER + 5;
/// Timer to look for other processes of this proxy.
pub const POLL_SIBLINGS_TIMER: u32 = TICK_TIMER + 6;
/// Timer to reject requests whose claims of their ids take too long.
pub const CLAIM_TIMER: u32 = TICK_TIMER + 7;

/// A sample of the wall clock is discarded if the readings of the event loop's clock before and after it are further
/// apart than this.
const MAX_SAMPLE_DURATION: Micros = 10_000;

/// The shared state of the driver's parts.
pub struct Context {
    /// The event loop.
    pub reactor: Reactor<dyn Object>,
    /// The current configuration.
    pub config: Config,
    /// Records and metrics.
    pub records: Records,
    /// Checks and counts each step of a request.
    pub audit: Audit,
    /// The machine's wall clock in relation to the event loop's clock.
    pub wall_clock: WallClock,
    /// Stores the wall clock's history for the next process.
    pub clock_file: ClockFile,
    /// The rules, or `None` if none are configured.
    pub rules: Option<RulesService>,
    /// Descriptors held by other processes of this proxy: all its processes share one limit.
    pub sibling_descriptors: usize,
    /// Requests in progress when the other processes were last polled.
    pub requests_in_progress: usize,
}

impl Context {
    /// The current time of the event loop's clock.
    pub fn now(&self) -> Micros {
        self.reactor.io.now()
    }

    /// Samples the wall clock. A sample that took too long is discarded, because the process may have been suspended
    /// during it.
    pub fn observe_wall_clock(&mut self) {
        let before = self.now();
        let unix = Clock::wall_now();
        let now = self.now();
        if now - before <= MAX_SAMPLE_DURATION && self.wall_clock.observe(now, unix) {
            log::warn!(target: LOG_TARGET, unix; "the wall clock was stepped; times continue by the monotonic clock");
            self.save_wall_clock();
        }
    }

    /// Stores the wall clock's history for the next process.
    pub fn save_wall_clock(&self) {
        if let Err(error) = self.clock_file.save(&self.wall_clock) {
            log::info!(target: LOG_TARGET, error:%; "what was seen of the wall clock cannot be stored: {error}");
        }
    }

    /// Sets a timer that fires after this time.
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

    /// Whether the client still waits for its answer and has no attempt in flight. A client that has left is
    /// reported.
    pub fn is_awaiting_answer(&mut self, key: Key) -> bool {
        self.with_client(key, |client, io| client.is_awaiting_answer(io)) == Some(true)
    }
}
