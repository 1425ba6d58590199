//! The one place where configuration is read, checked and given defaults. There are three sources: the platform's
//! environment, the JSON file that its `GW_CONFIG` names, and the operator's TOML file. All are read whole before any value is
//! used.
//!
//! The platform's and the operator's keys never overlap, with one exception: `RUST_LOG` wins over `log.filter`. At the start a
//! variable of the environment wins over the same key in the JSON file; on SIGHUP the file wins, since only it can have
//! changed.

mod effective;
mod environment;
mod error;
mod gossip;
mod json_file;
mod json_text;
mod loading;
mod model;
mod operator;
mod operator_file;
mod platform;
mod platform_settings;
mod present_keys;
mod value_reader;

pub use effective::Effective;
pub use environment::OPERATOR_VARIABLE;
pub use error::ConfigError;
pub use model::{Config, GossipConfig};
pub use operator::OperatorConfig;
