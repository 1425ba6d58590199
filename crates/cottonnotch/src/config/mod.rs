//! Reads and checks the configuration and applies defaults; no other module does. There are three sources: the
//! environment that the platform sets, the JSON file that `GW_CONFIG` names, and the operator's TOML file. All
//! three are read completely before any value is used.
//!
//! The platform's and the operator's keys do not overlap, with one exception: `RUST_LOG` takes precedence over
//! `log.filter`. At the start, an environment variable takes precedence over the same key in the JSON file; on
//! SIGHUP the file takes precedence, because the environment cannot have changed.

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

pub use effective::EffectiveConfig;
pub use environment::OPERATOR_VARIABLE;
pub use error::ConfigError;
pub use model::{Config, GossipConfig};
pub use operator::OperatorConfig;
