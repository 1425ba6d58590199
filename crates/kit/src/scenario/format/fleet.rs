//! The sections `fleet` and `proxies` of a scenario file.

use crate::plan::FalseReport;
use crate::scenario::range::{DurationRange, Range};
use serde::Deserialize;

/// The render nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Number of render nodes that are up and warm from the start. They are named `render-0`, `render-1` and so on.
    pub nodes: u16,
    /// Number of additional render nodes that are not up at the start. `grow` faults start them.
    pub spare: u16,
    /// Names of the zones, to which render nodes and proxies are assigned in turn. `None` means the operators' five
    /// halls, but at most one for each proxy.
    pub zones: Option<Vec<String>>,
    /// Kinds of machines.
    pub kind: Vec<MachineKind>,
    /// Number of render nodes in a cell.
    pub cell_size: Range,
    /// Number of connections whose mean load fully uses a core of standard speed.
    pub connections_per_core: Range,
    /// Maximum number of connections of a render node, as a multiple of the number that fully uses it.
    pub connections_cap: Range,
    /// Maximum number of simultaneous set-ups per core.
    pub setups_per_core: Range,
    /// Work of a set-up, as time on a core of standard speed.
    pub setup_work_ms: Range,
    /// Time that a set-up waits for the session store.
    pub setup_wait_ms: Range,
    /// Time to process a message on an idle render node.
    pub message_ms: Range,
    /// Burstiness of the messages: the factor by which the waiting time grows with utilization.
    pub bursty: Range,
    /// Longest backlog of work; a render node sheds connections beyond it.
    pub buffer_s: Range,
    /// Share of the capacity at which a cold render node begins slow start.
    pub cold_from: Range,
    /// Duration of slow start.
    pub warm_up_s: DurationRange,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            nodes: 16,
            spare: 0,
            zones: None,
            kind: vec![
                MachineKind::new(
                    "fast-2c",
                    Range::new(0.44, 0.6),
                    Range::new(1.3, 1.7),
                    Range::new(0.11, 0.24),
                ),
                MachineKind::new(
                    "std-2c",
                    Range::new(0.41, 0.55),
                    Range::new(0.85, 1.1),
                    Range::new(0.12, 0.24),
                ),
            ],
            cell_size: Range::new(6.0, 10.0),
            connections_per_core: Range::new(12.0, 24.0),
            connections_cap: Range::new(2.4, 3.7),
            setups_per_core: Range::new(3.0, 10.0),
            setup_work_ms: Range::new(2.0, 17.0),
            setup_wait_ms: Range::new(5.0, 40.0),
            // 0.03 to 0.12 of 60 ms, the shortest message target of the default classes.
            message_ms: Range::new(1.8, 7.2),
            bursty: Range::new(1.0, 5.0),
            buffer_s: Range::new(0.5, 3.0),
            cold_from: Range::new(0.3, 0.59),
            warm_up_s: DurationRange::scalable(3.2, 9.0),
        }
    }
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Name of the kind.
    pub name: String,
    /// Share of the fleet. The drawn shares of all kinds are normalized to a sum of 1.
    pub share: Range,
    /// Number of cores.
    #[serde(default = "default_cores")]
    pub cores: Range,
    /// Registered speed of a core, as a multiple of a standard core. The endpoint list shows the product of cores and
    /// speed as `size`.
    pub speed: Range,
    /// Spread of the actual speeds around the registered speed (standard deviation over mean). No proxy is told the
    /// actual speeds.
    #[serde(default = "default_speed_spread")]
    pub speed_spread: Range,
}

fn default_cores() -> Range {
    Range::new(2.0, 2.0)
}

fn default_speed_spread() -> Range {
    Range::new(0.11, 0.24)
}

impl MachineKind {
    fn new(name: &str, share: Range, speed: Range, speed_spread: Range) -> Self {
        MachineKind { name: name.to_owned(), share, cores: default_cores(), speed, speed_spread }
    }
}

/// The proxies.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Proxies {
    /// Number of proxies. They are named `proxy-0`, `proxy-1` and so on.
    pub count: u16,
    /// Maximum number of descriptors of each proxy.
    pub sockets: u32,
    /// Memory of each proxy in MB.
    pub memory_mb: u32,
    /// Additional faulty members that serve no clients and send false reports to the proxies: `nothing`, `all-unwell`
    /// or `all-crowded`.
    pub liars: Vec<FalseReport>,
}

impl Default for Proxies {
    fn default() -> Self {
        Proxies { count: 5, sockets: 4096, memory_mb: 192, liars: Vec::new() }
    }
}
