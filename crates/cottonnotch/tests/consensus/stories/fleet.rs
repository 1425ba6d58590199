//! What not everybody can run, numbers of the whole fleet, and the list of render nodes.

use super::refused_in_doubt;
use crate::judge::{self, Client, Placed};
use crate::played::Played;
use crate::rules::{CONTRADICTION, in_hall, keeps_to, keeps_to_and};
use crate::standin::{Clients, Habit};
use crate::tier::{DRAINED_WITHIN, Tier, up};
use crate::{PATIENCE, within};
use std::collections::BTreeSet;
use std::time::Duration;

/// A change that a third of the members cannot run comes in force nowhere until they can.
#[test]
fn unsupported_change_waits_for_all_members() {
    let mut played = Vec::new();
    let tier = Tier::agreed_with(6, &[0, 1, 2], 20, |tier| {
        tier.proxies.truncate(4);
        played.extend([4, 5].map(|older| Played::start(&tier.mesh, older, &[0, 1, 2])));
    });
    let (before, _) = tier.converges(&tier.all(), 0);
    played.iter().for_each(|older| older.set(false));
    tier.change(0, "dagger", &keeps_to("dagger", 2, "b"));
    tier.proxies[0].logged("are dropped: a proxy cannot run them");
    std::thread::sleep(2 * CONTRADICTION);
    assert!(tier.fleet.since("dagger", Duration::ZERO).iter().all(in_hall("a")), "nothing changed");
    assert_eq!(tier.converges(&tier.all(), 0).0, before);
    (0..4).for_each(|proxy| tier.serves(proxy, "dagger"));
    // Another house's change, which all can run, is not held up.
    played.iter().for_each(|older| older.set(true));
    tier.change(1, "cotton", &keeps_to("cotton", 2, "b"));
    tier.settles(&tier.all(), "cotton", "b");
    // And the first one once its operator gives it again.
    tier.change(0, "dagger", &keeps_to("dagger", 3, "b"));
    tier.settles(&tier.all(), "dagger", "b");
    tier.finish();
    tier.judged("a", "b");
}

#[test]
fn class_without_a_feature_gets_no_requests_that_need_it() {
    let tier = Tier::agreed(3, &[0, 1, 2], 21);
    let (before, _) = tier.converges(&tier.all(), 0);
    // Counting connections needs nodes that tell them.
    tier.change(0, "dagger", &keeps_to_and("dagger", 2, "a", "cap = { connections = 90 }"));
    let (counted, _) = tier.converges(&tier.all(), before);
    let from = tier.now();
    tier.arrives("dagger at a1", "dagger", from, |placed| placed.node == "a1");
    tier.proxies[2].change_operator("name = \"m2\"\nfeatures.tells-loads = true\n", "name = \"m2\"\n");
    tier.proxies[2].reload();
    tier.converges(&tier.all(), counted);
    // What is on its way arrives yet; whoever comes from now on is new.
    let (newest, from) = (Clients::newest(), tier.now());
    (0..3).for_each(|proxy| tier.serves(proxy, "dagger"));
    let new = |placed: &Placed| placed.id > newest;
    let after: Vec<Placed> = tier.fleet.since("dagger", from).into_iter().filter(new).collect();
    assert!(after.iter().all(|placed| placed.node == "a0") && !after.is_empty(), "{after:?}");
    let clients = tier.finish();
    let cotton =
        |client: &&Client| client.tenant == "cotton" && client.sent > from && refused_in_doubt(client);
    assert_eq!(clients.iter().filter(cotton).count(), 0);
    tier.judged("a", "a");
}

#[test]
fn caps_and_paces_hold_fleet_wide() {
    let tier = Tier::agreed(3, &[0, 1, 2], 25);
    let (before, _) = tier.converges(&tier.all(), 0);
    tier.change(0, "dagger", &keeps_to_and("dagger", 2, "a", "cap = { connections = 7 }"));
    tier.converges(&tier.all(), before);
    tier.change(1, "cotton", &keeps_to_and("cotton", 2, "b", "pace = { per_s = 12 }"));
    tier.settles(&tier.all(), "cotton", "b");
    tier.converges(&tier.all(), before + 1);
    // Those that stood there before go.
    std::thread::sleep(Duration::from_millis(1000));
    let from = tier.now();
    std::thread::sleep(Duration::from_millis(4000));
    let until = tier.now();
    let clients = tier.finish();
    let since = |client: &&Client| client.sent >= from && client.sent <= until;
    let dagger = || clients.iter().filter(since).filter(|client| client.tenant == "dagger");
    let most = judge::most_standing(dagger());
    assert!((3..=7).contains(&most), "{most} stood at once");
    assert!(
        (0..3).all(|proxy| dagger().any(|client| client.proxy == proxy && up(client))),
        "each has its part"
    );
    let cotton = tier.fleet.since("cotton", from);
    let paced = cotton.iter().filter(|placed| placed.at <= until).count() as f64;
    // A proxy saves two.
    let allowed = 12.0 * (until - from).as_secs_f64() + 3.0 * 2.0;
    assert!(paced <= allowed + 1.0 && paced >= allowed / 3.0, "{paced} of {allowed}");
    tier.judged("a", "a");
}

#[test]
fn group_has_one_node_at_all_proxies() {
    let tier = Tier::agreed(3, &[0, 1, 2], 26);
    let (before, _) = tier.converges(&tier.all(), 0);
    tier.change(2, "dagger", &keeps_to_and("dagger", 2, "b", "spread = { nodes = 1 }"));
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    let group = Some(0x5c0f);
    (0..3).for_each(|proxy| tier.come(proxy, Habit { group, ..Habit::of("dagger") }));
    let served = |from| {
        for proxy in 0..3 {
            let ids = || {
                tier.clients
                    .so_far()
                    .into_iter()
                    .filter(|c| c.proxy == proxy)
                    .map(|c| c.id)
                    .collect::<Vec<_>>()
            };
            within(PATIENCE, "the group at each proxy", || {
                let placed = tier.fleet.since("dagger", from);
                let placed = placed.iter().filter(|placed| placed.group == group);
                let ids = ids();
                (placed.filter(|placed| ids.contains(&placed.id)).count() >= 4).then_some(())
            });
        }
    };
    let nodes = |from| {
        let placed = tier.fleet.since("dagger", from).into_iter().filter(|placed| placed.group == group);
        placed.map(|placed| placed.node).collect::<BTreeSet<String>>()
    };
    served(Duration::ZERO);
    let home = nodes(Duration::ZERO);
    assert_eq!(home.len(), 1, "{home:?}");
    // Its node drains: it goes to the other one, from all proxies.
    let home = home.into_iter().next().unwrap();
    tier.discovery.set_phase(&home, "draining");
    std::thread::sleep(DRAINED_WITHIN);
    let from = tier.now();
    served(from);
    let next = nodes(from);
    assert!(next.len() == 1 && !next.contains(&home), "{home} {next:?}");
    tier.finish();
}

#[test]
fn silent_watch_is_noticed_through_other_members() {
    let tier = Tier::agreed(3, &[0, 1, 2], 19);
    tier.discovery.silence(1);
    let watches = tier.discovery.watches(1);
    let told = tier.now();
    tier.discovery.set_phase("a0", "draining");
    // It asks again long before a silent watch shows by itself.
    let asked = within(PATIENCE, "a new watch", || (tier.discovery.watches(1) > watches).then(|| tier.now()));
    assert!(asked - told < Duration::from_millis(3500), "it took {:?}", asked - told);
    tier.settles(&tier.all(), "dagger", "a");
    std::thread::sleep(DRAINED_WITHIN);
    tier.finish();
    let history = tier.fleet.history();
    let at_others: Vec<u64> =
        tier.clients.so_far().iter().filter(|client| client.proxy != 1).map(|client| client.id).collect();
    let after = judge::after_drain(&history, "a0", told, DRAINED_WITHIN);
    assert!(!after.iter().any(|placed| at_others.contains(&placed.id)), "{after:?}");
    assert_eq!(judge::after_drain(&history, "a0", asked, DRAINED_WITHIN), Vec::<&Placed>::new());
}
