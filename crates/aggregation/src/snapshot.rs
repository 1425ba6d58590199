//! What a member was told last.

use crate::Micros;
use crate::wire::{Subchannel, Table, Totals, Word};
use std::collections::BTreeMap;

/// Of one subchannel.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// Load over size, of all proxies together, what groups cost included; 0 for less than can be told.
    pub used: f64,
    /// What they met there.
    pub word: Word,
}

/// A table as it was taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// When it came. What is in it is about half a period older.
    pub at: Micros,
    /// What the keeper wants between two reports.
    pub period: Micros,
    /// How many proxies' reports are in it.
    pub members: u32,
    /// Mean load of a connection, work in microseconds a second.
    pub mean_load: f64,
    /// Sums over these.
    pub totals: Totals,
    /// This proxy's own connections, open or wanted, as it last reported them.
    pub own_connections: u32,
    nodes: BTreeMap<Subchannel, Told>,
}

impl View {
    pub(crate) fn take(&mut self, now: Micros, own_connections: u32, table: Table) {
        let nodes = table.nodes.into_iter().map(|(node, used, word)| (node, Told { used, word }));
        if table.part.0 == 0 {
            self.nodes = nodes.collect();
        } else {
            self.nodes.extend(nodes);
        }
        (self.at, self.period, self.mean_load) = (now, table.period, table.mean_load);
        (self.members, self.totals) = (table.members, table.totals);
        self.own_connections = own_connections;
    }

    /// What was told of a subchannel. One that isn't named is used by less than [`crate::wire::LEAST_USE`]; that counts as 0.
    pub fn of(&self, node: Subchannel) -> Told {
        self.nodes.get(&node).copied().unwrap_or(Told { used: 0.0, word: Word::Unclear })
    }

    /// Those that are named.
    pub fn named(&self) -> impl Iterator<Item = (Subchannel, Told)> {
        self.nodes.iter().map(|(node, told)| (*node, *told))
    }

    /// This proxy's part of all connections, 0 to 1.
    pub fn part(&self) -> f64 {
        f64::from(self.own_connections) / f64::from(self.totals.connections.max(self.own_connections).max(1))
    }

    /// Part of the set-ups that failed; 0 where there were too few to say.
    pub fn failing(&self) -> f64 {
        let all = self.totals.well + self.totals.failed;
        if all < FEW { 0.0 } else { self.totals.failed / all }
    }
}

/// Set-ups a second under which nothing is said of how many fail.
const FEW: f64 = 2.0;
