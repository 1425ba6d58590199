//! A bad proxy as a process of its own, between peers that a test scripts line by line. Every wait is bounded.

use cottonnotch_kit::addresses::Addresses;
use cottonnotch_kit::bad_proxy::{Fault, serve};
use cottonnotch_kit::plan::{NodeId, ProxyId};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const PROXY: ProxyId = ProxyId(0);
/// No test waits longer for anything.
const PATIENCE: Duration = Duration::from_secs(10);
/// Tells the child which fault to have.
const FAULT: &str = "BAD_PROXY_FAULT";

/// The child's side: this test binary, run again for its one ignored test.
pub fn serve_if_told() {
    let Ok(fault) = std::env::var(FAULT) else { return };
    // Guards against a proxy that outlives its test: the pipe ends with the test's process.
    std::thread::spawn(|| {
        let _ = std::io::stdin().read(&mut [0]);
        std::process::exit(9);
    });
    serve(fault.parse::<Fault>().ok()).unwrap();
}

pub fn within<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// One end of a connection.
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Peer(BufReader::new(stream))
    }

    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next line, its end included; empty at the connection's end.
    pub fn hear(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line or an end in time");
        line
    }

    /// What is left up to the end, be it a reset.
    pub fn rest(&mut self) -> String {
        let mut text = Vec::new();
        match self.0.read_to_end(&mut text) {
            Err(error) if error.kind() != ErrorKind::ConnectionReset => panic!("no end in time: {error}"),
            _ => String::from_utf8(text).unwrap(),
        }
    }

    /// Neither a line nor an end comes for so long.
    pub fn is_silent_for(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).unwrap();
        let silent = matches!(self.0.fill_buf(), Err(error) if error.kind() == ErrorKind::WouldBlock);
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
        silent
    }
}

/// A scripted render node or discovery.
pub struct Scripted(TcpListener);

impl Scripted {
    fn at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        Scripted(listener)
    }

    /// Who waits to be accepted.
    pub fn poll(&self) -> Option<Peer> {
        self.0.accept().ok().map(|(stream, _)| Peer::new(stream))
    }

    /// An attempt and its first line.
    pub fn called(&self) -> (Peer, String) {
        let mut peer = within("a connection", || self.poll());
        let line = peer.hear();
        (peer, line)
    }

    /// As discovery: a watch whose response begins, and the request's first line.
    pub fn watched(&self) -> (Peer, String) {
        let (mut peer, request) = self.called();
        while peer.hear() != "\r\n" {}
        peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        (peer, request)
    }
}

/// A proxy that knows some render nodes, and discovery.
pub struct Rig {
    pub nodes: Vec<Scripted>,
    pub discovery: Scripted,
    pub watch: Peer,
    pub addresses: Addresses,
    child: Child,
    folder: tempfile::TempDir,
    config: String,
}

impl Rig {
    /// With so many warm render nodes.
    pub fn start(fault: Option<Fault>, nodes: u16) -> Self {
        Self::with(fault, &vec![0; usize::from(nodes)])
    }

    /// With render nodes that started then, in Unix milliseconds.
    pub fn with(fault: Option<Fault>, started: &[u64]) -> Self {
        let addresses = Addresses::take(0).unwrap();
        let discovery = Scripted::at(addresses.discovery(0, PROXY));
        let nodes: Vec<_> =
            (0..started.len()).map(|i| Scripted::at(addresses.node(NodeId(i as u16), PROXY))).collect();
        let known: Vec<_> =
            started.iter().enumerate().map(|(i, at)| member(&addresses, i, "up", *at)).collect();
        let (own, other) = (addresses.peer(PROXY), addresses.peer(ProxyId(1)));
        let config = format!(
            r#"{{"name":"n0","seed":"7f","limits":{{"sockets":1024}},"discovery":"{}",
            "peer_listen":"{own}","peers":["{own}","{other}"],"known":{},
            "settings":{{"balancers":1,"ordinal":0,"policyLimits":{{"mostTries":3,"connectTimeout":250000.0}},
            "requestClasses":[{{"name":"look","deadline":2000000,"gain":1.0}}],"rules":{{"warmUp":9000000}}}}}}"#,
            addresses.discovery(0, PROXY),
            list(5, true, &known)
        );
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        std::fs::write(&path, &config).unwrap();
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "bad_proxy_process", "--ignored", "--nocapture"])
            .env(FAULT, fault.map_or("none".to_owned(), |fault| fault.to_string()))
            .env("GW_CONFIG", path)
            .env("GW_LISTEN", addresses.proxy(PROXY).to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let (watch, request) = discovery.watched();
        assert!(request.starts_with("GET /registry/instances?watch=1&from=5 "), "{request}");
        Rig { nodes, discovery, watch, addresses, child, folder, config }
    }

    /// A client that has said nothing yet.
    pub fn connect(&self) -> Peer {
        Peer::new(TcpStream::connect(self.addresses.proxy(PROXY)).unwrap())
    }

    /// A client that has asked, with an id of its own and so many milliseconds to wait.
    pub fn open_for(&self, ms: u32) -> Peer {
        let mut client = self.connect();
        client.say(&open(ms));
        client
    }

    pub fn open(&self) -> Peer {
        self.open_for(5000)
    }

    /// The next attempt anywhere: where, its end there, and its first line.
    pub fn called(&self) -> (usize, Peer, String) {
        let poll = || self.nodes.iter().enumerate().find_map(|(i, node)| node.poll().map(|peer| (i, peer)));
        let (place, mut peer) = within("an attempt", poll);
        let line = peer.hear();
        (place, peer, line)
    }

    /// A client that is up, its render node's end, and which one that is.
    pub fn up(&self) -> (Peer, Peer, usize) {
        let mut client = self.open();
        let (place, mut far, _) = self.called();
        far.say("UP 77\r\n");
        assert_eq!(client.hear(), "UP 77\r\n");
        (client, far, place)
    }

    /// So many requests before the one that a fault strikes, served in order.
    pub fn spared(&self, requests: usize) {
        for _ in 0..requests {
            let (client, mut far, _) = self.up();
            drop(client);
            assert_eq!(far.rest(), "");
        }
    }

    /// No render node is called within a tenth of a second.
    pub fn nobody_called(&self) -> bool {
        std::thread::sleep(Duration::from_millis(100));
        self.nodes.iter().all(|node| node.poll().is_none())
    }

    /// Tells the proxy that a render node is in this phase.
    pub fn tell(&mut self, place: usize, phase: &str) {
        let line = list(6, false, &[member(&self.addresses, place, phase, 0)]);
        self.watch.say(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// Discovery moves: the file names its new address, and the proxy gets SIGHUP.
    pub fn move_discovery(&self) -> Scripted {
        let (old, new) = (self.addresses.discovery(0, PROXY), self.addresses.discovery(1, PROXY));
        let config =
            self.config.replace(&format!(r#""discovery":"{old}""#), &format!(r#""discovery":"{new}""#));
        assert_ne!(config, self.config);
        let moved = Scripted::at(new);
        std::fs::write(self.folder.path().join("config.json"), config).unwrap();
        self.signal(Signal::HUP);
        moved
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// The code with which the proxy exits.
    pub fn exited(&mut self) -> Option<i32> {
        within("the proxy to exit", || self.child.try_wait().unwrap()).code()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A first line with an id of its own.
pub fn open(ms: u32) -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let id = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=look,d={ms},g=5c0f\r\n")
}

fn member(addresses: &Addresses, place: usize, phase: &str, started: u64) -> String {
    let address = addresses.node(NodeId(place as u16), PROXY);
    format!(
        r#"{{"id":"s{place}","host_port":"{address}","locality":"a","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{started}}}"#
    )
}

fn list(revision: u32, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}
