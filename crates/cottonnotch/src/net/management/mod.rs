//! The operators' address: HTTP/1.1, one call to a connection. A call is read here and answered by the driver, which
//! knows what is asked for; what is no call is answered at once.

mod call;
mod caller;
mod desk;
pub mod figures;

pub use call::{Answer, Call};
pub use caller::Caller;
pub use desk::{Desk, PLACES};
