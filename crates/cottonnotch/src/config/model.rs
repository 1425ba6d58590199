//! The configuration as the rest of the program uses it.

use super::operator::OperatorConfig;
use super::present_keys::PresentKeys;
use crate::rules::RulesSettings;
use cottonnotch_decision::settings::Profile;
use cottonnotch_gossip::Keys;
use cottonnotch_proxy_core::EndpointUpdate;
use std::net::SocketAddr;

/// The whole configuration: addresses, limits, and a section for each subsystem.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name, for the log.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address for operators, if any.
    pub mgmt: Option<SocketAddr>,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that each direction of a connection may hold, from the memory limit.
    pub buffer_bound: usize,
    /// The other proxies' addresses, if there are any.
    pub peer_addresses: PeerAddresses,
    /// The gossip protocol, if it is on.
    pub gossip: Option<GossipConfig>,
    /// The routing rules, if there are any.
    pub rules: Option<RulesSettings>,
    /// The endpoint list as the proxy last had it.
    pub initial_endpoints: EndpointUpdate,
    /// The settings, in the decision module's terms.
    pub profile: Profile,
    /// The operator's file.
    pub operator: OperatorConfig,
    /// The keys that the JSON file has.
    pub present_keys: PresentKeys,
}

/// The other proxies' addresses, from the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerAddresses {
    /// The address at which this proxy receives datagrams.
    pub listen: Option<SocketAddr>,
    /// An address for each proxy, this one included, in the order of their ordinals.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all others.
    pub all: Option<SocketAddr>,
}

/// What the gossip protocol needs beside the addresses.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// The section's values.
    pub settings: cottonnotch_gossip::Settings,
    /// The keys that authenticate the members.
    pub keys: Keys,
    /// Distinguishes this process from earlier ones of its name: Unix time in milliseconds when it was read.
    pub incarnation: u64,
}
