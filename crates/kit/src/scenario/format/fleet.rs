//! The sections about machines.

use crate::plan::FalseReport;
use crate::scenario::range::{Range, Span};
use serde::Deserialize;

/// The render nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Up and warm from the start; their names are `render-0`, `render-1` ...
    pub nodes: u16,
    /// Further ones, not up at the start: a fault `grow` starts them.
    pub spare: u16,
    /// Names of the zones; nodes and proxies take turns through them. The operators' five halls, but no more
    /// than there are proxies.
    pub zones: Option<Vec<String>>,
    /// Machines.
    pub kind: Vec<Kind>,
    /// Render nodes of a cell.
    pub cell_size: Range,
    /// Connections whose mean load fills a core of standard speed.
    pub connections_per_core: Range,
    /// Connections that a node bears, in multiples of those that fill it.
    pub connections_cap: Range,
    /// Set-ups that it takes in at once, for each core.
    pub setups_per_core: Range,
    /// Work of a set-up on a standard core.
    pub setup_work_ms: Range,
    /// The call to the session store.
    pub setup_wait_ms: Range,
    /// A message on an idle node.
    pub message_ms: Range,
    /// How unevenly messages come.
    pub bursty: Range,
    /// Connections are shed when more is piled up.
    pub buffer_s: Range,
    /// A cold node begins at this part of its capacity ...
    pub cold_from: Range,
    /// ... and is warm after this.
    pub warm_up_s: Span,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            nodes: 16,
            spare: 0,
            zones: None,
            kind: vec![
                Kind::usual("fast-2c", Range::new(0.44, 0.6), Range::new(1.3, 1.7), Range::new(0.11, 0.24)),
                Kind::usual("std-2c", Range::new(0.41, 0.55), Range::new(0.85, 1.1), Range::new(0.12, 0.24)),
            ],
            cell_size: Range::new(6.0, 10.0),
            connections_per_core: Range::new(12.0, 24.0),
            connections_cap: Range::new(2.4, 3.7),
            setups_per_core: Range::new(3.0, 10.0),
            setup_work_ms: Range::new(2.0, 17.0),
            setup_wait_ms: Range::new(5.0, 40.0),
            // 0.03 to 0.12 of the shortest aim of a message, 60 ms.
            message_ms: Range::new(1.8, 7.2),
            bursty: Range::new(1.0, 5.0),
            buffer_s: Range::new(0.5, 3.0),
            cold_from: Range::new(0.3, 0.59),
            warm_up_s: Span::usual(3.2, 9.0),
        }
    }
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the fleet; what is drawn is brought to a sum of 1.
    pub share: Range,
    /// Cores.
    #[serde(default = "two_cores")]
    pub cores: Range,
    /// Speed of a core, in standard cores: what the list's `size` tells.
    pub speed: Range,
    /// How far true speeds spread about it (standard deviation over mean); told to no one.
    #[serde(default = "usual_spread")]
    pub speed_spread: Range,
}

fn two_cores() -> Range {
    Range::new(2.0, 2.0)
}

fn usual_spread() -> Range {
    Range::new(0.11, 0.24)
}

impl Kind {
    fn usual(name: &str, share: Range, speed: Range, speed_spread: Range) -> Self {
        Kind { name: name.to_owned(), share, cores: two_cores(), speed, speed_spread }
    }
}

/// The proxies.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Proxies {
    /// How many; their names are `proxy-0`, `proxy-1` ...
    pub count: u16,
    /// Descriptors that each may hold.
    pub sockets: u32,
    /// Memory of each.
    pub memory_mb: u32,
    /// Further members of the tier, who serve nobody and lie to the proxies: `nothing`, `all-unwell`, `all-crowded`.
    pub liars: Vec<FalseReport>,
}

impl Default for Proxies {
    fn default() -> Self {
        Proxies { count: 5, sockets: 4096, memory_mb: 192, liars: Vec::new() }
    }
}
