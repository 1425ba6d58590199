//! Measures cost and duration without faults and with a single fault. The bounds are those of the design note.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::content;
use common::scenarios::{cluster_on_old_version, new_version};
use common::world::{Disk, MS, Traffic, World};
use cottonnotch_consensus::{Mutant, Timing, Topic};

fn rates_per_member(before: Traffic, after: Traffic, members: u16, duration_us: i64) -> (f64, f64) {
    let seconds = duration_us as f64 / 1e6 * f64::from(members);
    let messages = (after.messages - before.messages) as f64 / seconds;
    let bytes = (after.bytes - before.bytes) as f64 / seconds;
    (messages, bytes)
}

#[test]
fn bounds_message_count_and_size() {
    for members in [3, 7, 30, 300] {
        let (mut world, _) = cluster_on_old_version(1, members, 3, Mutant::Unmodified);
        world.count_bytes = true;
        let (before, ticks) = (world.traffic, world.ticks);
        let idle = if members > 100 { 2_000 * MS } else { 10_000 * MS };
        world.run(idle);
        let (messages, bytes) = rates_per_member(before, world.traffic, members, idle);
        let wake_ups = (world.ticks - ticks) as f64 / f64::from(members) / (idle as f64 / 1e6);
        assert!(wake_ups < 15.0, "{members} members: each wakes {wake_ups} times per second");
        let before = world.traffic;
        world.propose(members - 1, Topic::Rules, new_version());
        let member_count = usize::from(members);
        let took = world.run_until(5_000 * MS, |world| {
            world.members_acting_on(Topic::Rules, new_version()) == member_count
        });
        let took = took.unwrap_or_else(|| panic!("{members} members: not in force"));
        let messages_of_change = world.traffic.messages - before.messages;
        let per_member = messages_of_change as f64 / f64::from(members);
        let change_bytes = (world.traffic.bytes - before.bytes) as f64 / f64::from(members);
        println!(
            "{members} members: idle {messages:.1} messages/s {bytes:.0} bytes/s per member; a change {per_member:.1} \
             messages {change_bytes:.0} bytes per member in {} ms; largest {} bytes",
            took / MS,
            world.traffic.largest
        );
        assert!(
            messages < 25.0 && bytes < 2_000.0,
            "{members} members: idle {messages} messages/s, {bytes} bytes/s"
        );
        assert!(per_member < 30.0, "{members} members: {per_member} messages per member for a change");
        assert!(world.traffic.largest < 1_000);
        world.assert_no_violation();
    }
}

fn percentile_ms(times: &mut [i64], percent: usize) -> f64 {
    times.sort_unstable();
    times[(times.len() - 1) * percent / 100] as f64 / MS as f64
}

enum Crashed {
    Nobody,
    Follower,
    Leader,
}

fn times_until_in_force(crashed_role: &Crashed, answers: [u8; 3], seeds: u64) -> Vec<i64> {
    let measure = |seed: u64| {
        let (mut world, leader) = cluster_on_old_version(seed, 7, 3, Mutant::Unmodified);
        let hash = content(2, answers);
        let crashed = match crashed_role {
            Crashed::Nobody => None,
            Crashed::Follower => Some((leader + 1) % 3),
            Crashed::Leader => Some(leader),
        };
        if let Some(crashed) = crashed {
            world.crash(crashed, Disk::Kept);
            if matches!(crashed_role, Crashed::Follower) {
                world.run(2_000 * MS);
            }
        }
        world.propose(6, Topic::Rules, hash);
        let live_members = if crashed.is_some() { 6 } else { 7 };
        let took =
            world.run_until(10_000 * MS, |world| world.members_acting_on(Topic::Rules, hash) == live_members);
        world.assert_no_violation();
        took.unwrap_or_else(|| panic!("seed {seed}: not in force"))
    };
    (0..seeds).map(measure).collect()
}

#[test]
fn bounds_time_to_activation() {
    for (crashed_role, name, limit) in [
        (Crashed::Nobody, "no fault", 400.0),
        (Crashed::Follower, "a follower crashed two seconds earlier", 400.0),
        (Crashed::Leader, "the leader crashed at the same time", 3_500.0),
    ] {
        for (answers, kind) in [([2, 0, 0], "incompatible"), ([0, 2, 0], "compatible")] {
            let mut times = times_until_in_force(&crashed_role, answers, 60);
            let (median, tail) = (percentile_ms(&mut times, 50), percentile_ms(&mut times, 99));
            let worst = percentile_ms(&mut times, 100);
            println!(
                "{name}, {kind}: in force at all members after {median:.0} ms (median), {tail:.0} ms (p99), {worst:.0} ms (maximum)"
            );
            assert!(worst < limit, "{name}, {kind}: {worst} ms");
        }
    }
}

/// A member is stopped for good at the worst moment. The new version waits only for the lease of that member to expire.
#[test]
fn stopped_member_delays_a_change_by_one_lease() {
    let mut times = Vec::new();
    for seed in 0..60 {
        let (mut world, _) = cluster_on_old_version(seed, 7, 3, Mutant::Unmodified);
        world.stop(5);
        world.propose(6, Topic::Rules, new_version());
        let Some(took) =
            world.run_until(10_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == 6)
        else {
            panic!("seed {seed}: not in force")
        };
        times.push(took);
        world.assert_no_violation();
    }
    let worst = percentile_ms(&mut times, 100);
    println!("a member stopped: {:.0} ms (median), {worst:.0} ms (maximum)", percentile_ms(&mut times, 50));
    assert!(worst < 1_600.0);
}

/// Bounds how long some member is without a lease after the leader crashed, until the next leader grants one.
#[test]
fn bounds_time_without_lease_after_a_leader_crash() {
    let mut longest = Vec::new();
    for seed in 0..60 {
        let (mut world, leader) = cluster_on_old_version(seed, 7, 3, Mutant::Unmodified);
        world.crash(leader, Disk::Kept);
        let mut time_without_lease = 0;
        for _ in 0..1_500 {
            world.run(2 * MS);
            time_without_lease +=
                i64::from(world.oracle.processes_acting(Topic::Rules, world.now) < 6) * 2 * MS;
        }
        longest.push(time_without_lease);
        assert_eq!(world.oracle.processes_acting(Topic::Rules, world.now), 6, "seed {seed}");
        world.assert_no_violation();
    }
    let (median, maximum) = (percentile_ms(&mut longest, 50), percentile_ms(&mut longest, 100));
    let unaffected = longest.iter().filter(|&&time_without_lease| time_without_lease == 0).count();
    println!(
        "leader crashed: some member without a lease for {median:.0} ms (median), {maximum:.0} ms (maximum); never in {unaffected} of 60 runs"
    );
    assert!(maximum < 1_000.0);
}

/// The largest message is below 800 bytes, so that it fits in a datagram.
#[test]
fn largest_message_fits_a_datagram() {
    let mut world = World::new(1, 300, 3, Timing::default(), Mutant::Unmodified);
    world.count_bytes = true;
    world.run(2_500 * MS);
    // Many proposers propose on both topics, so that the state contains the maximum number of results.
    for index in 0..14 {
        let topic = if index % 2 == 0 { Topic::Rules } else { Topic::Settings };
        world.propose(200 + index, topic, content(index, [1 + (index / 2 % 2) as u8, 0, 0]));
    }
    world.run(3_000 * MS);
    assert_eq!(world.finished_proposals.len(), 14);
    println!("largest: {} bytes", world.traffic.largest);
    assert!(world.traffic.largest < 800, "{} bytes", world.traffic.largest);
}
