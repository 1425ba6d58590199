//! Calibration of hollow proxies: the same fleet with some, all or none of its members real daemons, all measured by one relay.

use crate::discovery::Discovery;
use crate::member_threads::{HollowFleet, RunOptions};
use crate::real::{Daemon, Nodes, node};
use crate::relay::{MemberTraffic, Relay};
use crate::run_result::Spread;
use crate::shape::{LOAD, Shape};
use crate::sockets::address;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Figures of the real or of the hollow members, a second and member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Side {
    /// Number of members.
    pub members: u32,
    /// Datagrams of the aggregation or gossip, both directions.
    pub peers_messages: f64,
    /// Their bytes.
    pub peers_bytes: f64,
    /// Datagrams of the consensus, both directions.
    #[serde(rename = "accord_messages")]
    pub consensus_messages: f64,
    /// Their bytes.
    #[serde(rename = "accord_bytes")]
    pub consensus_bytes: f64,
    /// Processor time in microseconds: of a daemon's process, or of the threads that run hollow members.
    pub cpu_us: f64,
    /// Memory in bytes: resident of a daemon, heap of a hollow member.
    pub memory: f64,
    /// Clients served since the start.
    pub served: f64,
}

/// Result of a run. It is printed as a line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Calibration {
    /// Sizes of the fleet.
    pub shape: Shape,
    /// Seconds that were measured.
    pub seconds: f64,
    /// The real members: those with the lowest ordinals.
    pub real: Side,
    /// The hollow members.
    pub hollow: Side,
}

/// The endpoint list with the addresses of the stand-in nodes.
fn list(shape: &Shape) -> String {
    let text = shape.list(1, None);
    (0..shape.nodes).rev().fold(text, |text, number| {
        let old = format!("127.9.0.1:{}\"", 9_000 + number);
        text.replace(&old, &format!("{}\"", node(number)))
    })
}

/// Runs a fleet whose first `real` members are processes of `program`, of 250 nodes at most. `heap` returns the allocated bytes.
pub fn play(
    shape: &Shape,
    real: u32,
    program: &Path,
    folder: &Path,
    options: RunOptions,
    heap: impl Fn() -> usize,
) -> io::Result<Calibration> {
    let list = list(shape);
    let relay = Relay::start(shape.members)?;
    let _nodes = Nodes::start(shape.nodes, LOAD)?;
    let discovery = Discovery::start(address(60_000, 0), 1, list.clone())?;
    let at = |me: u32| -> PathBuf { folder.join(format!("p{me}")) };
    let daemons = (0..real).map(|me| Daemon::start(program, at(me), shape, me, discovery.address(), &list));
    let daemons: Vec<Daemon> = daemons.collect::<io::Result<_>>()?;
    let empty = heap();
    let fleet =
        HollowFleet::start(shape, options, (real..shape.members).collect(), discovery.address(), &list)?;
    std::thread::sleep(Duration::from_secs_f64(options.warm_up));
    let spent = |daemons: &[Daemon]| daemons.iter().map(Daemon::spent).collect::<io::Result<Vec<_>>>();
    let (before, cpu) = (relay.counts(), spent(&daemons)?);
    std::thread::sleep(Duration::from_secs_f64(options.window));
    let (after, cpu_after) = (relay.counts(), spent(&daemons)?);
    let memory = heap().saturating_sub(empty) as f64;
    let served: u64 = daemons.iter().map(Daemon::served).sum();
    let (hollow_cpu, hollow_served) = fleet.finish()?;
    let through: Vec<MemberTraffic> = before.iter().zip(&after).map(traffic_since).collect();
    let (real_traffic, hollow_traffic) = through.split_at(real as usize);
    let mut sides = [real_traffic, hollow_traffic].map(|members| mean_traffic(members, options.window));
    let seconds = options.window;
    if real > 0 {
        let count = f64::from(real);
        let spent: f64 = cpu.iter().zip(&cpu_after).map(|(before, after)| after.0 - before.0).sum();
        sides[0].cpu_us = spent * 1e6 / seconds / count;
        sides[0].memory = cpu_after.iter().map(|(_, bytes)| *bytes as f64).sum::<f64>() / count;
        sides[0].served = served as f64 / count;
    }
    if real < shape.members {
        let count = f64::from(shape.members - real);
        sides[1].cpu_us = hollow_cpu.as_secs_f64() * 1e6 / seconds / count;
        sides[1].memory = memory / count;
        sides[1].served = hollow_served as f64 / count;
    }
    let [real, hollow] = sides;
    Ok(Calibration { shape: shape.clone(), seconds, real, hollow })
}

fn traffic_since((before, after): (&MemberTraffic, &MemberTraffic)) -> MemberTraffic {
    [0, 1].map(|kind| [0, 1].map(|way| after[kind][way].since(before[kind][way])))
}

fn mean_traffic(members: &[MemberTraffic], seconds: f64) -> Side {
    let mean = |figure: &dyn Fn(&MemberTraffic) -> u64| {
        Spread::of(members.iter().map(|through| figure(through) as f64 / seconds)).mean
    };
    Side {
        members: members.len() as u32,
        peers_messages: mean(&|t| t[0][0].messages + t[0][1].messages),
        peers_bytes: mean(&|t| t[0][0].bytes + t[0][1].bytes),
        consensus_messages: mean(&|t| t[1][0].messages + t[1][1].messages),
        consensus_bytes: mean(&|t| t[1][0].bytes + t[1][1].bytes),
        ..Side::default()
    }
}
