//! An event loop on mio: connections are objects with callbacks, and no thread or task is started for one. Lines, HTTP and JSON
//! streams on non-blocking sockets. It knows nothing of proxies: its objects' reports are of the owner's own type.

pub mod clock;
pub mod http;
pub mod http_server;
pub mod json_stream;
pub mod line;
pub mod listener;
pub mod rate_limited_log;
mod reactor;
pub mod signals;

pub use clock::{Clock, Micros};
pub use reactor::{Connection, Half, Io, Key, Reactor, Report};
