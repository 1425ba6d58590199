//! Load-based affinity subsets in simulated fleets with faults: lost and delayed datagrams, stopped and restarted members,
//! partitions, members whose datagrams are lost, older program versions, unknown senders and faulty members.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod simulation;
use cottonnotch_aggregation::wire::{self, Datagram, Fragment, GroupReport, SubsetSizes};
use cottonnotch_aggregation::*;
use simulation::*;

const LARGE: u64 = 0xfeed_f00d_dead_beef;
const SMALL: u64 = 77;

/// A fleet whose nodes have capacity for about 500 connections, of which about 100 may belong to one group.
fn scale(members: u32) -> Scale {
    Scale {
        members,
        nodes: 200,
        node_capacity: 2e6,
        connection_load: 4_000.0,
        requests_per_s: f64::from(members),
    }
}

/// A fleet with a large group of `connections_per_member` connections per member, and a small group.
fn fleet(seed: u64, members: u32, connections_per_member: u32, settings: Settings) -> Simulation {
    let mut sim = Simulation::new(seed, scale(members), settings);
    sim.add_connections(LARGE, members * connections_per_member);
    sim.add_connections(SMALL, 60);
    sim
}

fn assert_suitable_sizes(sim: &Simulation, description: &str) {
    assert_sizes_within(sim, description, 1.3);
}

/// Asserts that the subset of the large group is large enough at every member, and that its median size is at most `max_ratio`
/// the required size.
fn assert_sizes_within(sim: &Simulation, description: &str, max_ratio: f64) {
    let (min_size, median_size, max_size) = sim.subset_size_range(LARGE);
    let required = sim.required_size(LARGE);
    eprintln!(
        "seed {}, {} members, {description}: subset size {min_size} to {max_size}, median {median_size}, required {required}",
        sim.seed, sim.scale.members
    );
    assert!(
        f64::from(min_size) >= 0.85 * f64::from(required),
        "seed {}, {description}: minimum {min_size} of {required}",
        sim.seed
    );
    assert!(
        f64::from(median_size) <= max_ratio * f64::from(required),
        "seed {}, {description}: median {median_size} of {required}",
        sim.seed
    );
    assert!(
        sim.max_utilization(LARGE) <= 0.29,
        "seed {}, {description}: utilization {}",
        sim.seed,
        sim.max_utilization(LARGE)
    );
    assert_eq!(
        sim.subset_size_range(SMALL),
        (5, 5, 5),
        "seed {}, {description}: a small group has five endpoints",
        sim.seed
    );
}

/// All members use a suitable size for a large group, in fleets of every size.
#[test]
fn sizes_large_group_alike_everywhere() {
    for (seed, members, connections_per_member) in [(1, 30, 200), (2, 110, 60), (3, 300, 30), (4, 440, 30)] {
        let mut sim = fleet(seed, members, connections_per_member, settings(Some(64), 600, 180));
        assert!(sim.max_utilization(LARGE) > 1.2, "before the first answer, five nodes are overloaded");
        sim.run_for(25 * SECOND);
        assert_suitable_sizes(&sim, "25 s after the start");
    }
}

#[test]
fn subset_grows_fast_and_shrinks_slowly() {
    let mut sim = fleet(5, 60, 20, settings(Some(64), 60, 30));
    sim.run_for(20 * SECOND);
    let before = sim.required_size(LARGE);
    sim.add_connections(LARGE, 6_000);
    sim.run_for(15 * SECOND);
    assert_suitable_sizes(&sim, "15 s after its load grew sixfold");
    let size_before_shrinking = sim.subset_size_range(LARGE).0;
    for groups in &mut sim.groups {
        groups.insert(LARGE, 15);
    }
    sim.run_for(40 * SECOND);
    assert!(
        sim.subset_size_range(LARGE).0 >= size_before_shrinking,
        "the subset keeps its size for the hold time"
    );
    sim.run_for(30 * SECOND);
    let (min_size, _, max_size) = sim.subset_size_range(LARGE);
    assert!(
        min_size >= size_before_shrinking / 2,
        "size {min_size} to {max_size} after {size_before_shrinking}: at most halved"
    );
    sim.run_for(70 * SECOND);
    let (min_size, _, max_size) = sim.subset_size_range(LARGE);
    assert!(
        min_size >= size_before_shrinking / 4 && max_size < size_before_shrinking,
        "size {min_size} to {max_size} after {size_before_shrinking}: all members have shrunk their subset"
    );
    sim.run_for(300 * SECOND);
    assert!(sim.subset_size_range(LARGE).2 <= before + 2, "{:?}", sim.subset_size_range(LARGE));
}

#[test]
fn survives_loss_and_rolling_restart() {
    let mut sim = fleet(6, 300, 30, settings(Some(64), 600, 180));
    sim.loss = 0.33;
    sim.run_for(40 * SECOND);
    for round in 0..10 {
        for member in (0..300).filter(|member| member % 10 == round) {
            sim.kill(member);
        }
        sim.run_for(2 * SECOND);
        (0..300).filter(|member| member % 10 == round).for_each(|member| sim.start(member));
        sim.run_for(3 * SECOND);
    }
    sim.run_for(20 * SECOND);
    // While clients reconnect, some are counted at two members, which makes subsets too large, not too small.
    assert_sizes_within(&sim, "20 s after a rolling restart, with 33% loss", 1.6);
}

/// Two regions are partitioned. All connections stay open, but each side receives the reports of only half of the members.
#[test]
fn partition_overloads_no_endpoint() {
    let mut sim = fleet(7, 220, 30, settings(Some(64), 60, 30));
    sim.run_for(25 * SECOND);
    let before = sim.subset_size_range(LARGE).1;
    (0..110).for_each(|member| sim.partition[member] = 1);
    for minute in 0..10 {
        sim.run_for(60 * SECOND);
        let (min_size, median_size, max_size) = sim.subset_size_range(LARGE);
        assert!(
            f64::from(min_size) >= 0.8 * f64::from(before),
            "minute {minute}: minimum {min_size}, {before} before"
        );
        assert!(
            median_size <= before * 3 / 2 && max_size <= before * 2,
            "minute {minute}: median {median_size}, maximum {max_size}"
        );
        assert!(
            sim.max_utilization(LARGE) <= 0.3,
            "minute {minute}: utilization {}",
            sim.max_utilization(LARGE)
        );
    }
    sim.partition.fill(0);
    sim.run_for(25 * SECOND);
    assert_suitable_sizes(&sim, "25 s after the partition healed");
}

/// Half of the members run an older program version or have the setting switched off. They drop the unknown datagrams, and send
/// no subset sizes when they are aggregator.
#[test]
fn half_of_fleet_without_groups() {
    let mut sim = fleet(8, 120, 60, settings(Some(64), 600, 180));
    for member in (0..120).filter(|member| member % 2 == 1) {
        sim.settings[member as usize] = settings(None, 600, 180);
        sim.start(member);
    }
    sim.run_for(200 * SECOND);
    let required = sim.required_size(LARGE);
    for member in 0..120 {
        let size = sim.subset_size(member, LARGE);
        if member % 2 == 0 {
            assert!(
                (required * 85 / 100..=required * 14 / 10).contains(&size),
                "member {member}: {size} of {required}"
            );
        } else {
            assert_eq!(size, 5, "an older program version uses five endpoints");
        }
    }
    let (old, new): (Vec<_>, Vec<_>) = (0..120).partition(|member| member % 2 == 1);
    let dropped =
        |of: &[usize]| -> u64 { of.iter().map(|m| sim.members[*m].as_ref().unwrap().counts().dropped).sum() };
    assert!(dropped(&old) > 100, "older versions drop and count unknown datagrams");
    // An answer that arrives after the next report was sent is dropped in any fleet.
    assert!(
        dropped(&new) * 1_000 < sim.sent,
        "datagrams of older versions are not dropped: {}",
        dropped(&new)
    );
    let snapshots = sim.members.iter().flatten().filter(|instance| {
        instance.snapshot().is_some_and(|snapshot| sim.now - snapshot.received_at < 10 * SECOND)
    });
    assert!(snapshots.count() > 110, "snapshots are still updated");
}

/// A member receives datagrams, but all datagrams that it sends are lost. Without answers, it keeps its subset sizes for the
/// retention time and then computes them from its own groups.
#[test]
fn unheard_member_falls_back_to_own_groups() {
    let mut sim = fleet(9, 60, 100, settings(Some(64), 60, 30));
    sim.run_for(25 * SECOND);
    let before = sim.subset_size(4, LARGE);
    sim.outgoing_lost[4] = true;
    for _ in 0..12 {
        sim.run_for(20 * SECOND);
        let (size, required) = (sim.subset_size(4, LARGE), sim.required_size(LARGE));
        assert!(
            size >= before * 7 / 10 && size <= required * 2,
            "size {size}, {before} before, required {required}"
        );
    }
    // When its clients leave, the member has no connections of the group any more.
    sim.groups[4].remove(&LARGE);
    let mut last = sim.subset_size(4, LARGE);
    for _ in 0..10 {
        sim.run_for(60 * SECOND);
        let size = sim.subset_size(4, LARGE);
        assert!(size >= last / 2, "at most halved per hold time: {size} after {last}");
        last = size;
    }
    assert_eq!(last, 5);
}

/// A member that was stopped for 30 s, for example by SIGSTOP, ignores the outdated answers waiting in its socket.
#[test]
fn stopped_member_ignores_stale_sizes() {
    let mut late_answers = 0;
    for seed in 10..16 {
        let mut sim = fleet(seed, 40, 100, settings(Some(64), 60, 30));
        sim.loss = 0.0;
        sim.run_for(25 * SECOND);
        // The member stops just after it has sent a report, so that the answer arrives while it is stopped.
        let member = 7;
        let due_at = sim.members[7].as_ref().unwrap().next_timeout();
        sim.run_for((due_at - sim.now).max(0));
        sim.stop(member);
        let before = sim.subset_size(member, LARGE);
        sim.add_connections(LARGE, 40_000);
        sim.run_for(30 * SECOND);
        let counts = sim.members[7].as_ref().unwrap().counts();
        sim.resume(member);
        let after = sim.members[7].as_ref().unwrap().counts();
        late_answers += after.late - counts.late;
        let accepted = after.subset_size_datagrams_received - counts.subset_size_datagrams_received;
        assert_eq!(accepted, 0, "seed {seed}: the member accepted sizes from 30 s ago");
        assert!(sim.subset_size(member, LARGE) >= before, "seed {seed}");
        sim.run_for(10 * SECOND);
        assert!(
            sim.subset_size(member, LARGE) >= sim.required_size(LARGE) * 8 / 10,
            "seed {seed}: the member has caught up with the others"
        );
    }
    assert!(late_answers > 0, "no stopped member had an outdated answer in its socket");
}

/// Faulty members report groups with a billion connections and 100,000 group names; a member receives datagrams from unknown
/// senders, malformed datagrams and datagrams of a wrong length.
#[test]
fn bad_input_is_bounded_and_counted() {
    let mut sim = fleet(20, 40, 100, settings(Some(64), 600, 180));
    sim.run_for(25 * SECOND);
    let (before, bytes) = (sim.subset_size_range(LARGE), sim.bytes.iter().sum::<u64>());
    // Two members send false reports to every aggregator; each report contains as many new group names as possible.
    for round in 0..200_u64 {
        for faulty in [38, 39] {
            sim.groups[faulty].insert(round << 32 | faulty as u64, 1_000_000_000);
            let new_groups = (0..500).map(|name| (1 << 63 | round << 20 | name, 1));
            let more: Vec<_> = new_groups.collect();
            sim.groups[faulty].extend(more);
        }
        sim.run_for(SECOND / 5);
    }
    let (min_size, _, max_size) = sim.subset_size_range(LARGE);
    assert!(
        min_size >= before.0 && max_size <= before.2 + before.2 / 5,
        "size {min_size} to {max_size}, {before:?} before"
    );
    for (index, instance) in sim.members.iter().flatten().enumerate().take(38) {
        assert!(
            instance.affinity_subsets().count() <= 3,
            "member {index}: {:?}",
            instance.affinity_subsets().collect::<Vec<_>>()
        );
    }
    assert!(sim.sum_counts(|counts| counts.groups_truncated) > 1_000);
    let bytes_used = sim.bytes.iter().sum::<u64>() - bytes;
    let allowed = 2.0 * 1.4 * 256.0 * 3.0 * sim.scale.requests_per_s * 40.0;
    assert!((bytes_used as f64) < allowed, "{bytes_used} bytes sent and received, {allowed} allowed");

    // Datagrams from unknown senders, unrequested answers and malformed datagrams.
    let instance = sim.members[3].as_mut().unwrap();
    let dropped = instance.counts().dropped;
    let groups = GroupReport {
        sequence: 1,
        fragment: Fragment::ONLY,
        advance_notice: false,
        next_report_in: SECOND,
        groups: vec![(1, 1e12)],
    };
    let sizes = SubsetSizes {
        sequence: 1,
        fragment: Fragment::ONLY,
        incomplete: false,
        sizes: vec![(LARGE, 1), (SMALL, 200)],
    };
    let (groups, sizes) =
        (wire::write_group_report(&groups).remove(0), wire::write_subset_sizes(&sizes).remove(0));
    let mut long = sizes.clone();
    long.resize(257, 0);
    let inputs: Vec<(Option<u32>, &[u8])> = vec![
        (None, &groups),
        (None, &sizes),
        (Some(40), &groups),
        (Some(4_000_000), &sizes),
        (Some(5), &sizes),
        (Some(5), &sizes[..sizes.len() - 1]),
        (Some(5), &groups[..groups.len() - 1]),
        (Some(5), &long),
        (Some(5), &[2, 5, 0, 0, 0, 0]),
        (Some(5), &[]),
    ];
    let input_count = inputs.len() as u64;
    for (from, bytes) in inputs {
        instance.handle(sim.now, Input::Datagram { from, bytes });
    }
    assert_eq!(instance.counts().dropped, dropped + input_count);
    assert_eq!(sim.subset_size(3, SMALL), 5);
}

/// With arbitrary answers from a faulty aggregator, no group gets fewer than five endpoints or more than exist.
#[test]
fn faulty_aggregator_is_bounded_by_pool() {
    let mut sim = fleet(21, 30, 100, settings(Some(64), 600, 180));
    sim.loss = 0.0;
    sim.run_for(25 * SECOND);
    let size_before = sim.subset_size(9, LARGE);
    let instance = sim.members[9].as_mut().unwrap();
    sim.now = instance.next_timeout();
    instance.handle(sim.now, Input::Tick);
    let mut query = None;
    while let Some(output) = instance.poll() {
        if let Output::Send { to, bytes } = output
            && let Some(Datagram::GroupReport(groups)) = wire::read(&bytes)
        {
            query = Some((to, groups.sequence));
        }
    }
    let (aggregator, sequence) = query.expect("the member sends a group report");
    let sizes = vec![(LARGE, 0), (SMALL, u32::MAX), (78, 3)];
    let answer = wire::write_subset_sizes(&SubsetSizes {
        sequence,
        fragment: Fragment::ONLY,
        incomplete: false,
        sizes,
    })
    .remove(0);
    instance.handle(sim.now, Input::Datagram { from: Some(aggregator), bytes: &answer });
    assert_eq!(sim.subset_size(9, SMALL), 200, "limited to the number of nodes");
    assert_eq!(sim.subset_size(9, 78), 5);
    assert_eq!(sim.subset_size(9, LARGE), size_before, "no subset shrinks at once");
}
