//! The links do as they are told.

use super::*;
use crate::wait_for;

/// Two sockets with a mesh between them: what the first sends to the second, as texts.
fn two(seed: u64) -> (Mesh, Vec<(UdpSocket, TcpListener)>) {
    let ip = own_ip();
    let ends: Vec<_> = (0..2).map(|_| both_free(ip)).collect();
    let own = ends.iter().map(|(udp, _)| udp.local_addr().unwrap()).collect();
    ends.iter().for_each(|(udp, _)| udp.set_read_timeout(Some(Duration::from_millis(300))).unwrap());
    (Mesh::between(own, ip, seed), ends)
}

fn say(mesh: &Mesh, ends: &[(UdpSocket, TcpListener)], from: usize, what: u8) {
    ends[from].0.send_to(&[what], mesh.known_to(from)[1 - from]).unwrap();
}

fn heard(ends: &[(UdpSocket, TcpListener)], by: usize) -> Vec<u8> {
    let (mut all, mut bytes) = (Vec::new(), [0; 16]);
    while let Ok((1, _)) = ends[by].0.recv_from(&mut bytes) {
        all.push(bytes[0]);
    }
    all
}

#[test]
fn directions_are_cut_separately() {
    let (mesh, ends) = two(1);
    mesh.set(0, 1, CUT);
    say(&mesh, &ends, 0, 1);
    say(&mesh, &ends, 1, 2);
    assert_eq!((heard(&ends, 1), heard(&ends, 0)), (vec![], vec![2]));
    assert_eq!(mesh.counts(0, 1), (1, 0));
    mesh.heal();
    say(&mesh, &ends, 0, 3);
    assert_eq!(heard(&ends, 1), [3]);
    mesh.isolate(0);
    say(&mesh, &ends, 0, 4);
    say(&mesh, &ends, 1, 5);
    assert_eq!((heard(&ends, 1), heard(&ends, 0)), (vec![], vec![]));
    mesh.heal();
    mesh.mute(1);
    say(&mesh, &ends, 0, 6);
    say(&mesh, &ends, 1, 7);
    assert_eq!((heard(&ends, 1), heard(&ends, 0)), (vec![6], vec![]));
}

/// Delays, reordering, duplicates and losses are those that the seed gives.
#[test]
fn link_faults_follow_the_seed() {
    let now = Instant::now();
    let run = |seed, faults: Faults| {
        let (mut way, mut rng) = (OnItsWay::default(), Rng::new(seed));
        (0..200).for_each(|i| way.send(now + Duration::from_micros(i), &[i as u8], &faults, &mut rng));
        assert!(way.arrived(now + faults.delay - Duration::from_nanos(1)).is_empty(), "nothing comes early");
        way.arrived(now + Duration::from_secs(9)).concat()
    };
    let all: Vec<u8> = (0..200).collect();
    let ms = Duration::from_millis;
    assert_eq!(run(1, Faults { delay: ms(5), ..Faults::default() }), all, "a mere delay keeps the order");
    let shaken = Faults { delay: ms(5), jitter: ms(20), ..Faults::default() };
    let mut overtaken = run(1, shaken);
    assert_ne!(overtaken, all);
    assert_eq!(overtaken, run(1, shaken), "by the seed alone");
    assert_ne!(overtaken, run(2, shaken));
    overtaken.sort_unstable();
    assert_eq!(overtaken, all);
    let lost = run(1, Faults { delay: ms(1), lost: 500, ..Faults::default() }).len();
    assert!((60..140).contains(&lost), "{lost}");
    let doubled = run(1, Faults { delay: ms(1), doubled: 500, ..Faults::default() }).len();
    assert!((260..340).contains(&doubled), "{doubled}");
    assert!(run(1, Faults { delay: ms(1), ..CUT }).is_empty());
}

#[test]
fn tcp_stalls_during_a_cut() {
    let (mesh, ends) = two(1);
    mesh.cut(0, 1);
    let mut caller = TcpStream::connect(mesh.known_to(0)[1]).unwrap();
    caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    caller.write_all(b"GET").unwrap();
    ends[1].1.set_nonblocking(true).unwrap();
    std::thread::sleep(Duration::from_millis(60));
    assert!(ends[1].1.accept().is_err(), "none comes up through a cut");
    mesh.heal();
    let (mut callee, _) = wait_for(Duration::from_secs(5), "the connection", || ends[1].1.accept().ok());
    callee.set_nonblocking(false).unwrap();
    callee.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut bytes = [0; 3];
    callee.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"GET");
    // The answer goes the other way.
    mesh.set(1, 0, CUT);
    callee.write_all(b"YES").unwrap();
    caller.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(caller.read_exact(&mut bytes).is_err());
    mesh.heal();
    caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    caller.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"YES");
    drop(callee);
    assert_eq!(caller.read(&mut bytes).unwrap(), 0, "an end passes");
}
