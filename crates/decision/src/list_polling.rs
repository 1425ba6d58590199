//! When the server list is asked for: at once where that can be, spread over the fleet, backing off while it fails.
//!
//! The list service answers one call after another and all nodes call it, often for the same reason: a joint start, an
//! outage that is over, watches that fell silent together. What it bears is a figure of the whole fleet, so each node
//! keeps to its part: with few nodes a call goes out at once, with 300 and more they are spread over a second.
//! The other end is a clock: whatever became of the last call, the next one is due within [`BETWEEN_CALLS`] of it.

use crate::interface::Micros;

/// A subscription that has said nothing for this long has fallen silent: beats come every 2 s. What it misses counts as
/// told 6 s after its last word, so what is left has to do for a call, and for one or two that fail.
pub const WATCH_SILENT_AFTER: Micros = 2_750_000;

/// Calls a second that the list service gets from all nodes together after a blow that hit all. Chosen: 300 nodes ask
/// again within the second that is left of the six after a silence has been noticed and a call has failed.
const FLEET_CALLS_PER_S: i64 = 300;
/// A second, in microseconds.
const SECOND: Micros = 1_000_000;
/// Wait after the first failed call; doubles with each further one, as far as [`BETWEEN_CALLS`] lets it.
const BACKOFF: Micros = SECOND / 2;
/// Longest time from a call that fails to the next. A change counts as told 6 s after the service had it and could be
/// reached, whatever became of earlier calls: 2 s are left for the next one to wait for its turn.
pub const BETWEEN_CALLS: Micros = 4 * SECOND;
/// A call that says nothing whole for so long has fallen silent, and whoever made it reports that: with its turn in the
/// spread, the next goes out 5 s after it.
pub const UNANSWERED_AFTER: Micros = 4 * SECOND;
/// A call of which nothing at all is reported is given up as lost after this: a long list may take its time.
const UNANSWERED: Micros = 15 * SECOND;
/// A subscription that held for so long shows that the service is well; a shorter one only that it was reached.
const HELD: Micros = 2 * SECOND;

/// When this node is to ask next.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListPoller {
    nodes: u32,
    due: Option<Micros>,
    failures: u32,
    /// When the last call went out, unless it was answered since.
    called: Option<Micros>,
    /// When the service first answered after the last failure.
    answered: Option<Micros>,
}

impl ListPoller {
    /// A node among so many that have not asked yet.
    pub fn among(nodes: u32) -> Self {
        ListPoller { nodes, ..ListPoller::default() }
    }

    /// The number of nodes has changed.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes;
    }

    /// Over this time all nodes' calls are spread: a second at most, what comes then waits for its turn at the service.
    fn spread(&self) -> Micros {
        (i64::from(self.nodes) * SECOND / FLEET_CALLS_PER_S).clamp(1, SECOND)
    }

    /// The copy that came with the start is there: asks soon. Returns after how long; `chance` is 0 to 1.
    ///
    /// Guards against all nodes asking a small service at once after a joint start: a second at least, as a start is
    /// noisy anyway and the copy serves meanwhile.
    pub fn started(&mut self, now: Micros, chance: f64) -> Micros {
        self.ask_in(now, part(self.spread().max(SECOND), chance))
    }

    /// The subscription has fallen silent: no failure of the service, so it is asked at once, in this node's part of
    /// the time over which the fleet spreads its calls.
    pub fn fell_silent(&mut self, now: Micros, chance: f64) -> Micros {
        self.ask_in(now, part(self.spread(), chance))
    }

    /// A call failed or the subscription broke. Returns after how long the next is made, and whether this failure is
    /// the one at which the operator is told.
    pub fn failed(&mut self, now: Micros, chance: f64) -> (Micros, bool) {
        // Guards against asking a service several times a second that answers and breaks off each time.
        if self.answered.take().is_some_and(|at| now - at >= HELD) {
            self.failures = 0;
        }
        self.failures = self.failures.saturating_add(1);
        let since = self.called.take().map_or(0, |at| now - at);
        let longest = (BETWEEN_CALLS - since).max(self.spread());
        let wait = (BACKOFF << (self.failures - 1).min(4)).max(self.spread());
        let after = if wait + wait / 2 <= longest {
            wait / 2 + part(wait, chance)
        } else {
            longest / 3 * 2 + part(longest / 3, chance)
        };
        (self.ask_in(now, after), self.failures == 3)
    }

    /// A call goes out now. Returns after how long it is given up unless something comes.
    pub fn called(&mut self, now: Micros) -> Micros {
        self.called = Some(now);
        self.ask_in(now, UNANSWERED)
    }

    /// The service has answered.
    pub fn answered(&mut self, now: Micros) {
        (self.due, self.called) = (None, None);
        self.answered = self.answered.or(Some(now));
    }

    /// The time for a call has come.
    pub fn is_due(&self, now: Micros) -> bool {
        self.due.is_some_and(|at| at <= now)
    }

    fn ask_in(&mut self, now: Micros, after: Micros) -> Micros {
        self.due = Some(now + after);
        after
    }
}

fn part(span: Micros, chance: f64) -> Micros {
    (span as f64 * chance) as Micros + 1
}
