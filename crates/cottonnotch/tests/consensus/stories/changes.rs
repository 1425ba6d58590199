//! Changes by several operators, over a sound network and a shaken one.

use crate::link::Faults;
use crate::rules::keeps_to;
use crate::tier::Tier;
use crate::{PATIENCE, within};
use std::time::Duration;

#[test]
fn change_reaches_all_without_contradiction() {
    let tier = Tier::agreed(3, &[0, 1, 2], 1);
    let (before, _) = tier.converges(&tier.all(), 0);
    tier.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

/// A network that delays, duplicates, loses and reorders datagrams makes a change slower, and does no other harm.
#[test]
fn change_survives_an_unreliable_network() {
    let tier = Tier::agreed(3, &[0, 1, 2], 2);
    let (before, _) = tier.converges(&tier.all(), 0);
    let ms = Duration::from_millis;
    tier.mesh.set_all(Faults { delay: ms(15), jitter: ms(60), lost: 150, doubled: 300, ..Faults::default() });
    tier.change(0, "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

#[test]
fn activates_simultaneous_changes_of_two_owners() {
    let tier = Tier::agreed(3, &[0, 1, 2], 3);
    let (before, _) = tier.converges(&tier.all(), 0);
    std::thread::scope(|scope| {
        scope.spawn(|| tier.change(0, "dagger", &keeps_to("dagger", 2, "b")));
        scope.spawn(|| tier.change(2, "cotton", &keeps_to("cotton", 2, "b")));
    });
    tier.settles(&tier.all(), "dagger", "b");
    tier.settles(&tier.all(), "cotton", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

/// One revision with two contents ends as one of them at all proxies, and the other is reported as a conflict.
#[test]
fn one_revision_with_two_contents_is_a_conflict() {
    let tier = Tier::agreed(3, &[0, 1, 2], 4);
    let (before, _) = tier.converges(&tier.all(), 0);
    std::thread::scope(|scope| {
        scope.spawn(|| tier.change(0, "dagger", &keeps_to("dagger", 2, "b")));
        scope.spawn(|| tier.change(2, "dagger", &keeps_to("dagger", 2, "c")));
    });
    let (number, hash) = tier.converges(&tier.all(), before);
    // The loser's operator is told, and knows of what.
    let told =
        |proxy: usize| tier.proxies[proxy].count_logged("rules of consortium/dagger are in a conflict") > 0;
    let loser = within(PATIENCE, "the loser's log", || [0, 2].into_iter().find(|proxy| told(*proxy)));
    let line = tier.proxies[loser].logged("rules of consortium/dagger are in a conflict");
    assert!(line.contains("revision 2") && line.contains("dagger.toml") && line.contains("dagger"), "{line}");
    assert!(!told(2 - loser) && !told(1), "only one of them is held back");
    let hall = if loser == 0 { "c" } else { "b" };
    tier.settles(&tier.all(), "dagger", hall);
    assert_eq!(tier.converges(&tier.all(), before), (number, hash), "it stays so");
    tier.finish();
    tier.judged("a", hall);
}
