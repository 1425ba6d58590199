//! Maintenance by hand, without I/O: which render nodes the operators have taken out, and how that overrides discovery's
//! list. Two processes of one proxy, during a hot restart, each hold such a state and merge them: for each render node the
//! later override counts, so that the order of merging does not matter.

mod text_format;

pub use text_format::{MAX_BYTES, MaintenanceDecodeError, decode, encode};

use cottonnotch_decision::{Micros, ServerState};
use std::collections::BTreeMap;

/// The end of a maintenance is remembered for this long: past any overlap of two processes, and past any slow start.
const RETENTION: Micros = 900_000_000;
/// Overrides at most. Guards against a saved state that is no small file any more. Chosen.
pub const MAX_OVERRIDES: usize = 4096;

/// The latest override of one render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ManualOverride {
    /// When it was set, in microseconds of Unix time; each later override of the same render node has a later one.
    pub set_at: Micros,
    /// It takes the render node out.
    pub is_out: bool,
    /// When the render node was taken out.
    pub out_since: Micros,
}

/// The overrides in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Maintenance {
    overrides: BTreeMap<String, ManualOverride>,
}

impl Maintenance {
    /// The state with these overrides.
    pub fn from_overrides(overrides: impl IntoIterator<Item = (String, ManualOverride)>) -> Self {
        Maintenance { overrides: overrides.into_iter().take(MAX_OVERRIDES).collect() }
    }

    /// The overrides, by render node.
    pub fn overrides(&self) -> impl ExactSizeIterator<Item = (&str, ManualOverride)> {
        self.overrides.iter().map(|(id, manual_override)| (id.as_str(), *manual_override))
    }

    /// An override of this render node is remembered.
    pub fn contains(&self, id: &str) -> bool {
        self.overrides.contains_key(id)
    }

    /// This render node is out.
    pub fn is_out(&self, id: &str) -> bool {
        self.overrides.get(id).is_some_and(|manual_override| manual_override.is_out)
    }

    /// Takes a render node out; false if it is out already, or if too many are.
    pub fn enter(&mut self, now: Micros, id: &str) -> bool {
        if self.is_out(id) || self.overrides.len() >= MAX_OVERRIDES && !self.contains(id) {
            return false;
        }
        let set_at = self.next_timestamp(now, id);
        self.overrides.insert(id.to_owned(), ManualOverride { set_at, is_out: true, out_since: set_at });
        true
    }

    /// Puts a render node back, however often it was taken out; false if it is not out.
    pub fn exit(&mut self, now: Micros, id: &str) -> bool {
        let set_at = self.next_timestamp(now, id);
        match self.overrides.get_mut(id).filter(|manual_override| manual_override.is_out) {
            Some(manual_override) => {
                *manual_override =
                    ManualOverride { set_at, is_out: false, out_since: manual_override.out_since };
                true
            }
            None => false,
        }
    }

    /// A time for an override. Guards against a clock that was set back: the new override counts all the same.
    fn next_timestamp(&self, now: Micros, id: &str) -> Micros {
        self.overrides
            .get(id)
            .map_or(now, |manual_override| now.max(manual_override.set_at.saturating_add(1)))
    }

    /// Takes over each override of another state that is later than its own; the render nodes for which that changed
    /// anything.
    pub fn merge(&mut self, other: &Maintenance) -> Vec<String> {
        let mut changed = Vec::new();
        for (id, theirs) in &other.overrides {
            let known = self.overrides.get(id).copied();
            let is_newer = known.is_none_or(|own| own < *theirs);
            if !is_newer || known.is_none() && self.overrides.len() >= MAX_OVERRIDES {
                continue;
            }
            self.overrides.insert(id.clone(), *theirs);
            changed.push(id.clone());
        }
        changed
    }

    /// Takes over another state's overrides of these render nodes, with their times as `convert` gives them; drops those that
    /// the other state has not. Those of other render nodes keep their times.
    pub fn copy_overrides(
        &mut self,
        other: &Maintenance,
        ids: &[String],
        convert: impl Fn(Micros) -> Micros,
    ) {
        self.overrides.retain(|id, _| other.overrides.contains_key(id));
        for id in ids {
            if let Some(manual_override) = other.overrides.get(id) {
                let manual_override = ManualOverride {
                    set_at: convert(manual_override.set_at),
                    is_out: manual_override.is_out,
                    out_since: convert(manual_override.out_since),
                };
                self.overrides.insert(id.clone(), manual_override);
            }
        }
    }

    /// Removes overrides that ended longer than the retention ago.
    pub fn remove_expired(&mut self, now: Micros) {
        self.overrides
            .retain(|_, manual_override| manual_override.is_out || now - manual_override.set_at < RETENTION);
    }

    /// The state and the start of a render node under its override: out, it is draining, unless it was removed from
    /// discovery's list; put back, it counts as started anew, at the latest when it was put back.
    pub fn apply(
        &self,
        id: &str,
        listed: ServerState,
        started: Option<Micros>,
    ) -> (ServerState, Option<Micros>) {
        match self.overrides.get(id) {
            Some(manual_override) if manual_override.is_out && listed == ServerState::Ready => {
                (ServerState::Draining, started)
            }
            // A start that is listed from after it was taken out is the one that the maintenance was for.
            Some(manual_override)
                if !manual_override.is_out && started.is_none_or(|at| at <= manual_override.out_since) =>
            {
                (listed, Some(manual_override.set_at))
            }
            _ => (listed, started),
        }
    }
}

#[cfg(test)]
#[path = "maintenance_tests.rs"]
mod tests;
