//! Endings over real connections: each story forces, by its peers' own steps, the instant in which something ends while
//! something is still owed. docs/design/endings.md has the whole table.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod attempts;
mod claims;
mod clients;
mod floods;
mod gone_clients;
mod last_answers;
mod late_connections;
mod lists;
mod nodes;
#[path = "../peers/mod.rs"]
mod peers;
mod shutdown;
