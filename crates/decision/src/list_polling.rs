//! When the server list is polled: at once where that can be, spread over the fleet, with backoff while it fails.
//!
//! The list service answers one call after another and all nodes call it, often for the same reason: a joint start, an
//! outage that is over, watches that fell silent together. What it bears is a figure of the whole fleet, so each node
//! keeps to its share: with few nodes a call goes out at once, with 300 and more they are spread over a second.
//! The other end is a clock: whatever became of the last call, the next one is due within [`BETWEEN_CALLS`] of it.

use crate::interface::{Micros, SECOND};

/// A subscription that has sent nothing for this long has fallen silent: heartbeats come every 2 s. A change that it misses
/// counts as notified 6 s after its last message, so what is left has to do for a call, and for one or two that fail.
pub const WATCH_SILENT_AFTER: Micros = 2_750_000;

/// Calls a second that the list service gets from all nodes together after a fault that hit all. Chosen: 300 nodes poll
/// again within the second that is left of the six after a silence has been noticed and a call has failed.
const FLEET_CALLS_PER_S: i64 = 300;
/// Wait after the first failed call; doubles with each further one, as far as [`BETWEEN_CALLS`] lets it.
const BACKOFF: Micros = SECOND / 2;
/// Longest time from a call that fails to the next. A change counts as notified 6 s after the service had it and could be
/// reached, whatever became of earlier calls: 2 s are left for the next one to wait for its turn.
pub const BETWEEN_CALLS: Micros = 4 * SECOND;
/// A call that brings no complete answer for so long has fallen silent, and its caller reports that: with its place in
/// the spread, the next goes out 5 s after it.
pub const UNANSWERED_AFTER: Micros = 4 * SECOND;
/// A call of which nothing at all is reported is given up as lost after this: a long list may take its time.
const LOST_AFTER: Micros = 15 * SECOND;
/// A subscription that lasted for so long shows that the service is well; a shorter one only that it was reached.
const STABLE_AFTER: Micros = 2 * SECOND;
/// Failures in a row at which the operator is notified.
const REPORTED_FAILURES: u32 = 3;
/// Doublings after which the backoff grows no more.
const MAX_DOUBLINGS: u32 = 4;

/// When this node is to poll next.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListPoller {
    nodes: u32,
    next_poll: Option<Micros>,
    consecutive_failures: u32,
    /// When the last call went out, unless it was answered since.
    called_at: Option<Micros>,
    /// When the service first answered after the last failure.
    answered_at: Option<Micros>,
}

impl ListPoller {
    /// A node among so many that have not polled yet.
    pub fn among(nodes: u32) -> Self {
        ListPoller { nodes, ..ListPoller::default() }
    }

    /// The number of nodes has changed.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes;
    }

    /// Over this time all nodes' calls are spread: a second at most, later ones wait for their turn at the service.
    fn spread(&self) -> Micros {
        (i64::from(self.nodes) * SECOND / FLEET_CALLS_PER_S).clamp(1, SECOND)
    }

    /// The copy that came with the start is there: polls soon. Returns after how long; `chance` is 0 to 1.
    ///
    /// Guards against all nodes calling a small service at once after a joint start: a second at least, as a start is
    /// noisy anyway and the copy serves meanwhile.
    pub fn started(&mut self, now: Micros, chance: f64) -> Micros {
        self.poll_in(now, random_share(self.spread().max(SECOND), chance))
    }

    /// The subscription has fallen silent: no failure of the service, so it is polled at once, at this node's place in
    /// the time over which the fleet spreads its calls. Returns after how long; `chance` is 0 to 1.
    pub fn fell_silent(&mut self, now: Micros, chance: f64) -> Micros {
        self.poll_in(now, random_share(self.spread(), chance))
    }

    /// A call failed or the subscription broke; `chance` is 0 to 1. Returns after how long the next call is made, and
    /// whether this failure is the one at which the operator is notified.
    pub fn failed(&mut self, now: Micros, chance: f64) -> (Micros, bool) {
        // Guards against calling a service several times a second that answers and breaks off each time.
        if self.answered_at.take().is_some_and(|at| now - at >= STABLE_AFTER) {
            self.consecutive_failures = 0;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let after = self.backoff(now, chance);
        self.called_at = None;
        (self.poll_in(now, after), self.consecutive_failures == REPORTED_FAILURES)
    }

    /// Exponential, with jitter over the last two thirds of it, and no longer than the clock of the list leaves.
    fn backoff(&self, now: Micros, chance: f64) -> Micros {
        let since_call = self.called_at.map_or(0, |at| now - at);
        let longest = (BETWEEN_CALLS - since_call).max(self.spread());
        let doublings = (self.consecutive_failures - 1).min(MAX_DOUBLINGS);
        let wait = (BACKOFF << doublings).max(self.spread());
        if wait + wait / 2 <= longest {
            wait / 2 + random_share(wait, chance)
        } else {
            longest / 3 * 2 + random_share(longest / 3, chance)
        }
    }

    /// A call goes out now. Returns after how long it is given up unless something arrives.
    pub fn called(&mut self, now: Micros) -> Micros {
        self.called_at = Some(now);
        self.poll_in(now, LOST_AFTER)
    }

    /// The service has answered.
    pub fn answered(&mut self, now: Micros) {
        (self.next_poll, self.called_at) = (None, None);
        self.answered_at = self.answered_at.or(Some(now));
    }

    /// Whether a call is due.
    pub fn is_due(&self, now: Micros) -> bool {
        self.next_poll.is_some_and(|at| at <= now)
    }

    fn poll_in(&mut self, now: Micros, after: Micros) -> Micros {
        self.next_poll = Some(now + after);
        after
    }
}

/// A random part of a span, never 0; `chance` is 0 to 1.
fn random_share(span: Micros, chance: f64) -> Micros {
    (span as f64 * chance) as Micros + 1
}
