//! What is counted of a member, and the line that a run gives.

use crate::faults::Fault;
use crate::judge::Verdict;
use crate::shape::Shape;
use serde::{Deserialize, Serialize};

/// Messages and their bytes, one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Datagrams.
    pub messages: u64,
    /// Their bytes, without the headers of UDP and IP.
    pub bytes: u64,
}

impl Traffic {
    /// One more.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// Both together.
    pub fn and(self, other: Traffic) -> Traffic {
        Traffic { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }

    /// Since that time.
    pub fn since(self, before: Traffic) -> Traffic {
        Traffic { messages: self.messages - before.messages, bytes: self.bytes - before.bytes }
    }
}

/// What one member did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Fleet view or gossip, sent.
    pub peers_out: Traffic,
    /// Fleet view or gossip, received.
    pub peers_in: Traffic,
    /// Accord, sent.
    pub accord_out: Traffic,
    /// Accord, received.
    pub accord_in: Traffic,
    /// List bytes read.
    pub list_bytes: u64,
    /// Calls for the list.
    pub list_calls: u64,
    /// Connections set up.
    pub setups: u64,
    /// Connections that the module moved.
    pub moves: u64,
    /// Requests refused or failed.
    pub refused: u64,
    /// Processor time in nanoseconds: the fleet view or gossip.
    pub peers_ns: u64,
    /// ... the accord.
    pub accord_ns: u64,
    /// ... lists: reading them, and the module's taking them.
    pub list_ns: u64,
    /// ... the module, for set-ups and their ends.
    pub setups_ns: u64,
    /// ... what comes once a second.
    pub second_ns: u64,
}

impl Counts {
    /// Since that time.
    pub fn since(&self, before: &Counts) -> Counts {
        Counts {
            peers_out: self.peers_out.since(before.peers_out),
            peers_in: self.peers_in.since(before.peers_in),
            accord_out: self.accord_out.since(before.accord_out),
            accord_in: self.accord_in.since(before.accord_in),
            list_bytes: self.list_bytes - before.list_bytes,
            list_calls: self.list_calls - before.list_calls,
            setups: self.setups - before.setups,
            moves: self.moves - before.moves,
            refused: self.refused - before.refused,
            peers_ns: self.peers_ns - before.peers_ns,
            accord_ns: self.accord_ns - before.accord_ns,
            list_ns: self.list_ns - before.list_ns,
            setups_ns: self.setups_ns - before.setups_ns,
            second_ns: self.second_ns - before.second_ns,
        }
    }

    /// Both together.
    pub fn and(&self, other: &Counts) -> Counts {
        Counts {
            peers_out: self.peers_out.and(other.peers_out),
            peers_in: self.peers_in.and(other.peers_in),
            accord_out: self.accord_out.and(other.accord_out),
            accord_in: self.accord_in.and(other.accord_in),
            list_bytes: self.list_bytes + other.list_bytes,
            list_calls: self.list_calls + other.list_calls,
            setups: self.setups + other.setups,
            moves: self.moves + other.moves,
            refused: self.refused + other.refused,
            peers_ns: self.peers_ns + other.peers_ns,
            accord_ns: self.accord_ns + other.accord_ns,
            list_ns: self.list_ns + other.list_ns,
            setups_ns: self.setups_ns + other.setups_ns,
            second_ns: self.second_ns + other.second_ns,
        }
    }

    /// Control datagrams and their bytes, both ways.
    pub fn control(&self) -> Traffic {
        let all = [self.peers_out, self.peers_in, self.accord_out, self.accord_in];
        let sum = |figure: fn(&Traffic) -> u64| all.iter().map(figure).sum();
        Traffic { messages: sum(|traffic| traffic.messages), bytes: sum(|traffic| traffic.bytes) }
    }

    /// Processor time of control.
    pub fn control_ns(&self) -> u64 {
        self.peers_ns + self.accord_ns + self.list_ns + self.second_ns
    }
}

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
pub struct Line {
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
    pub accord_bytes: Spread,
    /// The busiest of the voters: accord bytes both ways (the leader's).
    pub leader_bytes: f64,
    /// ... and its messages.
    pub leader_messages: f64,
    /// Processor time in microseconds: of the threads that run the members, by all of them.
    pub cpu_us: f64,
    /// Attributed to a member while it was driven, its sends included and its reads not: fleet view or gossip.
    pub cpu_peers_us: Spread,
    /// ... accord.
    pub cpu_accord_us: Spread,
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
    /// See [`Line::list_all_s`].
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
