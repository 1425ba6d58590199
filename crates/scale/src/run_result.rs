//! The line that a run gives.

use crate::counters::Counts;
use crate::fault::Fault;
use crate::judge::Verdict;
use crate::shape::Shape;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Mean over all members, and the most of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Over all members.
    pub mean: f64,
    /// The most of one.
    pub max: f64,
}

impl Spread {
    /// Of these.
    pub fn of(all: impl IntoIterator<Item = f64>) -> Spread {
        let (mut sum, mut count, mut max) = (0.0, 0.0, 0.0_f64);
        for one in all {
            (sum, count, max) = (sum + one, count + 1.0, max.max(one));
        }
        Spread { mean: sum / f64::max(count, 1.0), max }
    }
}

/// What a run measured; figures by member and second unless said otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The sizes.
    pub shape: Shape,
    /// "sockets" (real time) or "virtual".
    pub world: String,
    /// How long was measured.
    pub seconds: f64,
    /// Control datagrams sent.
    pub messages_out: Spread,
    /// ... received.
    pub messages_in: Spread,
    /// Their bytes, sent.
    pub bytes_out: Spread,
    /// ... received.
    pub bytes_in: Spread,
    /// Of these, bytes of the fleet view or gossip, both ways.
    pub peers_bytes: Spread,
    /// ... and of the accord.
    #[serde(rename = "accord_bytes")]
    pub consensus_bytes: Spread,
    /// The busiest of the voters: accord bytes both ways (the leader's).
    pub leader_bytes: f64,
    /// ... and its messages.
    pub leader_messages: f64,
    /// Processor time in microseconds: of the threads that run the members, by all of them.
    pub cpu_us: f64,
    /// Attributed to a member while it was driven, its sends included and its reads not: fleet view or gossip.
    pub cpu_peers_us: Spread,
    /// ... accord.
    #[serde(rename = "cpu_accord_us")]
    pub cpu_consensus_us: Spread,
    /// ... lists.
    pub cpu_list_us: Spread,
    /// ... once a second.
    pub cpu_second_us: Spread,
    /// ... set-ups: microseconds for one, not by second.
    pub setup_us: f64,
    /// Set-ups.
    pub setups: f64,
    /// Connections that the module moved.
    pub moves: f64,
    /// Refused or failed.
    pub refused: f64,
    /// Heap bytes a member: without connections.
    pub heap_bytes: f64,
    /// ... for each connection.
    pub heap_bytes_connection: f64,
    /// Resident bytes of the whole process.
    pub resident: u64,
    /// Bytes of the list, as a call brings it.
    pub list_bytes: f64,
    /// Seconds from the moment a changed list is told until the last member has taken it; the mean member's.
    pub list_all_s: f64,
    /// See [`RunResult::list_all_s`].
    pub list_mean_s: f64,
    /// Members in the view of the mean member, of all.
    pub view_members: f64,
    /// Nodes that the mean view names, of those that are used by more than the least that is told.
    pub view_named: f64,
    /// Mean error of a node's use as told, over those that are used by more than the least.
    pub view_error: f64,
    /// Pairs of group and node among a member's own connections, mean.
    pub own_pairs: f64,
    /// Entries of a member's last report that went out, of those it had. 1: nothing was cut off.
    pub period_s: f64,
    /// What happened in the time that was measured, if anything.
    #[serde(default)]
    pub fault: Option<Fault>,
    /// What the records say of it.
    #[serde(default)]
    pub verdict: Verdict,
    /// Time that the run took in all.
    pub took_s: f64,
}

/// The figures that follow from members' counts in the line's time.
pub fn fill(line: &mut RunResult, counts: &[(u32, Counts)], leaders: &BTreeSet<u32>) {
    let seconds = line.seconds;
    let spread = |figure: &dyn Fn(&Counts) -> f64| {
        Spread::of(counts.iter().map(|(_, counts)| figure(counts) / seconds))
    };
    let us = |ns: u64| ns as f64 / 1e3;
    line.messages_out = spread(&|c| (c.peers_out.messages + c.consensus_out.messages) as f64);
    line.messages_in = spread(&|c| (c.peers_in.messages + c.consensus_in.messages) as f64);
    line.bytes_out = spread(&|c| (c.peers_out.bytes + c.consensus_out.bytes) as f64);
    line.bytes_in = spread(&|c| (c.peers_in.bytes + c.consensus_in.bytes) as f64);
    line.peers_bytes = spread(&|c| (c.peers_out.bytes + c.peers_in.bytes) as f64);
    line.consensus_bytes = spread(&|c| (c.consensus_out.bytes + c.consensus_in.bytes) as f64);
    line.cpu_peers_us = spread(&|c| us(c.peers_ns));
    line.cpu_consensus_us = spread(&|c| us(c.consensus_ns));
    line.cpu_list_us = spread(&|c| us(c.list_ns));
    line.cpu_second_us = spread(&|c| us(c.second_ns));
    let leading = counts.iter().filter(|(member, _)| leaders.contains(member));
    let leading: Vec<&Counts> = leading.map(|(_, counts)| counts).collect();
    let of_leader = |figure: &dyn Fn(&Counts) -> u64| {
        leading.iter().map(|counts| figure(counts) as f64 / seconds).fold(0.0, f64::max)
    };
    line.leader_bytes = of_leader(&|c| c.consensus_out.bytes + c.consensus_in.bytes);
    line.leader_messages = of_leader(&|c| c.consensus_out.messages + c.consensus_in.messages);
    let sum = |figure: &dyn Fn(&Counts) -> u64| counts.iter().map(|(_, c)| figure(c)).sum::<u64>() as f64;
    line.setups = sum(&|c| c.setups);
    line.moves = sum(&|c| c.moves);
    line.refused = sum(&|c| c.refused);
    line.setup_us = sum(&|c| c.setups_ns) / 1e3 / line.setups.max(1.0);
}
