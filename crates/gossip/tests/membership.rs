//! Who is there: killed, parted, restarted, slow and leaving members, among few and many, on a bad network.

mod common;
use common::*;
use cottonnotch_gossip::*;

/// Members and how many days are tried: as many as a few seconds hold.
const SIZES: [(u32, u64); 4] = [(3, 30), (5, 30), (50, 4), (300, 1)];

fn settled(members: u32, seed: u64, loss: f64) -> Tier {
    let mut tier = Tier::new(members, seed, settings());
    tier.network.loss = loss;
    tier.network.doubled = 0.05;
    tier.run_for(10 * S);
    assert_eq!(tier.beliefs_since(0, State::Dead), [], "seed {seed}");
    tier
}

#[test]
fn a_killed_member_is_known_to_all() {
    for (members, days) in SIZES {
        let (mut first, mut last) = (Vec::new(), Vec::new());
        for seed in 0..days {
            let mut tier = settled(members, seed, 0.01);
            let (killed, began) = (seed as u32 % members, tier.now);
            tier.kill(killed);
            let took = tier.run_until(90 * S, |tier| {
                let (see, all) = tier.see(killed, State::Dead);
                see == all
            });
            last.push(
                took.unwrap_or_else(|| panic!("seed {seed}: {:?} see it", tier.see(killed, State::Dead))),
            );
            let dead = tier.beliefs_since(began, State::Dead);
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

/// Datagrams and bytes sent by all so far.
fn sent(tier: &Tier) -> (u64, u64) {
    tier.running().fold((0, 0), |sum, m| {
        let counts = tier.gossip(m).counts();
        (sum.0 + counts.sent, sum.1 + counts.sent_bytes)
    })
}

/// Members, days, and how many are on the smaller side; parted until each side has given up the other, or for so long.
fn part_and_meet(sizes: &[(u32, u64, u32)], for_at_most: Micros, within: Micros) {
    for &(members, days, away) in sizes {
        let (mut times, mut dead) = (Vec::new(), Vec::new());
        for seed in 0..days {
            let mut tier = settled(members, seed, 0.01);
            tier.network.parts = (0..members).map(|member| u8::from(member < away)).collect();
            let all_given_up = |tier: &Tier| {
                let parts = &tier.network.parts;
                let gone = |m: u32| tier.gossip(m).members().filter(|member| member.1 == State::Dead).count();
                tier.running()
                    .all(|m| gone(m) == parts.iter().filter(|part| **part != parts[m as usize]).count())
            };
            let parted = tier.run_until(for_at_most, all_given_up);
            assert!(
                parted.is_some() || for_at_most < 300 * S,
                "seed {seed}, {members} members: who is not given up?"
            );
            dead.push(parted.unwrap_or(for_at_most));
            tier.network.parts = vec![0; members as usize];
            let whole =
                tier.run_until(within, |tier| tier.running().all(|m| tier.gossip(m).alive() == members));
            times.push(whole.unwrap_or_else(|| panic!("seed {seed}, {members} members: they don't meet")));
            let met = tier.now;
            tier.run_for(20 * S);
            let before = sent(&tier).0;
            tier.run_for(10 * S);
            assert_eq!(tier.beliefs_since(met, State::Dead), [], "seed {seed}, {members} members");
            // Doubts that feed on the traffic that they cause would show here.
            let rate = (sent(&tier).0 - before) as f64 / f64::from(members) / 10.0;
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
fn both_sides_of_a_partition_meet_again_and_nothing_flaps() {
    part_and_meet(&[(3, 10, 1), (5, 10, 2)], 300 * S, 10 * S);
    part_and_meet(&[(50, 4, 20)], 300 * S, 10 * S);
    part_and_meet(&[(300, 1, 30)], 30 * S, 60 * S);
}

#[test]
#[ignore = "minutes in a debug build"]
fn both_sides_of_a_great_partition_meet_again() {
    part_and_meet(&[(300, 1, 30), (300, 1, 120)], 300 * S, 60 * S);
}

/// Hours of virtual time with five members and 30% loss; how often one that generations was suspected, and believed dead.
fn false_deaths(seed: u64, hours: i64) -> (usize, usize) {
    let mut tier = Tier::new(5, seed, settings());
    tier.endpoints = 1;
    tier.network.loss = 0.3;
    tier.network.doubled = 0.1;
    for _ in 0..hours * 60 {
        tier.run_for(60 * S);
        tier.heard.clear();
    }
    (tier.beliefs_since(0, State::Suspect).len(), tier.beliefs_since(0, State::Dead).len())
}

#[test]
fn nobody_dies_of_a_third_of_all_datagrams_lost() {
    let (suspected, dead) = false_deaths(7, 3);
    println!("3 hours, 5 members, 30% loss: {suspected} suspicions, {dead} deaths");
    assert_eq!(dead, 0, "seed 7");
    assert!(suspected > 0, "the network was not bad enough to tell");
}

#[test]
#[ignore = "minutes"]
fn nobody_dies_in_a_long_time() {
    let all: Vec<(usize, usize)> = (100..116).map(|seed| false_deaths(seed, 25)).collect();
    let sum = all.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    println!("400 hours, 5 members, 30% loss: {} suspicions, {} deaths", sum.0, sum.1);
    assert_eq!(sum.1, 0, "seeds 100 to 115: {all:?}");
}

#[test]
fn traffic_of_a_member_does_not_grow_with_the_members() {
    let mut rates = Vec::new();
    for members in [3, 5, 20, 50, 150, 300] {
        let mut tier = settled(members, 3, 0.01);
        let before = sent(&tier);
        tier.run_for(20 * S);
        let after = sent(&tier);
        let a_second = |count: u64| count as f64 / f64::from(members) / 20.0;
        rates.push((members, a_second(after.0 - before.0), a_second(after.1 - before.1)));
    }
    println!("members  datagrams/s  bytes/s, each");
    rates
        .iter()
        .for_each(|(members, datagrams, bytes)| println!("{members:7}  {datagrams:11.2}  {bytes:7.0}"));
    // Few: a digest to each other, pings only upon doubt. Many: the same number of digests, a ping, its answer, and news.
    let few = rates[1];
    assert!((3.8..=4.3).contains(&few.1), "{few:?}");
    for many in &rates[2..] {
        assert!(many.1 <= 7.0 && many.2 <= 7.0 * 256.0, "{many:?}");
    }
}

#[test]
fn a_farewell_is_known_to_all_within_a_period() {
    for (members, multicast) in [(3, false), (5, false), (5, true), (24, true), (50, false), (300, false)] {
        let mut tier = Tier::new(members, 11, Settings { multicast, ..settings() });
        tier.network.loss = 0.05;
        tier.run_for(10 * S);
        let began = tier.now;
        tier.input(1, Input::Leave);
        let ready = tier.run_until(5 * S, |tier| tier.gossip(1).has_left()).expect("it may go");
        tier.kill(1);
        let more = tier.run_until(60 * S, |tier| tier.see(1, State::Left).0 == members as usize - 1);
        let more = more.unwrap_or_else(|| panic!("seed 11, {members}: {:?} know", tier.see(1, State::Left)));
        let left = tier.beliefs_since(began, State::Left);
        let direct = left.iter().filter(|belief| belief.0 <= began + S).count();
        println!(
            "{members} members, multicast {multicast}: may go after {} ms; {direct} know within 1 s, all after {:.1} s",
            ready / MS,
            (ready + more) as f64 / S as f64
        );
        assert!(members > 5 || direct == members as usize - 1, "seed 11, {members} members: {left:?}");
        assert_eq!(tier.beliefs_since(began, State::Dead), [], "seed 11, {members} members");
        let back: Vec<Belief> =
            tier.beliefs_since(began, State::Alive).into_iter().filter(|b| b.2 == 1).collect();
        assert_eq!(back, [], "seed 11, {members} members: what it said before its farewell came after");
        // It comes back as another life, and at once.
        tier.start(1, EPOCH + 60_000);
        let back = tier.run_until(60 * S, |tier| tier.see(1, State::Alive).0 == members as usize - 1);
        println!(
            "{members} members: all know that it is back after {:.1} s",
            back.expect("back") as f64 / S as f64
        );
    }
}

#[test]
fn a_member_back_before_anyone_noticed_supersedes_its_old_life() {
    for (members, back_by_ms) in [(5, 5_000), (5, -5_000), (50, 5_000)] {
        let mut tier = settled(members, 5, 0.0);
        let began = tier.now;
        tier.kill(2);
        tier.run_for(200 * MS);
        // Five seconds off either way: its clock, or the one that it had before.
        let life = EPOCH.checked_add_signed(back_by_ms).unwrap();
        tier.start(2, life);
        let newer = |tier: &Tier| {
            let generations = tier
                .running()
                .filter(|m| *m != 2)
                .map(|m| tier.gossip(m).members().find(|member| member.0 == 2).unwrap().2.generation);
            generations.filter(|heard| *heard > EPOCH).count() == members as usize - 1
        };
        let took =
            tier.run_until(20 * S, newer).unwrap_or_else(|| panic!("{members} members, {back_by_ms} ms"));
        println!(
            "{members} members, clock {back_by_ms} ms off: the new life is known after {:.2} s",
            took as f64 / 1e6
        );
        tier.run_for(20 * S);
        assert_eq!(tier.beliefs_since(began, State::Dead), [], "{members} members, {back_by_ms} ms");
        if members == 5 {
            assert!(
                took < S,
                "clock {back_by_ms} ms off: told at once that it is known by a newer number, not when missed"
            );
            assert!((0..5).filter(|m| *m != 2).all(|m| tier.gossip(m).freshness(2).unwrap().0 < 3 * S));
        }
    }
}

#[test]
fn a_member_that_sleeps_or_is_slow_accuses_nobody() {
    for seed in 0..10 {
        let mut tier = settled(5, seed, 0.05);
        let began = tier.now;
        for _ in 0..10 {
            tier.nodes[0].asleep_until = tier.now + 2_500 * MS;
            tier.run_for(6 * S);
        }
        tier.nodes[0].slow = 400 * MS;
        tier.run_for(60 * S);
        let accused: Vec<Belief> =
            tier.beliefs_since(began, State::Suspect).into_iter().filter(|belief| belief.1 == 0).collect();
        assert_eq!(accused, [], "seed {seed}");
        let dead = tier.beliefs_since(began, State::Dead);
        assert_eq!(dead, [], "seed {seed}: and it is still heard");
    }
}

#[test]
fn one_cut_off_from_another_both_ways_stays_alive_through_the_rest() {
    for seed in 0..5 {
        let mut tier = settled(5, seed, 0.05);
        tier.network.cut = vec![(0, 1), (1, 0)];
        let began = tier.now;
        tier.run_for(600 * S);
        assert_eq!(tier.beliefs_since(began, State::Dead), [], "seed {seed}");
    }
}

#[test]
fn digests_arrive_whole_and_fresh() {
    let mut tier = settled(5, 1, 0.0);
    tier.endpoints = 200;
    tier.run_for(40 * S);
    for (member, of) in [(0, 1), (4, 2)] {
        let gossip = tier.gossip(member);
        assert_eq!(gossip.freshness(of).unwrap().1, 200);
        assert_eq!(gossip.digest_of(of).count(), 200, "rotation tells what changes crowd out");
    }
    tier.endpoints = 3;
    tier.run_for(30 * S);
    assert_eq!(tier.gossip(0).digest_of(1).count(), 3, "what is no more is gone");
    assert!(tier.gossip(0).digest_of(1).all(|(_, age)| age < 2 * S));
}

#[test]
fn members_are_added_and_taken_away_by_reload() {
    let mut tier = Tier::new(5, 9, settings());
    tier.run_for(5 * S);
    (3..5).for_each(|member| tier.kill(member));
    (0..3).for_each(|member| tier.input(member, Input::Members(3)));
    let began = tier.now;
    tier.run_for(30 * S);
    assert!((0..3).all(|member| tier.gossip(member).alive() == 3));
    assert_eq!(tier.beliefs_since(began, State::Suspect), []);
    (0..3).for_each(|member| tier.input(member, Input::Members(5)));
    (3..5).for_each(|member| tier.start(member, EPOCH + 40_000));
    tier.run_for(5 * S);
    assert!((0..5).all(|member| tier.gossip(member).alive() == 5
        && tier.gossip(member).freshness((member + 1) % 5).is_some()));
}
