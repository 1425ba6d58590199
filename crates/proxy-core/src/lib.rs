//! What stands between a proxy and its members of the tier, sans-io: fully deterministic, no sockets, no clocks, no threads, and
//! no chance but that of the members' own seeds. The daemon and hollow proxies embed the very same.
//!
//! [`SansIoMember`] is the one shape of a sans-io member: `handle(now, input)`, `poll() -> output` and `next_timeout()`; [`MemberDriver`]
//! says how one is driven. [`Peers`] has that shape too: it makes reports of what this proxy has standing ([`MessageLatencies`]) and
//! met, and events for the module of what the others tell. `docs/design/scale.md` says who drives it.
//!
//! [`envelope`] proves the accord's messages, and a [`EndpointUpdate`] is what discovery tells. It embeds `fleet`, `gossip` and `accord`, which know nothing of one another: to put them together is what it is for.

mod endpoint_update;
pub mod envelope;
mod fleet;
mod gossip;
mod guard;
mod interface;
mod load_lines;
mod member_driver;
mod message_latency;
mod names;
mod observations;
mod peer_loads;
mod peers;
mod wall_clock;

pub use endpoint_update::{EndpointEntry, EndpointUpdate, EndpointUpdateError};
pub use guard::{FinalAnswer, Guard, GuardResult, Violation, Violations};
pub use interface::{Input, LocalState, Output, Roster, Servers};
pub use load_lines::{LoadLine, LoadLines};
pub use member_driver::{MemberDriver, SansIoMember, WakeUpTimer};
pub use message_latency::{FleetUtilisation, LatencyReport, MessageLatencies, REPORT_INTERVAL};
pub use names::WireNames;
pub use peer_loads::{EstablishedLoad, PeerLoads};
pub use peers::Peers;
pub use wall_clock::{ClockOffset, WallClock};
