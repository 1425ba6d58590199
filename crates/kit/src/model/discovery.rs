//! Discovery: one list of render nodes with revisions, calls that are handled one after another, watches, and its
//! faults.

use super::registry::{Registry, Update};
use crate::plan::Phase;
use crate::plan::{DiscoveryChange, NodeId, Plan};
use crate::time::{MS, Micros, S};
use std::collections::{BTreeMap, VecDeque};

/// Serving one call: a list of some hundred entries from memory.
const SERVICE: Micros = 2 * MS;
/// A call that has waited longer fails, as at the operators' discovery.
const PATIENCE: Micros = 3 * S;
/// While nothing changes, a watch hears this often that it stands.
const BEAT: Micros = 2 * S;
/// After it has moved, discovery closes what is open at its old address after this.
const OLD_ADDRESS: Micros = 1_500 * MS;

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The whole list.
    List,
    /// Changes after a revision, as they come.
    Watch {
        /// The revision.
        from: u64,
    },
}

/// What happens. Connections are named by numbers that are not used twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A call has been read.
    Call(u64, Call),
    /// The connection has ended.
    Ended(u64),
    /// Discovery learns of a node: its phase, and its last start if it had one in this run.
    Listed(NodeId, Phase, Option<Micros>),
    /// Something of the timeline.
    Change(DiscoveryChange),
    /// Time has passed.
    Tick,
}

/// How a line of a watch is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// At once.
    Whole,
    /// In pieces, with pauses between.
    Pieces,
    /// So that it can't be read; it tells nothing.
    Unreadable,
}

/// What discovery does.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answers with the list.
    List(u64, Update),
    /// Begins a watch's answer with this.
    Begin(u64, Update),
    /// Goes on with this.
    Line(u64, Update, How),
    /// Writes an empty line.
    Beat(u64),
    /// Answers 503.
    Unavailable(u64),
    /// Resets the connection.
    Reset(u64),
    /// Closes the connection in order.
    Close(u64),
    /// Listens at its address after so many moves, and nowhere else.
    Listen(u16),
    /// Listens nowhere.
    Deaf,
    /// Can be reached and asked from now on, or not.
    Reachable(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mood {
    Usual,
    Down,
    Unavailable,
    Resetting,
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    sent: u64,
    beat: Micros,
}

/// The service.
#[derive(Debug)]
pub struct Discovery {
    registry: Registry,
    mood: Mood,
    moves: u16,
    /// The next watch gets the whole list.
    gap: bool,
    /// How the next change is written, to each watch that stands when it comes.
    next: How,
    calls: VecDeque<(u64, Call, Micros)>,
    /// The first call is done then.
    served: Micros,
    watches: BTreeMap<u64, Watch>,
    /// Connections that are open; all of them end when discovery goes down or moves.
    open: BTreeMap<u64, Option<Micros>>,
}

impl Discovery {
    /// As at the start of a run, at its first address.
    pub fn new(plan: &Plan) -> Self {
        Discovery {
            registry: Registry::new(plan),
            mood: Mood::Usual,
            moves: 0,
            gap: false,
            next: How::Whole,
            calls: VecDeque::new(),
            served: 0,
            watches: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    /// When it has something to do, if nothing happens before.
    pub fn next_timeout(&self) -> Option<Micros> {
        let talks = matches!(self.mood, Mood::Usual | Mood::Unavailable);
        let call = self.calls.front().filter(|_| talks).map(|_| self.served);
        let beat = self.watches.values().map(|watch| watch.beat).min().filter(|_| talks);
        let closes = self.open.values().flatten().min().copied();
        [call, beat, closes].into_iter().flatten().min()
    }

    /// A connection was accepted. It is closed with the others of its address when discovery moves on.
    pub fn opened(&mut self, id: u64) {
        self.open.insert(id, None);
    }

    /// Does what is due by now, then takes the input.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Call(id, _) if self.mood == Mood::Resetting => out.push(Output::Reset(id)),
            Input::Call(id, call) => {
                if self.calls.is_empty() {
                    self.served = now + SERVICE;
                }
                self.calls.push_back((id, call, now));
            }
            Input::Ended(id) => self.forget(id),
            Input::Listed(node, phase, since) => {
                self.registry.change(node, phase, since);
                let how = std::mem::replace(&mut self.next, How::Whole);
                self.tell_all(now, how, out);
            }
            Input::Change(change) => self.change(now, change, out),
            Input::Tick => {}
        }
        self.catch_up(now, out);
    }

    fn forget(&mut self, id: u64) {
        self.calls.retain(|(other, ..)| *other != id);
        self.watches.remove(&id);
        self.open.remove(&id);
    }

    fn catch_up(&mut self, now: Micros, out: &mut Vec<Output>) {
        let closing: Vec<u64> =
            self.open.iter().filter(|(_, at)| at.is_some_and(|at| at <= now)).map(|(id, _)| *id).collect();
        for id in closing {
            self.forget(id);
            out.push(Output::Close(id));
        }
        if !matches!(self.mood, Mood::Usual | Mood::Unavailable) {
            return;
        }
        while self.served <= now
            && let Some((id, call, came)) = self.calls.pop_front()
        {
            self.answer(now, id, call, came, out);
            self.served += SERVICE;
        }
        for (id, watch) in self.watches.iter_mut().filter(|(_, watch)| watch.beat <= now) {
            watch.beat = now + BEAT;
            if watch.sent < self.registry.revision() {
                // What a bad list held back is told with the next beat, to those that stayed.
                out.push(Output::Line(*id, self.registry.since(watch.sent), How::Whole));
                watch.sent = self.registry.revision();
            } else {
                out.push(Output::Beat(*id));
            }
        }
    }

    fn answer(&mut self, now: Micros, id: u64, call: Call, came: Micros, out: &mut Vec<Output>) {
        if self.mood == Mood::Unavailable || now - came > PATIENCE {
            return out.push(Output::Unavailable(id));
        }
        match call {
            Call::List => out.push(Output::List(id, self.registry.whole())),
            Call::Watch { from } => {
                let gap = std::mem::take(&mut self.gap);
                let update = if gap { self.registry.whole() } else { self.registry.since(from) };
                self.watches.insert(id, Watch { sent: update.revision, beat: now + BEAT });
                out.push(Output::Begin(id, update));
            }
        }
    }

    fn tell_all(&mut self, now: Micros, how: How, out: &mut Vec<Output>) {
        if !matches!(self.mood, Mood::Usual | Mood::Unavailable) {
            return;
        }
        for (id, watch) in &mut self.watches {
            if watch.sent == self.registry.revision() {
                continue;
            }
            out.push(Output::Line(*id, self.registry.since(watch.sent), how));
            watch.beat = now + BEAT;
            if how != How::Unreadable {
                watch.sent = self.registry.revision();
            }
        }
    }

    fn change(&mut self, now: Micros, change: DiscoveryChange, out: &mut Vec<Output>) {
        match change {
            DiscoveryChange::Down => {
                out.push(Output::Deaf);
                self.end_all(out);
                self.turn(Mood::Down, out);
            }
            DiscoveryChange::Unavailable => self.turn(Mood::Unavailable, out),
            DiscoveryChange::Resetting => {
                self.end_all(out);
                self.turn(Mood::Resetting, out);
            }
            DiscoveryChange::Silent => self.turn(Mood::Silent, out),
            DiscoveryChange::InPieces => self.next = How::Pieces,
            DiscoveryChange::BadList => self.next = How::Unreadable,
            DiscoveryChange::Gap => self.gap = true,
            DiscoveryChange::MoveAway => {
                self.moves += 1;
                out.push(Output::Listen(self.moves));
                for closes in self.open.values_mut() {
                    *closes = closes.or(Some(now + OLD_ADDRESS));
                }
                self.turn(Mood::Usual, out);
            }
            DiscoveryChange::Restore => {
                (self.gap, self.next) = (false, How::Whole);
                if self.mood == Mood::Down {
                    out.push(Output::Listen(self.moves));
                }
                self.turn(Mood::Usual, out);
                // Watches that stood through a silence hear what they have missed.
                self.tell_all(now, How::Whole, out);
            }
        }
    }

    fn turn(&mut self, mood: Mood, out: &mut Vec<Output>) {
        let was = std::mem::replace(&mut self.mood, mood);
        if (was == Mood::Usual) != (mood == Mood::Usual) {
            out.push(Output::Reachable(mood == Mood::Usual));
        }
    }

    fn end_all(&mut self, out: &mut Vec<Output>) {
        out.extend(std::mem::take(&mut self.open).into_keys().map(Output::Reset));
        self.watches.clear();
        self.calls.clear();
    }
}

#[cfg(test)]
mod tests;
