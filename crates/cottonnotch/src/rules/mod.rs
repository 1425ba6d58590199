//! The daemon's routing rules define which requests may go to which render nodes. Namespace owners write the rules in files.
//! `cottonnotch-routing-rules` merges the files into a book, `cottonnotch-rule-compiler` compiles the book to a plan, and
//! `cottonnotch-consensus` makes the proxies agree on the plan that is in force. This module connects these crates to threads,
//! sockets and the disk. `docs/ops/rules.md` describes the rules for operators.
//!
//! The event loop never waits for the rules. Separate threads run consensus ([`consensus_thread`]), compile and compare
//! contents ([`compile_worker`]) and serve contents to other members ([`content_server`]). They publish the active version
//! ([`published_plan`]). Each dispatch reads the published version and checks its lease against the clock
//! ([`routing_verdict`]). The module is inactive unless `[rules]` or `[accord]` is configured.

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
