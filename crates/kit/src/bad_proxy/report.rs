//! The reports of the objects on the event loop to the proxy.

use super::first_line::FirstLine;
use super::lists::List;
use super::session::Session;
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::signals::Signals;
use cottonnotch_reactor::{Connection, Key};

/// One report.
#[derive(Debug)]
pub(super) enum Report {
    /// Clients are waiting to be accepted.
    Acceptable,
    /// A client sent a valid first line. The proxy owes it one final answer.
    RequestReceived(Key, FirstLine),
    /// The current attempt of this client failed.
    AttemptFailed(Key),
    /// The current attempt of this client was answered with `UP`.
    Up(Key),
    /// The client's connection is closed.
    ClientClosed(Key),
    /// The watch received an endpoint list.
    ListReceived(Key, List),
    /// The watch ended.
    WatchLost(Key),
    /// SIGTERM was received.
    Terminate,
    /// SIGHUP was received.
    Reload,
    /// A timer of the proxy fired.
    Timer(u32),
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// The interface of the event loop for the objects' callbacks.
pub(super) type Io = cottonnotch_reactor::Io<Report>;

/// An object on the event loop.
pub(super) trait Object: Connection<Report = Report> {
    /// Returns the object as a client's session, if it is one.
    fn session(&mut self) -> Option<&mut Session> {
        None
    }
}

impl Object for Listener<Report> {}
impl Object for Signals<Report> {}
