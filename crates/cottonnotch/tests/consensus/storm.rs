//! Random changes while processes and links fail, and the measurements that come of it.

use crate::cluster::TestCluster;
use crate::link::{Faults, Rng};
use crate::rules::{CONTRADICTION, keeps_to};
use crate::{MAX_WAIT, wait_for};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["a", "b", "c"];

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Changes at any proxy, with any kind of fault, as the seed says; then all faults end, and all proxies end on the last change.
/// The longest contradiction, and how many versions there were.
fn storm(seed: u64, steps: u64) -> (Duration, usize) {
    println!("seed {seed}");
    let mut rng = Rng::new(seed);
    let mut cluster = TestCluster::agreed(5, &[0, 1, 2], seed);
    let (mut frozen, mut dead) = (BTreeSet::new(), BTreeSet::new());
    let mut revision = 1;
    for _ in 0..steps {
        let one = rng.below(5) as usize;
        match rng.below(8) {
            0 => cluster.mesh.isolate(one),
            1 => cluster.mesh.mute(one),
            2 => cluster.mesh.cut(one, (one + 1 + rng.below(4) as usize) % 5),
            3 => cluster.mesh.set_all(Faults {
                delay: ms(rng.below(60)),
                jitter: ms(rng.below(120)),
                lost: rng.below(300) as u32,
                doubled: rng.below(300) as u32,
                ..Faults::default()
            }),
            4 if !dead.contains(&one) && frozen.insert(one) => cluster.freeze(one),
            5 if !frozen.contains(&one) && dead.insert(one) => cluster.kill(one),
            _ => cluster.mesh.heal(),
        }
        let to = rng.below(5) as usize;
        if !dead.contains(&to) {
            revision += 1;
            cluster.change(to, "dagger", &keeps_to("dagger", revision, HALLS[rng.below(3) as usize]));
        }
        std::thread::sleep(ms(200 + rng.below(900)));
        // Not for long: a change needs a majority of the voters.
        if rng.below(2) == 0 {
            frozen.iter().for_each(|proxy| cluster.proxies[*proxy].thaw());
            frozen.clear();
        }
        if rng.below(2) == 0 {
            dead.iter().for_each(|proxy| cluster.proxies[*proxy].start());
            dead.clear();
        }
    }
    cluster.mesh.heal();
    frozen.iter().for_each(|proxy| cluster.proxies[*proxy].thaw());
    dead.iter().for_each(|proxy| cluster.proxies[*proxy].start());
    let hall = HALLS[rng.below(3) as usize];
    cluster.change(rng.below(5) as usize, "dagger", &keeps_to("dagger", revision + 1, hall));
    cluster.settles(&cluster.all(), "dagger", hall);
    cluster.converges(&cluster.all(), 0);
    cluster.finish();
    (cluster.judged_by_versions("dagger"), cluster.by_version("dagger").len())
}

#[test]
fn random_changes_and_faults_cause_no_contradiction() {
    storm(1, 6);
}

#[test]
fn random_changes_and_faults_of_another_seed_cause_no_contradiction() {
    storm(2, 6);
}

/// The kinds of fault of which the longest contradiction is measured.
const KINDS: [&str; 8] = [
    "none",
    "shaken network",
    "member cut off",
    "leader cut off",
    "leader not heard",
    "member stopped",
    "leader stopped",
    "leader killed",
];

/// One change under a fault, at times that the seed chooses: the longest contradiction by what arrived, and by when it was
/// decided.
fn under(kind: &str, seed: u64) -> (Duration, Duration) {
    println!("{kind}, seed {seed}");
    let mut rng = Rng::new(seed ^ 0x5ca1_ab1e);
    let mut cluster = TestCluster::agreed(3, &[0, 1, 2], seed);
    let leader = cluster.leader(&[0, 1, 2]);
    let member = (leader + 1 + rng.below(2) as usize) % 3;
    let (one, other) = match kind.split(' ').next() {
        Some("leader") => (leader, member),
        _ => (member, leader),
    };
    let before = ms(rng.below(700));
    let fault = |cluster: &mut TestCluster| match kind.split(' ').next_back() {
        Some("network") => {
            let (lost, doubled) = (200, 200);
            cluster.mesh.set_all(Faults {
                delay: ms(20),
                jitter: ms(80),
                lost,
                doubled,
                ..Faults::default()
            });
        }
        Some("off") => cluster.mesh.isolate(one),
        Some("heard") => cluster.mesh.mute(one),
        Some("stopped") => cluster.freeze(one),
        Some("killed") => cluster.kill(one),
        _ => {}
    };
    // Before the change, or in the middle of it.
    let early = rng.below(2) == 0;
    if early {
        fault(&mut cluster);
        std::thread::sleep(before);
    }
    cluster.change(other, "dagger", &keeps_to("dagger", 2, "b"));
    if !early {
        std::thread::sleep(before);
        fault(&mut cluster);
    }
    std::thread::sleep(ms(rng.below(2_500)));
    cluster.mesh.heal();
    match kind.split(' ').next_back() {
        Some("stopped") => cluster.proxies[one].thaw(),
        Some("killed") => cluster.proxies[one].start(),
        _ => {}
    }
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.finish();
    (cluster.judged("a", "b"), cluster.apart_when_decided("dagger"))
}

/// From SIGHUP until the last living proxy has the version: of changes that contradict what is in force, or of such that don't.
fn to_effect(size: usize, voters: &[usize], dead: bool, contradicting: bool) -> Vec<Duration> {
    let mut cluster = TestCluster::agreed(size, voters, 1);
    if dead {
        // A voter that doesn't lead: with the leader there would be an election first, which is another measurement.
        let leader = cluster.leader(voters);
        let dead = voters.iter().copied().find(|voter| *voter != leader).unwrap();
        cluster.kill(dead);
        std::thread::sleep(2 * CONTRADICTION);
    }
    let living: Vec<usize> =
        cluster.all().into_iter().filter(|proxy| cluster.proxies[*proxy].running()).collect();
    let newest = |proxy: usize| cluster.proxies[proxy].versions().last().map_or(0, |(number, _)| *number);
    let changes = (0..10).map(|change| {
        let from = living.iter().map(|proxy| newest(*proxy)).max().unwrap();
        std::thread::sleep(ms(300 + 37 * change));
        let began = Instant::now();
        let hall = if contradicting { HALLS[(change as usize + 1) % 2] } else { HALLS[0] };
        let proxy = living[change as usize % living.len()];
        cluster.change(proxy, "dagger", &keeps_to("dagger", change + 2, hall));
        wait_for(MAX_WAIT, "the version at all", || {
            living.iter().all(|proxy| newest(*proxy) > from).then_some(())
        });
        began.elapsed()
    });
    changes.collect()
}

/// A proxy's watch falls silent, and a node drains: how long after the others were notified it still got new requests, through
/// that proxy.
fn silent_watch(seed: u64) -> Duration {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], seed);
    cluster.discovery.silence(1);
    std::thread::sleep(ms(100 * (seed % 10)));
    let drained_at = cluster.now();
    cluster.discovery.set_phase("a0", "draining");
    std::thread::sleep(ms(6_000));
    cluster.finish();
    let last =
        cluster.fleet.history().iter().filter(|placed| placed.node == "a0").map(|placed| placed.at).max();
    last.map_or(Duration::ZERO, |last| last.saturating_sub(drained_at))
}

fn summary(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_millis();
    format!("median {} ms, longest {} ms", at(50), at(100))
}

/// Prints a table; `ACCORD_SEEDS` says how many seeds of each fault.
#[test]
#[ignore = "a measurement of minutes: ACCORD_SEEDS=20 cargo test --test consensus -- --ignored --nocapture"]
fn figures() {
    let seeds: u64 = std::env::var("ACCORD_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2);
    let mut table = String::new();
    // Alone on the machine, since these are durations.
    for (size, voters) in [(3, vec![0, 1, 2]), (7, vec![0, 1, 2]), (7, vec![0, 1, 2, 3, 4])] {
        for (dead, contradicting) in [(false, true), (false, false), (true, true)] {
            let mut times = to_effect(size, &voters, dead, contradicting);
            let change = if contradicting { "contradicting" } else { "agreeing" };
            let (count, fault) = (voters.len(), if dead { "one voter dead" } else { "no fault" });
            let summary = summary(&mut times);
            writeln!(table, "file to effect, {change}, {size} processes, {count} voters, {fault}: {summary}")
                .unwrap();
        }
    }
    let mut silent: Vec<Duration> = (0..seeds.min(5)).map(silent_watch).collect();
    writeln!(table, "new requests to a drained node through a silent watch: {}", summary(&mut silent))
        .unwrap();
    for kind in KINDS {
        let (next, longest) = (Mutex::new(0..seeds), Mutex::new(Vec::new()));
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    loop {
                        let Some(seed) = next.lock().unwrap().next() else { return };
                        let time = under(kind, seed);
                        longest.lock().unwrap().push(time);
                    }
                });
            }
        });
        let longest = longest.into_inner().unwrap();
        let most = longest.iter().map(|(arrived, _)| arrived.as_millis()).max().unwrap();
        let decided = longest.iter().map(|(_, decided)| decided.as_millis()).max().unwrap();
        let with_overlap = longest.iter().filter(|(arrived, _)| !arrived.is_zero()).count();
        writeln!(
            table,
            "contradiction, {kind}: longest {most} ms as it arrived, in {with_overlap} of {seeds} runs any; {decided} ms as decided"
        )
        .unwrap();
    }
    let storms: Vec<_> = (10..10 + seeds.div_ceil(4)).map(|seed| storm(seed, 10)).collect();
    let most = storms.iter().map(|(time, _)| time.as_millis()).max().unwrap();
    let versions: usize = storms.iter().map(|(_, versions)| versions).sum();
    writeln!(table, "contradiction, storms: longest {most} ms over {versions} versions").unwrap();
    println!("stated: {} ms\n{table}", CONTRADICTION.as_millis());
}
