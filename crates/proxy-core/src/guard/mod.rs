//! One guard for the steps in which a rule can be violated: sending, retrying, closing and slow start. It observes which
//! requests the proxy takes, which attempts it sends and how they end, knows nothing of how that was decided, and says which
//! step violates a rule. Sans-io.
//!
//! It grows with the pending requests, the established connections, and the servers; no step looks at more than one of each,
//! but [`Guard::overdue`], which looks at all pending requests and is meant for once a second.

mod checks;
mod request;
mod server;
mod violation;

pub use checks::{FinalAnswer, Guard, GuardResult, ListScope};
pub use violation::{Violation, Violations};
