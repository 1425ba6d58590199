//! The operators' address: HTTP/1.1, one request to a connection. A request is read here and answered by the driver,
//! which knows what is asked for; what is no request of ours is answered at once.

mod admin_connection;
pub mod admin_request;
pub mod admin_server;
pub mod metrics;
