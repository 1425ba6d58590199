//! Which rule runs how on which class, in words.

use std::fmt;
use std::sync::Arc;

/// The name that the table gives every class without a profile that no rule names either.
pub const UNKNOWN: &str = "(unknown)";

/// How a rule runs on one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Runs {
    /// As it is written.
    Exactly,
    /// In a form that allows less; the words say what is lost.
    Stricter,
    /// A must that can't run: the class gets none of the requests that the rule speaks of.
    NotAtAll,
    /// A wish that can't run: it doesn't order the nodes of this class.
    Dropped,
}

impl fmt::Display for Runs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Exactly => "exactly",
            Self::Stricter => "stricter",
            Self::NotAtAll => "not at all",
            Self::Dropped => "dropped",
        })
    }
}

/// One rule on one class. Rules that mean no node of a class have no row for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The rule, as `namespace:name`.
    pub rule: Arc<str>,
    /// The hardware class, or [`UNKNOWN`].
    pub class: Arc<str>,
    /// How it runs.
    pub runs: Runs,
    /// Why, and what is lost. Empty where it runs exactly.
    pub words: &'static str,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} on {}: {}", self.rule, self.class, self.runs)?;
        if !self.words.is_empty() {
            write!(f, ", {}", self.words)?;
        }
        Ok(())
    }
}
