//! The faults that a run can play, and what each does on sockets.

use crate::shape::{Shape, ZONES};
use cottonnotch_decision::Micros;
use serde::{Deserialize, Serialize};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000 * MS;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing, but a change of configuration.
    Quiet,
    /// A zone's members end at once; one of the voters is among them.
    Zone,
    /// A zone's members end at once; no voter is among them.
    FarZone,
    /// The two regions don't hear each other for an hour, with a change every ten minutes; the voters are all in the first.
    Regions,
    /// The same for a quarter of an hour, with a change every 150 s: hundreds of members in a few minutes' time.
    RegionsBriefly,
    /// 160 members restart one after another within four minutes, each 2 s down.
    Restarts,
    /// The list loses a zone's nodes, and has them again half a minute later.
    List,
    /// 20 changes of configuration within a minute, each contradicting the one before, at any members.
    Changes,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 8] = [
        Fault::Quiet,
        Fault::Zone,
        Fault::FarZone,
        Fault::Regions,
        Fault::RegionsBriefly,
        Fault::Restarts,
        Fault::List,
        Fault::Changes,
    ];
}

/// What is done at a time, where a fault is played on sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// This member's process ends, without a word.
    Stop(u32),
    /// This member is told to put a content in force; contents of different kinds contradict each other.
    Propose {
        /// Which member.
        member: u32,
        /// Which content.
        content: u32,
        /// Its kind.
        kind: u8,
    },
}

/// The acts of a fault, with their times from its beginning; `None`: sockets can't play it.
pub fn fault_actions(shape: &Shape, fault: Fault) -> Option<Vec<(Micros, FaultAction)>> {
    let propose = |member, content: u32| FaultAction::Propose { member, content, kind: (content % 2) as u8 };
    match fault {
        Fault::Quiet => Some(vec![(0, propose(shape.members / 2, 2))]),
        Fault::Zone | Fault::FarZone => {
            let zone = if fault == Fault::Zone { 1 } else { ZONES - 1 };
            let gone = (0..shape.members).filter(|member| shape.zone(*member) == zone);
            let stops = gone.map(|member| (0, FaultAction::Stop(member)));
            Some(stops.chain([(100 * MS, propose(0, 2))]).collect())
        }
        Fault::Changes => {
            let change = |nth: u32| (Micros::from(nth) * 3 * S, propose(nth * 61 % shape.members, 2 + nth));
            Some((0..20).map(change).collect())
        }
        Fault::Regions | Fault::RegionsBriefly | Fault::Restarts | Fault::List => None,
    }
}
