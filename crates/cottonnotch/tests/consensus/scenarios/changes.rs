//! Changes by several operators, over a reliable network and an unreliable one.

use crate::cluster::TestCluster;
use crate::link::Faults;
use crate::rules::keeps_to;
use crate::{MAX_WAIT, wait_for};
use std::time::Duration;

#[test]
fn change_reaches_all_without_contradiction() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 1);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    cluster.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

/// A network that delays, duplicates, loses and reorders datagrams makes a change slower, and does no other harm.
#[test]
fn change_survives_an_unreliable_network() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 2);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let ms = Duration::from_millis;
    cluster.mesh.set_all(Faults {
        delay: ms(15),
        jitter: ms(60),
        lost: 150,
        doubled: 300,
        ..Faults::default()
    });
    cluster.change(0, "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

#[test]
fn activates_simultaneous_changes_of_two_owners() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 3);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    std::thread::scope(|scope| {
        scope.spawn(|| cluster.change(0, "dagger", &keeps_to("dagger", 2, "b")));
        scope.spawn(|| cluster.change(2, "cotton", &keeps_to("cotton", 2, "b")));
    });
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.settles(&cluster.all(), "cotton", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

/// One revision with two contents ends as one of them at all proxies, and the other is reported as a conflict.
#[test]
fn one_revision_with_two_contents_is_a_conflict() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 4);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    std::thread::scope(|scope| {
        scope.spawn(|| cluster.change(0, "dagger", &keeps_to("dagger", 2, "b")));
        scope.spawn(|| cluster.change(2, "dagger", &keeps_to("dagger", 2, "c")));
    });
    let (number, hash) = cluster.converges(&cluster.all(), before);
    // The losing operator is notified, with the namespace.
    let reported_conflict = |proxy: usize| {
        cluster.proxies[proxy].count_logged("rules of consortium/dagger are in a conflict") > 0
    };
    let loser =
        wait_for(MAX_WAIT, "the loser's log", || [0, 2].into_iter().find(|proxy| reported_conflict(*proxy)));
    let line = cluster.proxies[loser].logged("rules of consortium/dagger are in a conflict");
    assert!(line.contains("revision 2") && line.contains("dagger.toml") && line.contains("dagger"), "{line}");
    assert!(!reported_conflict(2 - loser) && !reported_conflict(1), "only one of them is held back");
    let hall = if loser == 0 { "c" } else { "b" };
    cluster.settles(&cluster.all(), "dagger", hall);
    assert_eq!(cluster.converges(&cluster.all(), before), (number, hash), "it stays so");
    cluster.finish();
    cluster.judged("a", hall);
}
