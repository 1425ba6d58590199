//! The discovery service: an endpoint list with revisions, calls that are served one after another, watches, and
//! injected faults.

use super::registry::{Registry, Update};
use crate::plan::Phase;
use crate::plan::{DiscoveryChange, NodeId, Plan};
use crate::time::{MS, Micros, S};
use std::collections::{BTreeMap, VecDeque};

/// Time to serve one call: a list of several hundred entries from memory.
const SERVICE_TIME: Micros = 2 * MS;
/// A call that has waited longer than this fails, as it does in the operators' discovery service.
const CALL_TIMEOUT: Micros = 3 * S;
/// Interval of heartbeats on a watch while nothing changes.
const HEARTBEAT_INTERVAL: Micros = 2 * S;
/// After a move to a new address, connections to the old address are closed after this time.
const OLD_ADDRESS_LINGER: Micros = 1_500 * MS;

/// A call of a client of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Requests the complete list.
    List,
    /// Requests the changes after a revision, and all later changes as they occur.
    Watch {
        /// The last revision that the caller has.
        from: u64,
    },
}

/// Events for discovery. Each connection is identified by a number that is never reused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A call was read on this connection.
    Call(u64, Call),
    /// The connection has ended.
    Ended(u64),
    /// Discovery learns a node's phase, and the node's last start if that was during this run.
    Listed(NodeId, Phase, Option<Micros>),
    /// A change of the timeline: a fault begins or ends.
    Change(DiscoveryChange),
    /// Time has passed.
    Tick,
}

/// How an update is written to a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteMode {
    /// In one write.
    Whole,
    /// In pieces, with pauses in between.
    Pieces,
    /// As bytes that cannot be parsed, so the watch learns nothing from the update.
    Unreadable,
}

/// Actions that discovery requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a call with the list.
    List(u64, Update),
    /// Start the answer to a watch with this update.
    StartWatch(u64, Update),
    /// Continue the answer to a watch with this update.
    ContinueWatch(u64, Update, WriteMode),
    /// Write an empty line as a heartbeat.
    Heartbeat(u64),
    /// Answer with status 503.
    Unavailable(u64),
    /// Reset the connection.
    Reset(u64),
    /// Close the connection in order.
    Close(u64),
    /// Listen at the address that follows this number of moves, and at no other address.
    Listen(u16),
    /// Stop listening.
    StopListening,
    /// Discovery became reachable for all callers, or unreachable.
    Reachable(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Normal,
    Down,
    Unavailable,
    Resetting,
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    sent_revision: u64,
    heartbeat_at: Micros,
}

/// The discovery service.
#[derive(Debug)]
pub struct Discovery {
    registry: Registry,
    mode: Mode,
    moves: u16,
    /// Whether the next watch receives the complete list regardless of its revision.
    gap: bool,
    /// How the next update is written to all watches that are open at that time.
    next_write: WriteMode,
    calls: VecDeque<(u64, Call, Micros)>,
    /// The time at which the first call in the queue is served.
    served_at: Micros,
    watches: BTreeMap<u64, Watch>,
    /// The open connections, with the time at which they are closed after a move. All of them are reset when
    /// discovery goes down.
    connections: BTreeMap<u64, Option<Micros>>,
}

impl Discovery {
    /// Creates the service as it is at the start of a run, at its first address.
    pub fn new(plan: &Plan) -> Self {
        Discovery {
            registry: Registry::new(plan),
            mode: Mode::Normal,
            moves: 0,
            gap: false,
            next_write: WriteMode::Whole,
            calls: VecDeque::new(),
            served_at: 0,
            watches: BTreeMap::new(),
            connections: BTreeMap::new(),
        }
    }

    /// The time of the next action if no other event occurs.
    pub fn next_timeout(&self) -> Option<Micros> {
        let responds = matches!(self.mode, Mode::Normal | Mode::Unavailable);
        let call = self.calls.front().filter(|_| responds).map(|_| self.served_at);
        let heartbeat = self.watches.values().map(|watch| watch.heartbeat_at).min().filter(|_| responds);
        let closes = self.connections.values().flatten().min().copied();
        [call, heartbeat, closes].into_iter().flatten().min()
    }

    /// Records an accepted connection, which will be closed if discovery moves to another address.
    pub fn record_accepted(&mut self, id: u64) {
        self.connections.insert(id, None);
    }

    /// Handles the input, and then everything that is due.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Call(id, _) if self.mode == Mode::Resetting => out.push(Output::Reset(id)),
            Input::Call(id, call) => {
                if self.calls.is_empty() {
                    self.served_at = now + SERVICE_TIME;
                }
                self.calls.push_back((id, call, now));
            }
            Input::Ended(id) => self.remove_connection(id),
            Input::Listed(node, phase, since) => {
                self.registry.change(node, phase, since);
                let mode = std::mem::replace(&mut self.next_write, WriteMode::Whole);
                self.send_updates(now, mode, out);
            }
            Input::Change(change) => self.change(now, change, out),
            Input::Tick => {}
        }
        self.perform_due(now, out);
    }

    fn remove_connection(&mut self, id: u64) {
        self.calls.retain(|(other, ..)| *other != id);
        self.watches.remove(&id);
        self.connections.remove(&id);
    }

    fn perform_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        let closing: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, at)| at.is_some_and(|at| at <= now))
            .map(|(id, _)| *id)
            .collect();
        for id in closing {
            self.remove_connection(id);
            out.push(Output::Close(id));
        }
        if !matches!(self.mode, Mode::Normal | Mode::Unavailable) {
            return;
        }
        while self.served_at <= now
            && let Some((id, call, received_at)) = self.calls.pop_front()
        {
            self.answer(now, id, call, received_at, out);
            self.served_at += SERVICE_TIME;
        }
        for (id, watch) in self.watches.iter_mut().filter(|(_, watch)| watch.heartbeat_at <= now) {
            watch.heartbeat_at = now + HEARTBEAT_INTERVAL;
            if watch.sent_revision < self.registry.revision() {
                // An update that was written unreadably is sent again with the next heartbeat, on watches that are
                // still open.
                out.push(Output::ContinueWatch(
                    *id,
                    self.registry.changes_since(watch.sent_revision),
                    WriteMode::Whole,
                ));
                watch.sent_revision = self.registry.revision();
            } else {
                out.push(Output::Heartbeat(*id));
            }
        }
    }

    fn answer(&mut self, now: Micros, id: u64, call: Call, received_at: Micros, out: &mut Vec<Output>) {
        if self.mode == Mode::Unavailable || now - received_at > CALL_TIMEOUT {
            return out.push(Output::Unavailable(id));
        }
        match call {
            Call::List => out.push(Output::List(id, self.registry.complete_list())),
            Call::Watch { from } => {
                let gap = std::mem::take(&mut self.gap);
                let update =
                    if gap { self.registry.complete_list() } else { self.registry.changes_since(from) };
                self.watches.insert(
                    id,
                    Watch { sent_revision: update.revision, heartbeat_at: now + HEARTBEAT_INTERVAL },
                );
                out.push(Output::StartWatch(id, update));
            }
        }
    }

    fn send_updates(&mut self, now: Micros, mode: WriteMode, out: &mut Vec<Output>) {
        if !matches!(self.mode, Mode::Normal | Mode::Unavailable) {
            return;
        }
        for (id, watch) in &mut self.watches {
            if watch.sent_revision == self.registry.revision() {
                continue;
            }
            out.push(Output::ContinueWatch(*id, self.registry.changes_since(watch.sent_revision), mode));
            watch.heartbeat_at = now + HEARTBEAT_INTERVAL;
            if mode != WriteMode::Unreadable {
                watch.sent_revision = self.registry.revision();
            }
        }
    }

    fn change(&mut self, now: Micros, change: DiscoveryChange, out: &mut Vec<Output>) {
        match change {
            DiscoveryChange::Down => {
                out.push(Output::StopListening);
                self.reset_all(out);
                self.set_mode(Mode::Down, out);
            }
            DiscoveryChange::Unavailable => self.set_mode(Mode::Unavailable, out),
            DiscoveryChange::Resetting => {
                self.reset_all(out);
                self.set_mode(Mode::Resetting, out);
            }
            DiscoveryChange::Silent => self.set_mode(Mode::Silent, out),
            DiscoveryChange::InPieces => self.next_write = WriteMode::Pieces,
            DiscoveryChange::BadList => self.next_write = WriteMode::Unreadable,
            DiscoveryChange::Gap => self.gap = true,
            DiscoveryChange::MoveAway => {
                self.moves += 1;
                out.push(Output::Listen(self.moves));
                for closes in self.connections.values_mut() {
                    *closes = closes.or(Some(now + OLD_ADDRESS_LINGER));
                }
                self.set_mode(Mode::Normal, out);
            }
            DiscoveryChange::Restore => {
                (self.gap, self.next_write) = (false, WriteMode::Whole);
                if self.mode == Mode::Down {
                    out.push(Output::Listen(self.moves));
                }
                self.set_mode(Mode::Normal, out);
                // Watches that stayed open while discovery was silent receive the updates that they missed.
                self.send_updates(now, WriteMode::Whole, out);
            }
        }
    }

    fn set_mode(&mut self, mode: Mode, out: &mut Vec<Output>) {
        let previous = std::mem::replace(&mut self.mode, mode);
        if (previous == Mode::Normal) != (mode == Mode::Normal) {
            out.push(Output::Reachable(mode == Mode::Normal));
        }
    }

    fn reset_all(&mut self, out: &mut Vec<Output>) {
        out.extend(std::mem::take(&mut self.connections).into_keys().map(Output::Reset));
        self.watches.clear();
        self.calls.clear();
    }
}

#[cfg(test)]
mod tests;
