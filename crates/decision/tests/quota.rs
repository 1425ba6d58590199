//! Shares of the nodes in the quotas of the whole fleet.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::quota::{Quota, TokenBucket};
use cottonnotch_decision::{FleetStatus, Micros};

const S: Micros = 1_000_000;

#[test]
fn even_shares_add_up_to_total() {
    for nodes in [1_u32, 2, 30, 300, 3_000] {
        let sum: f64 = (0..nodes).map(|_| Quota::even(nodes).share_of(0, 60.0)).sum();
        assert!((sum - 60.0).abs() < 1e-6, "{nodes} nodes: {sum}");
    }
    assert_eq!(Quota::even(0).share_of(0, 60.0), 60.0, "0 nodes count as 1");
}

/// Shares by demand add up to at most one and a half times the total, and nodes with little demand keep a
/// minimum share.
#[test]
fn demand_shares_stay_near_total() {
    // The status covers 100 of 300 nodes, ten of which have half of the connections.
    let shares = (0..100).map(|node| if node < 10 { 0.05 } else { 0.5 / 90.0 });
    let shares: Vec<f64> = shares
        .map(|demand_share| {
            let mut quota = Quota::even(300);
            quota.update(0, FleetStatus { nodes: 100.0, demand_share, failure_rate: 0.0 });
            quota.share_of(S, 60.0)
        })
        .collect();
    let sum: f64 = shares.iter().sum();
    assert!((60.0..=90.0).contains(&sum), "{sum}");
    assert_eq!(shares[0], 3.0);
    assert!(shares[99] >= 0.3, "{}", shares[99]);
}

#[test]
fn stale_status_lapses_and_invalid_status_is_bounded() {
    let mut quota = Quota::even(10);
    quota.update(0, FleetStatus { nodes: 2.0, demand_share: 0.5, failure_rate: 0.0 });
    assert_eq!((quota.share_of(S, 10.0), quota.share_of(9 * S, 10.0)), (5.0, 1.0));
    for (nodes, demand) in [(0.0, 7.0), (f64::NAN, f64::NAN), (f64::NAN, 0.5), (1e9, -1.0)] {
        quota.update(0, FleetStatus { nodes, demand_share: demand, failure_rate: 0.0 });
        let share = quota.share_of(S, 1.0);
        assert!((0.05..=1.0).contains(&share), "{nodes} {demand}: {share}");
    }
}

#[test]
fn token_bucket_keeps_its_rate() {
    let mut bucket = TokenBucket::new(0);
    let mut taken = 0;
    for now in (0..100 * S).step_by(10_000) {
        if bucket.refill(now, 0.5) {
            bucket.take();
            taken += 1;
            assert!(bucket.refill(now, 0.5) || bucket.next_token_at(0.5) > now);
        }
    }
    assert!((51..=52).contains(&taken), "{taken}");
    assert!(TokenBucket::default().next_token_at(0.0) > 1_000 * S);
}

/// Conservative shares add up to at most the total, even under a partition in which each side knows only
/// itself.
#[test]
fn conservative_shares_never_exceed_total() {
    for (nodes, side) in [(2_u32, 1_u32), (20, 6), (30, 10), (440, 147)] {
        let share = |known_nodes: u32, demand_share: f64| {
            let mut quota = Quota::even(nodes);
            quota.update(0, FleetStatus { nodes: f64::from(known_nodes), demand_share, failure_rate: 0.0 });
            quota.conservative_share_of(S, 60.0, 1e9)
        };
        // On each side one node has all the demand, and the others have none.
        let side_total = |nodes: u32| share(nodes, 1.0) + f64::from(nodes - 1) * share(nodes, 0.0);
        let (whole, cut) = (side_total(nodes), side_total(side) + side_total(nodes - side));
        assert!((whole - 60.0).abs() < 1e-6, "{nodes} nodes: {whole}");
        assert!((cut - 60.0).abs() < 1e-6, "{nodes} nodes, {side} of them cut off: {cut}");
        assert!((share(1, 1.0) * f64::from(nodes)) <= 60.0 + 1e-6, "each node knows only itself");
    }
}

/// Without a status of the fleet, the share is even, or the amount that the node already uses if that is
/// more.
#[test]
fn conservative_share_without_status() {
    let mut quota = Quota::even(10);
    assert_eq!(
        (quota.conservative_share_of(0, 10.0, 0.0), quota.conservative_share_of(0, 10.0, 3.0)),
        (1.0, 3.0)
    );
    quota.update(0, FleetStatus { nodes: f64::NAN, demand_share: f64::NAN, failure_rate: 0.0 });
    assert!((0.0..=10.0).contains(&quota.conservative_share_of(S, 10.0, 0.0)));
}
