//! The table that explains a plan: how each rule runs on each class, and why.

use std::fmt;
use std::sync::Arc;

/// The table's name for all classes that have no profile and that no rule names.
pub const UNKNOWN: &str = "(unknown)";

/// How a rule runs on one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Execution {
    /// The rule runs as written.
    Exactly,
    /// The rule runs in a form that allows less. The reason says what is lost.
    Stricter,
    /// The rule is a requirement that can't run. The class gets none of the requests that the rule matches.
    Unsupported,
    /// The rule is a preference that can't run. It doesn't order the nodes of the class.
    Dropped,
}

impl Execution {
    /// Whether the rule doesn't run on the class.
    pub(crate) fn is_left_out(self) -> bool {
        matches!(self, Self::Unsupported | Self::Dropped)
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Exactly => "exactly",
            Self::Stricter => "stricter",
            Self::Unsupported => "not at all",
            Self::Dropped => "dropped",
        })
    }
}

/// How one rule runs on one class. A rule has no row for a class of which it selects no nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The rule, as `namespace:name`.
    pub rule: Arc<str>,
    /// The hardware class, or [`UNKNOWN`].
    pub class: Arc<str>,
    /// How the rule runs on the class.
    pub execution: Execution,
    /// Why the rule doesn't run exactly, and what is lost. Empty if the rule runs exactly.
    pub reason: &'static str,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} on {}: {}", self.rule, self.class, self.execution)?;
        if !self.reason.is_empty() {
            write!(f, ", {}", self.reason)?;
        }
        Ok(())
    }
}
