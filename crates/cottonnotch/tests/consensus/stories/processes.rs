//! Processes that stand still, die, come again, or lose what they remembered.

use super::all_but;
use crate::judge::Placed;
use crate::rules::{CONTRADICTION, RETRY_MS, in_hall, keeps_to};
use crate::standin::Clients;
use crate::tier::Tier;
use std::time::Duration;

/// A voter whose state folder was removed serves without a lease, and the others go on.
#[test]
fn voter_without_its_folder_loses_its_lease() {
    let mut tier = Tier::agreed(3, &[0, 1, 2], 24);
    let (before, _) = tier.converges(&tier.all(), 0);
    let lost = all_but(&tier, tier.leader(&[0, 1, 2]))[0];
    let rest = all_but(&tier, lost);
    tier.proxies[lost].forget();
    tier.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&rest, "dagger", "b");
    tier.refuses(lost, "dagger", RETRY_MS);
    tier.serves(lost, "cotton");
    assert_eq!(tier.proxies[lost].figure("rules.stopped"), Some(1));
    tier.kill(lost);
    tier.proxies[lost].change_operator("first_start = true", "first_start = false");
    tier.proxies[lost].start();
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

#[test]
fn stopped_proxy_drops_old_rules_after_a_change() {
    let mut tier = Tier::agreed(3, &[0, 1, 2], 8);
    let (before, _) = tier.converges(&tier.all(), 0);
    let leader = tier.leader(&[0, 1, 2]);
    let frozen = all_but(&tier, leader)[0];
    tier.freeze(frozen);
    let rest = all_but(&tier, frozen);
    tier.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&rest, "dagger", "b");
    // It goes on, and nobody tells it what has become of its lease: its own clock has to.
    tier.mesh.isolate(frozen);
    tier.proxies[frozen].thaw();
    tier.refuses(frozen, "dagger", RETRY_MS);
    tier.serves(frozen, "cotton");
    tier.mesh.heal();
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

#[test]
fn stopped_leader_drops_leadership_and_old_rules() {
    let mut tier = Tier::agreed(3, &[0, 1, 2], 9);
    let (before, _) = tier.converges(&tier.all(), 0);
    let leader = tier.leader(&[0, 1, 2]);
    tier.freeze(leader);
    let rest = all_but(&tier, leader);
    tier.change(rest[1], "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&rest, "dagger", "b");
    tier.mesh.isolate(leader);
    tier.proxies[leader].thaw();
    tier.refuses(leader, "dagger", RETRY_MS);
    tier.mesh.heal();
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

/// A leader killed between its compatibility check and the activation leaves one version in force.
#[test]
fn leader_crash_before_activation_leaves_one_version() {
    let mut tier = Tier::agreed(5, &[0, 1, 2, 3, 4], 10);
    let (before, _) = tier.converges(&tier.all(), 0);
    let leader = tier.leader(&tier.all());
    let rest = all_but(&tier, leader);
    // The old leases of one that is cut off have to run out first: there is time between the yes and the effect.
    tier.mesh.isolate(rest[3]);
    tier.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    tier.proxies[leader].logged("are incompatible with version");
    std::thread::sleep(Duration::from_millis(150));
    assert!(tier.proxies.iter().all(|proxy| proxy.held().map(|(number, _)| number) == Some(before)));
    tier.kill(leader);
    tier.settles(&rest[..3], "dagger", "b");
    tier.mesh.heal();
    tier.proxies[leader].start();
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

/// Without a majority nothing changes, and each owner's requests are handled as its policy for uncertainty says.
#[test]
fn without_a_majority_owners_uncertainty_policy_counts() {
    let mut tier = Tier::agreed(5, &[0, 1, 2], 11);
    let (before, _) = tier.converges(&tier.all(), 0);
    tier.kill(1);
    tier.kill(2);
    tier.change(0, "dagger", &keeps_to("dagger", 2, "b"));
    for proxy in [0, 3, 4] {
        tier.refuses(proxy, "dagger", RETRY_MS);
        tier.serves(proxy, "cotton");
    }
    assert!(tier.fleet.since("dagger", Duration::ZERO).iter().all(in_hall("a")), "nothing changed");
    // One voter's return is enough.
    tier.proxies[1].start();
    tier.settles(&[0, 1, 3, 4], "dagger", "b");
    tier.converges(&[0, 1, 3, 4], before);
    tier.finish();
    tier.judged("a", "b");
}

#[test]
fn restart_of_all_restores_the_version_in_force() {
    let mut tier = Tier::agreed(3, &[0, 1, 2], 12);
    let (before, _) = tier.converges(&tier.all(), 0);
    tier.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&tier.all(), "dagger", "b");
    let held = tier.converges(&tier.all(), before);
    (0..3).for_each(|proxy| tier.kill(proxy));
    // Each folder has another file now: only the one that has the newest says something new, and nothing.
    let from = tier.now();
    tier.start();
    tier.settles(&tier.all(), "dagger", "b");
    assert_eq!(tier.converges(&tier.all(), before), held);
    assert!(tier.fleet.since("dagger", from).iter().all(in_hall("b")), "what was in force stays so");
    tier.finish();
    tier.judged("a", "b");
}

#[test]
fn voter_without_state_does_not_undo_commits() {
    let mut tier = Tier::agreed(3, &[0, 1, 2], 13);
    let (before, _) = tier.converges(&tier.all(), 0);
    // One voter is away while a version comes in force by the others; then one of those loses its memory.
    tier.kill(0);
    tier.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&[1, 2], "dagger", "b");
    let (number, _) = tier.converges(&[1, 2], before);
    tier.kill(1);
    tier.kill(2);
    tier.proxies[1].forget();
    for proxy in [0, 1] {
        tier.proxies[proxy].change_operator("first_start = true", "first_start = false");
    }
    // What the killed ones have written arrives yet; whoever comes from now on is new.
    let newest = Clients::newest();
    tier.proxies[0].start();
    tier.proxies[1].start();
    // The old one and the one that knows nothing: together they must not bring the old version back.
    std::thread::sleep(2 * CONTRADICTION);
    let new = |placed: &&Placed| placed.id > newest && placed.tenant == "dagger";
    assert_eq!(tier.fleet.history().iter().find(new), None, "nobody knows what is in force");
    tier.proxies[2].start();
    tier.settles(&tier.all(), "dagger", "b");
    assert!(tier.converges(&tier.all(), before).0 >= number);
    tier.finish();
    tier.judged("a", "b");
}
