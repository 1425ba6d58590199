//! A client's request for a connection, as any client protocol reads it.

use cottonnotch_decision::Micros;

/// A request for a connection, in the terms of the settings.
#[derive(Debug)]
pub struct ConnectionRequest {
    /// The connection's id, which no other open one has.
    pub id: u64,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant, if it has one.
    pub tenant: Option<String>,
    /// How long the client waits, from now, in microseconds.
    pub time_left: Option<Micros>,
    /// The load that the client expects to cause, if it says so; finite.
    pub load_hint: Option<f64>,
    /// The group whose requests share endpoints.
    pub group: Option<u64>,
    /// The client repeats a request, or its connection was broken or migrated.
    pub is_repeat: bool,
    /// The endpoint on which the connection is open already.
    pub current_endpoint: Option<String>,
}
