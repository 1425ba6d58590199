//! Rules: whose requests go where, as their owners wrote it down. Files become a book (`cottonnotch-routing-rules`), the book a
//! plan (`cottonnotch-rule-compiler`), and which plan is in force is agreed with the other proxies (`cottonnotch-consensus`). Here
//! the parts meet threads, sockets and disks; `docs/ops/rules.md` is the operator's side.
//!
//! The loop never waits for any of it. Threads of their own agree ([`agent`]), compile and compare ([`worker`]) and hand
//! contents to other members ([`server`]); they publish what counts ([`publication`]), and each dispatch looks at that and
//! at the clock ([`ruling`]). Without the sections `[rules]` and `[accord]` nothing of it exists.

mod agent;
mod board;
mod clock;
mod config;
mod content;
mod disk;
mod fleet;
mod folder;
mod lent;
mod member;
mod overlay;
mod publication;
mod recall;
mod reckoning;
mod report;
mod rulebook;
mod ruling;
mod server;
mod settings;
mod standing;
mod worker;

pub use board::RulesStatus;
pub use clock::Clock;
pub use config::{ConsensusSection, HardwareSection, RulesSection};
pub use fleet::NodeKind;
pub use report::report;
pub use rulebook::RulesService;
pub use ruling::VerdictBasis;
pub use settings::{RulesError, RulesSettings};

#[cfg(test)]
mod golden_tests;
