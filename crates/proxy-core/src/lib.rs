//! What stands between a proxy and its members of the tier, sans-io: fully deterministic, no sockets, no clocks, no threads, and
//! no chance but that of the members' own seeds. The daemon and hollow proxies embed the very same.
//!
//! [`Driven`] is the one shape of a sans-io member: `handle(now, input)`, `poll() -> output` and `next_timeout()`; [`Embedder`]
//! says how one is driven. [`Peers`] has that shape too: it makes reports of what this proxy has standing ([`MessageDelays`]) and
//! met, and events for the module of what the others tell. `docs/design/scale.md` says who drives it.
//!
//! [`envelope`] proves the accord's messages, and a [`ResolverResult`] is what discovery tells. It embeds `fleet`, `gossip` and `accord`, which know nothing of one another: to put them together is what it is for.

mod driven;
pub mod envelope;
mod fleet;
mod gossip;
mod guard;
mod load_lines;
mod message_delay;
mod names;
mod peer_loads;
mod peers;
mod resolver_result;
mod wall_clock;

pub use driven::{Alarm, Driven, Embedder};
pub use guard::{Checked, FinalAnswer, Guard, Violation, Violations};
pub use load_lines::{LoadLines, Told};
pub use message_delay::{EVERY, FleetUse, MessageDelays, Note};
pub use names::WireNames;
pub use peer_loads::{PeerLoads, Standing};
pub use peers::{Input, Local, Output, Peers, Roster, Servers};
pub use resolver_result::{BadResult, Member, ResolverResult};
pub use wall_clock::{WallClock, WallEra};
