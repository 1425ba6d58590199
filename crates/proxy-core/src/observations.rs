//! What a decision event shows of an endpoint's health, and the verdict that a peer's evidence amounts to.

use cottonnotch_decision::{Event, Outcome, PeerVerdict, ServerId};
use cottonnotch_gossip::{Evidence, Observation};

/// Older evidence doesn't count, in tenths of a second; a peer's evidence is as old as it says.
const MAX_AGE_TENTHS: u8 = 30;

/// What an event shows of an endpoint's health, if anything.
pub(crate) fn observation(event: &Event) -> Option<(ServerId, Observation)> {
    let (server, outcome) = match event {
        Event::Established { server, .. } => (*server, Outcome::Served),
        Event::Ended { server, outcome, last, .. } if !last || *outcome == Outcome::Reset => {
            (*server, *outcome)
        }
        _ => return None,
    };
    let observation = match outcome {
        Outcome::Full => Observation::Full,
        Outcome::ConnectFailed => Observation::Failed,
        Outcome::TimedOut | Outcome::Error => Observation::TimedOut,
        Outcome::Reset => Observation::Silent,
        Outcome::Served => Observation::Served,
        Outcome::Cancelled | Outcome::NotSent => return None,
    };
    Some((server, observation))
}

/// The verdict of a peer's evidence. That a render node is full shows nothing of its health, and a client that was rejected
/// shows the others nothing that they would not be told at once.
pub(crate) fn verdict(evidence: &Evidence) -> PeerVerdict {
    let failures = u32::from(evidence.failed) + u32::from(evidence.timed_out) + u32::from(evidence.silent);
    match (evidence.age_tenths <= MAX_AGE_TENTHS, failures, evidence.served) {
        (true, 1.., 0) => PeerVerdict::Unhealthy,
        (true, 0, 1..) => PeerVerdict::Healthy,
        _ => PeerVerdict::Inconclusive,
    }
}

#[cfg(test)]
#[path = "observations_tests.rs"]
mod tests;
