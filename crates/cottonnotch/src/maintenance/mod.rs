//! Maintenance by hand, without I/O: which render nodes the operators have taken out, and what that makes of what
//! discovery lists. Two processes of one proxy, while one replaces the other, each hold such a state and merge them:
//! for each render node the later call counts, so that the order of merging does not matter.

mod text_format;

pub use text_format::{BadSave, MOST_BYTES, decode, encode};

use cottonnotch_decision::{Micros, ServerState};
use std::collections::BTreeMap;

/// The end of a maintenance is remembered for so long: past any overlap of two processes, and past any warm-up.
const REMEMBERED: Micros = 900_000_000;
/// Marks that are kept at most. Guards against a saved state that is no small file any more.
pub const MOST_MARKS: usize = 4096;

/// The latest call for one render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// When it was made, in microseconds of Unix time; each later call for the same render node has a later one.
    pub at: Micros,
    /// It takes the render node out.
    pub out: bool,
    /// When the render node was taken out.
    pub since: Micros,
}

/// All calls that count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Maintenance {
    marks: BTreeMap<String, Mark>,
}

impl Maintenance {
    /// The state that these calls leave.
    pub fn of(marks: impl IntoIterator<Item = (String, Mark)>) -> Self {
        Maintenance { marks: marks.into_iter().take(MOST_MARKS).collect() }
    }

    /// The calls, by render node.
    pub fn marks(&self) -> impl ExactSizeIterator<Item = (&str, Mark)> {
        self.marks.iter().map(|(id, mark)| (id.as_str(), *mark))
    }

    /// There was a call for it that is remembered.
    pub fn knows(&self, id: &str) -> bool {
        self.marks.contains_key(id)
    }

    /// It is out.
    pub fn is_out(&self, id: &str) -> bool {
        self.marks.get(id).is_some_and(|mark| mark.out)
    }

    /// Takes a render node out; false if it is out already, or if too many are.
    pub fn enter(&mut self, now: Micros, id: &str) -> bool {
        if self.is_out(id) || self.marks.len() >= MOST_MARKS && !self.knows(id) {
            return false;
        }
        let at = self.next(now, id);
        self.marks.insert(id.to_owned(), Mark { at, out: true, since: at });
        true
    }

    /// Puts a render node back, however often it was taken out; false if it is not out.
    pub fn exit(&mut self, now: Micros, id: &str) -> bool {
        let at = self.next(now, id);
        match self.marks.get_mut(id).filter(|mark| mark.out) {
            Some(mark) => {
                *mark = Mark { at, out: false, since: mark.since };
                true
            }
            None => false,
        }
    }

    /// A time for a call. Guards against a clock that was set back: the new call counts all the same.
    fn next(&self, now: Micros, id: &str) -> Micros {
        self.marks.get(id).map_or(now, |mark| now.max(mark.at.saturating_add(1)))
    }

    /// Takes over each call of another state that is later than its own; the render nodes for which that changed
    /// anything.
    pub fn merge(&mut self, other: &Maintenance) -> Vec<String> {
        let mut changed = Vec::new();
        for (id, theirs) in &other.marks {
            let known = self.marks.get(id).copied();
            let is_news = known.is_none_or(|own| own < *theirs);
            if !is_news || known.is_none() && self.marks.len() >= MOST_MARKS {
                continue;
            }
            self.marks.insert(id.clone(), *theirs);
            changed.push(id.clone());
        }
        changed
    }

    /// Takes over another state's calls for these render nodes, with their times as `time` gives them; drops what that has no call
    /// for. What is known already keeps its times.
    pub fn follow(&mut self, other: &Maintenance, ids: &[String], time: impl Fn(Micros) -> Micros) {
        self.marks.retain(|id, _| other.marks.contains_key(id));
        for id in ids {
            if let Some(mark) = other.marks.get(id) {
                let mark = Mark { at: time(mark.at), out: mark.out, since: time(mark.since) };
                self.marks.insert(id.clone(), mark);
            }
        }
    }

    /// Forgets what has long ended.
    pub fn forget_old(&mut self, now: Micros) {
        self.marks.retain(|_, mark| mark.out || now - mark.at < REMEMBERED);
    }

    /// What discovery's word on a render node comes to: out, it is draining, whatever else is listed, unless it is
    /// gone; put back, it counts as started anew, at the latest when it was put back.
    pub fn over(
        &self,
        id: &str,
        listed: ServerState,
        started: Option<Micros>,
    ) -> (ServerState, Option<Micros>) {
        match self.marks.get(id) {
            Some(mark) if mark.out && listed == ServerState::Ready => (ServerState::Draining, started),
            // A start that is told from after it was taken out is the one that the maintenance was for.
            Some(mark) if !mark.out && started.is_none_or(|at| at <= mark.since) => (listed, Some(mark.at)),
            _ => (listed, started),
        }
    }
}

#[cfg(test)]
mod tests;
