//! Derives the changes of a render node in the endpoint list from the changes of its actual state. Discovery lists a
//! change with a delay, and skips it if a later change has superseded it by then.

use crate::plan::Phase;
use crate::time::{MS, Micros};

/// A change of a render node's actual state, which discovery may list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StateChange {
    /// Time of the change.
    pub at: Micros,
    /// Phase of the render node after the change, as the list should show it.
    pub phase: Phase,
    /// Whether a new process has started.
    pub new_process: bool,
    /// Time at which discovery would list the change.
    pub listed_at: Micros,
}

/// Returns the changes of the endpoint list for one render node, in order of time. `changes` must be in order of
/// time.
pub(super) fn list_changes(changes: &[StateChange], up_at_start: bool) -> Vec<(Micros, Phase)> {
    let mut listed_phase = if up_at_start { Phase::Up } else { Phase::Removed };
    let mut list: Vec<(Micros, Phase)> = Vec::new();
    for (i, change) in changes.iter().enumerate() {
        // Discovery does not see a state that has changed by the time it would list it. Only a planned drain stays
        // valid until the render node is up again.
        let superseded = changes[i + 1..].iter().any(|later| {
            let differs = change.phase != Phase::Draining || later.phase == Phase::Up;
            differs && later.at <= change.listed_at
        });
        if superseded || (change.phase == listed_phase && !change.new_process) {
            continue;
        }
        let not_before = list.last().map_or(Micros::MIN, |(at, _)| at + MS);
        list.push((change.listed_at.max(not_before), change.phase));
        listed_phase = change.phase;
    }
    list
}

#[cfg(test)]
mod tests {
    use super::*;
    use Phase::*;

    fn change(at: Micros, phase: Phase, listed_at: Micros) -> StateChange {
        StateChange { at: at * MS, phase, new_process: phase == Up, listed_at: listed_at * MS }
    }

    fn listed(changes: &[StateChange]) -> Vec<(Micros, Phase)> {
        list_changes(changes, true).into_iter().map(|(at, phase)| (at / MS, phase)).collect()
    }

    #[test]
    fn a_short_absence_is_listed_as_a_new_start_only() {
        assert_eq!(listed(&[change(0, Removed, 900), change(500, Up, 1500)]), [(1500, Up)]);
        assert_eq!(listed(&[change(0, Removed, 400), change(500, Up, 1500)]), [(400, Removed), (1500, Up)]);
    }

    #[test]
    fn a_start_that_fails_again_is_not_listed() {
        let changes = [change(0, Removed, 100), change(500, Up, 1500), change(900, Removed, 1000)];
        assert_eq!(listed(&changes), [(100, Removed)]);
    }

    #[test]
    fn a_late_drain_is_listed_before_the_removal() {
        let changes = [change(0, Draining, 5000), change(3000, Removed, 3500)];
        assert_eq!(listed(&changes), [(5000, Draining), (5001, Removed)]);
        let again = [change(0, Draining, 5000), change(3000, Removed, 3500), change(4000, Up, 4600)];
        assert_eq!(listed(&again), [(3500, Removed), (4600, Up)]);
    }

    #[test]
    fn a_recovery_is_listed_only_if_the_removal_was_listed() {
        let back = StateChange { new_process: false, ..change(500, Up, 1000) };
        assert_eq!(listed(&[change(0, Removed, 7000), back]), []);
        assert_eq!(listed(&[change(0, Removed, 300), back]), [(300, Removed), (1000, Up)]);
    }
}
