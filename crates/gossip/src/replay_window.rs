//! Which of a sender's counters were seen: a sliding window as in RFC 4303, section 3.4.3.

/// How far behind the newest a late datagram may be: some seconds of what a peer sends, and a delay is 38 ms.
const WIDTH: u64 = 64;

/// The newest counter seen, and which of the [`WIDTH`] up to it were.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    newest: u64,
    /// Bit n: `newest - n` was seen.
    seen: u64,
}

impl ReplayWindow {
    /// Whether the counter is new, and not too old to tell.
    pub(crate) fn accepts(&self, counter: u64) -> bool {
        match self.newest.checked_sub(counter) {
            None => true,
            Some(behind) => behind < WIDTH && self.seen & (1 << behind) == 0,
        }
    }

    /// Notes a counter; only after its datagram was found authentic, or a forger could move the window on.
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
