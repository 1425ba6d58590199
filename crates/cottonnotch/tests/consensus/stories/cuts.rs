//! Cuts of all kinds, contents that can't be had, and rubbish at the door.

use super::{all_but, refused_in_doubt};
use crate::judge::{self, Client, Placed};
use crate::link::Chance;
use crate::rules::{CONTRADICTION, RETRY_MS, keeps_to};
use crate::tier::{DRAINED_WITHIN, Tier, up};
use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A proxy that is cut off during a change rejects what is uncertain, and recovers by itself.
#[test]
fn partitioned_proxy_rejects_and_recovers() {
    let tier = Tier::agreed(5, &[0, 1, 2, 3, 4], 5);
    let (before, _) = tier.converges(&tier.all(), 0);
    let from = tier.now();
    tier.mesh.isolate(4);
    let rest = all_but(&tier, 4);
    tier.change(0, "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&rest, "dagger", "b");
    let (number, _) = tier.converges(&rest, before);
    // Its list comes from discovery, as everybody's.
    let drained = tier.now();
    tier.discovery.set_phase("b1", "draining");
    // There, the house that wants it so is refused; the other goes on by what was known.
    tier.refuses(4, "dagger", RETRY_MS);
    tier.serves(4, "cotton");
    assert_eq!(tier.proxies[4].held().map(|(number, _)| number), Some(before));
    tier.mesh.heal();
    tier.settles(&tier.all(), "dagger", "b");
    assert_eq!(tier.converges(&tier.all(), before).0, number);
    let clients = tier.finish();
    tier.judged("a", "b");
    let history = tier.fleet.history();
    assert_eq!(judge::after_drain(&history, "b1", drained, DRAINED_WITHIN), Vec::<&Placed>::new());
    // Those who see one another go on. A machine that is short of time may refuse some, but for no doubt.
    let elsewhere = |client: &&Client| client.proxy != 4 && client.tenant == "cotton" && client.sent > from;
    let others: Vec<&Client> = clients.iter().filter(elsewhere).collect();
    assert_eq!(others.iter().filter(|client| refused_in_doubt(client)).count(), 0);
    assert!(others.iter().filter(|client| up(client)).count() * 4 >= others.len() * 3);
}

#[test]
fn tolerates_voter_that_cannot_send() {
    let tier = Tier::agreed(3, &[0, 1, 2], 6);
    let (before, _) = tier.converges(&tier.all(), 0);
    let mute = tier.leader(&[0, 1, 2]);
    tier.mesh.mute(mute);
    let rest = all_but(&tier, mute);
    tier.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&rest, "dagger", "b");
    tier.converges(&rest, before);
    tier.refuses(mute, "dagger", RETRY_MS);
    tier.mesh.heal();
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

/// In a ring of cuts each voter sees another majority, and no two proxies act on incompatible versions.
#[test]
fn ring_of_cuts_causes_no_contradiction() {
    let tier = Tier::agreed(5, &[0, 1, 2, 3, 4], 7);
    let (before, _) = tier.converges(&tier.all(), 0);
    (0..5).for_each(|one| tier.mesh.cut(one, (one + 1) % 5));
    tier.change(1, "dagger", &keeps_to("dagger", 2, "b"));
    // Whether it comes in force now or after is not said; that no two go by both is.
    std::thread::sleep(3 * CONTRADICTION);
    tier.mesh.heal();
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

/// A proxy that cannot fetch a content delays the others for no longer than stated.
#[test]
fn proxy_that_cannot_fetch_delays_nobody() {
    let tier = Tier::agreed(3, &[0, 1, 2], 22);
    let (before, _) = tier.converges(&tier.all(), 0);
    let starved = all_but(&tier, tier.leader(&[0, 1, 2]))[0];
    let rest = all_but(&tier, starved);
    tier.mesh.starve(starved);
    tier.change(rest[0], "dagger", &keeps_to("dagger", 2, "b"));
    tier.settles(&rest, "dagger", "b");
    tier.refuses(starved, "dagger", RETRY_MS);
    tier.serves(starved, "cotton");
    tier.mesh.heal();
    tier.settles(&tier.all(), "dagger", "b");
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}

#[test]
fn invalid_traffic_at_the_leader_stops_no_change() {
    let tier = Tier::agreed(3, &[0, 1, 2], 23);
    let (before, _) = tier.converges(&tier.all(), 0);
    let door = tier.mesh.own[tier.leader(&[0, 1, 2])];
    let (over, mut chance) = (AtomicBool::new(false), Chance::new(23));
    std::thread::scope(|scope| {
        // Datagrams of any bytes and lengths, and connections that say nothing or nonsense.
        scope.spawn(|| {
            let from = UdpSocket::bind((tier.mesh.ip, 0)).unwrap();
            let mut open = Vec::new();
            while !over.load(Ordering::Relaxed) {
                for _ in 0..20 {
                    let rubbish: Vec<u8> = (0..chance.below(1400)).map(|_| chance.next() as u8).collect();
                    // It may be more than the door holds.
                    let _ = from.send_to(&rubbish, door);
                }
                if open.len() < 100
                    && let Ok(mut caller) = TcpStream::connect(door)
                {
                    let _ = caller.write_all(&b"GET /content/zz HT\r\r\n\0"[..chance.below(22) as usize]);
                    open.push(caller);
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        tier.change(1, "dagger", &keeps_to("dagger", 2, "b"));
        tier.settles(&tier.all(), "dagger", "b");
        over.store(true, Ordering::Relaxed);
    });
    tier.converges(&tier.all(), before);
    tier.finish();
    tier.judged("a", "b");
}
