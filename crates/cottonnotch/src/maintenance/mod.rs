//! Maintenance by hand, without I/O: which render nodes the operators have taken out, and what that makes of what
//! discovery lists. Two processes of one proxy, while one replaces the other, each hold such a state and merge them:
//! for each render node the later call counts, so that the order of merging does not matter.

mod text_format;

pub use text_format::{MAX_BYTES, MaintenanceDecodeError, decode, encode};

use cottonnotch_decision::{Micros, ServerState};
use std::collections::BTreeMap;

/// The end of a maintenance is remembered for so long: past any overlap of two processes, and past any warm-up.
const RETENTION: Micros = 900_000_000;
/// Marks that are kept at most. Guards against a saved state that is no small file any more.
pub const MAX_OVERRIDES: usize = 4096;

/// The latest call for one render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ManualOverride {
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
    overrides: BTreeMap<String, ManualOverride>,
}

impl Maintenance {
    /// The state that these calls leave.
    pub fn from_overrides(overrides: impl IntoIterator<Item = (String, ManualOverride)>) -> Self {
        Maintenance { overrides: overrides.into_iter().take(MAX_OVERRIDES).collect() }
    }

    /// The calls, by render node.
    pub fn overrides(&self) -> impl ExactSizeIterator<Item = (&str, ManualOverride)> {
        self.overrides.iter().map(|(id, manual_override)| (id.as_str(), *manual_override))
    }

    /// There was a call for it that is remembered.
    pub fn contains(&self, id: &str) -> bool {
        self.overrides.contains_key(id)
    }

    /// It is out.
    pub fn is_out(&self, id: &str) -> bool {
        self.overrides.get(id).is_some_and(|manual_override| manual_override.out)
    }

    /// Takes a render node out; false if it is out already, or if too many are.
    pub fn enter(&mut self, now: Micros, id: &str) -> bool {
        if self.is_out(id) || self.overrides.len() >= MAX_OVERRIDES && !self.contains(id) {
            return false;
        }
        let at = self.next_timestamp(now, id);
        self.overrides.insert(id.to_owned(), ManualOverride { at, out: true, since: at });
        true
    }

    /// Puts a render node back, however often it was taken out; false if it is not out.
    pub fn exit(&mut self, now: Micros, id: &str) -> bool {
        let at = self.next_timestamp(now, id);
        match self.overrides.get_mut(id).filter(|manual_override| manual_override.out) {
            Some(manual_override) => {
                *manual_override = ManualOverride { at, out: false, since: manual_override.since };
                true
            }
            None => false,
        }
    }

    /// A time for a call. Guards against a clock that was set back: the new call counts all the same.
    fn next_timestamp(&self, now: Micros, id: &str) -> Micros {
        self.overrides.get(id).map_or(now, |manual_override| now.max(manual_override.at.saturating_add(1)))
    }

    /// Takes over each call of another state that is later than its own; the render nodes for which that changed
    /// anything.
    pub fn merge(&mut self, other: &Maintenance) -> Vec<String> {
        let mut changed = Vec::new();
        for (id, theirs) in &other.overrides {
            let known = self.overrides.get(id).copied();
            let is_news = known.is_none_or(|own| own < *theirs);
            if !is_news || known.is_none() && self.overrides.len() >= MAX_OVERRIDES {
                continue;
            }
            self.overrides.insert(id.clone(), *theirs);
            changed.push(id.clone());
        }
        changed
    }

    /// Takes over another state's calls for these render nodes, with their times as `time` gives them; drops what that has no call
    /// for. What is known already keeps its times.
    pub fn copy_overrides(&mut self, other: &Maintenance, ids: &[String], time: impl Fn(Micros) -> Micros) {
        self.overrides.retain(|id, _| other.overrides.contains_key(id));
        for id in ids {
            if let Some(manual_override) = other.overrides.get(id) {
                let manual_override = ManualOverride {
                    at: time(manual_override.at),
                    out: manual_override.out,
                    since: time(manual_override.since),
                };
                self.overrides.insert(id.clone(), manual_override);
            }
        }
    }

    /// Forgets what has long ended.
    pub fn remove_expired(&mut self, now: Micros) {
        self.overrides
            .retain(|_, manual_override| manual_override.out || now - manual_override.at < RETENTION);
    }

    /// What discovery's word on a render node comes to: out, it is draining, whatever else is listed, unless it is
    /// gone; put back, it counts as started anew, at the latest when it was put back.
    pub fn apply(
        &self,
        id: &str,
        listed: ServerState,
        started: Option<Micros>,
    ) -> (ServerState, Option<Micros>) {
        match self.overrides.get(id) {
            Some(manual_override) if manual_override.out && listed == ServerState::Ready => {
                (ServerState::Draining, started)
            }
            // A start that is told from after it was taken out is the one that the maintenance was for.
            Some(manual_override)
                if !manual_override.out && started.is_none_or(|at| at <= manual_override.since) =>
            {
                (listed, Some(manual_override.at))
            }
            _ => (listed, started),
        }
    }
}

#[cfg(test)]
mod tests;
