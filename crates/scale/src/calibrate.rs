//! Hollow against real: the same tier with some, all or none of its members real daemons, all counted by one relay.

use crate::discovery::Discovery;
use crate::member_threads::{HollowFleet, RunOptions};
use crate::real::{Daemon, Nodes, node};
use crate::relay::{Relay, Through};
use crate::run_result::Spread;
use crate::shape::{LOAD, Shape};
use crate::sockets::address;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Figures of some members; a second and member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Side {
    /// How many.
    pub members: u32,
    /// Datagrams of the fleet view or gossip, both ways.
    pub peers_messages: f64,
    /// Their bytes.
    pub peers_bytes: f64,
    /// Datagrams of the accord, both ways.
    #[serde(rename = "accord_messages")]
    pub consensus_messages: f64,
    /// Their bytes.
    #[serde(rename = "accord_bytes")]
    pub consensus_bytes: f64,
    /// Processor time in microseconds: of the daemon's process; of the threads that run hollow ones.
    pub cpu_us: f64,
    /// Resident bytes of a daemon; heap bytes of a hollow one.
    pub memory: f64,
    /// Clients served since the start.
    pub served: f64,
}

/// A tier that was played.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Calibration {
    /// The sizes.
    pub shape: Shape,
    /// Seconds that were measured.
    pub seconds: f64,
    /// The real ones: the lowest numbers.
    pub real: Side,
    /// The hollow ones.
    pub hollow: Side,
}

/// The list with the stand-in nodes' addresses.
fn list(shape: &Shape) -> String {
    let text = shape.list(1, None);
    (0..shape.nodes).rev().fold(text, |text, number| {
        let old = format!("127.9.0.1:{}\"", 9_000 + number);
        text.replace(&old, &format!("{}\"", node(number)))
    })
}

/// Plays a tier of which the first `real` members are daemons of this program. 250 nodes at most.
pub fn play(
    shape: &Shape,
    real: u32,
    program: &Path,
    folder: &Path,
    span: RunOptions,
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
    let fleet = HollowFleet::start(shape, span, (real..shape.members).collect(), discovery.address(), &list)?;
    std::thread::sleep(Duration::from_secs_f64(span.warm_up));
    let spent = |daemons: &[Daemon]| daemons.iter().map(Daemon::spent).collect::<io::Result<Vec<_>>>();
    let (before, cpu) = (relay.counts(), spent(&daemons)?);
    std::thread::sleep(Duration::from_secs_f64(span.window));
    let (after, cpu_after) = (relay.counts(), spent(&daemons)?);
    let memory = heap().saturating_sub(empty) as f64;
    let served: u64 = daemons.iter().map(Daemon::served).sum();
    let (hollow_cpu, hollow_served) = fleet.finish()?;
    let through: Vec<Through> = before.iter().zip(&after).map(since).collect();
    let (theirs, ours) = through.split_at(real as usize);
    let mut sides = [theirs, ours].map(|side| of(side, span.window));
    let seconds = span.window;
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

fn since((before, after): (&Through, &Through)) -> Through {
    [0, 1].map(|kind| [0, 1].map(|way| after[kind][way].since(before[kind][way])))
}

fn of(side: &[Through], seconds: f64) -> Side {
    let mean = |figure: &dyn Fn(&Through) -> u64| {
        Spread::of(side.iter().map(|through| figure(through) as f64 / seconds)).mean
    };
    Side {
        members: side.len() as u32,
        peers_messages: mean(&|t| t[0][0].messages + t[0][1].messages),
        peers_bytes: mean(&|t| t[0][0].bytes + t[0][1].bytes),
        consensus_messages: mean(&|t| t[1][0].messages + t[1][1].messages),
        consensus_bytes: mean(&|t| t[1][0].bytes + t[1][1].bytes),
        ..Side::default()
    }
}
