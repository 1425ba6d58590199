//! The discovery list in the JSON form in which proxies read it.

use crate::addresses::Addresses;
use crate::model::registry::{Registry, Update};
use crate::plan::Phase;
use crate::plan::{Plan, ProxyId};
use crate::time::RunClock;

#[derive(serde::Serialize)]
struct List<'a> {
    revision: u64,
    complete: bool,
    members: Vec<Member<'a>>,
}

#[derive(serde::Serialize)]
struct Member<'a> {
    id: &'a str,
    host_port: String,
    locality: &'a str,
    flavor: &'a str,
    cell: u32,
    phase: Phase,
    size: f64,
    up_since_ms: u64,
}

/// Serializes an update as one JSON object on a single line, without a line end. The addresses are those at which
/// `proxy` reaches the render nodes.
///
/// # Errors
///
/// If a number of the plan cannot be written as JSON.
pub fn serialize_update(
    update: &Update,
    plan: &Plan,
    addresses: &Addresses,
    clock: &RunClock,
    proxy: ProxyId,
) -> Result<String, simd_json::Error> {
    // A complete list omits removed render nodes; an update with changes only names them.
    let entries = update.entries.iter().filter(|(_, e)| !(update.complete && e.phase == Phase::Removed));
    let members = entries.filter_map(|(id, entry)| {
        let node = plan.nodes.get(usize::from(id.0))?;
        Some(Member {
            id: &node.name,
            host_port: addresses.node(*id, proxy).to_string(),
            locality: plan.zones.get(usize::from(node.zone)).map_or("", String::as_str),
            flavor: &node.kind,
            cell: node.cell,
            phase: entry.phase,
            size: node.size,
            up_since_ms: entry.started.map_or(0, |at| clock.unix_ms(at + plan.wall_clock_offset(at))),
        })
    });
    let list = List { revision: update.revision, complete: update.complete, members: members.collect() };
    simd_json::to_string(&list)
}

/// Serializes the list as it is at the start of a run, for the `known` setting of a proxy's configuration.
///
/// # Errors
///
/// The same as of [`serialize_update`].
pub fn initial_list(
    plan: &Plan,
    addresses: &Addresses,
    clock: &RunClock,
    proxy: ProxyId,
) -> Result<String, simd_json::Error> {
    serialize_update(&Registry::new(plan).complete_list(), plan, addresses, clock, proxy)
}
