//! One house's faulty file, and its rivals.

use super::refused_in_doubt;
use crate::judge::{self, Client};
use crate::rules::{PASSES, avoids, in_hall, keeps_to};
use crate::tier::{Tier, up};
use std::time::Duration;

/// One house's file is changed to this at one proxy, and the other house changes its own there and at another.
fn rival_goes_on(seed: u64, broken: &str, named: &str) {
    let tier = Tier::agreed(3, &[0, 1, 2], seed);
    let (before, _) = tier.converges(&tier.all(), 0);
    tier.change(0, "cotton", broken);
    tier.proxies[0].logged(named);
    let from = tier.now();
    // The rival's own change comes in force, also where the broken file lies.
    tier.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&tier.all(), "dagger", "b");
    tier.change(0, "dagger", &keeps_to("dagger", 3, "c"));
    tier.settles(&tier.all(), "dagger", "c");
    let (number, _) = tier.converges(&tier.all(), before);
    assert!(number >= before + 2);
    // The last good one is in force for the house itself.
    let cotton = tier.fleet.since("cotton", from);
    assert!(cotton.iter().all(|placed| placed.hall != "c") && !cotton.is_empty());
    let clients = tier.finish();
    let since: Vec<&Client> = clients.iter().filter(|c| c.sent >= from && c.tenant == "cotton").collect();
    assert_eq!(since.iter().filter(|client| refused_in_doubt(client)).count(), 0);
    assert!(since.iter().filter(|client| up(client)).count() * 4 >= since.len() * 3);
    let history = tier.fleet.since("dagger", Duration::ZERO);
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
    let whole = avoids("cotton", 2, "a");
    rival_goes_on(15, &whole[..whole.len() - 12], "cotton.toml");
}

#[test]
fn oversized_file_holds_back_one_owner() {
    let huge = format!("{}# {}\n", avoids("cotton", 2, "a"), "x".repeat(3 << 20));
    rival_goes_on(16, &huge, "cotton.toml");
}

#[test]
fn conflicting_file_holds_back_one_owner() {
    // It speaks of the rival's tenant, which isn't its own.
    let conflicting = avoids("cotton", 2, "a").replace("[\"cotton\"]", "[\"dagger\"]");
    rival_goes_on(17, &conflicting, "rules of consortium/cotton are in a conflict");
}

#[test]
fn invalid_file_does_not_prevent_a_start() {
    let mut tier = Tier::agreed(3, &[0, 1, 2], 18);
    tier.kill(2);
    tier.proxies[2].write_rules("cotton.toml", "rubbish = = 1\n");
    tier.proxies[2].start();
    let from = tier.now();
    tier.settles(&tier.all(), "dagger", "a");
    tier.serves(2, "cotton");
    tier.proxies[2].logged("cotton.toml");
    assert!(tier.fleet.since("cotton", from).iter().all(|placed| placed.hall != "c"));
    tier.finish();
    tier.judged("a", "a");
}
