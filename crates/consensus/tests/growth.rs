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
use common::scenarios::{cluster_on_old_version, new_version};
use common::world::{Disk, MS, Traffic, World};
use cottonnotch_consensus::{Mutant, Topic};

/// The bounds of `docs/CAPACITY.md` for a member that neither leads nor votes, in a cluster of any size.
const MEMBER_MESSAGES_PER_S: f64 = 6.0;
const MEMBER_BYTES_PER_S: f64 = 200.0;
/// The bounds for the leader: messages and bytes per second for its heartbeats to the voters, and the two rates below
/// for each member.
const LEADER_BASE_PER_S: [f64; 2] = [40.0, 600.0];
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
fn rates_by_role(world: &World, leader: u16, before: &[Traffic], seconds: f64) -> [[f64; 2]; 3] {
    let mut roles = [[0.0; 3]; 3];
    for member in 0..world.members {
        let index = usize::from(member);
        let (sent, received) = (world.sent[index], world.received[index]);
        let role = match member {
            _ if member == leader => 0,
            _ if world.voters.contains(&member) => 1,
            _ => 2,
        };
        let messages = sent.messages + received.messages - before[index].messages;
        let bytes = sent.bytes + received.bytes - before[index].bytes;
        for (sum, value) in roles[role].iter_mut().zip([messages as f64, bytes as f64, 1.0]) {
            *sum += value;
        }
    }
    roles.map(|[messages, bytes, count]| [messages / count / seconds, bytes / count / seconds])
}

fn total_traffic(world: &World) -> Vec<Traffic> {
    let both = |(sent, received): (&Traffic, &Traffic)| Traffic {
        messages: sent.messages + received.messages,
        bytes: sent.bytes + received.bytes,
        largest: 0,
    };
    world.sent.iter().zip(&world.received).map(both).collect()
}

/// Returns a content that is compatible with every other one.
fn compatible_content(number: u16) -> [u8; 32] {
    content(100 + number, [0, 0, 0])
}

/// The cost of a member doesn't depend on the size of the cluster, and the cost of the leader is proportional to the
/// number of members.
#[test]
fn cost_per_member_is_independent_of_cluster_size() {
    for &members in sizes() {
        let (mut world, leader) = cluster_on_old_version(1, members, 3, Mutant::Unmodified);
        world.count_bytes = true;
        let before = total_traffic(&world);
        world.run(6_000 * MS);
        assert_eq!(world.leader(), Some(leader), "the leader changed in a run without faults");
        let [leader_rates, follower, member] = rates_by_role(&world, leader, &before, 6.0);
        println!(
            r#"{{"what":"accord idle","members":{members},"leader_messages_per_s":{:.1},"leader_bytes_per_s":{:.0},"voter_messages_per_s":{:.2},"voter_bytes_per_s":{:.0},"member_messages_per_s":{:.2},"member_bytes_per_s":{:.0}}}"#,
            leader_rates[0], leader_rates[1], follower[0], follower[1], member[0], member[1]
        );
        assert!(
            member[0] < MEMBER_MESSAGES_PER_S && member[1] < MEMBER_BYTES_PER_S,
            "{members} members: a member has {} messages and {} bytes per second",
            member[0],
            member[1]
        );
        let member_count = f64::from(members);
        assert!(
            (leader_rates[0] - LEADER_BASE_PER_S[0]) / member_count < LEADER_MESSAGES_PER_S
                && (leader_rates[1] - LEADER_BASE_PER_S[1]) / member_count < LEADER_BYTES_PER_S,
            "{members} members: the leader has {} messages and {} bytes per second",
            leader_rates[0],
            leader_rates[1]
        );
        world.assert_no_violation();
    }
}

#[test]
fn activates_twenty_changes_within_a_minute() {
    for &members in sizes() {
        let (mut world, leader) = cluster_on_old_version(2, members, 3, Mutant::Unmodified);
        world.count_bytes = true;
        let member_count = usize::from(members);
        let served_before = world.served_contents.clone();
        let (before, mut times) = (total_traffic(&world), Vec::new());
        let start = world.now;
        for number in 0..20 {
            let proposer = members - 1 - number % 7;
            world.propose(proposer, Topic::Rules, compatible_content(number));
            let took = world.run_until(3_000 * MS, |world| {
                world.members_acting_on(Topic::Rules, compatible_content(number)) == member_count
            });
            let Some(took) = took else { panic!("{members} members: change {number} is not in force") };
            times.push(took);
            world.run(3_000 * MS - took);
        }
        let seconds = (world.now - start) as f64 / 1e6;
        let [leader_rates, _, member] = rates_by_role(&world, leader, &before, seconds);
        times.sort_unstable();
        let served: Vec<u64> =
            world.served_contents.iter().zip(&served_before).map(|(now, before)| now - before).collect();
        let (total_served, max_served) =
            (served.iter().sum::<u64>(), served.iter().max().copied().unwrap_or(0));
        println!(
            r#"{{"what":"accord, 20 changes in a minute","members":{members},"in_force_median_ms":{:.0},"in_force_most_ms":{:.0},"contents_handed_out_a_change":{:.1},"of_these_by_one":{:.1},"leader_bytes_per_s":{:.0},"member_bytes_per_s":{:.0}}}"#,
            times[10] as f64 / 1e3,
            times[19] as f64 / 1e3,
            total_served as f64 / 20.0,
            max_served as f64 / 20.0,
            leader_rates[1],
            member[1]
        );
        assert!(times[19] < 1_000 * MS, "{members} members: {} us", times[19]);
        assert!(
            total_served <= 20 * u64::from(members),
            "{members} members: {total_served} contents served for 20 changes"
        );
        world.assert_no_violation();
    }
}

/// Returns how long an incompatible change takes, in microseconds, until all members that can act on the new version do
/// so. `inject_fault` injects a fault and returns the number of these members.
fn time_until_in_force(members: u16, seed: u64, inject_fault: impl Fn(&mut World, u16) -> u16) -> i64 {
    let (mut world, leader) = cluster_on_old_version(seed, members, 3, Mutant::Unmodified);
    let remaining = usize::from(inject_fault(&mut world, leader));
    let proposer = members - 1;
    world.propose(proposer, Topic::Rules, new_version());
    let took = world
        .run_until(10_000 * MS, |world| world.members_acting_on(Topic::Rules, new_version()) == remaining);
    world.assert_no_violation();
    took.unwrap_or_else(|| panic!("{members} members, seed {seed}: not in force"))
}

/// Bounds the duration of a change without faults, with a stopped member whose lease must expire, and with a crashed
/// leader that must be replaced.
#[test]
fn activates_incompatible_change_within_the_stated_time() {
    for &members in sizes() {
        let mut longest = [0; 3];
        for seed in 0..5 {
            let no_fault = time_until_in_force(members, seed, |world, _| world.members);
            let stopped = time_until_in_force(members, seed, |world, _| {
                world.stop(world.members - 2);
                world.members - 1
            });
            let leader_crashed = time_until_in_force(members, seed, |world, leader| {
                world.crash(leader, Disk::Kept);
                world.members - 1
            });
            longest = [longest[0].max(no_fault), longest[1].max(stopped), longest[2].max(leader_crashed)];
        }
        let [no_fault, stopped, leader_crashed] = longest.map(|took| took as f64 / 1e3);
        println!(
            r#"{{"what":"accord, a contradicting change","members":{members},"n":5,"most_ms":{no_fault:.0},"a_member_stopped_most_ms":{stopped:.0},"leader_dead_most_ms":{leader_crashed:.0}}}"#
        );
        assert!(
            no_fault < 400.0 && stopped < 1_600.0 && leader_crashed < 3_500.0,
            "{members} members: {longest:?} us"
        );
    }
}

/// For a minute, half of the members can't reach the other half, which contains all voters.
#[test]
fn partition_without_voters_recovers_after_healing() {
    for &members in sizes() {
        let (mut world, _) = cluster_on_old_version(3, members, 3, Mutant::Unmodified);
        world.count_bytes = true;
        let half = members / 2;
        for member in 0..half {
            (half..members).for_each(|other| world.cut_both_directions(member, other));
        }
        let (voter_half, other_half) = (usize::from(half), usize::from(members - half));
        let without_lease = world.run_until(5_000 * MS, |world| {
            world.oracle.processes_acting(Topic::Rules, world.now) == voter_half
        });
        let without_lease = without_lease.expect("the leases of the half without voters expire");
        world.propose(0, Topic::Rules, new_version());
        let activated_after = world.run_until(5_000 * MS, |world| {
            world.members_acting_on(Topic::Rules, new_version()) == voter_half
        });
        let activated_after = activated_after.expect("the half with the voters activates the change");
        let before = total_traffic(&world);
        world.run(60_000 * MS);
        assert_eq!(
            world.oracle.processes_acting(Topic::Rules, world.now),
            voter_half,
            "{members} members: the half without voters holds a lease"
        );
        let after = total_traffic(&world);
        let of = |side: std::ops::Range<u16>| {
            let bytes = |index: usize| (after[index].bytes - before[index].bytes) as f64;
            side.clone().map(|member| bytes(usize::from(member))).sum::<f64>() / side.len() as f64 / 60.0
        };
        // The averages exclude the voters, which also exchange heartbeats.
        let (other_half_bytes, voter_half_bytes) = (of(half..members), of(3..half));
        world.cut_links.clear();
        let recovered_after = world.run_until(30_000 * MS, |world| {
            world.members_acting_on(Topic::Rules, new_version()) == voter_half + other_half
        });
        let recovered_after =
            recovered_after.expect("all members act on the new version after the partition heals");
        println!(
            r#"{{"what":"accord, halves cut for a minute","members":{members},"lesser_in_doubt_after_ms":{:.0},"change_in_force_on_the_other_side_ms":{:.0},"lesser_bytes_per_s":{other_half_bytes:.0},"greater_bytes_per_s":{voter_half_bytes:.0},"all_alike_after_healing_ms":{:.0}}}"#,
            without_lease as f64 / 1e3,
            activated_after as f64 / 1e3,
            recovered_after as f64 / 1e3
        );
        assert!(
            without_lease < 1_300 * MS && recovered_after < 8_000 * MS,
            "{members} members: {without_lease} us, {recovered_after} us"
        );
        world.assert_no_violation();
    }
}
