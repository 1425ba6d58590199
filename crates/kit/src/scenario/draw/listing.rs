//! What discovery learns of a render node, from what really happens to it: late, and never what is over by
//! then.

use crate::plan::Phase;
use crate::time::{MS, Micros};

/// Something that happened to a render node and that discovery may learn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Truth {
    /// When it happened.
    pub at: Micros,
    /// What the list should say of it.
    pub phase: Phase,
    /// `up` with a new process.
    pub fresh: bool,
    /// When discovery would say so.
    pub listed: Micros,
}

/// The changes of the list for one render node, in order; `truths` in the order of their times.
pub(super) fn entries(truths: &[Truth], up_at_start: bool) -> Vec<(Micros, Phase)> {
    let mut said = if up_at_start { Phase::Up } else { Phase::Removed };
    let mut entries: Vec<(Micros, Phase)> = Vec::new();
    for (i, truth) in truths.iter().enumerate() {
        // Discovery looks late: what has turned into something else by then is not seen. A drain that
        // somebody planned stays true until the node runs again.
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
