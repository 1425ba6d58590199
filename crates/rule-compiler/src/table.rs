//! The table that explains a plan: which rule runs how on which class, and why.

use std::fmt;
use std::sync::Arc;

/// The name that the table gives every class without a profile that no rule names either.
pub const UNKNOWN: &str = "(unknown)";

/// How a rule runs on one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Execution {
    /// As it is written.
    Exactly,
    /// In a form that allows less; the reason says what is lost.
    Stricter,
    /// A requirement that can't run: the class gets none of the requests that the rule concerns.
    Unsupported,
    /// A preference that can't run: it doesn't order the nodes of this class.
    Dropped,
}

impl Execution {
    /// The rule doesn't run on the class.
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

/// One rule on one class. Rules that select no node of a class have no row for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The rule, as `namespace:name`.
    pub rule: Arc<str>,
    /// The hardware class, or [`UNKNOWN`].
    pub class: Arc<str>,
    /// How it runs.
    pub execution: Execution,
    /// Why, and what is lost. Empty where it runs exactly.
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
