//! What keeps a stand-in from doing its part, in a sentence that says what to do.

use std::io;
use std::net::SocketAddr;

/// `EMFILE` and `ENFILE` of Linux: the process, or the system, has no descriptor left.
const NO_DESCRIPTOR: [i32; 2] = [24, 23];

/// The kit's own trouble, not a proxy's: the run is void.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The limit of descriptors is too low.
    #[error(
        "no descriptor is left for {what}: raise the limit with 'ulimit -n', or make the scenario smaller"
    )]
    Descriptors {
        /// Whose.
        what: String,
    },
    /// Somebody else listens there.
    #[error("{address}, meant for {what}, is taken: end what listens there, or start the run again")]
    Taken {
        /// Whose.
        what: String,
        /// Where.
        address: SocketAddr,
    },
    /// Anything else that the system refuses.
    #[error("{what}: {source}")]
    System {
        /// Whose.
        what: String,
        /// Why.
        source: io::Error,
    },
}

impl Fault {
    /// A system's error at somebody's socket.
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
