//! Contents that not every member can run, fleet-wide limits, and the endpoint list.

use super::rejected_while_uncertain;
use crate::cluster::{DRAINED_WITHIN, TestCluster, up};
use crate::judge::{self, Client, Placed};
use crate::model_member::ModelMember;
use crate::rules::{CONTRADICTION, in_hall, keeps_to, keeps_to_and};
use crate::stand_ins::{ClientBehavior, Clients};
use crate::{MAX_WAIT, wait_for};
use std::collections::BTreeSet;
use std::time::Duration;

/// A change that a third of the members cannot run comes in force nowhere until they can.
#[test]
fn unsupported_change_waits_for_all_members() {
    let mut model_member = Vec::new();
    let cluster = TestCluster::agreed_with(6, &[0, 1, 2], 20, |cluster| {
        cluster.proxies.truncate(4);
        model_member.extend([4, 5].map(|older| ModelMember::start(&cluster.mesh, older, &[0, 1, 2])));
    });
    let (before, _) = cluster.converges(&cluster.all(), 0);
    model_member.iter().for_each(|older| older.set(false));
    cluster.change(0, "dagger", &keeps_to("dagger", 2, "b"));
    cluster.proxies[0].logged("are dropped: a proxy cannot run them");
    std::thread::sleep(2 * CONTRADICTION);
    assert!(cluster.fleet.since("dagger", Duration::ZERO).iter().all(in_hall("a")), "nothing changed");
    assert_eq!(cluster.converges(&cluster.all(), 0).0, before);
    (0..4).for_each(|proxy| cluster.serves(proxy, "dagger"));
    // Another owner's change, which all can run, is not delayed.
    model_member.iter().for_each(|older| older.set(true));
    cluster.change(1, "cotton", &keeps_to("cotton", 2, "b"));
    cluster.settles(&cluster.all(), "cotton", "b");
    // The first one comes in force once its operator writes it again.
    cluster.change(0, "dagger", &keeps_to("dagger", 3, "b"));
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.finish();
    cluster.judged("a", "b");
}

#[test]
fn class_without_a_feature_gets_no_requests_that_need_it() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 21);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    // Counting connections needs nodes that report them.
    cluster.change(0, "dagger", &keeps_to_and("dagger", 2, "a", "cap = { connections = 90 }"));
    let (counted, _) = cluster.converges(&cluster.all(), before);
    let from = cluster.now();
    cluster.arrives("dagger at a1", "dagger", from, |placed| placed.node == "a1");
    cluster.proxies[2].change_operator("name = \"m2\"\nfeatures.tells-loads = true\n", "name = \"m2\"\n");
    cluster.proxies[2].reload();
    cluster.converges(&cluster.all(), counted);
    // Requests in flight still arrive; clients that start from now on are new.
    let (newest, from) = (Clients::newest(), cluster.now());
    (0..3).for_each(|proxy| cluster.serves(proxy, "dagger"));
    let new = |placed: &Placed| placed.id > newest;
    let after: Vec<Placed> = cluster.fleet.since("dagger", from).into_iter().filter(new).collect();
    assert!(after.iter().all(|placed| placed.node == "a0") && !after.is_empty(), "{after:?}");
    let clients = cluster.finish();
    let cotton = |client: &&Client| {
        client.tenant == "cotton" && client.sent > from && rejected_while_uncertain(client)
    };
    assert_eq!(clients.iter().filter(cotton).count(), 0);
    cluster.judged("a", "a");
}

#[test]
fn caps_and_paces_hold_fleet_wide() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 25);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    cluster.change(0, "dagger", &keeps_to_and("dagger", 2, "a", "cap = { connections = 7 }"));
    cluster.converges(&cluster.all(), before);
    cluster.change(1, "cotton", &keeps_to_and("cotton", 2, "b", "pace = { per_s = 12 }"));
    cluster.settles(&cluster.all(), "cotton", "b");
    cluster.converges(&cluster.all(), before + 1);
    // Connections established before end.
    std::thread::sleep(Duration::from_millis(1000));
    let from = cluster.now();
    std::thread::sleep(Duration::from_millis(4000));
    let until = cluster.now();
    let clients = cluster.finish();
    let since = |client: &&Client| client.sent >= from && client.sent <= until;
    let dagger = || clients.iter().filter(since).filter(|client| client.tenant == "dagger");
    let most = judge::max_concurrent(dagger());
    assert!((3..=7).contains(&most), "{most} stood at once");
    assert!(
        (0..3).all(|proxy| dagger().any(|client| client.proxy == proxy && up(client))),
        "each has its part"
    );
    let cotton = cluster.fleet.since("cotton", from);
    let paced = cotton.iter().filter(|placed| placed.at <= until).count() as f64;
    // A proxy saves two tokens.
    let allowed = 12.0 * (until - from).as_secs_f64() + 3.0 * 2.0;
    assert!(paced <= allowed + 1.0 && paced >= allowed / 3.0, "{paced} of {allowed}");
    cluster.judged("a", "a");
}

#[test]
fn group_has_one_node_at_all_proxies() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 26);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    cluster.change(2, "dagger", &keeps_to_and("dagger", 2, "b", "spread = { nodes = 1 }"));
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    let group = Some(0x5c0f);
    (0..3).for_each(|proxy| {
        cluster.start_clients(proxy, ClientBehavior { group, ..ClientBehavior::of("dagger") })
    });
    let served = |from| {
        for proxy in 0..3 {
            let ids = || {
                cluster
                    .clients
                    .so_far()
                    .into_iter()
                    .filter(|c| c.proxy == proxy)
                    .map(|c| c.id)
                    .collect::<Vec<_>>()
            };
            wait_for(MAX_WAIT, "the group at each proxy", || {
                let placed = cluster.fleet.since("dagger", from);
                let placed = placed.iter().filter(|placed| placed.group == group);
                let ids = ids();
                (placed.filter(|placed| ids.contains(&placed.id)).count() >= 4).then_some(())
            });
        }
    };
    let nodes = |from| {
        let placed = cluster.fleet.since("dagger", from).into_iter().filter(|placed| placed.group == group);
        placed.map(|placed| placed.node).collect::<BTreeSet<String>>()
    };
    served(Duration::ZERO);
    let node = nodes(Duration::ZERO);
    assert_eq!(node.len(), 1, "{node:?}");
    // Its node drains: all proxies send it to the other one.
    let node = node.into_iter().next().unwrap();
    cluster.discovery.set_phase(&node, "draining");
    std::thread::sleep(DRAINED_WITHIN);
    let from = cluster.now();
    served(from);
    let next = nodes(from);
    assert!(next.len() == 1 && !next.contains(&node), "{node} {next:?}");
    cluster.finish();
}

#[test]
fn silent_watch_is_noticed_through_other_members() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 19);
    cluster.discovery.silence(1);
    let watches = cluster.discovery.watches(1);
    let notified_at = cluster.now();
    cluster.discovery.set_phase("a0", "draining");
    // It starts a new watch long before the silent one is noticed by itself.
    let asked =
        wait_for(MAX_WAIT, "a new watch", || (cluster.discovery.watches(1) > watches).then(|| cluster.now()));
    assert!(asked - notified_at < Duration::from_millis(3500), "it took {:?}", asked - notified_at);
    cluster.settles(&cluster.all(), "dagger", "a");
    std::thread::sleep(DRAINED_WITHIN);
    cluster.finish();
    let history = cluster.fleet.history();
    let at_others: Vec<u64> =
        cluster.clients.so_far().iter().filter(|client| client.proxy != 1).map(|client| client.id).collect();
    let after = judge::after_drain(&history, "a0", notified_at, DRAINED_WITHIN);
    assert!(!after.iter().any(|placed| at_others.contains(&placed.id)), "{after:?}");
    assert_eq!(judge::after_drain(&history, "a0", asked, DRAINED_WITHIN), Vec::<&Placed>::new());
}
