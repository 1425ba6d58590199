//! How long a message takes at each render node: the latency reports that the decision module needs, once a second while
//! the latency is over a third of the shortest latency objective, and once more when it is back under.
//!
//! Where render nodes advertise their latency ([`crate::LoadLines`]), that is reported at once, and one that is silent to a
//! connection of this proxy has no such latency. A render node without a connection of this proxy advertises nothing to it,
//! and there are platforms where none does. There the latency is estimated from what a proxy does see: the loads of its own
//! connections, the groups they belong to, how long set-ups take, and the aggregator's report. The round trip of a client's
//! line is measured as well, though render nodes return one within 2 ms however much work has piled up (docs/design.md has
//! the figures). The larger of the two is reported.
//!
//! It grows with the connections and with the render nodes. No I/O, no clock.

mod connections;
mod latencies;
mod utilisation;

pub use latencies::{LatencyReport, LatencySettings, MessageLatencies, REPORT_INTERVAL};
pub use utilisation::FleetUtilisation;
