//! Derives health observations from decision events, and health verdicts from a peer's evidence.

use cottonnotch_decision::{Event, Outcome, PeerVerdict, ServerId};
use cottonnotch_gossip::{Evidence, Observation};

/// Maximum age of evidence that counts, in tenths of a second. The age of a peer's evidence is the one that the peer reports.
const MAX_AGE_TENTHS: u8 = 30;

/// Returns the endpoint and the health observation of an event, if the event has any.
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

/// Returns the health verdict of a peer's evidence. A full render node says nothing about its health: it rejects clients, and
/// every other proxy would get the same rejection at once.
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
