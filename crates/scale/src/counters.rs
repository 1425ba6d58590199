//! What is counted of a member.

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
    #[serde(rename = "accord_out")]
    pub consensus_out: Traffic,
    /// Accord, received.
    #[serde(rename = "accord_in")]
    pub consensus_in: Traffic,
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
    #[serde(rename = "accord_ns")]
    pub consensus_ns: u64,
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

    /// Both together.
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

    /// Control datagrams and their bytes, both ways.
    pub fn control(&self) -> Traffic {
        let all = [self.peers_out, self.peers_in, self.consensus_out, self.consensus_in];
        let sum = |figure: fn(&Traffic) -> u64| all.iter().map(figure).sum();
        Traffic { messages: sum(|traffic| traffic.messages), bytes: sum(|traffic| traffic.bytes) }
    }

    /// Processor time of control.
    pub fn control_ns(&self) -> u64 {
        self.peers_ns + self.consensus_ns + self.list_ns + self.second_ns
    }
}
