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

/// Counts the allocated bytes.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

#[derive(Parser)]
#[command(about = "Hollow proxies: what a fleet of a given size costs. Prints JSON lines")]
struct Cli {
    #[command(subcommand)]
    mode: Mode,
}

#[derive(Subcommand)]
enum Mode {
    /// One fleet on loopback sockets in real time.
    Point {
        #[command(flatten)]
        shape: Shape,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Fleets of growing sizes on sockets, each in a process of its own, and the lines fitted through them.
    Sweep {
        /// The size that grows; all if none is named.
        #[arg(long, value_enum)]
        axis: Vec<SweptAxis>,
        #[command(flatten)]
        options: RunOptions,
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
        options: RunOptions,
    },
    /// Faults on virtual time, judged from records.
    Faults {
        /// The fault; all if none is named.
        #[arg(long, value_enum)]
        fault: Vec<Fault>,
        #[command(flatten)]
        shape: Shape,
    },
}

/// The size that a sweep varies, as an argument.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum SweptAxis {
    Members,
    Nodes,
    Pairs,
    Connections,
}

impl SweptAxis {
    const ALL: [SweptAxis; 4] =
        [SweptAxis::Members, SweptAxis::Nodes, SweptAxis::Pairs, SweptAxis::Connections];

    fn axis(self) -> Axis {
        match self {
            SweptAxis::Members => Axis::Members,
            SweptAxis::Nodes => Axis::Nodes,
            SweptAxis::Pairs => Axis::Pairs,
            SweptAxis::Connections => Axis::Connections,
        }
    }

    /// The fleets of the sweep, around one in the middle; the connections of a fleet are bounded by the machine's memory.
    fn shapes(self) -> Vec<Shape> {
        let base = Shape::default;
        match self {
            SweptAxis::Members => {
                [30, 60, 110, 220, 440, 880].map(|members| Shape { members, ..base() }).to_vec()
            }
            SweptAxis::Nodes => {
                [90, 256, 1_024, 2_048, 4_096].map(|nodes| Shape { nodes, ..base() }).to_vec()
            }
            SweptAxis::Pairs => {
                [1_000, 4_000, 16_000, 62_000].map(|pairs| Shape { pairs, nodes: 1_024, ..base() }).to_vec()
            }
            SweptAxis::Connections => [1_000, 8_000, 30_000, 91_000]
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
        Mode::Point { shape, options } => {
            print_json_line(&fleet::play(&shape, options, || HEAP.allocated())?)
        }
        Mode::Faults { fault, shape } => {
            let all = if fault.is_empty() { Fault::ALL.to_vec() } else { fault };
            all.into_iter().try_for_each(|fault| print_json_line(&fault_scenarios::play(&shape, fault)))
        }
        Mode::Calibrate { program, size, options } => {
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
                    print_json_line(&calibrate::play(&shape, real, &program, folder.path(), options, heap)?)?;
                }
            }
            Ok(())
        }
        Mode::Sweep { axis, options } => {
            let all = if axis.is_empty() { SweptAxis::ALL.to_vec() } else { axis };
            for swept in all {
                let lines: Vec<RunResult> = swept
                    .shapes()
                    .iter()
                    .map(|shape| measure_in_process(shape, options))
                    .collect::<io::Result<_>>()?;
                for name in FIGURES {
                    fit::fit(&lines, name, swept.axis()).iter().try_for_each(print_json_line)?;
                }
            }
            Ok(())
        }
    }
}

/// Measures a fleet in a process of its own: the heap that an earlier one has left does not count.
fn measure_in_process(shape: &Shape, options: RunOptions) -> io::Result<RunResult> {
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
    let RunOptions { warm_up, window, threads, fault: _ } = options;
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
