//! Manual maintenance, without I/O: the render nodes that operators have taken out of use, and how these overrides
//! apply to discovery's list. During a hot restart, two processes of one proxy each hold such a state and merge
//! them. For each render node the later override is in force, so the order of merging does not matter.

mod text_format;

pub use text_format::{MAX_BYTES, MaintenanceDecodeError, decode, encode};

use cottonnotch_decision::{Micros, ServerState};
use std::collections::BTreeMap;

/// How long an override is kept after the maintenance has ended. This exceeds the overlap of two processes in a hot
/// restart and the length of any slow start.
const RETENTION: Micros = 900_000_000;
/// The maximum number of overrides, which keeps the saved state a small file.
pub const MAX_OVERRIDES: usize = 4096;

/// The latest override for one render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ManualOverride {
    /// When the override was set, in microseconds of Unix time. A later override for the same render node always
    /// has a later time.
    pub set_at: Micros,
    /// Whether the override takes the render node out of use.
    pub is_out: bool,
    /// When the render node was taken out of use.
    pub out_since: Micros,
}

/// The latest override for each render node that has one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Maintenance {
    overrides: BTreeMap<String, ManualOverride>,
}

impl Maintenance {
    /// Creates a state with these overrides.
    pub fn from_overrides(overrides: impl IntoIterator<Item = (String, ManualOverride)>) -> Self {
        Maintenance { overrides: overrides.into_iter().take(MAX_OVERRIDES).collect() }
    }

    /// Returns the overrides in the order of the render nodes' ids.
    pub fn overrides(&self) -> impl ExactSizeIterator<Item = (&str, ManualOverride)> {
        self.overrides.iter().map(|(id, manual_override)| (id.as_str(), *manual_override))
    }

    /// Returns whether there is an override for this render node.
    pub fn contains(&self, id: &str) -> bool {
        self.overrides.contains_key(id)
    }

    /// Returns whether this render node is out of use.
    pub fn is_out(&self, id: &str) -> bool {
        self.overrides.get(id).is_some_and(|manual_override| manual_override.is_out)
    }

    /// Takes a render node out of use. Returns false if it is already out of use, or if there are too many overrides.
    pub fn enter(&mut self, now: Micros, id: &str) -> bool {
        if self.is_out(id) || self.overrides.len() >= MAX_OVERRIDES && !self.contains(id) {
            return false;
        }
        let set_at = self.next_timestamp(now, id);
        self.overrides.insert(id.to_owned(), ManualOverride { set_at, is_out: true, out_since: set_at });
        true
    }

    /// Puts a render node back into use, regardless of how often `enter` was called for it. Returns false if it is
    /// not out of use.
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

    /// Returns the time for a new override. It is later than the time of the previous override even if the clock
    /// was set back, so that the new override takes effect.
    fn next_timestamp(&self, now: Micros, id: &str) -> Micros {
        self.overrides
            .get(id)
            .map_or(now, |manual_override| now.max(manual_override.set_at.saturating_add(1)))
    }

    /// Merges another state into this one: for each render node, the later override is kept. Returns the ids of the
    /// render nodes whose override has changed.
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

    /// Copies the overrides for these render nodes from another state and converts their times with `convert`.
    /// Removes all overrides that the other state does not have. The overrides for other render nodes keep their
    /// times.
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

    /// Removes the overrides whose maintenance ended more than [`RETENTION`] ago.
    pub fn remove_expired(&mut self, now: Micros) {
        self.overrides
            .retain(|_, manual_override| manual_override.is_out || now - manual_override.set_at < RETENTION);
    }

    /// Applies the override for a render node to its listed state and start time. A render node that is out of use
    /// counts as draining unless discovery has removed it. A render node that is back in use counts as newly
    /// started at the time when it was put back, unless discovery lists a start after it was taken out.
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
            // If the listed start is later than `out_since`, the render node was restarted during the maintenance,
            // and that start time applies.
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
