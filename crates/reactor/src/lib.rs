//! An event loop on mio. Connections are objects with callbacks; no thread or task is started for a connection. The crate also
//! has line, HTTP and JSON stream parsers for non-blocking sockets. It does not depend on the proxy: the owner of the loop
//! defines the type of the reports that connections send to it.

pub mod clock;
pub mod http;
pub mod http_server;
pub mod json_stream;
pub mod line;
pub mod listener;
pub mod rate_limited_log;
mod reactor;
pub mod signals;
pub mod waker;

pub use clock::{Clock, Micros};
pub use reactor::{Connection, Half, Io, Key, Reactor, Report};
