//! Variables of the process's environment.

/// Names the operator's file where the command line doesn't.
pub const OPERATOR_VARIABLE: &str = "COTTONNOTCH_OPERATOR";

/// A variable of the environment; one that is not UTF-8 counts as unset.
pub fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
