//! Case 2: while two processes of one proxy serve, the id of another client's open request is served a second time.
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Usual clients whose connections are up before the replacement.
const OWNERS: usize = 12;
/// How often a bad client comes with the same id while it is turned away.
const VISITS: usize = 5;
/// How long a bad client waits; it is owed an error or a close within 3 s.
const WAIT: Duration = Duration::from_secs(3);

/// A usual client that is up: its id, and when its connection was moved or ended.
struct Owner {
    id: u64,
    over: Arc<Mutex<Option<Instant>>>,
}

fn main() {
    let record = Record::create("record.txt");
    let nodes: Vec<Node> = ["s-1", "s-2", "s-3"].iter().map(|id| Node::start(id, &record)).collect();
    let list = list(&nodes);
    let discovery = start_discovery(list.clone());
    let mut platform = Platform::new(&record);
    let at = Addresses { listen: free_address(), mgmt: free_address() };
    // A request of these classes must not run twice.
    let settings = settings("unsafe");
    let old = platform.start(at, discovery, &list, &settings);

    let stop = Arc::new(AtomicBool::new(false));
    let owners: Vec<Owner> = (0..OWNERS).map(|_| own(at.listen, &record, &stop)).collect();
    thread::sleep(Duration::from_secs(1));
    let beside = Addresses { listen: at.listen, mgmt: free_address() };
    if trouble() {
        // The process is replaced: started again beside the old one, with another second address.
        platform.start(beside, discovery, &list, &settings);
    }
    // Bad clients come with the ids of requests that are open, some before the old process has its SIGTERM and some
    // after that.
    let mut served = 0;
    for (number, owner) in owners.iter().enumerate() {
        if number == OWNERS / 2 && trouble() {
            platform.terminate(old);
            thread::sleep(Duration::from_millis(50));
        }
        // Turned away, a bad client comes again at once, some times.
        if (0..VISITS).any(|_| steal(at.listen, owner, number, &record)) {
            served += 1;
        }
    }
    stop.store(true, Ordering::Relaxed);
    let twice = owners.iter().filter(|owner| runs_of(&nodes, owner.id) > 1).count();
    record.note(&format!("served with the id of another client's open request: {served}; ids that ran twice: {twice}"));
    platform.end();
    println!("served with the id of another client's open request: {served} of {OWNERS}; ids that ran twice: {twice}");
    std::process::exit(if served > 0 { BROKEN } else { HELD });
}

/// Opens a usual client's connection, which sends a line every 0.2 s until it is moved or `stop` is set.
fn own(proxy: SocketAddr, record: &Arc<Record>, stop: &Arc<AtomicBool>) -> Owner {
    let id = fresh();
    let mut client = Client::connect(proxy).unwrap_or_else(|error| give_up(&error.to_string()));
    let line = open_line(id, "note-edit", 1200);
    let _ = client.send(&line);
    let heard = client.line(Instant::now() + Duration::from_secs(2));
    record.note(&format!("owner of {id:016x} sent '{}' and heard {heard:?}", line.trim_end()));
    if !matches!(&heard, Heard::Line(line) if line.starts_with("UP ")) {
        give_up("a usual client was not served before the replacement");
    }
    let over = Arc::new(Mutex::new(None));
    let (record, stop, over_there) = (Arc::clone(record), Arc::clone(stop), Arc::clone(&over));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let _ = client.send("M 1 x\r\n");
            let heard = client.line(Instant::now() + Duration::from_secs(2));
            if heard != Heard::Line("M 1 x".to_owned()) {
                *over_there.lock().unwrap() = Some(Instant::now());
                return record.note(&format!("owner of {id:016x} heard {heard:?}"));
            }
            thread::sleep(Duration::from_millis(200));
        }
    });
    Owner { id, over }
}

/// A bad client that comes with an id that is open. Returns whether it was served while the id's owner was still up.
fn steal(proxy: SocketAddr, owner: &Owner, number: usize, record: &Record) -> bool {
    let id = owner.id;
    if owner.over.lock().unwrap().is_some() {
        record.note(&format!("bad client {number}: the request {id:016x} is over already, it doesn't come"));
        return false;
    }
    let Ok(mut client) = Client::connect(proxy) else {
        record.note(&format!("bad client {number} was not let in"));
        return false;
    };
    let line = open_line(id, "note-edit", 1200);
    let _ = client.send(&line);
    let heard = client.line(Instant::now() + WAIT);
    // The owner is still up if the line that it sends from now on comes back, or at least if it was not moved yet.
    thread::sleep(Duration::from_millis(20));
    let is_up = owner.over.lock().unwrap().is_none();
    record.note(&format!(
        "bad client {number} sent '{}', the id of an open request, and heard {heard:?}; its owner is up: {is_up}",
        line.trim_end()
    ));
    is_up && matches!(&heard, Heard::Line(line) if line.starts_with("UP "))
}

fn runs_of(nodes: &[Node], id: u64) -> usize {
    let word = format!("OPEN {id:016x} ");
    nodes.iter().map(|node| node.ran.lock().unwrap().iter().filter(|line| line.starts_with(&word)).count()).sum()
}
