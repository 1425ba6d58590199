//! The command line of the scale tests.

use cap::Cap;
use clap::{Parser, Subcommand, ValueEnum};
use cottonnotch_scale::fault::Fault;
use cottonnotch_scale::fit::{self, Axis};
use cottonnotch_scale::member_threads::RunOptions;
use cottonnotch_scale::run_result::RunResult;
use cottonnotch_scale::{Shape, calibrate};
use cottonnotch_scale::{fault_scenarios, fleet};
use std::alloc::System;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::{Command, ExitCode};

/// Counts what is allocated.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

#[derive(Parser)]
#[command(about = "Hollow proxies: what a tier of a given size costs. Prints JSON lines")]
struct Cli {
    #[command(subcommand)]
    mode: Mode,
}

#[derive(Subcommand)]
enum Mode {
    /// One tier on loopback sockets in real time.
    Point {
        #[command(flatten)]
        shape: Shape,
        #[command(flatten)]
        span: RunOptions,
    },
    /// Tiers of growing sizes on sockets, each in a process of its own, and the lines fitted through them.
    Sweep {
        /// What is made larger; all if none is named.
        #[arg(long, value_enum)]
        axis: Vec<Swept>,
        #[command(flatten)]
        span: RunOptions,
    },
    /// Hollow against real: 3, 10 and 30 members, all hollow, all real, and half of each.
    Calibrate {
        /// The program, `target/release/cottonnotch`.
        #[arg(long)]
        program: PathBuf,
        /// Sizes; 3, 10 and 30 if none is named.
        #[arg(long)]
        size: Vec<u32>,
        #[command(flatten)]
        span: RunOptions,
    },
    /// Faults on virtual time, judged from records.
    Faults {
        /// Which; all if none is named.
        #[arg(long, value_enum)]
        fault: Vec<Fault>,
        #[command(flatten)]
        shape: Shape,
    },
}

/// What a sweep makes larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Swept {
    Members,
    Nodes,
    Pairs,
    Connections,
}

impl Swept {
    const ALL: [Swept; 4] = [Swept::Members, Swept::Nodes, Swept::Pairs, Swept::Connections];

    fn axis(self) -> Axis {
        match self {
            Swept::Members => Axis::Members,
            Swept::Nodes => Axis::Nodes,
            Swept::Pairs => Axis::Pairs,
            Swept::Connections => Axis::Connections,
        }
    }

    /// The tiers, around one in the middle; connections of a whole tier are bounded by this machine's memory.
    fn shapes(self) -> Vec<Shape> {
        let base = Shape::default;
        match self {
            Swept::Members => {
                [30, 60, 110, 220, 440, 880].map(|members| Shape { members, ..base() }).to_vec()
            }
            Swept::Nodes => [90, 256, 1_024, 2_048, 4_096].map(|nodes| Shape { nodes, ..base() }).to_vec(),
            Swept::Pairs => {
                [1_000, 4_000, 16_000, 62_000].map(|pairs| Shape { pairs, nodes: 1_024, ..base() }).to_vec()
            }
            Swept::Connections => [1_000, 8_000, 30_000, 91_000]
                .map(|connections| Shape { connections, members: 30, ..base() })
                .to_vec(),
        }
    }
}

/// Figures that are fitted.
const FIGURES: [&str; 21] = [
    "messages_out.mean",
    "messages_out.max",
    "messages_in.mean",
    "messages_in.max",
    "bytes_out.mean",
    "bytes_out.max",
    "bytes_in.mean",
    "bytes_in.max",
    "leader_messages",
    "leader_bytes",
    "cpu_us",
    "cpu_peers_us.mean",
    "cpu_peers_us.max",
    "cpu_accord_us.mean",
    "cpu_accord_us.max",
    "cpu_second_us.mean",
    "setup_us",
    "heap_bytes",
    "heap_bytes_connection",
    "list_all_s",
    "view_error",
];

fn main() -> ExitCode {
    match run(Cli::parse().mode) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cottonnotch-scale: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print_json_line(line: &impl serde::Serialize) -> io::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, line).map_err(io::Error::other)?;
    out.write_all(b"\n")?;
    out.flush()
}

fn run(mode: Mode) -> io::Result<()> {
    match mode {
        Mode::Point { shape, span } => print_json_line(&fleet::play(&shape, span, || HEAP.allocated())?),
        Mode::Faults { fault, shape } => {
            let all = if fault.is_empty() { Fault::ALL.to_vec() } else { fault };
            all.into_iter().try_for_each(|fault| print_json_line(&fault_scenarios::play(&shape, fault)))
        }
        Mode::Calibrate { program, size, span } => {
            let sizes = if size.is_empty() { vec![3, 10, 30] } else { size };
            for members in sizes {
                let shape = Shape {
                    members,
                    nodes: 16,
                    pairs: 100,
                    connections: 20,
                    setups: 1.0,
                    ..Shape::default()
                };
                for real in [0, members, members / 2] {
                    let folder = tempfile::tempdir()?;
                    let heap = || HEAP.allocated();
                    print_json_line(&calibrate::play(&shape, real, &program, folder.path(), span, heap)?)?;
                }
            }
            Ok(())
        }
        Mode::Sweep { axis, span } => {
            let all = if axis.is_empty() { Swept::ALL.to_vec() } else { axis };
            for swept in all {
                let lines: Vec<RunResult> =
                    swept.shapes().iter().map(|shape| point(shape, span)).collect::<io::Result<_>>()?;
                for name in FIGURES {
                    fit::fit(&lines, name, swept.axis()).iter().try_for_each(print_json_line)?;
                }
            }
            Ok(())
        }
    }
}

/// A tier in a process of its own: what an earlier one has left on the heap is no part of it.
fn point(shape: &Shape, span: RunOptions) -> io::Result<RunResult> {
    let Shape {
        members,
        nodes,
        pairs,
        connections,
        setups,
        utilization,
        members_from,
        latency_objective_ms,
        group_homes,
        voters,
        seed,
    } = shape;
    let RunOptions { warm_up, window, threads, fault: _ } = span;
    let arguments = format!(
        "point --members {members} --nodes {nodes} --pairs {pairs} --connections {connections} --setups {setups} \
         --used {utilization} --members-from {members_from} --aim-ms {latency_objective_ms} --group-homes {group_homes} --voters {voters} --seed {seed} --warm-up {warm_up} \
         --window {window} --threads {threads}"
    );
    let output = Command::new(std::env::current_exe()?).args(arguments.split_whitespace()).output()?;
    if !output.status.success() {
        return Err(io::Error::other(format!("{arguments}: {}", String::from_utf8_lossy(&output.stderr))));
    }
    let line: RunResult = serde_json::from_slice(&output.stdout).map_err(io::Error::other)?;
    print_json_line(&line)?;
    Ok(line)
}
