//! The faults that a run can inject, and the actions of each on sockets.

use crate::shape::{Shape, ZONES};
use cottonnotch_decision::Micros;
use serde::{Deserialize, Serialize};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000 * MS;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault, one change of configuration.
    Quiet,
    /// All members of a zone stop at once, a voter among them.
    Zone,
    /// All members of a zone stop at once, no voter among them.
    FarZone,
    /// The two regions are partitioned for an hour, with a change every ten minutes; all voters are in the first.
    Regions,
    /// The same for a quarter of an hour, with a change every 150 s: hundreds of members take a few minutes of real time.
    RegionsBriefly,
    /// 160 members restart one after another within four minutes, each down for 3 s.
    Restarts,
    /// The endpoint list loses the nodes of a zone for half a minute.
    List,
    /// 20 changes of configuration within a minute, each incompatible with the one before, at changing members.
    Changes,
}

impl Fault {
    /// All faults.
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

/// An action of a fault on sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// This member's process stops, without notifying anybody.
    Stop(u32),
    /// The operator proposes a content at this member; contents of different kinds are incompatible.
    Propose {
        /// Ordinal of the member.
        member: u32,
        /// Number of the content.
        content: u32,
        /// Kind of the content.
        kind: u8,
    },
}

/// The actions of a fault and their times from its start; `None`: the fault is available on virtual time only.
pub fn fault_actions(shape: &Shape, fault: Fault) -> Option<Vec<(Micros, FaultAction)>> {
    let propose = |member, content: u32| FaultAction::Propose { member, content, kind: (content % 2) as u8 };
    match fault {
        Fault::Quiet => Some(vec![(0, propose(shape.members / 2, 2))]),
        Fault::Zone | Fault::FarZone => {
            let zone = if fault == Fault::Zone { 1 } else { ZONES - 1 };
            let members = (0..shape.members).filter(|member| shape.zone(*member) == zone);
            let stops = members.map(|member| (0, FaultAction::Stop(member)));
            Some(stops.chain([(100 * MS, propose(0, 2))]).collect())
        }
        Fault::Changes => {
            let change = |nth: u32| (Micros::from(nth) * 3 * S, propose(nth * 61 % shape.members, 2 + nth));
            Some((0..20).map(change).collect())
        }
        Fault::Regions | Fault::RegionsBriefly | Fault::Restarts | Fault::List => None,
    }
}
