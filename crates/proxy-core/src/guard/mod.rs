//! A guard that checks the proxy's steps against the rules for sending, retrying, closing and slow start, without I/O. The guard
//! observes the requests, the attempts and their outcomes, independent of the code that decides them, and reports violations.
//!
//! Memory use is proportional to the pending requests, the established connections and the servers. A step for a request
//! looks up one entry of each; [`Guard::overdue`] scans all pending requests and is to be called once a second.

mod checks;
mod request;
mod server;
mod violation;

pub use checks::{FinalAnswer, Guard, GuardResult, ListScope};
pub use violation::{Violation, Violations};
