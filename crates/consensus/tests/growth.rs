//! Measures how the cost of consensus grows with the number of members, for a member, a voter that follows, and the
//! leader. The runs have no faults and use virtual time. Bytes are those of postcard messages without envelope, UDP and
//! IP headers. `docs/CAPACITY.md` quotes the printed lines.
//!
//! By default, the clusters have up to 110 members; with `ACCORD_GROWTH=full`, they have 30 to 440.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::content;
use common::scenarios::{acting, new};
use common::world::{Disk, MS, Traffic, World};
use cottonnotch_consensus::{Mutant, Topic};

/// The bounds of `docs/CAPACITY.md` for a member that neither leads nor votes, in a cluster of any size.
const MEMBER_MESSAGES_PER_S: f64 = 6.0;
const MEMBER_BYTES_PER_S: f64 = 200.0;
/// The bounds for the leader: messages and bytes per second for its heartbeats to the voters, and the two rates below
/// for each member.
const LEADER_OWN: [f64; 2] = [40.0, 600.0];
const LEADER_MESSAGES_PER_S: f64 = 5.8;
const LEADER_BYTES_PER_S: f64 = 200.0;

fn sizes() -> &'static [u16] {
    match std::env::var("ACCORD_GROWTH").as_deref() {
        Ok("full") => &[30, 60, 110, 220, 440],
        _ => &[30, 60, 110],
    }
}

/// Returns the messages and bytes per second, sent and received, of the leader, of an average follower, and of an
/// average member that doesn't vote.
fn by_role(world: &World, leader: u16, before: &[Traffic], seconds: f64) -> [[f64; 2]; 3] {
    let mut roles = [[0.0; 3]; 3];
    for member in 0..world.members {
        let at = usize::from(member);
        let (sent, received) = (world.sent[at], world.received[at]);
        let role = match member {
            _ if member == leader => 0,
            _ if world.voters.contains(&member) => 1,
            _ => 2,
        };
        let messages = sent.messages + received.messages - before[at].messages;
        let bytes = sent.bytes + received.bytes - before[at].bytes;
        for (sum, add) in roles[role].iter_mut().zip([messages as f64, bytes as f64, 1.0]) {
            *sum += add;
        }
    }
    roles.map(|[messages, bytes, many]| [messages / many / seconds, bytes / many / seconds])
}

fn both_ways(world: &World) -> Vec<Traffic> {
    let both = |(sent, received): (&Traffic, &Traffic)| Traffic {
        messages: sent.messages + received.messages,
        bytes: sent.bytes + received.bytes,
        largest: 0,
    };
    world.sent.iter().zip(&world.received).map(both).collect()
}

/// Returns a content that is compatible with every other one.
fn version(number: u16) -> [u8; 32] {
    content(100 + number, [0, 0, 0])
}

/// The cost of a member doesn't depend on the size of the cluster, and the cost of the leader is proportional to the
/// number of members.
#[test]
fn cost_per_member_is_independent_of_cluster_size() {
    for &members in sizes() {
        let (mut world, leader) = acting(1, members, 3, Mutant::Unmodified);
        world.count_bytes = true;
        let before = both_ways(&world);
        world.run(6_000 * MS);
        assert_eq!(world.leader(), Some(leader), "the leader changed in a run without faults");
        let [led, follower, member] = by_role(&world, leader, &before, 6.0);
        println!(
            r#"{{"what":"accord idle","members":{members},"leader_messages_per_s":{:.1},"leader_bytes_per_s":{:.0},"voter_messages_per_s":{:.2},"voter_bytes_per_s":{:.0},"member_messages_per_s":{:.2},"member_bytes_per_s":{:.0}}}"#,
            led[0], led[1], follower[0], follower[1], member[0], member[1]
        );
        assert!(
            member[0] < MEMBER_MESSAGES_PER_S && member[1] < MEMBER_BYTES_PER_S,
            "{members} members: a member has {} messages and {} bytes per second",
            member[0],
            member[1]
        );
        let each = f64::from(members);
        assert!(
            (led[0] - LEADER_OWN[0]) / each < LEADER_MESSAGES_PER_S
                && (led[1] - LEADER_OWN[1]) / each < LEADER_BYTES_PER_S,
            "{members} members: the leader has {} messages and {} bytes per second",
            led[0],
            led[1]
        );
        world.assert_no_violation();
    }
}

#[test]
fn activates_twenty_changes_within_a_minute() {
    for &members in sizes() {
        let (mut world, leader) = acting(2, members, 3, Mutant::Unmodified);
        world.count_bytes = true;
        let everywhere = usize::from(members);
        let handed = world.served_contents.clone();
        let (before, mut times) = (both_ways(&world), Vec::new());
        let began = world.now;
        for number in 0..20 {
            let proposer = members - 1 - number % 7;
            world.propose(proposer, Topic::Rules, version(number));
            let took = world
                .run_until(3_000 * MS, |world| world.acting_on(Topic::Rules, version(number)) == everywhere);
            let Some(took) = took else { panic!("{members} members: change {number} is not in force") };
            times.push(took);
            world.run(3_000 * MS - took);
        }
        let seconds = (world.now - began) as f64 / 1e6;
        let [led, _, member] = by_role(&world, leader, &before, seconds);
        times.sort_unstable();
        let out: Vec<u64> =
            world.served_contents.iter().zip(&handed).map(|(now, before)| now - before).collect();
        let (all, most) = (out.iter().sum::<u64>(), out.iter().max().copied().unwrap_or(0));
        println!(
            r#"{{"what":"accord, 20 changes in a minute","members":{members},"in_force_median_ms":{:.0},"in_force_most_ms":{:.0},"contents_handed_out_a_change":{:.1},"of_these_by_one":{:.1},"leader_bytes_per_s":{:.0},"member_bytes_per_s":{:.0}}}"#,
            times[10] as f64 / 1e3,
            times[19] as f64 / 1e3,
            all as f64 / 20.0,
            most as f64 / 20.0,
            led[1],
            member[1]
        );
        assert!(times[19] < 1_000 * MS, "{members} members: {} us", times[19]);
        assert!(all <= 20 * u64::from(members), "{members} members: {all} contents served for 20 changes");
        world.assert_no_violation();
    }
}

/// Returns how long an incompatible change takes, in microseconds, until all members that can act on the new version do
/// so. `harm` injects a fault and returns the number of these members.
fn to_force(members: u16, seed: u64, harm: impl Fn(&mut World, u16) -> u16) -> i64 {
    let (mut world, leader) = acting(seed, members, 3, Mutant::Unmodified);
    let left = usize::from(harm(&mut world, leader));
    let proposer = members - 1;
    world.propose(proposer, Topic::Rules, new());
    let took = world.run_until(10_000 * MS, |world| world.acting_on(Topic::Rules, new()) == left);
    world.assert_no_violation();
    took.unwrap_or_else(|| panic!("{members} members, seed {seed}: not in force"))
}

/// Bounds the duration of a change without faults, with a stopped member whose lease must expire, and with a crashed
/// leader that must be replaced.
#[test]
fn activates_incompatible_change_within_the_stated_time() {
    for &members in sizes() {
        let mut worst = [0; 3];
        for seed in 0..5 {
            let none = to_force(members, seed, |world, _| world.members);
            let stopped = to_force(members, seed, |world, _| {
                world.stop(world.members - 2);
                world.members - 1
            });
            let led = to_force(members, seed, |world, leader| {
                world.crash(leader, Disk::Kept);
                world.members - 1
            });
            worst = [worst[0].max(none), worst[1].max(stopped), worst[2].max(led)];
        }
        let [none, stopped, led] = worst.map(|took| took as f64 / 1e3);
        println!(
            r#"{{"what":"accord, a contradicting change","members":{members},"n":5,"most_ms":{none:.0},"a_member_stopped_most_ms":{stopped:.0},"leader_dead_most_ms":{led:.0}}}"#
        );
        assert!(none < 400.0 && stopped < 1_600.0 && led < 3_500.0, "{members} members: {worst:?} us");
    }
}

/// For a minute, half of the members can't reach the other half, which contains all voters.
#[test]
fn partition_without_voters_recovers_after_healing() {
    for &members in sizes() {
        let (mut world, _) = acting(3, members, 3, Mutant::Unmodified);
        world.count_bytes = true;
        let half = members / 2;
        for one in 0..half {
            (half..members).for_each(|other| world.cut_both(one, other));
        }
        let (greater, lesser) = (usize::from(half), usize::from(members - half));
        let without_lease =
            world.run_until(5_000 * MS, |world| world.oracle.acting(Topic::Rules, world.now) == greater);
        let without_lease = without_lease.expect("the leases of the half without voters expire");
        world.propose(0, Topic::Rules, new());
        let force = world.run_until(5_000 * MS, |world| world.acting_on(Topic::Rules, new()) == greater);
        let force = force.expect("the half with the voters activates the change");
        let before = both_ways(&world);
        world.run(60_000 * MS);
        assert_eq!(
            world.oracle.acting(Topic::Rules, world.now),
            greater,
            "{members} members: the half without voters holds a lease"
        );
        let after = both_ways(&world);
        let of = |side: std::ops::Range<u16>| {
            let bytes = |at: usize| (after[at].bytes - before[at].bytes) as f64;
            side.clone().map(|member| bytes(usize::from(member))).sum::<f64>() / side.len() as f64 / 60.0
        };
        // The averages exclude the voters, which also exchange heartbeats.
        let (cut, whole) = (of(half..members), of(3..half));
        world.cut.clear();
        let back =
            world.run_until(30_000 * MS, |world| world.acting_on(Topic::Rules, new()) == greater + lesser);
        let back = back.expect("all members act on the new version after the partition heals");
        println!(
            r#"{{"what":"accord, halves cut for a minute","members":{members},"lesser_in_doubt_after_ms":{:.0},"change_in_force_on_the_other_side_ms":{:.0},"lesser_bytes_per_s":{cut:.0},"greater_bytes_per_s":{whole:.0},"all_alike_after_healing_ms":{:.0}}}"#,
            without_lease as f64 / 1e3,
            force as f64 / 1e3,
            back as f64 / 1e3
        );
        assert!(
            without_lease < 1_300 * MS && back < 8_000 * MS,
            "{members} members: {without_lease} us, {back} us"
        );
        world.assert_no_violation();
    }
}
