//! The receiver of a datagram.

/// The receiver of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// One member, by its ordinal.
    One(u32),
    /// All other members, by one datagram that the network copies (`peers_all`).
    All,
}
