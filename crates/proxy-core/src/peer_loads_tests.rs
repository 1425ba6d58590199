use super::*;

const S: Micros = 1_000_000;
const AT: ServerId = ServerId(3);

fn reported(load: f64) -> Option<EstablishedLoad> {
    Some(EstablishedLoad { load, groups: group_bit(7) })
}

#[test]
fn guesses_without_reports() {
    let peers = PeerLoads::default();
    assert_eq!(peers.others(0, AT, 4.0, 10.0), OtherProxies { load: 40.0, groups: 0, reported: 0.0 });
}

#[test]
fn reports_replace_the_guess_and_fade() {
    let mut peers = PeerLoads::default();
    for from in 1..5 {
        peers.report_received(0, from, AT, reported(30.0));
    }
    let at = |now| peers.others(now, AT, 4.0, 10.0);
    assert_eq!(at(2 * S), OtherProxies { load: 120.0, groups: group_bit(7), reported: 1.0 });
    let loads: Vec<f64> = (0..=12).map(|half| at(half * S / 2).load).collect();
    assert!(loads.is_sorted_by(|a, b| a >= b), "the load must not increase: {loads:?}");
    assert!(
        loads.windows(2).all(|pair| pair[0] - pair[1] < 40.0),
        "the load must not drop in one step: {loads:?}"
    );
    assert_eq!(at(6 * S), OtherProxies { load: 40.0, groups: 0, reported: 0.0 });
}

#[test]
fn an_empty_report_counts_as_heard() {
    let mut peers = PeerLoads::default();
    peers.report_received(0, 1, AT, None);
    peers.report_received(0, 2, ServerId(9), reported(50.0));
    assert_eq!(peers.others(S, AT, 2.0, 10.0).load, 0.0);
}

#[test]
fn a_peer_that_left_counts_for_nothing() {
    let mut peers = PeerLoads::default();
    peers.report_received(0, 1, AT, reported(30.0));
    peers.report_received(0, 2, AT, reported(50.0));
    peers.set_alive([2].into());
    assert_eq!(peers.others(S, AT, 4.0, 10.0).load, 50.0);
    peers.set_alive(BTreeSet::new());
    assert_eq!(peers.others(S, AT, 4.0, 10.0), OtherProxies { load: 0.0, groups: 0, reported: 1.0 });
}

#[test]
fn few_reports_are_a_sample_of_all() {
    let mut peers = PeerLoads::default();
    peers.set_alive((1..=100).collect());
    for from in 1..=20 {
        peers.report_received(0, from, AT, reported(30.0));
    }
    let others = peers.others(S, AT, 4.0, 10.0);
    assert!((2850.0..3000.0).contains(&others.load) && others.reported == 0.2, "{others:?}");
}

#[test]
fn group_bits_estimate_the_count() {
    for groups in [0_u64, 1, 3, 10, 20, 40] {
        let joined = (0..groups).fold(0, |joined, group| joined | group_bit(group * 977 + 5));
        let seen = group_count(joined);
        assert!((seen - groups as f64).abs() <= 2.0 + 0.45 * groups as f64, "{groups}: {seen}");
    }
}
