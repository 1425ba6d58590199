//! Schedules the polls of the server list, with jitter that depends on the size of the fleet and with backoff
//! while calls fail.
//!
//! The list service answers calls one after another. All nodes often call it for the same reason: they
//! started together, an outage has ended, or their watches fell silent at the same time. The service has a
//! limited rate for the whole fleet, so each node keeps to its share of that rate. In a small fleet a call
//! goes out almost at once; in a fleet of 300 nodes or more the calls are spread over one second. The delay
//! is limited, so that the node does not miss changes for too long: the next call is due within
//! [`MAX_CALL_INTERVAL`] of the last one, however that one ended, and within [`MAX_PUSHED_CALL_INTERVAL`] of a
//! failed one if the list is pushed.

use crate::interface::{Micros, SECOND};

/// Time without a message after which a subscription counts as silent (see [`silent_after`]). Heartbeats come
/// every 2 s. A change that a silent subscription misses counts as notified 6 s after the last message; the
/// time left must suffice for one successful call after one or two failed ones.
pub const WATCH_SILENT_AFTER: Micros = 2_750_000;

/// Time after which a change counts as notified to a node whose subscription has missed it.
const NOTIFIED_AFTER: Micros = 6 * SECOND;
/// Lower limit of the time without a message after which a subscription counts as silent. Heartbeats come every
/// 2 s.
const MIN_SILENT_AFTER: Micros = 2_250_000;

/// Returns the time without a message after which a subscription counts as silent, if its own first answer took
/// `answer_time`: the next one is likely to take as long, and has to be there when changes count as notified.
pub fn silent_after(answer_time: Micros) -> Micros {
    (NOTIFIED_AFTER - answer_time).clamp(MIN_SILENT_AFTER, WATCH_SILENT_AFTER)
}

/// Rate of calls that all nodes together send to the list service after a fault that affects the whole fleet.
/// After a silence was detected and a call has failed, one of the six seconds is left; at this rate, 300
/// nodes poll again within that second.
const FLEET_CALLS_PER_S: i64 = 300;
/// Delay after the first failed call. It doubles with each further failure, within the limit of the maximum
/// interval between calls.
const INITIAL_BACKOFF: Micros = SECOND / 2;
/// Maximum time from a failing call to the next one. A change counts as notified 6 s after the service had it
/// and could be reached, even if earlier calls failed; this leaves 2 s for the next call to wait in the
/// service's queue.
pub const MAX_CALL_INTERVAL: Micros = 4 * SECOND;
/// The same if the list is pushed: a change counts as notified as soon as the service has it and can be reached,
/// and a node must have stopped using a draining server one second later. The rest is for the call itself.
pub const MAX_PUSHED_CALL_INTERVAL: Micros = 3 * SECOND / 4;
/// Time without a complete answer after which the caller reports a call as silent. Together with the spread
/// of the fleet's calls, the next call goes out at most 5 s after the silent one. The silent one may still be
/// answered: a slow service would never answer if each call were withdrawn.
pub const UNANSWERED_AFTER: Micros = 4 * SECOND;
/// Time after which a call counts as lost if the caller reports nothing about it. A long list takes time to
/// arrive.
const LOST_CALL_TIMEOUT: Micros = 15 * SECOND;
/// Duration after which a subscription shows that the service is healthy. A shorter one only shows that the
/// service was reachable.
const MIN_STABLE_DURATION: Micros = 2 * SECOND;
/// Number of consecutive failures at which the operator is notified.
const FAILURES_UNTIL_NOTIFIED: u32 = 3;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Determines when this node polls the server list next.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListPoller {
    nodes: u32,
    list_pushed: bool,
    next_poll: Option<Micros>,
    consecutive_failures: u32,
    /// When the last call went out; `None` if it was answered or has failed.
    called_at: Option<Micros>,
    /// When the service first answered after the last failure; `None` if it has not answered since.
    answered_at: Option<Micros>,
}

impl ListPoller {
    /// Returns the poller of a node in a fleet of `nodes`, before the first poll. `list_pushed` is as in
    /// [`Settings`](crate::Settings).
    pub fn new(nodes: u32, list_pushed: bool) -> Self {
        ListPoller { nodes, list_pushed, ..ListPoller::default() }
    }

    /// Applies changed settings. A call that is scheduled keeps its time.
    pub fn configure(&mut self, nodes: u32, list_pushed: bool) {
        (self.nodes, self.list_pushed) = (nodes, list_pushed);
    }

    /// Returns the time over which the calls of all nodes are spread: at most one second. Calls beyond the
    /// service's rate wait in its queue.
    fn spread(&self) -> Micros {
        (i64::from(self.nodes) * SECOND / FLEET_CALLS_PER_S).clamp(1, SECOND)
    }

    /// Schedules the first poll, after the node has loaded its copy of the list, and returns the delay.
    /// `random` is a random number from 0 to 1.
    ///
    /// The calls are spread over at least one second, so that nodes that start together don't all call a
    /// small service at once. The copy serves until the list arrives.
    pub fn started(&mut self, now: Micros, random: f64) -> Micros {
        self.poll_in(now, jitter(self.spread().max(SECOND), random))
    }

    /// Schedules the next poll after the subscription has fallen silent, and returns the delay. Silence is no
    /// failure of the service, so there is no backoff: the delay only spreads the calls of the fleet.
    /// `random` is a random number from 0 to 1.
    pub fn fell_silent(&mut self, now: Micros, random: f64) -> Micros {
        self.poll_in(now, jitter(self.spread(), random))
    }

    /// Schedules the next poll after a call failed or the subscription broke. Returns the delay, and whether
    /// the operator is to be notified of this failure. `random` is a random number from 0 to 1.
    pub fn failed(&mut self, now: Micros, random: f64) -> (Micros, bool) {
        // An answer alone does not reset the count of failures. Otherwise a service that answers and breaks
        // off each time would be called several times a second.
        if self.answered_at.take().is_some_and(|at| now - at >= MIN_STABLE_DURATION) {
            self.consecutive_failures = 0;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let after = self.backoff(now, random);
        self.called_at = None;
        (self.poll_in(now, after), self.consecutive_failures == FAILURES_UNTIL_NOTIFIED)
    }

    /// Returns the exponential backoff, with jitter over its last two thirds, limited by the time that the
    /// maximum interval between calls leaves.
    fn backoff(&self, now: Micros, random: f64) -> Micros {
        let since_call = self.called_at.map_or(0, |at| now - at);
        let max_interval = if self.list_pushed { MAX_PUSHED_CALL_INTERVAL } else { MAX_CALL_INTERVAL };
        let max_delay = (max_interval - since_call).max(self.spread());
        let doublings = (self.consecutive_failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF << doublings).max(self.spread());
        if backoff + backoff / 2 <= max_delay {
            backoff / 2 + jitter(backoff, random)
        } else {
            max_delay / 3 * 2 + jitter(max_delay / 3, random)
        }
    }

    /// Records that a call goes out now. Returns the time after which the call counts as lost.
    pub fn called(&mut self, now: Micros) -> Micros {
        self.called_at = Some(now);
        self.poll_in(now, LOST_CALL_TIMEOUT)
    }

    /// Records that the service has answered.
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

/// Returns the fraction `random` (0 to 1) of a duration, plus one microsecond so that the result is never 0.
fn jitter(duration: Micros, random: f64) -> Micros {
    (duration as f64 * random) as Micros + 1
}
