//! The result of a run, printed as a line of JSON.

use crate::counters::Counts;
use crate::fault::Fault;
use crate::judge::Verdict;
use crate::shape::Shape;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Mean and maximum over all members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Mean over all members.
    pub mean: f64,
    /// The highest of a member.
    pub max: f64,
}

impl Spread {
    /// The spread of these figures.
    pub fn of(all: impl IntoIterator<Item = f64>) -> Spread {
        let (mut sum, mut count, mut max) = (0.0, 0.0, 0.0_f64);
        for one in all {
            (sum, count, max) = (sum + one, count + 1.0, max.max(one));
        }
        Spread { mean: sum / f64::max(count, 1.0), max }
    }
}

/// The figures of a run; a member and second unless said otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// Sizes of the fleet.
    pub shape: Shape,
    /// "sockets" (real time) or "virtual".
    pub world: String,
    /// Seconds of the measurement.
    pub seconds: f64,
    /// Control datagrams sent.
    pub messages_out: Spread,
    /// ... received.
    pub messages_in: Spread,
    /// Their bytes, sent.
    pub bytes_out: Spread,
    /// ... received.
    pub bytes_in: Spread,
    /// Of these, bytes of the aggregation or gossip in both directions.
    pub peers_bytes: Spread,
    /// ... and of the consensus.
    #[serde(rename = "accord_bytes")]
    pub consensus_bytes: Spread,
    /// Consensus bytes of the leader in both directions.
    pub leader_bytes: f64,
    /// ... and its messages.
    pub leader_messages: f64,
    /// Processor time in microseconds: of the threads that run the members, by all of them.
    pub cpu_us: f64,
    /// Processor time of a member while it is driven, with its sends and without its reads: aggregation or gossip.
    pub cpu_peers_us: Spread,
    /// ... consensus.
    #[serde(rename = "cpu_accord_us")]
    pub cpu_consensus_us: Spread,
    /// ... endpoint lists.
    pub cpu_list_us: Spread,
    /// ... tick of every second.
    pub cpu_second_us: Spread,
    /// ... set-ups: microseconds for one, not by second.
    pub setup_us: f64,
    /// Set-ups.
    pub setups: f64,
    /// Connections that the decision module has migrated.
    pub moves: f64,
    /// Requests rejected or failed.
    pub refused: f64,
    /// Heap bytes of a member without its connections.
    pub heap_bytes: f64,
    /// ... for each connection.
    pub heap_bytes_connection: f64,
    /// Resident bytes of the whole process.
    pub resident: u64,
    /// Bytes of the endpoint list.
    pub list_bytes: f64,
    /// Seconds from the publication of a changed list until the last member has applied it; below 0: not all have.
    pub list_all_s: f64,
    /// ... until the mean member has applied it.
    pub list_mean_s: f64,
    /// Members in a member's snapshot, mean.
    pub view_members: f64,
    /// Share of the nodes above the least reported utilization that a snapshot names, mean.
    pub view_named: f64,
    /// Mean error of a node's utilization in snapshots, over the nodes above the least reported one.
    pub view_error: f64,
    /// Pairs of group and node among a member's own connections, mean.
    pub own_pairs: f64,
    /// Seconds between two reports of a member, mean.
    pub period_s: f64,
    /// The fault during the measurement, if any.
    #[serde(default)]
    pub fault: Option<Fault>,
    /// The verdict on the records.
    #[serde(default)]
    pub verdict: Verdict,
    /// Seconds that the run took in all.
    pub took_s: f64,
}

/// Sets the figures that follow from the members' counters over the measurement.
pub fn add_counters(line: &mut RunResult, counts: &[(u32, Counts)], leaders: &BTreeSet<u32>) {
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
