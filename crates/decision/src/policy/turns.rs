//! The rotation's turns: weighted fair queueing of the servers in virtual time.

/// State of the rotation as a whole.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    /// Virtual time. No turn that is selected from now on was due before it.
    pub(super) virtual_time: f64,
    /// Most of the servers that this node has recent news of are overloaded.
    pub(super) mostly_overloaded: bool,
}

/// A server's turn in the rotation.
#[derive(Clone, Debug, Default)]
pub(super) struct Turn {
    /// Position in the hashed order that all nodes use, from 0 to 1, relative to this node's phase.
    pub(super) ring_position: f64,
    /// Virtual time at which the server's next turn is due.
    pub(super) next_due: f64,
}
