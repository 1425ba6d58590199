//! Counters of a member.

use serde::{Deserialize, Serialize};

/// Datagrams and their bytes in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Datagrams.
    pub messages: u64,
    /// Their bytes, without the headers of UDP and IP.
    pub bytes: u64,
}

impl Traffic {
    /// Counts a datagram.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// The sum.
    pub fn and(self, other: Traffic) -> Traffic {
        Traffic { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }

    /// The difference to an earlier reading.
    pub fn since(self, before: Traffic) -> Traffic {
        Traffic { messages: self.messages - before.messages, bytes: self.bytes - before.bytes }
    }
}

/// Counters of one member since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Aggregation or gossip, sent.
    pub peers_out: Traffic,
    /// Aggregation or gossip, received.
    pub peers_in: Traffic,
    /// Consensus, sent.
    #[serde(rename = "accord_out")]
    pub consensus_out: Traffic,
    /// Consensus, received.
    #[serde(rename = "accord_in")]
    pub consensus_in: Traffic,
    /// Bytes of endpoint lists received.
    pub list_bytes: u64,
    /// Watches requested.
    pub list_calls: u64,
    /// Connections set up.
    pub setups: u64,
    /// Connections that the decision module has migrated.
    pub moves: u64,
    /// Requests rejected or failed.
    pub refused: u64,
    /// Processor time in nanoseconds: aggregation or gossip.
    pub peers_ns: u64,
    /// ... consensus.
    #[serde(rename = "accord_ns")]
    pub consensus_ns: u64,
    /// ... endpoint lists: parsing them, and the decision module's handling of them.
    pub list_ns: u64,
    /// ... the decision module, for set-ups and ends of connections.
    pub setups_ns: u64,
    /// ... the tick of every second.
    pub second_ns: u64,
}

impl Counts {
    /// The difference to an earlier reading.
    pub fn since(&self, before: &Counts) -> Counts {
        Counts {
            peers_out: self.peers_out.since(before.peers_out),
            peers_in: self.peers_in.since(before.peers_in),
            consensus_out: self.consensus_out.since(before.consensus_out),
            consensus_in: self.consensus_in.since(before.consensus_in),
            list_bytes: self.list_bytes - before.list_bytes,
            list_calls: self.list_calls - before.list_calls,
            setups: self.setups - before.setups,
            moves: self.moves - before.moves,
            refused: self.refused - before.refused,
            peers_ns: self.peers_ns - before.peers_ns,
            consensus_ns: self.consensus_ns - before.consensus_ns,
            list_ns: self.list_ns - before.list_ns,
            setups_ns: self.setups_ns - before.setups_ns,
            second_ns: self.second_ns - before.second_ns,
        }
    }

    /// The sum.
    pub fn and(&self, other: &Counts) -> Counts {
        Counts {
            peers_out: self.peers_out.and(other.peers_out),
            peers_in: self.peers_in.and(other.peers_in),
            consensus_out: self.consensus_out.and(other.consensus_out),
            consensus_in: self.consensus_in.and(other.consensus_in),
            list_bytes: self.list_bytes + other.list_bytes,
            list_calls: self.list_calls + other.list_calls,
            setups: self.setups + other.setups,
            moves: self.moves + other.moves,
            refused: self.refused + other.refused,
            peers_ns: self.peers_ns + other.peers_ns,
            consensus_ns: self.consensus_ns + other.consensus_ns,
            list_ns: self.list_ns + other.list_ns,
            setups_ns: self.setups_ns + other.setups_ns,
            second_ns: self.second_ns + other.second_ns,
        }
    }

    /// Control datagrams and their bytes in both directions.
    pub fn control(&self) -> Traffic {
        let all = [self.peers_out, self.peers_in, self.consensus_out, self.consensus_in];
        let sum = |figure: fn(&Traffic) -> u64| all.iter().map(figure).sum();
        Traffic { messages: sum(|traffic| traffic.messages), bytes: sum(|traffic| traffic.bytes) }
    }

    /// Processor time of the control traffic in nanoseconds.
    pub fn control_ns(&self) -> u64 {
        self.peers_ns + self.consensus_ns + self.list_ns + self.second_ns
    }
}
