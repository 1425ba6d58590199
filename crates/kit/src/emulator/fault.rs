//! Errors that prevent an emulator from running, with messages that say how to resolve them.

use std::io;
use std::net::SocketAddr;

/// Linux `EMFILE` and `ENFILE`: the process or the system has no file descriptors left.
const NO_DESCRIPTOR: [i32; 2] = [24, 23];

/// An error of the kit itself, not of a proxy under test. It invalidates the run.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// No file descriptor is left.
    #[error(
        "no file descriptor is left for {what}: raise the limit with 'ulimit -n', or make the scenario smaller"
    )]
    Descriptors {
        /// The emulated part that the error concerns.
        what: String,
    },
    /// Another process listens at the address.
    #[error(
        "{address}, meant for {what}, is already in use: stop the process that listens there, or run again"
    )]
    Taken {
        /// The emulated part that the error concerns.
        what: String,
        /// The address in use.
        address: SocketAddr,
    },
    /// Any other error of the system.
    #[error("{what}: {source}")]
    System {
        /// The emulated part that the error concerns.
        what: String,
        /// The system's error.
        source: io::Error,
    },
}

impl Fault {
    /// Classifies a system error that concerned `what` and, if given, the socket at `address`.
    pub fn of(what: impl Into<String>, address: Option<SocketAddr>, source: io::Error) -> Self {
        let what = what.into();
        match (address, source.raw_os_error()) {
            (_, Some(error)) if NO_DESCRIPTOR.contains(&error) => Fault::Descriptors { what },
            (Some(address), _) if source.kind() == io::ErrorKind::AddrInUse => Fault::Taken { what, address },
            _ => Fault::System { what, source },
        }
    }
}

impl From<Fault> for io::Error {
    fn from(fault: Fault) -> Self {
        let kind = match &fault {
            Fault::System { source, .. } => source.kind(),
            Fault::Taken { .. } => io::ErrorKind::AddrInUse,
            Fault::Descriptors { .. } => io::ErrorKind::Other,
        };
        io::Error::new(kind, fault)
    }
}
