//! Discovery, whose list a scenario changes, and which it can silence.

use super::{POLL_INTERVAL, each_caller, listener};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The interval of discovery's keep-alives.
const BEAT: Duration = Duration::from_secs(2);
/// A render node as the list has it.
#[derive(Clone, Debug)]
pub(super) struct ListedNode {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) hall: String,
    pub(super) hardware: String,
    pub(super) phase: &'static str,
    /// The revision that changed it last.
    pub(super) revision: u64,
}

impl ListedNode {
    fn json(&self) -> String {
        let ListedNode { id, address, hall, hardware, phase, .. } = self;
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"{hall}","flavor":"{hardware}","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
        )
    }
}

/// The list that discovery sends to every proxy.
#[derive(Debug, Default)]
pub(super) struct List {
    revision: u64,
    pub(super) nodes: Vec<ListedNode>,
}

impl List {
    fn since(&self, revision: u64) -> String {
        let complete = revision == 0;
        let nodes = self.nodes.iter().filter(|node| complete || node.revision > revision);
        let nodes: Vec<String> = nodes.map(ListedNode::json).collect();
        format!(r#"{{"revision":{},"complete":{complete},"members":[{}]}}"#, self.revision, nodes.join(","))
    }
}

/// Discovery as one proxy sees it.
#[derive(Debug, Default)]
struct Door {
    /// Nothing is sent, not even keep-alives.
    shut: AtomicBool,
    /// Watches started so far, and how many of the first ones get nothing any more.
    watches: AtomicUsize,
    deaf: AtomicUsize,
}

/// Discovery with an address for each proxy, so that a scenario can silence one.
pub struct Discovery {
    pub(super) list: Arc<Mutex<List>>,
    doors: Vec<(SocketAddr, Arc<Door>)>,
    stopped: Arc<AtomicBool>,
}

impl Discovery {
    pub fn new(ip: Ipv4Addr, doors: usize) -> Self {
        let (list, stopped) = (Arc::new(Mutex::new(List::default())), Arc::new(AtomicBool::new(false)));
        let doors = (0..doors).map(|_| {
            let (listener, door) = (listener(ip), Arc::new(Door::default()));
            let address = listener.local_addr().unwrap();
            let (list, stopped, here) = (Arc::clone(&list), Arc::clone(&stopped), Arc::clone(&door));
            std::thread::spawn(move || {
                each_caller(&listener, &stopped.clone(), move |caller| {
                    // The connection is closed, or the scenario has ended.
                    let _ = serve_list(caller, &list, &here, &stopped);
                });
            });
            (address, door)
        });
        Discovery { doors: doors.collect(), list, stopped }
    }

    pub fn door(&self, proxy: usize) -> SocketAddr {
        self.doors[proxy].0
    }

    /// From now on this proxy is sent nothing, not even keep-alives; or everything again.
    pub fn shut(&self, proxy: usize, shut: bool) {
        self.doors[proxy].1.shut.store(shut, Ordering::Relaxed);
    }

    /// From now on this proxy's present watches are sent nothing; a new one is.
    pub fn silence(&self, proxy: usize) {
        let door = &self.doors[proxy].1;
        door.deaf.store(door.watches.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// The watches that this proxy has started so far.
    pub fn watches(&self, proxy: usize) -> usize {
        self.doors[proxy].1.watches.load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, node: ListedNode) {
        let mut list = self.list.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        list.nodes.push(ListedNode { revision, ..node });
    }

    /// Changes a node's phase on the list; the revision of the change.
    pub fn set_phase(&self, id: &str, phase: &'static str) -> u64 {
        let mut list = self.list.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        let node = list.nodes.iter_mut().find(|node| node.id == id).unwrap();
        (node.phase, node.revision) = (phase, revision);
        revision
    }

    /// The complete list as it is, for a proxy's configuration.
    pub fn known(&self) -> String {
        self.list.lock().unwrap().since(0)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn serve_list(
    caller: TcpStream,
    list: &Mutex<List>,
    door: &Door,
    stopped: &AtomicBool,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(caller.try_clone()?);
    let (mut request, mut line) = (String::new(), String::new());
    reader.read_line(&mut request)?;
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    let mut out = caller;
    let wait_if = |silent: &dyn Fn() -> bool| {
        while silent() && !stopped.load(Ordering::Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
        }
    };
    let shut = || door.shut.load(Ordering::Relaxed);
    wait_if(&shut);
    let Some((_, from)) = request.split_once("from=") else {
        let body = list.lock().unwrap().since(0);
        return write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    };
    let mut sent_revision: u64 = from.split(' ').next().unwrap_or_default().parse().unwrap_or(0);
    out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let number = door.watches.fetch_add(1, Ordering::Relaxed);
    let (mut first, mut beat) = (true, Instant::now());
    while !stopped.load(Ordering::Relaxed) {
        wait_if(&|| shut() || number < door.deaf.load(Ordering::Relaxed));
        let news = {
            let list = list.lock().unwrap();
            (first || list.revision > sent_revision).then(|| (list.since(sent_revision), list.revision))
        };
        let line = match news {
            Some((line, revision)) => {
                (sent_revision, first) = (revision, false);
                line
            }
            None if beat.elapsed() >= BEAT => String::new(),
            None => {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
        };
        beat = Instant::now();
        write!(out, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
    }
    Ok(())
}
