//! The daemon's routing rules: which requests may go to which render nodes, as their owners wrote it down. Files are merged to a
//! book (`cottonnotch-routing-rules`), the book is compiled to a plan (`cottonnotch-rule-compiler`), and the proxies agree on which
//! plan is in force (`cottonnotch-consensus`). This module connects those crates with threads, sockets and disks.
//! `docs/ops/rules.md` is the operator's side.
//!
//! The event loop waits for none of it. Threads of their own run consensus ([`consensus_thread`]), compile and compare contents
//! ([`compile_worker`]) and serve them to other members ([`content_server`]). They publish the version in force
//! ([`published_plan`]), and each dispatch looks at that and at the clock ([`routing_verdict`]). Without the sections `[rules]`
//! and `[accord]` none of it exists.

mod clock;
mod compile_job;
mod compile_worker;
mod config;
mod consensus_handle;
mod consensus_loop;
mod consensus_setup;
mod consensus_thread;
mod content_fetcher;
mod content_server;
mod durable_file;
mod established_connections;
mod lease_file;
mod local_overrides;
mod node_kinds;
mod published_plan;
mod report;
mod routing_verdict;
mod rule_evaluation;
mod rules_folder;
mod service;
mod settings;
mod state_files;
mod state_recovery;
mod status;
mod version_content;

pub use clock::Clock;
pub use config::{ConsensusSection, HardwareSection, RulesSection, SectionError};
pub use node_kinds::NodeKind;
pub use report::report;
pub use routing_verdict::VerdictBasis;
pub use service::RulesService;
pub use settings::{RulesError, RulesSettings};
pub use status::RulesStatus;

#[cfg(test)]
mod golden_tests;
