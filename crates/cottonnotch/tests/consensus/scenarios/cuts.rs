//! Partitions of all kinds, contents that can't be fetched, and invalid traffic.

use super::{all_but, rejected_while_uncertain};
use crate::cluster::{DRAINED_WITHIN, TestCluster, up};
use crate::judge::{self, Client, Placed};
use crate::link::Rng;
use crate::rules::{CONTRADICTION, RETRY_MS, keeps_to};
use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A proxy that is cut off during a change rejects what is uncertain, and recovers by itself.
#[test]
fn partitioned_proxy_rejects_and_recovers() {
    let cluster = TestCluster::agreed(5, &[0, 1, 2, 3, 4], 5);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let from = cluster.now();
    cluster.mesh.isolate(4);
    let rest = all_but(&cluster, 4);
    cluster.change(0, "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&rest, "dagger", "b");
    let (number, _) = cluster.converges(&rest, before);
    // Its endpoint list comes from discovery, as everybody's.
    let drained = cluster.now();
    cluster.discovery.set_phase("b1", "draining");
    // There, the owner that wants it so is rejected; the other is served by the last known version.
    cluster.refuses(4, "dagger", RETRY_MS);
    cluster.serves(4, "cotton");
    assert_eq!(cluster.proxies[4].last_active().map(|(number, _)| number), Some(before));
    cluster.mesh.heal();
    cluster.settles(&cluster.all(), "dagger", "b");
    assert_eq!(cluster.converges(&cluster.all(), before).0, number);
    let clients = cluster.finish();
    cluster.judged("a", "b");
    let history = cluster.fleet.history();
    assert_eq!(judge::after_drain(&history, "b1", drained, DRAINED_WITHIN), Vec::<&Placed>::new());
    // Proxies that reach one another go on. A slow machine may reject some, but not for uncertainty.
    let elsewhere = |client: &&Client| client.proxy != 4 && client.tenant == "cotton" && client.sent > from;
    let others: Vec<&Client> = clients.iter().filter(elsewhere).collect();
    assert_eq!(others.iter().filter(|client| rejected_while_uncertain(client)).count(), 0);
    assert!(others.iter().filter(|client| up(client)).count() * 4 >= others.len() * 3);
}

#[test]
fn tolerates_voter_that_cannot_send() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 6);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let mute = cluster.leader(&[0, 1, 2]);
    cluster.mesh.mute(mute);
    let rest = all_but(&cluster, mute);
    cluster.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&rest, "dagger", "b");
    cluster.converges(&rest, before);
    cluster.refuses(mute, "dagger", RETRY_MS);
    cluster.mesh.heal();
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

/// In a ring of cuts each voter sees another majority, and no two proxies act on incompatible versions.
#[test]
fn ring_of_cuts_causes_no_contradiction() {
    let cluster = TestCluster::agreed(5, &[0, 1, 2, 3, 4], 7);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    (0..5).for_each(|one| cluster.mesh.cut(one, (one + 1) % 5));
    cluster.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    // Whether it comes in force now or later is open; that no two proxies act on both is not.
    std::thread::sleep(3 * CONTRADICTION);
    cluster.mesh.heal();
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

/// A proxy that cannot fetch a content delays the others for no longer than stated.
#[test]
fn proxy_that_cannot_fetch_delays_nobody() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 22);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let starved = all_but(&cluster, cluster.leader(&[0, 1, 2]))[0];
    let rest = all_but(&cluster, starved);
    cluster.mesh.starve(starved);
    cluster.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    cluster.settles(&rest, "dagger", "b");
    cluster.refuses(starved, "dagger", RETRY_MS);
    cluster.serves(starved, "cotton");
    cluster.mesh.heal();
    cluster.settles(&cluster.all(), "dagger", "b");
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}

#[test]
fn invalid_traffic_at_the_leader_stops_no_change() {
    let cluster = TestCluster::agreed(3, &[0, 1, 2], 23);
    let (before, _) = cluster.converges(&cluster.all(), 0);
    let door = cluster.mesh.own[cluster.leader(&[0, 1, 2])];
    let (stopped, mut rng) = (AtomicBool::new(false), Rng::new(23));
    std::thread::scope(|scope| {
        // Datagrams of any bytes and lengths, and connections that send nothing or nonsense.
        scope.spawn(|| {
            let from = UdpSocket::bind((cluster.mesh.ip, 0)).unwrap();
            let mut open = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                for _ in 0..20 {
                    let rubbish: Vec<u8> = (0..rng.below(1400)).map(|_| rng.next() as u8).collect();
                    // The receive buffer may be full.
                    let _ = from.send_to(&rubbish, door);
                }
                if open.len() < 100
                    && let Ok(mut caller) = TcpStream::connect(door)
                {
                    let _ = caller.write_all(&b"GET /content/zz HT\r\r\n\0"[..rng.below(22) as usize]);
                    open.push(caller);
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        cluster.change(1, "dagger", &keeps_to("dagger", 2, "b"));
        cluster.settles(&cluster.all(), "dagger", "b");
        stopped.store(true, Ordering::Relaxed);
    });
    cluster.converges(&cluster.all(), before);
    cluster.finish();
    cluster.judged("a", "b");
}
