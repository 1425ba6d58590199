//! Follows the `seq` of records from line to line, and finds where some are missing.

use crate::finding::Finding;

/// The kind of step that a line is in the sequence.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A new incarnation, which counts from 0.
    Start,
    /// Stands for dropped records from here on.
    Dropped { since: u64 },
    /// One record.
    One,
}

/// The expected `seq`, once one was seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sequence(Option<u64>);

impl Sequence {
    /// Advances to the next line's `seq`; a finding if that is not the expected one.
    pub fn advance(&mut self, seq: u64, step: Step) -> Option<Finding> {
        let found = match step {
            Step::Dropped { since } => since,
            Step::Start | Step::One => seq,
        };
        let before = self.0.replace(seq.saturating_add(1));
        let expected = match (step, before) {
            // What an earlier incarnation lost at its end can't be seen: nobody knows how far it had counted.
            (Step::Start, _) => 0,
            (_, None) if found > 0 => return Some(Finding::StartsMidSequence { seq: found }),
            (_, None) => 0,
            (_, Some(expected)) => expected,
        };
        match found {
            _ if found > expected => Some(Finding::Gap { since: expected, count: found - expected }),
            _ if found < expected => Some(Finding::SequenceWentBack { expected, found }),
            _ => None,
        }
    }
}
