//! All connections of a render node, with their sums. Loads are integers, so the sums are exact.

use super::connection::{Connection, Refusal, State};
use crate::observation::RequestId;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub(super) struct ConnectionTable {
    connections: BTreeMap<u32, Connection>,
    requests: BTreeSet<RequestId>,
    /// Number of connections of each group that has any.
    groups: BTreeMap<u64, u32>,
    /// Work per second that a group costs.
    group_cost: f64,
    load: i64,
    setups: u32,
    up: u32,
}

impl ConnectionTable {
    pub fn new(group_cost: f64) -> Self {
        ConnectionTable {
            connections: BTreeMap::new(),
            requests: BTreeSet::new(),
            groups: BTreeMap::new(),
            group_cost,
            load: 0,
            setups: 0,
            up: 0,
        }
    }

    /// The work per second that all connections and groups require.
    pub fn demand(&self) -> f64 {
        self.load as f64 / 1e9 + self.group_cost * self.groups.len() as f64
    }

    pub fn setups(&self) -> u32 {
        self.setups
    }

    pub fn up(&self) -> u32 {
        self.up
    }

    pub fn is_open(&self, request: RequestId) -> bool {
        self.requests.contains(&request)
    }

    pub fn serials(&self) -> Vec<u32> {
        self.connections.keys().copied().collect()
    }

    pub fn get(&self, serial: u32) -> Option<&Connection> {
        self.connections.get(&serial)
    }

    pub fn get_mut(&mut self, serial: u32) -> Option<&mut Connection> {
        self.connections.get_mut(&serial)
    }

    /// Whether the connection is up and neither side has ended it.
    pub fn is_up(&self, serial: u32) -> bool {
        matches!(self.connections.get(&serial), Some(Connection { state: State::Up { group: Some(_) }, .. }))
    }

    /// Returns the connection if it is up and neither side has ended it.
    pub fn up_mut(&mut self, serial: u32) -> Option<&mut Connection> {
        self.connections.get_mut(&serial).filter(|c| matches!(c.state, State::Up { group: Some(_) }))
    }

    pub fn insert(&mut self, serial: u32, connection: Connection) {
        // A refused attempt does not reserve its id. If a connection with that id is open, the id stays with that
        // connection.
        if matches!(connection.state, State::SettingUp { .. }) {
            self.setups += 1;
            self.requests.insert(connection.request);
        }
        self.connections.insert(serial, connection);
    }

    pub fn mark_up(&mut self, serial: u32, load: i64, group: u64) {
        let Some(connection) = self.connections.get_mut(&serial) else { return };
        connection.state = State::Up { group: Some(group) };
        connection.load = load;
        self.load += load;
        *self.groups.entry(group).or_default() += 1;
        self.setups -= 1;
        self.up += 1;
    }

    pub fn set_load(&mut self, serial: u32, load: i64) {
        let Some(connection) = self.connections.get_mut(&serial) else { return };
        self.load += load - connection.load;
        connection.load = load;
    }

    /// Marks a connection as ended by one side. Its queued items are still written, but it no longer counts towards
    /// the demand.
    pub fn end(&mut self, serial: u32) {
        let Some(connection) = self.connections.get_mut(&serial) else { return };
        let State::Up { group: group @ Some(_) } = &mut connection.state else { return };
        let group_id = group.take();
        self.load -= std::mem::take(&mut connection.load);
        self.up -= 1;
        if let Some(group_id) = group_id
            && let Some(count) = self.groups.get_mut(&group_id)
        {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&group_id);
            }
        }
    }

    pub fn remove(&mut self, serial: u32) -> Option<Connection> {
        self.end(serial);
        let connection = self.connections.remove(&serial)?;
        match connection.state {
            State::Refused(_) => {}
            State::SettingUp { .. } => {
                self.setups -= 1;
                self.requests.remove(&connection.request);
            }
            State::Up { .. } => drop(self.requests.remove(&connection.request)),
        }
        Some(connection)
    }

    /// Refuses all pending set-ups and returns their serials.
    pub fn refuse_setups(&mut self, now: Micros) -> Vec<u32> {
        let mut refused = Vec::new();
        for (serial, connection) in &mut self.connections {
            if matches!(connection.state, State::SettingUp { .. }) {
                connection.state = State::Refused(Refusal::Busy);
                connection.answer_at = now;
                self.setups -= 1;
                self.requests.remove(&connection.request);
                refused.push(*serial);
            }
        }
        refused
    }

    /// The connection with the highest load; the oldest one if several have the same load.
    pub fn heaviest(&self) -> Option<u32> {
        let up = self.connections.iter().filter(|(serial, _)| self.is_up(**serial));
        up.max_by_key(|(serial, c)| (c.load, std::cmp::Reverse(**serial))).map(|(serial, _)| *serial)
    }

    pub fn clear(&mut self) {
        *self = ConnectionTable::new(self.group_cost);
    }
}
