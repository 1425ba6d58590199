//! The types of the configuration that the rest of the program uses.

use super::operator::OperatorConfig;
use super::present_keys::PresentKeys;
use crate::rules::RulesSettings;
use cottonnotch_decision::settings::Profile;
use cottonnotch_gossip::Keys;
use cottonnotch_proxy_core::EndpointUpdate;
use std::net::SocketAddr;

/// The complete configuration: addresses, limits, and a section for each subsystem.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name, which appears in the log.
    pub name: String,
    /// The address on which the proxy accepts clients.
    pub listen: SocketAddr,
    /// The address on which the proxy accepts operators; `None` if the management interface is off.
    pub mgmt: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may hold.
    pub sockets: usize,
    /// The maximum number of bytes buffered in each direction of a connection, derived from the memory limit.
    pub buffer_bound: usize,
    /// The addresses for datagrams between proxies; empty if there are no other proxies.
    pub peer_addresses: PeerAddresses,
    /// The configuration of the gossip protocol; `None` if gossip is off.
    pub gossip: Option<GossipConfig>,
    /// The settings of the routing rules; `None` if no rules are configured.
    pub rules: Option<RulesSettings>,
    /// The last endpoint list that the proxy had, from the key `known`; the proxy starts with it.
    pub initial_endpoints: EndpointUpdate,
    /// The platform's settings, converted to the types of the decision module.
    pub profile: Profile,
    /// The values of the operator's file.
    pub operator: OperatorConfig,
    /// The keys that the JSON file contains.
    pub present_keys: PresentKeys,
}

/// The addresses for datagrams between proxies, as the platform sets them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerAddresses {
    /// The address at which this proxy receives datagrams.
    pub listen: Option<SocketAddr>,
    /// The address of each proxy, including this one, in the order of their ordinals.
    pub peers: Vec<SocketAddr>,
    /// The address to which one datagram reaches all other proxies; `None` if the platform has none.
    pub all_peers: Option<SocketAddr>,
}

/// The configuration of the gossip protocol, without the addresses.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// The settings from the section `[gossip]`.
    pub settings: cottonnotch_gossip::Settings,
    /// The keys that authenticate the members.
    pub keys: Keys,
    /// Distinguishes this process from earlier processes of the same proxy: the Unix time in milliseconds at which
    /// this configuration was read.
    pub incarnation: u64,
}
