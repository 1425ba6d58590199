//! Generates a run from a seed: the number of daemons, the faults and their times. Two or three fleet faults begin within two
//! seconds of one another, and one or two machine faults fall into the same time.

use crate::shim_schedule::{ShimChange, ShimSchedule};
use cottonnotch_kit::plan::{Plan, WallStep};
use cottonnotch_kit::scenario::{Scenario, ScenarioError};
use cottonnotch_kit::time::{Micros, S};
use cottonnotch_shim_control::Setting;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Least and greatest number of daemons.
    pub proxies: (u16, u16),
    /// Seconds of the measurement.
    pub seconds: u32,
}

impl Size {
    /// A few dozen daemons.
    pub const FULL: Size = Size { proxies: (20, 36), seconds: 22 };
    /// For CI.
    pub const SHORT: Size = Size { proxies: (6, 8), seconds: 14 };
}

/// A generated run.
#[derive(Clone, Debug)]
pub struct GeneratedRun {
    /// The plan of the stand-ins.
    pub plan: Plan,
    /// The settings of the shims.
    pub shim_schedule: ShimSchedule,
    /// The scenario as text, for a reader.
    pub scenario: String,
}

/// Fleet faults: each is a fault of the kit without its time, with `QUARTER` in place of a quarter of the daemons.
const FLEET_FAULTS: [&str; 18] = [
    "kind = 'kill'\nnodes = 3\nfor_s = [1.5, 3]",
    "kind = 'kill'\nnodes = 6\nfor_s = [1, 2]\nspread_s = 1",
    "kind = 'vanish'\nnodes = 2\nfor_s = [2, 4]",
    "kind = 'hang'\nnodes = 3\nfor_s = [3, 5]",
    "kind = 'hang'\nnodes = 3\nfor_s = [1, 3]\nthen = 'recover'",
    "kind = 'rubbish'\nnodes = 2\nfor_s = [2, 3]",
    "kind = 'slow'\nnodes = 3\nfor_s = [3, 5]\ntimes = 5",
    "kind = 'flap'\nnodes = 2\ntimes = 3\ndown_s = [0.3, 0.8]\nup_s = [0.5, 1]",
    "kind = 'drop'\nshare = 0.5\nback_within_s = 0.6",
    "kind = 'surge'\nload = 3\nfor_s = 3",
    "kind = 'discovery'\nchange = 'down'\nfor_s = 4",
    "kind = 'discovery'\nchange = 'silent'\nfor_s = 5",
    "kind = 'discovery'\nchange = 'resetting'\nfor_s = 2",
    "kind = 'discovery'\nchange = 'move-away'",
    "kind = 'proxy'\nchange = 'kill'\nproxies = QUARTER\nfor_s = 0.5",
    "kind = 'proxy'\nchange = 'restart'\nproxies = QUARTER",
    "kind = 'proxy'\nchange = 'reload'\nproxies = QUARTER",
    "kind = 'rude'\nper_s = 15\nfor_s = 4",
];

/// Steps of the wall clock in microseconds.
const WALL_STEPS: [Micros; 6] = [-3600 * S, 3600 * S, -7 * S, 7 * S, -2 * S, 2 * S];

/// Machine faults: the calls that fail, failures per thousand calls, and the longest duration.
const MACHINE_FAULTS: [(Setting, i64, Micros); 6] = [
    (Setting::Accept, 500, 2 * S),
    (Setting::Socket, 300, S),
    (Setting::Connect, 300, S),
    (Setting::SocketOption, 300, S),
    (Setting::Wait, 300, 6 * S),
    (Setting::Register, 200, S),
];
/// Failures per thousand calls throughout every run: a program that repeats interrupted and short calls is not affected.
const BACKGROUND: [(Setting, i64); 3] =
    [(Setting::Wait, 20), (Setting::Interrupt, 30), (Setting::Short, 100)];

/// Generates a run. Fails only by a defect of this crate: a scenario that the kit rejects.
pub fn generate(seed: u64, size: Size) -> Result<GeneratedRun, ScenarioError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let proxies = rng.random_range(size.proxies.0..=size.proxies.1);
    let scenario = scenario_text(&mut rng, proxies, size.seconds);
    let mut plan = Scenario::read(Path::new("soak.toml"), &scenario)?.draw(seed);
    let mut changes: Vec<ShimChange> =
        BACKGROUND.map(|(setting, value)| ShimChange { at: 0, setting, value }).into();
    if rng.random_bool(0.5) {
        plan.wall_steps = wall_steps(&mut rng, plan.measured_from);
        changes.extend(plan.wall_steps.iter().map(|step| {
            let value = plan.wall_clock_offset(step.at);
            ShimChange { at: step.at, setting: Setting::WallOffset, value }
        }));
    }
    changes.extend(machine_faults(&mut rng, plan.measured_from));
    Ok(GeneratedRun { plan, shim_schedule: ShimSchedule::new(changes), scenario })
}

fn scenario_text(rng: &mut ChaCha8Rng, proxies: u16, seconds: u32) -> String {
    let connections = 25 * u32::from(proxies);
    let mut text = format!(
        "name = 'soak'\nseconds = {seconds}\nscale = 0.2\n\
         [fleet]\nnodes = 24\nconnections_per_core = 40\n\
         [proxies]\ncount = {proxies}\n\
         [load]\nstanding = [{connections}, {}]\nfill_s = 2.5\nsettle_s = 0.5\n\
         [groups]\nmean_size = 20\n",
        connections + connections / 4
    );
    let mut faults = FLEET_FAULTS;
    faults.shuffle(rng);
    let count = rng.random_range(2..=3);
    let first_at = rng.random_range(1.5..5.0);
    let mut chosen: Vec<&str> = Vec::new();
    for fault in faults {
        // Discovery can have one fault at a time, and two faults of one kind show no more than one.
        if chosen.iter().all(|other| kind(other) != kind(fault)) {
            chosen.push(fault);
        }
    }
    for fault in &chosen[..count] {
        let at = first_at + rng.random_range(0.0..2.0);
        let fault = fault.replace("QUARTER", &(proxies / 4).max(1).to_string());
        text.push_str(&format!("[[fault]]\nat_s = {at:.3}\n{fault}\n"));
    }
    text
}

/// The line of a fault that names its kind.
fn kind(fault: &str) -> &str {
    fault.lines().next().unwrap_or(fault)
}

/// One step, or one step and its reversal.
fn wall_steps(rng: &mut ChaCha8Rng, from: Micros) -> Vec<WallStep> {
    let by = WALL_STEPS[rng.random_range(0..WALL_STEPS.len())];
    let at = from + rng.random_range(0..4 * S);
    let mut steps = vec![WallStep { at, by }];
    if rng.random_bool(0.3) {
        steps.push(WallStep { at: at + rng.random_range(S..4 * S), by: -by });
    }
    steps
}

fn machine_faults(rng: &mut ChaCha8Rng, from: Micros) -> Vec<ShimChange> {
    let mut faults = MACHINE_FAULTS;
    faults.shuffle(rng);
    let count = rng.random_range(1..=2);
    let mut changes = Vec::new();
    for (setting, rate, longest) in &faults[..count] {
        let at = from + rng.random_range(S..7 * S);
        let until = at + rng.random_range(longest / 5..=*longest);
        let background =
            BACKGROUND.iter().find(|(background, _)| background == setting).map_or(0, |(_, value)| *value);
        changes.push(ShimChange { at, setting: *setting, value: *rate });
        changes.push(ShimChange { at: until, setting: *setting, value: background });
    }
    changes
}
