//! Message latencies of the render nodes, reported to the decision module. A render node's latency is reported once a second
//! while it is over a third of the shortest latency objective, and once more when it is back under that threshold.
//!
//! An advertised latency ([`crate::LoadLines`]) is reported at once. If render nodes advertise latencies, a node that sends none
//! on a connection of this proxy has a latency under the threshold. A render node without a connection of this proxy cannot
//! advertise a latency to the proxy, and on some platforms no render node advertises any. For these nodes the latency is
//! estimated from the loads of the proxy's own connections, their groups, the set-up times, and the aggregator's report. The
//! round trip of a client's line is measured as well, although render nodes return a line within 2 ms regardless of their
//! backlog (docs/design.md has the figures). The larger of the estimate and the measurement is reported.
//!
//! Memory use is proportional to the number of connections and of render nodes. The module has no I/O and no clock.

mod connections;
mod latencies;
mod utilisation;

pub use latencies::{LatencyReport, LatencySettings, MessageLatencies, REPORT_INTERVAL};
pub use utilisation::FleetUtilisation;
