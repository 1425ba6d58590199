//! The settings of the shims over a run.

use cottonnotch_kit::time::Micros;
use cottonnotch_shim_control::{Control, Setting};
use std::io;

/// A change of one of the shims' settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShimChange {
    /// Time of the run in microseconds.
    pub at: Micros,
    /// The setting.
    pub setting: Setting,
    /// Its new value.
    pub value: i64,
}

/// All changes of a run, and how many of them are applied.
#[derive(Clone, Debug, Default)]
pub struct ShimSchedule {
    changes: Vec<ShimChange>,
    next: usize,
}

impl ShimSchedule {
    /// A schedule of these changes, in any order.
    pub fn new(mut changes: Vec<ShimChange>) -> Self {
        changes.sort_by_key(|change| change.at);
        ShimSchedule { changes, next: 0 }
    }

    /// All changes, in the order of their times.
    pub fn changes(&self) -> &[ShimChange] {
        &self.changes
    }

    /// Applies the changes that are due. Fails if the control file cannot be written.
    pub fn apply_due(&mut self, now: Micros, control: &Control) -> io::Result<()> {
        while let Some(change) = self.changes.get(self.next).filter(|change| change.at <= now) {
            control.set(change.setting, change.value)?;
            self.next += 1;
        }
        Ok(())
    }
}
