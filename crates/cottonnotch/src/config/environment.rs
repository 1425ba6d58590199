//! Access to environment variables.

/// The variable that holds the path of the operator's file; the command-line argument takes precedence.
pub const OPERATOR_VARIABLE: &str = "COTTONNOTCH_OPERATOR";

/// Returns the value of an environment variable; a value that is not UTF-8 counts as unset.
pub fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
