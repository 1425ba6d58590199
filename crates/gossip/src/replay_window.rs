//! Replay protection: a sliding window over a sender's datagram counters, as in RFC 4303, section 3.4.3.

/// How far a late datagram's counter may be behind the newest. A peer takes some seconds to send this many datagrams, far
/// longer than a network delay of 38 ms.
const WIDTH: u64 = 64;

/// Records the newest counter seen, and which of the last [`WIDTH`] counters were seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    newest: u64,
    /// Bit n is set if the counter `newest - n` was seen.
    seen: u64,
}

impl ReplayWindow {
    /// Returns whether the counter was not seen before and is not older than the window.
    pub(crate) fn accepts(&self, counter: u64) -> bool {
        match self.newest.checked_sub(counter) {
            None => true,
            Some(behind) => behind < WIDTH && self.seen & (1 << behind) == 0,
        }
    }

    /// Records a counter. The datagram must be authenticated first, or a forger could advance the window.
    pub(crate) fn record(&mut self, counter: u64) {
        match self.newest.checked_sub(counter) {
            Some(behind) if behind < WIDTH => self.seen |= 1 << behind,
            Some(_) => {}
            None => {
                let ahead = counter - self.newest;
                self.seen = if ahead < WIDTH { self.seen << ahead | 1 } else { 1 };
                self.newest = counter;
            }
        }
    }
}

#[cfg(test)]
#[path = "replay_window_tests.rs"]
mod tests;
