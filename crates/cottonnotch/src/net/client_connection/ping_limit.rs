//! Limits how many PINGs of one connection are answered. A health check waits for each answer before it sends the next PING;
//! a client that does not wait could occupy the proxy without ever sending a request.

use cottonnotch_decision::Micros;

/// Maximum number of PINGs that are answered within [`WINDOW`]. It leaves room for the PINGs that a health check sends while the
/// process is suspended.
pub const MAX_PINGS: u32 = 64;
/// Duration of the window for [`MAX_PINGS`], in microseconds.
const WINDOW: Micros = 1_000_000;

/// The PINGs of one connection in the current window.
#[derive(Clone, Copy, Debug, Default)]
pub struct PingLimit {
    window_started: Micros,
    count: u32,
    /// Whether the connection has sent any PING.
    any: bool,
}

impl PingLimit {
    /// Counts a PING that arrives now. Returns whether it is to be answered.
    pub fn admit(&mut self, now: Micros) -> bool {
        if !self.any || now - self.window_started >= WINDOW {
            *self = PingLimit { window_started: now, count: 0, any: true };
        }
        self.count += 1;
        self.count <= MAX_PINGS
    }

    /// Whether the connection has sent any PING.
    pub fn any(&self) -> bool {
        self.any
    }
}

#[cfg(test)]
#[path = "ping_limit_tests.rs"]
mod tests;
