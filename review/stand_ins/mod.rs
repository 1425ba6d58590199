//! Stand-ins of the cases: render nodes, discovery, clients, and the platform that starts proxies. All addresses are
//! loopback addresses with ports that the system chose. Whatever was started is ended when the `Platform` is dropped.
#![allow(dead_code)]

use std::collections::HashSet;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, with the milliseconds since its start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        // A panic is no verdict on the rule.
        std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
        let file = File::create(path).unwrap_or_else(|error| give_up(&format!("{path}: {error}")));
        Arc::new(Record { file: Mutex::new(file), started: Instant::now() })
    }

    pub fn note(&self, text: &str) {
        let ms = self.started.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{ms:10.1} ms  {text}");
    }
}

/// The processes that were started, and the folder that they share.
static STARTED: Mutex<(Vec<u32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends the run as one that could not be played, and the processes that it started.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let (processes, folder) = std::mem::take(&mut *STARTED.lock().unwrap_or_else(PoisonError::into_inner));
    for id in processes {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {id}")]).status();
    }
    folder.into_iter().for_each(|folder| drop(std::fs::remove_dir_all(folder)));
    std::process::exit(COULD_NOT_RUN);
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A fresh number below 2^64, for ids and keys.
pub fn fresh() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64);
    let _ = STATE.compare_exchange(0, seed | 1, Ordering::Relaxed, Ordering::Relaxed);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
    listener.local_addr().unwrap_or_else(|error| give_up(&error.to_string()))
}

// ---- render nodes ----

/// A render node: answers the first line with `UP RECEIPT`, and each later line at once with itself. A first line with
/// the id of a connection that is open at this node is answered `ERR`.
pub struct Node {
    pub id: String,
    pub address: SocketAddr,
    /// Each first line that arrived, without its line end.
    pub ran: Arc<Mutex<Vec<String>>>,
    /// How many of the next connections are reset once their first line has begun to run.
    pub resets: Arc<AtomicU64>,
}

impl Node {
    pub fn start(id: &str, record: &Arc<Record>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
        let address = listener.local_addr().unwrap();
        Node::serving(id, record, address, move || listener)
    }

    /// A render node whose process is dead, and comes back at its address after this time. Until then, connections are
    /// refused.
    pub fn start_later(id: &str, record: &Arc<Record>, after: Duration) -> Node {
        let address = free_address();
        let (id_there, record_there) = (id.to_owned(), Arc::clone(record));
        Node::serving(id, record, address, move || {
            thread::sleep(after);
            record_there.note(&format!("render node {id_there} is back"));
            TcpListener::bind(address).unwrap_or_else(|error| give_up(&error.to_string()))
        })
    }

    fn serving(
        id: &str,
        record: &Arc<Record>,
        address: SocketAddr,
        listen: impl FnOnce() -> TcpListener + Send + 'static,
    ) -> Node {
        let ran = Arc::new(Mutex::new(Vec::new()));
        let (id_there, record, ran_there) = (id.to_owned(), Arc::clone(record), Arc::clone(&ran));
        let open = Arc::new(Mutex::new(HashSet::new()));
        let resets = Arc::new(AtomicU64::new(0));
        let resets_there = Arc::clone(&resets);
        thread::spawn(move || {
            for stream in listen().incoming().flatten() {
                let (id, record, ran) = (id_there.clone(), Arc::clone(&record), Arc::clone(&ran_there));
                let (open, resets) = (Arc::clone(&open), Arc::clone(&resets_there));
                thread::spawn(move || {
                    let _ = serve(&id, stream, &record, &ran, &open, &resets);
                });
            }
        });
        Node { id: id.to_owned(), address, ran, resets }
    }

    pub fn entry(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"hall-a","flavor":"std-2c","cell":0,"phase":"up","size":1.0,"up_since_ms":0}}"#,
            self.id, self.address
        )
    }
}

fn serve(
    id: &str,
    stream: TcpStream,
    record: &Record,
    ran: &Mutex<Vec<String>>,
    open: &Mutex<HashSet<String>>,
    resets: &AtomicU64,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    if resets.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1)).is_ok() {
        return reset_while_it_runs(id, &stream, record, ran);
    }
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with("\r\n") {
        return Ok(());
    }
    let wire_id = line.split(' ').nth(1).unwrap_or_default().to_owned();
    if !open.lock().unwrap().insert(wire_id.clone()) {
        record.note(&format!("render node {id} turns away '{}': the id is open here", line.trim_end()));
        return (&stream).write_all(b"ERR the id is open\r\n");
    }
    record.note(&format!("render node {id} runs '{}'", line.trim_end()));
    ran.lock().unwrap().push(line.trim_end().to_owned());
    let relayed = echo(&stream, &mut reader);
    open.lock().unwrap().remove(&wire_id);
    relayed
}

/// Runs a first line, and resets its connection before the answer: a close over bytes that were only peeked at is a reset.
fn reset_while_it_runs(id: &str, stream: &TcpStream, record: &Record, ran: &Mutex<Vec<String>>) -> std::io::Result<()> {
    let mut bytes = [0; 4096];
    let read = loop {
        let read = stream.peek(&mut bytes)?;
        if read == 0 || bytes[..read].ends_with(b"\r\n") {
            break read;
        }
        thread::sleep(Duration::from_millis(1));
    };
    let line = String::from_utf8_lossy(&bytes[..read]).trim_end().to_owned();
    record.note(&format!("render node {id} runs '{line}', and the connection is reset under it"));
    ran.lock().unwrap().push(line);
    Ok(())
}

fn echo(mut stream: &TcpStream, reader: &mut impl BufRead) -> std::io::Result<()> {
    stream.write_all(format!("UP {:016x}\r\n", fresh()).as_bytes())?;
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line)? > 0 {
        stream.write_all(&line)?;
        line.clear();
    }
    Ok(())
}

// ---- discovery ----

/// The complete list, as a text of discovery's form.
pub fn list(nodes: &[Node]) -> String {
    let members: Vec<String> = nodes.iter().map(Node::entry).collect();
    format!(r#"{{"revision":41,"complete":true,"members":[{}]}}"#, members.join(","))
}

/// Discovery: each watch gets the list at once and an empty line every 2 s.
pub fn start_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let _ = answer_watch(stream, &list);
            });
        }
    });
    address
}

fn answer_watch(mut stream: TcpStream, list: &str) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

// ---- the platform ----

/// The settings of a small deployment: one hall, one proxy, three classes. `effect` is the effect of all classes.
pub fn settings(effect: &str) -> String {
    let class = |name: &str, target: u32, deadline: u32, gain: u32| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"all","window":5000000,"target":{target},"deadline":{deadline},"gain":{gain}.0,"lateWorth":0.0,"streaming":true}}"#
        )
    };
    let classes = [
        class("page-view", 300_000, 1_800_000, 1),
        class("note-edit", 300_000, 1_200_000, 1),
        class("part-export", 500_000, 2_000_000, 3),
    ];
    format!(
        r#"{{"balancers":1,"ordinal":0,"tier":0,"tiers":["render-fleet"],"zones":["hall-a"],"zone":"hall-a",
"registryMode":"on_request","weights":"nominal","workload":"conn","worthBy":"request","step":2000,
"skus":["fast-2c","std-2c"],"clients":{{"marksRetry":true}},
"policyLimits":{{"cancel":true,"connIdle":10000000,"connectTimeout":250000,"maxOpen":1000000,"maxRetryAfter":1000000,"maxStreams":1048576,"mayTell":true,"mostTries":3,"parallelTries":false,"probes":true,"retryAfter":true}},
"rules":{{"answerSlack":8000,"askWithin":10000000,"coldFrom":0.3,"fall":2000000,"fallMultiple":3.0,"stopSendingWithin":1000000,"warmUp":9000000}},
"familyInfo":{{"mode":"proxy","messageAim":[150000.0,60000.0,250000.0]}},
"requestClasses":[{}]}}"#,
        classes.join(",")
    )
}

/// The platform: starts proxies by the command `run` of the deploy file, in a private temporary folder.
pub struct Platform {
    root: PathBuf,
    folder: PathBuf,
    run: String,
    children: Vec<Child>,
    record: Arc<Record>,
}

/// Where a proxy was told to listen.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
}

impl Platform {
    /// `root` is the root of the repository.
    pub fn new(record: &Arc<Record>) -> Platform {
        let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| give_up("ROOT names no repository")));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|error| give_up(&format!("deploy file: {error}")));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.map(|run| run.split('#').next().unwrap_or(run).trim().trim_matches('"').to_owned());
        let run = run.unwrap_or_else(|| give_up("the deploy file has no run"));
        let folder = std::env::temp_dir().join(format!("review-{}-{:x}", std::process::id(), fresh()));
        std::fs::create_dir(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        STARTED.lock().unwrap().1 = Some(folder.clone());
        Platform { root, folder, run, children: Vec::new(), record: Arc::clone(record) }
    }

    /// Starts a proxy and waits until it says that it is ready. Returns its number.
    pub fn start(&mut self, at: Addresses, discovery: SocketAddr, list: &str, settings: &str) -> usize {
        let number = self.children.len();
        let (listen, mgmt, seed) = (at.listen, at.mgmt, fresh());
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","mgmt":"{mgmt}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{list},"settings":{settings}}}"#
        );
        let path = self.folder.join(format!("config-{number}.json"));
        std::fs::write(&path, config).unwrap_or_else(|error| give_up(&error.to_string()));
        let log =
            File::create(self.folder.join(format!("log-{number}"))).unwrap_or_else(|error| give_up(&error.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("GW_CONFIG", &path)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", listen.to_string())
            .env("GW_MGMT", mgmt.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &self.folder)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| give_up(&error.to_string()));
        STARTED.lock().unwrap().0.push(child.id());
        self.children.push(child);
        self.record.note(&format!("proxy process {number} is started by '{}'", self.run));
        let until = Instant::now() + Duration::from_secs(10);
        while !is_ready(mgmt) {
            if Instant::now() > until {
                self.end();
                give_up("a proxy was not ready within 10 s; was the build of the deploy file made?");
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.note(&format!("proxy process {number} says that it is ready"));
        number
    }

    pub fn terminate(&mut self, number: usize) {
        let id = self.children[number].id();
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -TERM {id}")]).status();
        self.record.note(&format!("SIGTERM to proxy process {number}"));
    }

    /// Whether the process still runs.
    pub fn runs(&mut self, number: usize) -> bool {
        matches!(self.children[number].try_wait(), Ok(None))
    }

    /// Ends all processes and removes the folder.
    pub fn end(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        *STARTED.lock().unwrap() = (Vec::new(), None);
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.end();
    }
}

fn is_ready(mgmt: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&mgmt, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        write!(stream, "GET /status HTTP/1.1\r\nHost: {mgmt}\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(&answer[9..] == b"200")
    };
    ask().unwrap_or(false)
}

// ---- clients ----

/// A client's connection, read line by line.
pub struct Client {
    pub stream: TcpStream,
    input: Vec<u8>,
}

/// What a client has read.
#[derive(Debug, PartialEq, Eq)]
pub enum Heard {
    Line(String),
    Ended,
    /// Nothing until the time given.
    Nothing,
}

impl Client {
    /// Connects. The connection counts as one that the proxy's machine accepted if this succeeds.
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, input: Vec::new() })
    }

    pub fn send(&self, text: &str) -> std::io::Result<()> {
        (&self.stream).write_all(text.as_bytes())
    }

    /// Waits for the next line until `until`.
    pub fn line(&mut self, until: Instant) -> Heard {
        loop {
            if let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.input.drain(..=end).collect();
                return Heard::Line(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Heard::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Heard::Ended,
                Ok(n) => self.input.extend_from_slice(&bytes[..n]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Heard::Ended,
            }
        }
    }
}

/// The first line of a client.
pub fn open_line(id: u64, class: &str, d_ms: u64) -> String {
    format!("OPEN {id:016x} {:016x} c={class},d={d_ms}\r\n", fresh())
}
