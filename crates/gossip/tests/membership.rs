//! Tests of membership with killed, partitioned, restarted, slow and leaving members, in small and large fleets, on a faulty
//! network.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
use common::*;
use cottonnotch_gossip::*;

/// Numbers of members, and the number of seeds for each: as many as run in a few seconds.
const SIZES: [(u32, u64); 4] = [(3, 30), (5, 30), (50, 4), (300, 1)];

fn settled(members: u32, seed: u64, loss: f64) -> Fleet {
    let mut fleet = Fleet::new(members, seed, settings());
    fleet.network.loss = loss;
    fleet.network.duplication = 0.05;
    fleet.run_for(10 * SECOND);
    assert_eq!(fleet.beliefs_since(0, State::Dead), [], "seed {seed}");
    fleet
}

#[test]
fn all_members_learn_of_a_death() {
    for (members, seeds) in SIZES {
        let (mut first, mut last) = (Vec::new(), Vec::new());
        for seed in 0..seeds {
            let mut fleet = settled(members, seed, 0.01);
            let (killed, began) = (seed as u32 % members, fleet.now);
            fleet.kill(killed);
            let took = fleet.run_until(90 * SECOND, |fleet| {
                let (see, all) = fleet.count_believing(killed, State::Dead);
                see == all
            });
            last.push(took.unwrap_or_else(|| {
                panic!("seed {seed}: {:?} see it", fleet.count_believing(killed, State::Dead))
            }));
            let dead = fleet.beliefs_since(began, State::Dead);
            assert!(dead.iter().all(|belief| belief.2 == killed), "seed {seed}: {dead:?}");
            first.push(dead[0].0 - began);
        }
        let (first, last) = (median_and_worst(&mut first), median_and_worst(&mut last));
        println!(
            "{members} members: first to know median {:.1} worst {:.1} s, last {:.1} and {:.1} s",
            first.0, first.1, last.0, last.1
        );
    }
}

/// Returns the datagrams and bytes that all running members have sent.
fn sent(fleet: &Fleet) -> (u64, u64) {
    fleet.running().fold((0, 0), |sum, m| {
        let counts = fleet.gossip(m).counts();
        (sum.0 + counts.sent, sum.1 + counts.sent_bytes)
    })
}

/// Partitions fleets and heals the partition. `sizes` holds the number of members, of seeds, and of members on the smaller
/// side. The partition lasts until each side believes the other dead, or `max_partition`; afterwards all members must be known
/// as active again `within` this time.
fn partition_and_heal(sizes: &[(u32, u64, u32)], max_partition: Micros, within: Micros) {
    for &(members, seeds, away) in sizes {
        let (mut times, mut dead) = (Vec::new(), Vec::new());
        for seed in 0..seeds {
            let mut fleet = settled(members, seed, 0.01);
            fleet.network.partitions = (0..members).map(|member| u8::from(member < away)).collect();
            let all_given_up = |fleet: &Fleet| {
                let partitions = &fleet.network.partitions;
                let gone =
                    |m: u32| fleet.gossip(m).members().filter(|member| member.1 == State::Dead).count();
                fleet.running().all(|m| {
                    gone(m)
                        == partitions.iter().filter(|partition| **partition != partitions[m as usize]).count()
                })
            };
            let parted = fleet.run_until(max_partition, all_given_up);
            assert!(
                parted.is_some() || max_partition < 300 * SECOND,
                "seed {seed}, {members} members: some members are not believed dead"
            );
            dead.push(parted.unwrap_or(max_partition));
            fleet.network.partitions = vec![0; members as usize];
            let healed =
                fleet.run_until(within, |fleet| fleet.running().all(|m| fleet.gossip(m).alive() == members));
            times
                .push(healed.unwrap_or_else(|| {
                    panic!("seed {seed}, {members} members: the partition does not heal")
                }));
            let met = fleet.now;
            fleet.run_for(20 * SECOND);
            let before = sent(&fleet).0;
            fleet.run_for(10 * SECOND);
            assert_eq!(fleet.beliefs_since(met, State::Dead), [], "seed {seed}, {members} members");
            // A feedback loop, where suspicions cause traffic that causes more suspicions, would raise this rate.
            let rate = (sent(&fleet).0 - before) as f64 / f64::from(members) / 10.0;
            assert!(rate < 8.0, "seed {seed}, {members} members: {rate} datagrams a second each, long after");
        }
        let (times, dead) = (median_and_worst(&mut times), median_and_worst(&mut dead));
        println!(
            "{members} members, {away} parted: sides given up after median {:.1} worst {:.1} s, met again after {:.1}, {:.1} s",
            dead.0, dead.1, times.0, times.1
        );
    }
}

#[test]
fn partition_heals_without_flapping() {
    partition_and_heal(&[(3, 10, 1), (5, 10, 2)], 300 * SECOND, 10 * SECOND);
    partition_and_heal(&[(50, 4, 20)], 300 * SECOND, 10 * SECOND);
    partition_and_heal(&[(300, 1, 30)], 30 * SECOND, 60 * SECOND);
}

#[test]
#[ignore = "minutes in a debug build"]
fn large_partition_heals() {
    partition_and_heal(&[(300, 1, 30), (300, 1, 120)], 300 * SECOND, 60 * SECOND);
}

/// Runs five members with 30% loss for hours of virtual time. Returns how often a live member was suspected, and how often it
/// was believed dead.
fn false_deaths(seed: u64, hours: i64) -> (usize, usize) {
    let mut fleet = Fleet::new(5, seed, settings());
    fleet.endpoints = 1;
    fleet.network.loss = 0.3;
    fleet.network.duplication = 0.1;
    for _ in 0..hours * 60 {
        fleet.run_for(60 * SECOND);
        fleet.heard.clear();
    }
    (fleet.beliefs_since(0, State::Suspect).len(), fleet.beliefs_since(0, State::Dead).len())
}

#[test]
fn heavy_loss_causes_no_false_death() {
    let (suspected, dead) = false_deaths(7, 3);
    println!("3 hours, 5 members, 30% loss: {suspected} suspicions, {dead} deaths");
    assert_eq!(dead, 0, "seed 7");
    assert!(suspected > 0, "the loss was too low for the test to be meaningful");
}

#[test]
#[ignore = "minutes"]
fn long_heavy_loss_causes_no_false_death() {
    let all: Vec<(usize, usize)> = (100..116).map(|seed| false_deaths(seed, 25)).collect();
    let sum = all.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    println!("400 hours, 5 members, 30% loss: {} suspicions, {} deaths", sum.0, sum.1);
    assert_eq!(sum.1, 0, "seeds 100 to 115: {all:?}");
}

#[test]
fn traffic_per_member_is_bounded() {
    let mut rates = Vec::new();
    for members in [3, 5, 20, 50, 150, 300] {
        let mut fleet = settled(members, 3, 0.01);
        let before = sent(&fleet);
        fleet.run_for(20 * SECOND);
        let after = sent(&fleet);
        let a_second = |count: u64| count as f64 / f64::from(members) / 20.0;
        rates.push((members, a_second(after.0 - before.0), a_second(after.1 - before.1)));
    }
    println!("members  datagrams/s  bytes/s, each");
    rates
        .iter()
        .for_each(|(members, datagrams, bytes)| println!("{members:7}  {datagrams:11.2}  {bytes:7.0}"));
    // In a small fleet each member sends a digest to each other one, and pings only silent members. In a large fleet it sends
    // the same number of digests, a ping, an answer to a ping, and broadcasts.
    let few = rates[1];
    assert!((3.8..=4.3).contains(&few.1), "{few:?}");
    for many in &rates[2..] {
        assert!(many.1 <= 7.0 && many.2 <= 7.0 * 256.0, "{many:?}");
    }
}

#[test]
fn all_members_learn_of_a_farewell() {
    for (members, multicast) in [(3, false), (5, false), (5, true), (24, true), (50, false), (300, false)] {
        let mut fleet = Fleet::new(members, 11, Settings { multicast, ..settings() });
        fleet.network.loss = 0.05;
        fleet.run_for(10 * SECOND);
        let began = fleet.now;
        fleet.input(1, Input::Leave);
        let ready =
            fleet.run_until(5 * SECOND, |fleet| fleet.gossip(1).has_left()).expect("the farewell completes");
        fleet.kill(1);
        let more = fleet
            .run_until(60 * SECOND, |fleet| fleet.count_believing(1, State::Left).0 == members as usize - 1);
        let more = more.unwrap_or_else(|| {
            panic!("seed 11, {members}: {:?} know", fleet.count_believing(1, State::Left))
        });
        let left = fleet.beliefs_since(began, State::Left);
        let direct = left.iter().filter(|belief| belief.0 <= began + SECOND).count();
        println!(
            "{members} members, multicast {multicast}: may go after {} ms; {direct} know within 1 s, all after {:.1} s",
            ready / MS,
            (ready + more) as f64 / SECOND as f64
        );
        assert!(members > 5 || direct == members as usize - 1, "seed 11, {members} members: {left:?}");
        assert_eq!(fleet.beliefs_since(began, State::Dead), [], "seed 11, {members} members");
        let back: Vec<Belief> =
            fleet.beliefs_since(began, State::Alive).into_iter().filter(|b| b.2 == 1).collect();
        assert_eq!(
            back,
            [],
            "seed 11, {members} members: a datagram sent before the farewell arrived after it"
        );
        // The member restarts at once as another process.
        fleet.start(1, EPOCH + 60_000);
        let back = fleet
            .run_until(60 * SECOND, |fleet| fleet.count_believing(1, State::Alive).0 == members as usize - 1);
        println!(
            "{members} members: all know that it is back after {:.1} s",
            back.expect("back") as f64 / SECOND as f64
        );
    }
}

#[test]
fn quick_restart_supersedes_old_process() {
    for (members, back_by_ms) in [(5, 5_000), (5, -5_000), (50, 5_000)] {
        let mut fleet = settled(members, 5, 0.0);
        let began = fleet.now;
        fleet.kill(2);
        fleet.run_for(200 * MS);
        // The clock of the new process is five seconds ahead of the old one's, or behind it.
        let generation = EPOCH.checked_add_signed(back_by_ms).unwrap();
        fleet.start(2, generation);
        let newer = |fleet: &Fleet| {
            let generations = fleet
                .running()
                .filter(|m| *m != 2)
                .map(|m| fleet.gossip(m).members().find(|member| member.0 == 2).unwrap().2.generation);
            generations.filter(|heard| *heard > EPOCH).count() == members as usize - 1
        };
        let took = fleet
            .run_until(20 * SECOND, newer)
            .unwrap_or_else(|| panic!("{members} members, {back_by_ms} ms"));
        println!(
            "{members} members, clock {back_by_ms} ms off: the new process is known after {:.2} s",
            took as f64 / 1e6
        );
        fleet.run_for(20 * SECOND);
        assert_eq!(fleet.beliefs_since(began, State::Dead), [], "{members} members, {back_by_ms} ms");
        if members == 5 {
            assert!(
                took < SECOND,
                "clock {back_by_ms} ms off: the correction must be sent at once, not after a time-out"
            );
            assert!((0..5).filter(|m| *m != 2).all(|m| fleet.gossip(m).freshness(2).unwrap().0 < 3 * SECOND));
        }
    }
}

#[test]
fn stopped_or_slow_member_suspects_nobody() {
    for seed in 0..10 {
        let mut fleet = settled(5, seed, 0.05);
        let began = fleet.now;
        for _ in 0..10 {
            fleet.nodes[0].asleep_until = fleet.now + 2_500 * MS;
            fleet.run_for(6 * SECOND);
        }
        fleet.nodes[0].slow = 400 * MS;
        fleet.run_for(60 * SECOND);
        let accused: Vec<Belief> =
            fleet.beliefs_since(began, State::Suspect).into_iter().filter(|belief| belief.1 == 0).collect();
        assert_eq!(accused, [], "seed {seed}");
        let dead = fleet.beliefs_since(began, State::Dead);
        assert_eq!(dead, [], "seed {seed}: the slow member is still heard");
    }
}

#[test]
fn indirect_pings_keep_unreachable_pair_alive() {
    for seed in 0..5 {
        let mut fleet = settled(5, seed, 0.05);
        fleet.network.cut = vec![(0, 1), (1, 0)];
        let began = fleet.now;
        fleet.run_for(600 * SECOND);
        assert_eq!(fleet.beliefs_since(began, State::Dead), [], "seed {seed}");
    }
}

#[test]
fn digests_arrive_complete_and_fresh() {
    let mut fleet = settled(5, 1, 0.0);
    fleet.endpoints = 200;
    fleet.run_for(40 * SECOND);
    for (member, of) in [(0, 1), (4, 2)] {
        let gossip = fleet.gossip(member);
        assert_eq!(gossip.freshness(of).unwrap().1, 200);
        assert_eq!(
            gossip.digest_of(of).count(),
            200,
            "the rotation also sends the entries that did not change"
        );
    }
    fleet.endpoints = 3;
    fleet.run_for(30 * SECOND);
    assert_eq!(fleet.gossip(0).digest_of(1).count(), 3, "removed entries are gone");
    assert!(fleet.gossip(0).digest_of(1).all(|(_, age)| age < 2 * SECOND));
}

#[test]
fn reload_adds_and_removes_members() {
    let mut fleet = Fleet::new(5, 9, settings());
    fleet.run_for(5 * SECOND);
    (3..5).for_each(|member| fleet.kill(member));
    (0..3).for_each(|member| fleet.input(member, Input::Members(3)));
    let began = fleet.now;
    fleet.run_for(30 * SECOND);
    assert!((0..3).all(|member| fleet.gossip(member).alive() == 3));
    assert_eq!(fleet.beliefs_since(began, State::Suspect), []);
    (0..3).for_each(|member| fleet.input(member, Input::Members(5)));
    (3..5).for_each(|member| fleet.start(member, EPOCH + 40_000));
    fleet.run_for(5 * SECOND);
    assert!((0..5).all(|member| fleet.gossip(member).alive() == 5
        && fleet.gossip(member).freshness((member + 1) % 5).is_some()));
}
