//! One guard for the steps by which a rule can be broken: sending, repeating, closing and starting. It is told what the proxy takes,
//! does and ends, knows nothing of how that was decided, and says which step breaks a rule. Sans-io.
//!
//! It grows with the requests that are owed an answer or up, and with the servers; no step looks at more than one of each, but
//! [`Guard::overdue`], which looks at all requests that are owed an answer and is meant for once a second.

mod checks;
mod request;
mod server;
mod violation;

pub use checks::{FinalAnswer, Guard, GuardResult};
pub use violation::{Violation, Violations};
