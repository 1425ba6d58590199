use super::*;

const S: Micros = 1_000_000;
const AT: ServerId = ServerId(3);

fn told(load: f64) -> Option<EstablishedLoad> {
    Some(EstablishedLoad { load, groups: sketch(7) })
}

#[test]
fn with_nobody_heard_all_is_guessed() {
    let peers = PeerLoads::default();
    assert_eq!(peers.others(0, AT, 4.0, 10.0), Others { load: 40.0, groups: 0, told: 0.0 });
}

#[test]
fn what_all_said_takes_the_guess_s_place_and_fades_into_it_again() {
    let mut peers = PeerLoads::default();
    for from in 1..5 {
        peers.report_received(0, from, AT, told(30.0));
    }
    let at = |now| peers.others(now, AT, 4.0, 10.0);
    assert_eq!(at(2 * S), Others { load: 120.0, groups: sketch(7), told: 1.0 });
    let loads: Vec<f64> = (0..=12).map(|half| at(half * S / 2).load).collect();
    assert!(loads.is_sorted_by(|a, b| a >= b), "no jump back up: {loads:?}");
    assert!(loads.windows(2).all(|pair| pair[0] - pair[1] < 40.0), "no step: {loads:?}");
    assert_eq!(at(6 * S), Others { load: 40.0, groups: 0, told: 0.0 });
}

#[test]
fn a_peer_that_has_nothing_there_counts_as_heard() {
    let mut peers = PeerLoads::default();
    peers.report_received(0, 1, AT, None);
    peers.report_received(0, 2, ServerId(9), told(50.0));
    assert_eq!(peers.others(S, AT, 2.0, 10.0).load, 0.0);
}

#[test]
fn who_has_left_takes_its_load_along_at_once() {
    let mut peers = PeerLoads::default();
    peers.report_received(0, 1, AT, told(30.0));
    peers.report_received(0, 2, AT, told(50.0));
    peers.alive([2].into());
    assert_eq!(peers.others(S, AT, 4.0, 10.0).load, 50.0);
    peers.alive(BTreeSet::new());
    assert_eq!(peers.others(S, AT, 4.0, 10.0), Others { load: 0.0, groups: 0, told: 1.0 });
}

#[test]
fn a_few_of_many_are_a_sample_of_all() {
    let mut peers = PeerLoads::default();
    peers.alive((1..=100).collect());
    for from in 1..=20 {
        peers.report_received(0, from, AT, told(30.0));
    }
    let others = peers.others(S, AT, 4.0, 10.0);
    assert!((2850.0..3000.0).contains(&others.load) && others.told == 0.2, "{others:?}");
}

#[test]
fn sketches_count_groups_roughly() {
    for groups in [0_u64, 1, 3, 10, 20, 40] {
        let joined = (0..groups).fold(0, |joined, group| joined | sketch(group * 977 + 5));
        let seen = groups_in(joined);
        assert!((seen - groups as f64).abs() <= 2.0 + 0.45 * groups as f64, "{groups}: {seen}");
    }
}
