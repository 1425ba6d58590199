//! Processes that are stopped, killed, restarted, or lose their state.

use super::all_but;
use crate::cluster::TestCluster;
use crate::judge::Placed;
use crate::rules::{CONTRADICTION, RETRY_MS, in_hall, keeps_to};
use crate::stand_ins::Clients;
use std::time::Duration;

/// A voter whose state folder was removed serves without a lease, and the others go on.
#[test]
fn voter_without_its_folder_loses_its_lease() {
    let mut cluster = TestCluster::agreed(3, &[0, 1, 2], 24);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let lost = all_but(&cluster, cluster.leader(&[0, 1, 2]))[0];
    let rest = all_but(&cluster, lost);
    cluster.proxies[lost].remove_state();
    cluster.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&rest, "dagger", "b");
    cluster.refuses(lost, "dagger", RETRY_MS);
    cluster.serves(lost, "cotton");
    assert_eq!(cluster.proxies[lost].figure("rules.stopped"), Some(1));
    cluster.kill(lost);
    cluster.proxies[lost].change_operator("first_start = true", "first_start = false");
    cluster.proxies[lost].start();
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

#[test]
fn stopped_proxy_drops_old_rules_after_a_change() {
    let mut cluster = TestCluster::agreed(3, &[0, 1, 2], 8);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let leader = cluster.leader(&[0, 1, 2]);
    let frozen = all_but(&cluster, leader)[0];
    cluster.freeze(frozen);
    let rest = all_but(&cluster, frozen);
    cluster.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&rest, "dagger", "b");
    // It resumes, and nobody tells it that its lease has expired: its own clock must.
    cluster.mesh.isolate(frozen);
    cluster.proxies[frozen].thaw();
    cluster.refuses(frozen, "dagger", RETRY_MS);
    cluster.serves(frozen, "cotton");
    cluster.mesh.heal();
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

#[test]
fn stopped_leader_drops_leadership_and_old_rules() {
    let mut cluster = TestCluster::agreed(3, &[0, 1, 2], 9);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let leader = cluster.leader(&[0, 1, 2]);
    cluster.freeze(leader);
    let rest = all_but(&cluster, leader);
    cluster.change(rest[1], "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&rest, "dagger", "b");
    cluster.mesh.isolate(leader);
    cluster.proxies[leader].thaw();
    cluster.refuses(leader, "dagger", RETRY_MS);
    cluster.mesh.heal();
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

/// A leader killed between its compatibility check and the activation leaves one version in force.
#[test]
fn leader_crash_before_activation_leaves_one_version() {
    let mut cluster = TestCluster::agreed(5, &[0, 1, 2, 3, 4], 10);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let leader = cluster.leader(&cluster.all());
    let rest = all_but(&cluster, leader);
    // The leases of the one that is cut off must expire first: that leaves time between the check and the activation.
    cluster.mesh.isolate(rest[3]);
    cluster.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    cluster.proxies[leader].logged("are incompatible with version");
    std::thread::sleep(Duration::from_millis(150));
    assert!(
        cluster.proxies.iter().all(|proxy| proxy.last_active().map(|(number, _)| number) == Some(before))
    );
    cluster.kill(leader);
    cluster.settles(&rest[..3], "dagger", "b");
    cluster.mesh.heal();
    cluster.proxies[leader].start();
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

/// Without a majority nothing changes, and each owner's requests are handled as its policy for uncertainty says.
#[test]
fn without_a_majority_owners_uncertainty_policy_counts() {
    let mut cluster = TestCluster::agreed(5, &[0, 1, 2], 11);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    cluster.kill(1);
    cluster.kill(2);
    cluster.change(0, "dagger", &keeps_to("dagger", 2, "b"));
    for proxy in [0, 3, 4] {
        cluster.refuses(proxy, "dagger", RETRY_MS);
        cluster.serves(proxy, "cotton");
    }
    assert!(cluster.fleet.since("dagger", Duration::ZERO).iter().all(in_hall("a")), "nothing changed");
    // One voter's return is enough.
    cluster.proxies[1].start();
    cluster.settles(&[0, 1, 3, 4], "dagger", "b");
    cluster.converges(&[0, 1, 3, 4], before);
    cluster.finish();
    cluster.judged("a", "b");
}

#[test]
fn restart_of_all_restores_the_version_in_force() {
    let mut cluster = TestCluster::agreed(3, &[0, 1, 2], 12);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    cluster.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&cluster.all(), "dagger", "b");
    let last_active = cluster.converges(&cluster.all(), before);
    (0..3).for_each(|proxy| cluster.kill(proxy));
    // Each folder has another file now: only the newest would change something, and it is in force already.
    let from = cluster.now();
    cluster.start();
    cluster.settles(&cluster.all(), "dagger", "b");
    assert_eq!(cluster.converges(&cluster.all(), before), last_active);
    assert!(cluster.fleet.since("dagger", from).iter().all(in_hall("b")), "what was in force stays so");
    cluster.finish();
    cluster.judged("a", "b");
}

#[test]
fn voter_without_state_does_not_undo_commits() {
    let mut cluster = TestCluster::agreed(3, &[0, 1, 2], 13);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    // One voter is cut off while the others put a version in force; then one of those loses its state.
    cluster.kill(0);
    cluster.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&[1, 2], "dagger", "b");
    let (number, _) = cluster.converges(&[1, 2], before);
    cluster.kill(1);
    cluster.kill(2);
    cluster.proxies[1].remove_state();
    for proxy in [0, 1] {
        cluster.proxies[proxy].change_operator("first_start = true", "first_start = false");
    }
    // Requests in flight of the killed ones still arrive; clients that start from now on are new.
    let newest = Clients::newest();
    cluster.proxies[0].start();
    cluster.proxies[1].start();
    // The outdated voter and the one without state: together they must not restore the old version.
    std::thread::sleep(2 * CONTRADICTION);
    let new = |placed: &&Placed| placed.id > newest && placed.tenant == "dagger";
    assert_eq!(cluster.fleet.history().iter().find(new), None, "nobody knows what is in force");
    cluster.proxies[2].start();
    cluster.settles(&cluster.all(), "dagger", "b");
    assert!(cluster.converges(&cluster.all(), before).0 >= number);
    cluster.finish();
    cluster.judged("a", "b");
}
