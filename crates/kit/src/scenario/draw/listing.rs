//! Derives the changes of a render node in the endpoint list from the changes of its actual state. Discovery lists a
//! change with a delay, and skips it if a later change has superseded it by then.

use crate::plan::Phase;
use crate::time::{MS, Micros};

/// A change of a render node's actual state, which discovery may list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Truth {
    /// Time of the change.
    pub at: Micros,
    /// Phase of the render node after the change, as the list should show it.
    pub phase: Phase,
    /// Whether a new process has started.
    pub fresh: bool,
    /// Time at which discovery would list the change.
    pub listed: Micros,
}

/// Returns the changes of the endpoint list for one render node, in order of time. `truths` must be in order of time.
pub(super) fn entries(truths: &[Truth], up_at_start: bool) -> Vec<(Micros, Phase)> {
    let mut said = if up_at_start { Phase::Up } else { Phase::Removed };
    let mut entries: Vec<(Micros, Phase)> = Vec::new();
    for (i, truth) in truths.iter().enumerate() {
        // Discovery does not see a state that has changed by the time it would list it. Only a planned drain stays
        // valid until the render node is up again.
        let over = truths[i + 1..].iter().any(|later| {
            let changes = truth.phase != Phase::Draining || later.phase == Phase::Up;
            changes && later.at <= truth.listed
        });
        if over || (truth.phase == said && !truth.fresh) {
            continue;
        }
        let not_before = entries.last().map_or(Micros::MIN, |(at, _)| at + MS);
        entries.push((truth.listed.max(not_before), truth.phase));
        said = truth.phase;
    }
    entries
}

#[cfg(test)]
mod tests {
    use super::*;
    use Phase::*;

    fn truth(at: Micros, phase: Phase, listed: Micros) -> Truth {
        Truth { at: at * MS, phase, fresh: phase == Up, listed: listed * MS }
    }

    fn listed(truths: &[Truth]) -> Vec<(Micros, Phase)> {
        entries(truths, true).into_iter().map(|(at, phase)| (at / MS, phase)).collect()
    }

    #[test]
    fn a_short_absence_is_seen_as_a_new_start_only() {
        assert_eq!(listed(&[truth(0, Removed, 900), truth(500, Up, 1500)]), [(1500, Up)]);
        assert_eq!(listed(&[truth(0, Removed, 400), truth(500, Up, 1500)]), [(400, Removed), (1500, Up)]);
    }

    #[test]
    fn a_start_that_fails_again_is_not_listed() {
        let truths = [truth(0, Removed, 100), truth(500, Up, 1500), truth(900, Removed, 1000)];
        assert_eq!(listed(&truths), [(100, Removed)]);
    }

    #[test]
    fn a_drain_is_listed_before_the_removal_however_late() {
        let truths = [truth(0, Draining, 5000), truth(3000, Removed, 3500)];
        assert_eq!(listed(&truths), [(5000, Draining), (5001, Removed)]);
        let again = [truth(0, Draining, 5000), truth(3000, Removed, 3500), truth(4000, Up, 4600)];
        assert_eq!(listed(&again), [(3500, Removed), (4600, Up)]);
    }

    #[test]
    fn who_comes_back_unlisted_is_not_listed_again() {
        let back = Truth { fresh: false, ..truth(500, Up, 1000) };
        assert_eq!(listed(&[truth(0, Removed, 7000), back]), []);
        assert_eq!(listed(&[truth(0, Removed, 300), back]), [(300, Removed), (1000, Up)]);
    }
}
