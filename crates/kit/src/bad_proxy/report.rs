//! What the objects on the loop tell the proxy.

use super::first_line::FirstLine;
use super::lists::List;
use super::session::Session;
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::signals::Signals;
use cottonnotch_reactor::{Connection, Key};

/// One thing told.
#[derive(Debug)]
pub(super) enum Report {
    /// Clients wait to be accepted.
    Acceptable,
    /// A client has asked; it is owed one final answer.
    Asked(Key, FirstLine),
    /// Its attempt came to nothing.
    AttemptOver(Key),
    /// Its attempt is up.
    Up(Key),
    /// The client's connection is no more.
    Gone(Key),
    /// The watch brought a list.
    Listed(Key, List),
    /// The watch is no more.
    WatchLost(Key),
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Reload,
    /// A timer of the proxy's own.
    Timer(u32),
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

/// What callbacks may use here.
pub(super) type Io = cottonnotch_reactor::Io<Report>;

/// An object on the loop.
pub(super) trait Object: Connection<Report = Report> {
    /// The object as a client's session, if it is one.
    fn session(&mut self) -> Option<&mut Session> {
        None
    }
}

impl Object for Listener<Report> {}
impl Object for Signals<Report> {}
