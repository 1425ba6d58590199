//! From a seed to a run: how many daemons, which troubles, and when. Two or three troubles of the fleet begin within two seconds of
//! one another, and one or two of the machine's fall into the same time.

use crate::course::{Change, Course};
use cottonnotch_kit::plan::{Plan, WallStep};
use cottonnotch_kit::scenario::{BadScenario, Scenario};
use cottonnotch_kit::time::{Micros, S};
use cottonnotch_shim_control::Setting;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Daemons: at least and at most.
    pub proxies: (u16, u16),
    /// Seconds of the measured part.
    pub seconds: u32,
}

impl Size {
    /// A few dozen daemons.
    pub const FULL: Size = Size { proxies: (20, 36), seconds: 22 };
    /// For CI.
    pub const SHORT: Size = Size { proxies: (6, 8), seconds: 14 };
}

/// A run as drawn.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// What the stand-ins play.
    pub plan: Plan,
    /// What the shims do.
    pub course: Course,
    /// The scenario's text, for a person.
    pub text: String,
}

/// Troubles of the fleet: each is a fault of the kit's, with `AT` in place of its time.
const FLEET_TROUBLES: [&str; 18] = [
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

/// Steps of the wall clock, in microseconds.
const WALL_STEPS: [Micros; 6] = [-3600 * S, 3600 * S, -7 * S, 7 * S, -2 * S, 2 * S];

/// A trouble of the machine's: what fails, at which rate per thousand calls, and for how long at most.
const MACHINE_TROUBLES: [(Setting, i64, Micros); 6] = [
    (Setting::Accept, 500, 2 * S),
    (Setting::Socket, 300, S),
    (Setting::Connect, 300, S),
    (Setting::SocketOption, 300, S),
    (Setting::Wait, 300, 6 * S),
    (Setting::Register, 200, S),
];
/// All the time, in every run: interrupted and short calls change nothing for a program that repeats them.
const ALWAYS: [(Setting, i64); 3] = [(Setting::Wait, 20), (Setting::Interrupt, 30), (Setting::Short, 100)];

/// Draws a run. Fails only by a fault of this crate's: a scenario that the kit refuses.
pub fn draw(seed: u64, size: Size) -> Result<Drawn, BadScenario> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let proxies = chance.random_range(size.proxies.0..=size.proxies.1);
    let text = scenario(&mut chance, proxies, size.seconds);
    let mut plan = Scenario::read(Path::new("soak.toml"), &text)?.draw(seed);
    let mut changes: Vec<Change> = ALWAYS.map(|(setting, value)| Change { at: 0, setting, value }).into();
    if chance.random_bool(0.5) {
        plan.wall_steps = wall_steps(&mut chance, plan.measured_from);
        changes.extend(plan.wall_steps.iter().map(|step| {
            let value = plan.wall_offset(step.at);
            Change { at: step.at, setting: Setting::WallOffset, value }
        }));
    }
    changes.extend(machine_troubles(&mut chance, plan.measured_from));
    Ok(Drawn { plan, course: Course::new(changes), text })
}

fn scenario(chance: &mut ChaCha8Rng, proxies: u16, seconds: u32) -> String {
    let standing = 25 * u32::from(proxies);
    let mut text = format!(
        "name = 'soak'\nseconds = {seconds}\nscale = 0.2\n\
         [fleet]\nnodes = 24\nconnections_per_core = 40\n\
         [proxies]\ncount = {proxies}\n\
         [load]\nstanding = [{standing}, {}]\nfill_s = 2.5\nsettle_s = 0.5\n\
         [groups]\nmean_size = 20\n",
        standing + standing / 4
    );
    let mut troubles = FLEET_TROUBLES;
    troubles.shuffle(chance);
    let count = chance.random_range(2..=3);
    let begins = chance.random_range(1.5..5.0);
    let mut chosen: Vec<&str> = Vec::new();
    for trouble in troubles {
        // Discovery can be in one trouble at a time, and two of one kind show no more than one.
        if chosen.iter().all(|other| kind(other) != kind(trouble)) {
            chosen.push(trouble);
        }
    }
    for trouble in &chosen[..count] {
        let at = begins + chance.random_range(0.0..2.0);
        let trouble = trouble.replace("QUARTER", &(proxies / 4).max(1).to_string());
        text.push_str(&format!("[[fault]]\nat_s = {at:.3}\n{trouble}\n"));
    }
    text
}

/// The line of a trouble that names its kind.
fn kind(trouble: &str) -> &str {
    trouble.lines().next().unwrap_or(trouble)
}

/// One step, or one and back again.
fn wall_steps(chance: &mut ChaCha8Rng, from: Micros) -> Vec<WallStep> {
    let by = WALL_STEPS[chance.random_range(0..WALL_STEPS.len())];
    let at = from + chance.random_range(0..4 * S);
    let mut steps = vec![WallStep { at, by }];
    if chance.random_bool(0.3) {
        steps.push(WallStep { at: at + chance.random_range(S..4 * S), by: -by });
    }
    steps
}

fn machine_troubles(chance: &mut ChaCha8Rng, from: Micros) -> Vec<Change> {
    let mut troubles = MACHINE_TROUBLES;
    troubles.shuffle(chance);
    let count = chance.random_range(1..=2);
    let mut changes = Vec::new();
    for (setting, most, longest) in &troubles[..count] {
        let at = from + chance.random_range(S..7 * S);
        let until = at + chance.random_range(longest / 5..=*longest);
        let usual = ALWAYS.iter().find(|(always, _)| always == setting).map_or(0, |(_, value)| *value);
        changes.push(Change { at, setting: *setting, value: *most });
        changes.push(Change { at: until, setting: *setting, value: usual });
    }
    changes
}
