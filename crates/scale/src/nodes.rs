//! The render nodes as a hollow proxy knows them: names and numbers, as the daemon gives them.

use cottonnotch_decision::names::{Names, digest};
use cottonnotch_decision::{Entry, Event, Micros, ServerId, ZoneId};
use cottonnotch_proxy_core::{EndpointUpdate, MessageLatencies, Servers};

/// All nodes that were ever listed. Its memory grows with their number.
#[derive(Debug, Default)]
pub struct Nodes {
    names: Names,
    zones: Names,
    started: Vec<Option<Micros>>,
    revision: u64,
}

impl Nodes {
    /// Applies an endpoint list; the event for the decision module. `copy`: the list is a cached one.
    pub fn apply_update(
        &mut self,
        latencies: &mut MessageLatencies,
        update: &EndpointUpdate,
        copy: bool,
    ) -> Event {
        self.revision = update.revision;
        let mut entries = Vec::with_capacity(update.endpoints.len());
        for member in &update.endpoints {
            let number = self.names.intern(&member.id);
            let is_new = self.started.len() <= number as usize;
            if is_new {
                self.started.push(member.up_since);
            }
            let before = std::mem::replace(&mut self.started[number as usize], member.up_since);
            latencies.endpoint_listed(ServerId(number), member.weight);
            if !is_new && before != member.up_since {
                latencies.process_restarted(ServerId(number));
            }
            entries.push(Entry {
                server: ServerId(number),
                digest: digest(&member.id),
                state: member.state,
                zone: ZoneId(self.zones.intern(&member.zone) as u16),
                cell: member.cell,
                started: member.up_since,
                weight: member.weight,
            });
        }
        Event::List { full: update.complete, copy, entries }
    }

    /// The last revision applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The decision module's number of a node of the shape; `None`: it was never listed.
    pub fn number(&self, node: u32) -> Option<ServerId> {
        self.names.find(&format!("n{node}")).map(ServerId)
    }

    /// The shape's number of a node.
    pub fn place(&self, server: ServerId) -> Option<u32> {
        self.names.name(server.0).strip_prefix('n')?.parse().ok()
    }
}

impl Servers for Nodes {
    fn count(&self) -> usize {
        self.names.len()
    }

    fn name(&self, server: ServerId) -> &str {
        self.names.name(server.0)
    }

    fn started(&self, server: ServerId) -> Option<Micros> {
        self.started.get(server.0 as usize).copied().flatten()
    }
}
