//! Whom a datagram is for.

/// Whom a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// One member, by its ordinal.
    One(u32),
    /// All others, by one datagram that the network copies (`peers_all`).
    All,
}
