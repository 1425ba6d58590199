//! The management interface for operators: HTTP/1.1 with one request per connection. This module reads the
//! requests, which the driver answers. Invalid requests are answered here at once.

mod admin_connection;
pub mod admin_request;
pub mod admin_server;
pub mod metrics;
