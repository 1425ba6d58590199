//! The sizes of a fleet, and the synthetic connections that follow from them and a seed.

use cottonnotch_decision::names::hash_to_unit;
use cottonnotch_decision::{Class, Idempotency, Micros, Settings, WeightMeaning, ZoneId};
use serde::{Deserialize, Serialize};

/// Size of a group's affinity subset, as the decision module chooses it today.
pub const SUBSET_SIZE: u32 = 5;
/// Mean load of a connection, work in microseconds a second.
pub const LOAD: f64 = 20_000.0;
/// A group costs a node that holds any of it as much as so many connections; as the aggregator weighs it.
const GROUP_COST: f64 = 3.0;
/// Number of zones.
pub const ZONES: u32 = 6;
/// Zones of the first region; the others are the second.
pub const ZONES_OF_A_REGION: u32 = 3;

/// The sizes of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, clap::Args)]
pub struct Shape {
    /// Proxies.
    #[arg(long, default_value_t = 110)]
    pub members: u32,
    /// Render nodes.
    #[arg(long, default_value_t = 360)]
    pub nodes: u32,
    /// Pairs of a group and a node that holds connections of it.
    #[arg(long, default_value_t = 4_000)]
    pub pairs: u32,
    /// Connections of each proxy.
    #[arg(long, default_value_t = 1_000)]
    pub connections: u32,
    /// Set-ups a second at each proxy.
    #[arg(long, default_value_t = 2.0)]
    pub setups: f64,
    /// Mean utilization of a node: its load over its size.
    #[arg(long = "used", value_name = "USED", default_value_t = 0.55)]
    #[serde(rename = "used")]
    pub utilization: f64,
    /// Fleets of this many members or more have an aggregation, smaller ones gossip.
    #[arg(long, default_value_t = 24)]
    pub members_from: u32,
    /// Latency objective of messages in milliseconds; 0: none, and no latency estimate migrates connections.
    #[arg(long = "aim-ms", value_name = "AIM_MS", default_value_t = 0)]
    #[serde(rename = "aim_ms", default)]
    pub latency_objective_ms: u32,
    /// Heaviest groups that a member reports to the aggregator, which sizes their subsets; 0: subsets do not follow a group's size.
    #[arg(long, default_value_t = 0)]
    #[serde(default)]
    pub group_homes: u32,
    /// Voters of the consensus; 0: there is no consensus.
    #[arg(long, default_value_t = 3)]
    pub voters: u16,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            members: 110,
            nodes: 360,
            pairs: 4_000,
            connections: 1_000,
            setups: 2.0,
            utilization: 0.55,
            members_from: 24,
            latency_objective_ms: 0,
            group_homes: 0,
            voters: 3,
            seed: 1,
        }
    }
}

/// A hash of two numbers.
pub fn mixed(a: u64, b: u64) -> u64 {
    // Finaliser of splitmix64 (Steele and others 2014).
    let mut z = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xd134_2543_de82_ef95);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Shape {
    /// Number of groups.
    pub fn groups(&self) -> u32 {
        (self.pairs / SUBSET_SIZE).max(1)
    }

    /// A node of a group's subset, by its index below [`SUBSET_SIZE`].
    pub fn subset_node(&self, group: u32, place: u32) -> u32 {
        (mixed(self.seed ^ 0x686f_6d65, u64::from(group) << 8 | u64::from(place)) % u64::from(self.nodes))
            as u32
    }

    /// The load of a member's connection, work in microseconds a second: half to one and a half of the mean.
    pub fn load(&self, member: u32, connection: u64) -> f64 {
        LOAD * (0.5 + hash_to_unit(mixed(u64::from(member), connection)))
    }

    /// A node's listed size, in cores of standard speed.
    pub fn size(&self) -> f64 {
        let connections = f64::from(self.members) * f64::from(self.connections);
        let load = LOAD * (connections + GROUP_COST * f64::from(self.groups() * SUBSET_SIZE));
        load / (f64::from(self.nodes) * self.utilization.max(0.01) * 1e6)
    }

    /// Utilization of a node with this load of its connections and this many groups.
    pub fn utilization_with(&self, load: f64, groups: usize) -> f64 {
        (load + GROUP_COST * LOAD * groups as f64) / (self.size() * 1e6)
    }

    /// The zone of a member.
    pub fn zone(&self, member: u32) -> u32 {
        member % ZONES
    }

    /// Whether a member is in the second region.
    pub fn is_far(&self, member: u32) -> bool {
        self.zone(member) >= ZONES_OF_A_REGION
    }

    /// The members that vote: one in each zone of the first region.
    pub fn voters(&self) -> Vec<u16> {
        (0..self.voters).collect()
    }

    /// The decision module's settings at a member.
    pub fn settings(&self, member: u32) -> Settings {
        const MS: Micros = 1_000;
        let class = Class {
            target: 300 * MS,
            deadline: 2_000 * MS,
            message_latency_objective: Micros::from(self.latency_objective_ms) * MS,
            attempts: 3,
            idempotency: Idempotency::Idempotent,
            priority_weight: 1.0,
        };
        Settings {
            ordinal: member,
            nodes: self.members,
            zone: ZoneId(self.zone(member) as u16),
            classes: vec![class],
            groups: true,
            over_quota_weight: 1.0,
            step: MS,
            list_on_request: true,
            weights: WeightMeaning::Size,
            retry_after: true,
            max_retry_after: 1_000 * MS,
            slow_start_from: 0.3,
            slow_start_window: 9_000 * MS,
            overload_multiple: 3.0,
            overload_window: 2_000 * MS,
            ..Settings::default()
        }
    }

    /// The endpoint list as discovery publishes it, but for the nodes of the zone `without`.
    pub fn list(&self, revision: u64, without: Option<u32>) -> String {
        let size = self.size();
        let member = |node: &u32| {
            let zone = node % ZONES;
            let (address, port) = (node / 250, 9_000 + node % 250);
            format!(
                r#"{{"id":"n{node}","host_port":"127.9.{}.{}:{port}","locality":"z{zone}","cell":{zone},"phase":"up","size":{size:.4},"up_since_ms":0}}"#,
                address / 250,
                address % 250 + 1,
            )
        };
        let listed = (0..self.nodes).filter(|node| Some(node % ZONES) != without);
        let members: Vec<String> = listed.map(|node| member(&node)).collect();
        format!(r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#, members.join(","))
    }
}
