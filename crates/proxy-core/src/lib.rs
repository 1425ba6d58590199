//! The sans-io layer between a proxy and the other members of its fleet. The code is deterministic: it has no sockets, clocks or
//! threads, and its only randomness comes from the members' seeds. The daemon and the hollow proxies embed the same code.
//!
//! [`SansIoMember`] is the common interface of sans-io members: `handle(now, input)`, `poll() -> output` and `next_timeout()`;
//! [`MemberDriver`] drives a member. [`Peers`] has methods of the same form: it reports this proxy's established connections
//! ([`MessageLatencies`]) and observations, and turns the peers' reports into events for the decision module.
//! `docs/design/scale.md` describes which code drives [`Peers`].
//!
//! [`Guard`] checks each step of the proxy against the rules, [`LoadLines`] and [`MessageLatencies`] estimate how long messages
//! take, [`WallClock`] converts other machines' times, [`envelope`] authenticates consensus messages, and [`EndpointUpdate`]
//! parses discovery's list. The crate combines `aggregation`, `gossip` and `consensus`, which do not depend on one another.

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
