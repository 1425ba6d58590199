//! Turns in the rotation: weighted fair queueing of servers in a virtual time of its own.

/// The rotation's own state: weighted fair queueing over servers.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    /// Virtual time: no turn that is given out from now on was due before it.
    pub(super) virtual_time: f64,
    /// Most of the servers heard of lately are piled up.
    pub(super) mostly_overloaded: bool,
}

/// A server's turn in the rotation, which is weighted fair queueing in a virtual time of its own.
#[derive(Clone, Debug, Default)]
pub(super) struct Turn {
    /// Place in the common hashed order, 0 to 1, counted from this node's phase.
    pub(super) ring_position: f64,
    /// When its next turn is due, in virtual time.
    pub(super) next_due: f64,
}
