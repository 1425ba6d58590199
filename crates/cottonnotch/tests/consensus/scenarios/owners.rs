//! One owner's invalid file, and the other owners.

use super::rejected_while_uncertain;
use crate::cluster::{TestCluster, up};
use crate::judge::{self, Client};
use crate::rules::{PASSES, avoids, in_hall, keeps_to};
use std::time::Duration;

/// One owner's file is replaced by this one at one proxy, and another owner changes its own there and elsewhere.
fn rival_goes_on(seed: u64, broken: &str, named: &str) {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], seed);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    cluster.change(0, "cotton", broken);
    cluster.proxies[0].logged(named);
    let from = cluster.now();
    // The other owner's change comes in force, also where the invalid file is.
    cluster.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.change(0, "dagger", &keeps_to("dagger", 3, "c"));
    cluster.settles(&cluster.all(), "dagger", "c");
    let (number, _) = cluster.converges(&cluster.all(), before);
    assert!(number >= before + 2);
    // The last valid file is in force for the owner itself.
    let cotton = cluster.fleet.since("cotton", from);
    assert!(cotton.iter().all(|placed| placed.hall != "c") && !cotton.is_empty());
    let clients = cluster.finish();
    let since: Vec<&Client> = clients.iter().filter(|c| c.sent >= from && c.tenant == "cotton").collect();
    assert_eq!(since.iter().filter(|client| rejected_while_uncertain(client)).count(), 0);
    assert!(since.iter().filter(|client| up(client)).count() * 4 >= since.len() * 3);
    let history = cluster.fleet.since("dagger", Duration::ZERO);
    for (old, new) in [("a", "b"), ("b", "c"), ("a", "c")] {
        let found = judge::contradiction(&history, in_hall(old), in_hall(new));
        assert!(found.as_ref().is_none_or(|found| found.time <= PASSES), "{found:?}");
    }
}

#[test]
fn invalid_file_holds_back_one_owner() {
    rival_goes_on(14, "namespace = \"consortium/cotton\"\nrevision = 2\n[[rule]\n", "cotton.toml");
}

#[test]
fn truncated_file_holds_back_one_owner() {
    let complete = avoids("cotton", 2, "a");
    rival_goes_on(15, &complete[..complete.len() - 12], "cotton.toml");
}

#[test]
fn oversized_file_holds_back_one_owner() {
    let huge = format!("{}# {}\n", avoids("cotton", 2, "a"), "x".repeat(3 << 20));
    rival_goes_on(16, &huge, "cotton.toml");
}

#[test]
fn conflicting_file_holds_back_one_owner() {
    // It selects the other owner's tenant.
    let conflicting = avoids("cotton", 2, "a").replace("[\"cotton\"]", "[\"dagger\"]");
    rival_goes_on(17, &conflicting, "rules of consortium/cotton are in a conflict");
}

#[test]
fn invalid_file_does_not_prevent_a_start() {
    let mut cluster = TestCluster::agreed(3, &[0, 1, 2], 18);
    cluster.kill(2);
    cluster.proxies[2].write_rules("cotton.toml", "rubbish = = 1\n");
    cluster.proxies[2].start();
    let from = cluster.now();
    cluster.settles(&cluster.all(), "dagger", "a");
    cluster.serves(2, "cotton");
    cluster.proxies[2].logged("cotton.toml");
    assert!(cluster.fleet.since("cotton", from).iter().all(|placed| placed.hall != "c"));
    cluster.finish();
    cluster.judged("a", "a");
}
