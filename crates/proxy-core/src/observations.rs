//! What an event shows of a render node, and what the evidence of a peer says of one.

use cottonnotch_decision::{Event, Outcome, PeerVerdict, ServerId};
use cottonnotch_gossip::{Evidence, Observation};

/// Peers' words are as old as they say; older ones are no evidence.
const MOST_AGE_TENTHS: u8 = 30;

/// What an event shows of a subchannel, if anything.
pub(crate) fn shown(event: &Event) -> Option<(ServerId, Observation)> {
    let (server, outcome) = match event {
        Event::Established { server, .. } => (*server, Outcome::Served),
        Event::Ended { server, outcome, last, .. } if !last || *outcome == Outcome::Reset => {
            (*server, *outcome)
        }
        _ => return None,
    };
    let met = match outcome {
        Outcome::Full => Observation::Full,
        Outcome::ConnectFailed => Observation::Failed,
        Outcome::TimedOut | Outcome::Error => Observation::TimedOut,
        Outcome::Reset => Observation::Silent,
        Outcome::Served => Observation::Served,
        Outcome::Cancelled | Outcome::NotSent => return None,
    };
    Some((server, met))
}

/// What a peer's evidence says. That a render node is full shows nothing of its health, and who was refused tells the
/// others nothing that they would not be told at once.
pub(crate) fn word(evidence: &Evidence) -> PeerVerdict {
    let unwell = u32::from(evidence.failed) + u32::from(evidence.timed_out) + u32::from(evidence.silent);
    match (evidence.age_tenths <= MOST_AGE_TENTHS, unwell, evidence.served) {
        (true, 1.., 0) => PeerVerdict::Unhealthy,
        (true, 0, 1..) => PeerVerdict::Healthy,
        _ => PeerVerdict::Inconclusive,
    }
}

#[cfg(test)]
#[path = "observations_tests.rs"]
mod tests;
