//! Case 1: a client that sends PING commands at full speed keeps the proxy from everything else. With BAD=wave, hundreds of
//! clients send hundreds of PING commands each, once, in place of that one client.
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The classes and the times that their clients wait, in milliseconds.
const CLASSES: [(&str, u64); 3] = [("page-view", 1800), ("note-edit", 1200), ("part-export", 2000)];
/// An answer up to this long after the client's time is late, and not lost: 0.5 s, and 50 ms as every limit on sockets.
const SLACK: Duration = Duration::from_millis(550);
/// The bad client stops after this many bytes, well under the 60 MB that a bad client may have to send, and after
/// this time, the longest that such a client may have to wait for an error or a close.
const MOST_BYTES: usize = 24_000_000;
const MOST_TIME: Duration = Duration::from_secs(6);
/// Bad clients of a wave: hundreds.
const WAVE: usize = 900;
/// Commands that are written at once: hundreds.
const AT_ONCE: usize = 900;
/// A render node that is asked without the proxy has to answer within this time. Otherwise the machine is too busy.
const CONTROL: Duration = Duration::from_millis(1000);

fn main() {
    let record = Record::create("record.txt");
    let nodes: Vec<Node> = ["s-1", "s-2", "s-3"].iter().map(|id| Node::start(id, &record)).collect();
    let list = list(&nodes);
    let discovery = start_discovery(list.clone());
    let mut platform = Platform::new(&record);
    let at = Addresses { listen: free_address(), mgmt: free_address() };
    let proxy = platform.start(at, discovery, &list, &settings("safe"));

    // Some seconds of usual clients alone, then the bad one beside them.
    let lost = Arc::new(Mutex::new(Vec::new()));
    let too_busy = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let started = Instant::now();
    let mut bad = None;
    for number in 0..50 {
        if number == 10 && trouble() {
            let record = Arc::clone(&record);
            let is_wave = std::env::var("BAD").is_ok_and(|bad| bad == "wave");
            let come = if is_wave { wave } else { flood };
            bad = Some(thread::spawn(move || come(at.listen, &record)));
        }
        let (class, d) = CLASSES[number % CLASSES.len()];
        let (record, lost) = (Arc::clone(&record), Arc::clone(&lost));
        clients.push(thread::spawn(move || {
            if !is_answered(at.listen, class, d, number, &record) {
                lost.lock().unwrap().push(number);
            }
        }));
        let (node, too_busy) = (nodes[number % nodes.len()].address, Arc::clone(&too_busy));
        clients.push(thread::spawn(move || {
            if !answers_in_time(node) {
                too_busy.store(true, Ordering::Relaxed);
            }
        }));
        thread::sleep((started + Duration::from_millis(200) * (number as u32 + 1)) - Instant::now());
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    bad.into_iter().for_each(|bad| bad.join().unwrap());
    let (lost, runs) = (lost.lock().unwrap().len(), platform.runs(proxy));
    record.note(&format!("the proxy's process runs: {runs}; requests without a final answer: {lost} of 50"));
    platform.end();
    if too_busy.load(Ordering::Relaxed) {
        give_up("a render node that was asked without the proxy answered late: the machine is too busy");
    }
    println!("requests without a final answer: {lost} of 50");
    std::process::exit(if lost > 0 || !runs { BROKEN } else { HELD });
}

/// A usual client: whether its request got a final answer within its time and the slack.
fn is_answered(proxy: SocketAddr, class: &str, d: u64, number: usize, record: &Record) -> bool {
    let Ok(mut client) = Client::connect(proxy) else {
        record.note(&format!("client {number} was not let in"));
        return true;
    };
    let line = open_line(fresh(), class, d);
    if client.send(&line).is_err() {
        record.note(&format!("client {number} could not write its line"));
        return true;
    }
    let sent = Instant::now();
    record.note(&format!("client {number} sent '{}'", line.trim_end()));
    let heard = client.line(sent + Duration::from_millis(d) + SLACK);
    let ms = sent.elapsed().as_millis();
    record.note(&format!("client {number} heard after {ms} ms: {heard:?}"));
    matches!(heard, Heard::Line(_))
}

/// A client that asks a render node directly, at the same time: shows that the machine is not too busy.
fn answers_in_time(node: SocketAddr) -> bool {
    let sent = Instant::now();
    let Ok(mut client) = Client::connect(node) else { return false };
    let _ = client.send(&open_line(fresh(), "control", 1000));
    matches!(client.line(sent + CONTROL), Heard::Line(_))
}

/// The bad client: sends commands at full speed, hundreds at once, reads what it is sent, and goes.
fn flood(proxy: SocketAddr, record: &Record) {
    let Ok(client) = Client::connect(proxy) else { return record.note("the bad client was not let in") };
    let mut reader = client.stream.try_clone().unwrap();
    let reading = thread::spawn(move || {
        let (mut bytes, mut read, mut error_seen) = (vec![0; 65_536], 0, false);
        while let Ok(n @ 1..) = reader.read(&mut bytes) {
            read += n;
            error_seen |= bytes[..n].windows(3).any(|word| word == b"ERR" || word == b"BUS");
        }
        (read, error_seen)
    });
    let commands = "PING\r\n".repeat(AT_ONCE);
    let (began, mut sent) = (Instant::now(), 0);
    record.note("the bad client begins to send PING commands");
    let _ = client.stream.set_write_timeout(Some(Duration::from_millis(500)));
    while sent < MOST_BYTES && began.elapsed() < MOST_TIME {
        match (&client.stream).write(commands.as_bytes()) {
            Ok(n) => sent += n,
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let ms = began.elapsed().as_millis();
    let _ = client.stream.shutdown(std::net::Shutdown::Both);
    let (read, error_seen) = reading.join().unwrap();
    record.note(&format!(
        "the bad client goes after {ms} ms: {sent} bytes sent, {read} read, an error among them: {error_seen}"
    ));
}

/// Hundreds of bad clients at once: each sends hundreds of commands at once, reads its answers, and goes.
fn wave(proxy: SocketAddr, record: &Record) {
    record.note(&format!("{WAVE} bad clients come, each with {AT_ONCE} PING commands"));
    let began = Instant::now();
    let commands = "PING\r\n".repeat(AT_ONCE);
    thread::scope(|scope| {
        for _ in 0..WAVE {
            scope.spawn(|| {
                let Ok(client) = Client::connect(proxy) else { return };
                let _ = client.send(&commands);
                let _ = client.stream.set_read_timeout(Some(MOST_TIME));
                let (mut bytes, mut read) = ([0; 8192], 0);
                while read < commands.len() {
                    match (&client.stream).read(&mut bytes) {
                        Ok(n @ 1..) => read += n,
                        _ => return,
                    }
                }
            });
        }
    });
    record.note(&format!("the last of the {WAVE} bad clients goes after {} ms", began.elapsed().as_millis()));
}
