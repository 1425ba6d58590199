//! What the shims are told in the course of a run.

use cottonnotch_kit::time::Micros;
use cottonnotch_shim_control::{Control, Setting};
use std::io;

/// One setting of the shims, at a time of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// When.
    pub at: Micros,
    /// What.
    pub setting: Setting,
    /// Its value from then on.
    pub value: i64,
}

/// All changes of a run, and how far they have been made.
#[derive(Clone, Debug, Default)]
pub struct Course {
    changes: Vec<Change>,
    next: usize,
}

impl Course {
    /// A course of these changes, in whatever order.
    pub fn new(mut changes: Vec<Change>) -> Self {
        changes.sort_by_key(|change| change.at);
        Course { changes, next: 0 }
    }

    /// All changes, in order.
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }

    /// Makes the changes that are due. Fails as the control file does.
    pub fn advance(&mut self, now: Micros, control: &Control) -> io::Result<()> {
        while let Some(change) = self.changes.get(self.next).filter(|change| change.at <= now) {
            control.set(change.setting, change.value)?;
            self.next += 1;
        }
        Ok(())
    }
}
