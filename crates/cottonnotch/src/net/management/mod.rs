//! The operators' address: HTTP/1.1, one call to a connection. A call is read here and answered by the driver, which
//! knows what is asked for; what is no call is answered at once.

mod admin_connection;
mod admin_request;
mod admin_server;
pub mod metrics;

pub use admin_connection::AdminConnection;
pub use admin_request::{AdminRequest, AdminResponse};
pub use admin_server::{AdminServer, MAX_ADMIN_CONNECTIONS};
