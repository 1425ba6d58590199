//! Names as they go over the wire, and what an event shows of a subchannel.

use crate::Servers;
use cottonnotch_decision::{Event, Outcome, ServerId};
use cottonnotch_gossip::{Met, Subchannel};
use std::collections::BTreeMap;

/// What an event shows of a subchannel, if anything.
pub(crate) fn shown(event: &Event) -> Option<(ServerId, Met)> {
    let (server, outcome) = match event {
        Event::Established { server, .. } => (*server, Outcome::Served),
        Event::Ended { server, outcome, last, .. } if !last || *outcome == Outcome::Reset => {
            (*server, *outcome)
        }
        _ => return None,
    };
    let met = match outcome {
        Outcome::Full => Met::Full,
        Outcome::ConnectFailed => Met::Failed,
        Outcome::TimedOut | Outcome::Error => Met::TimedOut,
        Outcome::Reset => Met::Silent,
        Outcome::Served => Met::Served,
        Outcome::Cancelled | Outcome::NotSent => return None,
    };
    Some((server, met))
}

/// Subchannels by the digests of their names, as they go over the wire. Two names of one digest are both left out.
#[derive(Debug, Default)]
pub struct WireNames {
    numbers: BTreeMap<Subchannel, Option<ServerId>>,
    digests: Vec<Subchannel>,
}

impl WireNames {
    /// Numbers are never given anew, so only names that are new since the last time are looked at.
    pub fn learn(&mut self, servers: &dyn Servers) {
        for number in self.digests.len()..servers.count() {
            let server = ServerId(number as u32);
            let digest = Subchannel::of(servers.name(server));
            self.numbers.entry(digest).and_modify(|known| *known = None).or_insert(Some(server));
            self.digests.push(digest);
        }
    }

    /// The subchannel that is meant, if there is exactly one.
    pub fn number(&self, digest: Subchannel) -> Option<ServerId> {
        *self.numbers.get(&digest)?
    }

    /// What a subchannel is called on the wire, if no other is called so.
    pub fn digest(&self, server: ServerId) -> Option<Subchannel> {
        let digest = *self.digests.get(server.0 as usize)?;
        self.number(digest).map(|_| digest)
    }
}
