//! Endings over real connections: each story forces, by its peers' own steps, the instant in which something ends while
//! something is still owed. docs/design/endings.md has the whole table.

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
