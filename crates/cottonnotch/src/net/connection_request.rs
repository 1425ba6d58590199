//! A client's request for a connection, independent of the client's protocol.

use cottonnotch_decision::Micros;

/// A request for a connection. Class, tenant and endpoint are given by their names.
#[derive(Debug)]
pub struct ConnectionRequest {
    /// The id of the connection, which must be unique among the open connections.
    pub id: u64,
    /// The name of the request's class.
    pub class: String,
    /// The name of the request's tenant; `None` if it has no tenant.
    pub tenant: Option<String>,
    /// How long the client will wait from now, in microseconds; `None` if it names no deadline.
    pub time_left: Option<Micros>,
    /// The load that the client expects to cause; `None` if it names none. The value is finite.
    pub load_hint: Option<f64>,
    /// The group of the request, whose connections share endpoints.
    pub group: Option<u64>,
    /// Whether the client repeats a request, or reconnects after its connection was broken or migrated.
    pub is_repeat: bool,
    /// The endpoint on which the connection is already open; `None` if the client names none.
    pub current_endpoint: Option<String>,
}

impl ConnectionRequest {
    /// The request after it has waited for this long.
    pub fn after(self, waited: Micros) -> Self {
        // A request without any time left is rejected like one with little time, so at least a microsecond stays.
        ConnectionRequest { time_left: self.time_left.map(|left| (left - waited).max(1)), ..self }
    }
}
