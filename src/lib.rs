#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
pub mod names;
pub mod policy;
pub mod settings;

pub use interface::*;
pub use policy::Balancer;
