//! Delay notes: nobody sends them here, so they are made from the time between a client's line and its reply.
//! A note is due once a second for each subchannel while messages take over a third of the shortest aim, and
//! once more when they are back under.

use cottonnotch::Micros;

/// Between two notes.
pub const EVERY: Micros = 1_000_000;
/// A sample is believed for this long: clients send a line every 2 s.
const BELIEVED: Micros = 4_000_000;

/// What is known of one subchannel's messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageDelay {
    over: bool,
    latest: Micros,
    sampled: Micros,
    noted: Micros,
}

impl MessageDelay {
    /// Takes a sample; returns the delay if it is to be noted at once.
    pub fn sample(&mut self, now: Micros, delay: Micros, mark: Micros) -> Option<Micros> {
        (self.latest, self.sampled) = (delay, now);
        if delay > mark {
            self.over = true;
            return (now - self.noted >= EVERY).then(|| self.note(now));
        }
        std::mem::take(&mut self.over).then(|| self.note(now))
    }

    /// Once a second: the delay, if a note is due.
    pub fn tick(&mut self, now: Micros) -> Option<Micros> {
        self.over &= now - self.sampled < BELIEVED;
        (self.over && now - self.noted >= EVERY).then(|| self.note(now))
    }

    fn note(&mut self, now: Micros) -> Micros {
        self.noted = now;
        self.latest
    }
}
