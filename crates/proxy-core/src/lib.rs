//! What stands between a proxy and the other members of its fleet, sans-io: fully deterministic, no sockets, no clocks, no
//! threads, and no chance but that of the members' own seeds. The daemon and hollow proxies embed the very same code.
//!
//! [`SansIoMember`] is the one shape of a sans-io member: `handle(now, input)`, `poll() -> output` and `next_timeout()`;
//! [`MemberDriver`] drives one. [`Peers`] has that shape too: it reports this proxy's established connections
//! ([`MessageLatencies`]) and observations, and makes events for the decision module of the others' reports.
//! `docs/design/scale.md` says who drives it.
//!
//! [`Guard`] checks each step of the proxy against the rules, [`LoadLines`] and [`MessageLatencies`] estimate how long messages
//! take, [`WallClock`] converts other machines' times, [`envelope`] authenticates consensus messages, and an [`EndpointUpdate`]
//! is discovery's list as sent. The crate embeds `aggregation`, `gossip` and `consensus`, which know nothing of one another: to
//! put them together is what it is for.

mod aggregation_member;
mod endpoint_update;
pub mod envelope;
mod gossip_member;
mod guard;
mod interface;
mod load_lines;
mod member_driver;
mod message_latency;
mod observations;
mod peer_loads;
mod peers;
mod wall_clock;
mod wire_names;

pub use endpoint_update::{EndpointEntry, EndpointUpdate, EndpointUpdateError};
pub use guard::{FinalAnswer, Guard, GuardResult, ListScope, Violation, Violations};
pub use interface::{Input, LocalState, Output, Roster, Servers};
pub use load_lines::{LoadLine, LoadLines};
pub use member_driver::{MemberDriver, SansIoMember, WakeUpTimer};
pub use message_latency::{
    FleetUtilisation, LatencyReport, LatencySettings, MessageLatencies, REPORT_INTERVAL,
};
pub use peer_loads::{EstablishedLoad, PeerLoads};
pub use peers::Peers;
pub use wall_clock::{ClockOffset, WallClock};
pub use wire_names::WireNames;
