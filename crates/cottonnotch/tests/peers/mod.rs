//! The one helper of the stories over sockets: a proxy process, and peers that a story scripts line by line.
//! Ports are ephemeral and every wait is bounded.
#![allow(dead_code, reason = "each file of stories uses its part")]

pub mod full_backlog;
pub mod shims;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// No story waits longer for anything.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `look` finds something; fails the story if it never does.
pub fn wait_for<T>(time: Duration, what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + time;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// One end of a connection.
pub struct ScriptedPeer(BufReader<TcpStream>);

impl ScriptedPeer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        ScriptedPeer(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Says it, or tells why that can't be done.
    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// The next line, or why there is none.
    pub fn try_receive(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        self.0.read_line(&mut line).map(|_| line)
    }

    /// The next line, its end included; empty at the connection's end.
    pub fn receive(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line or an end in time");
        line
    }

    /// Waits until something has come, and leaves it unread.
    pub fn wait_for_unread(&self) {
        assert_eq!(self.0.get_ref().peek(&mut [0]).expect("something in time"), 1);
    }

    /// What is left, up to the end; the error if it ends in a reset.
    pub fn receive_rest(&mut self) -> std::io::Result<String> {
        let mut text = String::new();
        self.0.read_to_string(&mut text).map(|_| text)
    }

    /// As an operator: the answer's status code and body, once the connection has ended.
    pub fn answer(&mut self) -> (u16, String) {
        let text = self.receive_rest().expect("an answer and an end in time");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Says it, and ends the connection with a reset at once.
    pub fn send_and_reset(mut self, text: &str) {
        self.send(text);
        self.reset();
    }

    /// Waits until the other side's process has read all that was said.
    pub fn wait_until_read(&self) {
        let (here, there) = (self.0.get_ref().local_addr().unwrap(), self.0.get_ref().peer_addr().unwrap());
        let wire = |address: SocketAddr| match address {
            SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()),
            SocketAddr::V6(_) => panic!("stories are played over IPv4"),
        };
        let (here, there) = (wire(here), wire(there));
        wait_for(TIMEOUT, "all is read", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let words = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
            let mut theirs = words.filter(|words| words[1] == there && words[2] == here);
            theirs.next().is_some_and(|words| words[4].ends_with(":00000000")).then_some(())
        });
    }

    /// Says it byte by byte, each once the one before is read.
    pub fn send_bytewise(&mut self, text: &str) {
        for byte in text.chars() {
            self.send(&byte.to_string());
            self.wait_until_read();
        }
    }

    /// So much may be sent at once though nobody reads it.
    pub fn with_send_buffer(self, bytes: usize) -> Self {
        socket2::SockRef::from(self.0.get_ref()).set_send_buffer_size(bytes).unwrap();
        self
    }

    /// The other side has broken it, also where it had ended its sending before and reading shows only that.
    pub fn is_broken(&self) -> bool {
        self.0.get_ref().take_error().unwrap().is_some()
    }

    /// Ends only the sending.
    pub fn finish(&self) {
        self.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }
}

/// A scripted render node or discovery; or the mere address of one that serves elsewhere.
pub struct ScriptedServer(TcpListener, Option<SocketAddr>);

impl ScriptedServer {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        ScriptedServer(listener, None)
    }

    /// One that listens already, without waiting.
    pub fn listening(listener: TcpListener) -> Self {
        ScriptedServer(listener, None)
    }

    /// Stands for one that serves at this address.
    pub fn alias(address: SocketAddr) -> Self {
        ScriptedServer(ScriptedServer::new().0, Some(address))
    }

    pub fn address(&self) -> SocketAddr {
        self.1.unwrap_or_else(|| self.0.local_addr().unwrap())
    }

    pub fn poll(&self) -> Option<ScriptedPeer> {
        self.poll_from().map(|(peer, _)| peer)
    }

    /// With the address from which it comes.
    pub fn poll_from(&self) -> Option<(ScriptedPeer, SocketAddr)> {
        self.0.accept().ok().map(|(stream, from)| (ScriptedPeer::new(stream), from))
    }

    pub fn accept(&self) -> ScriptedPeer {
        wait_for(TIMEOUT, "a connection", || self.poll())
    }

    /// Accepts a call attempt and reads its first line.
    pub fn accept_attempt(&self) -> (ScriptedPeer, String) {
        let mut peer = self.accept();
        let line = peer.receive();
        (peer, line)
    }

    /// Lets an attempt elsewhere fail, and takes the next one here.
    pub fn accept_attempt_after(&self, elsewhere: ScriptedPeer) -> ScriptedPeer {
        drop(elsewhere);
        self.accept_attempt().0
    }

    /// As discovery: accepts a watch and begins its response; returns what was asked for.
    pub fn accept_watch(&self) -> (ScriptedPeer, String) {
        let (mut peer, request) = self.accept_attempt();
        while peer.receive() != "\r\n" {}
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        (peer, request)
    }
}

/// Which of these gets the next connection, and its end there.
pub fn accept_attempt_at(nodes: &[ScriptedServer]) -> (usize, ScriptedPeer) {
    let poll = |(i, node): (usize, &ScriptedServer)| node.poll().map(|peer| (i, peer));
    wait_for(TIMEOUT, "an attempt", || nodes.iter().enumerate().find_map(poll))
}

/// The member of a list that a scripted render node is.
pub fn member(id: &str, node: &ScriptedServer, phase: &str) -> String {
    let address = node.address();
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

pub fn list(revision: u32, complete: bool, members: &[String]) -> String {
    let members = members.join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

/// An address that is free, and that processes may share.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A chunk of a response that holds one line.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

pub const SETTINGS: &str = r#"{"balancers":1,"ordinal":0,"zones":["a"],"zone":"a","registryMode":"on_request",
    "policyLimits":{"mostTries":3,"connectTimeout":250000,"retryAfter":true,"maxRetryAfter":1000000},
    "familyInfo":{"messageAim":[150000.0]},
    "requestClasses":[{"name":"look","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}]}"#;

/// A line that opens a connection of class `look`.
pub const OPEN: &str = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=look,d=2000,g=5c0f\r\n";

/// The id on the wire of a line that opens a connection.
pub fn id_of(line: &str) -> u64 {
    u64::from_str_radix(line.split(' ').nth(1).unwrap(), 16).unwrap()
}

/// The line with an id of its own.
pub fn with_fresh_id(line: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    line.replace("9b1f03aa5c7e2d41", &format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed)))
}

/// A running proxy; killed when dropped.
pub struct Proxy {
    child: Child,
    address: SocketAddr,
    log: Receiver<String>,
    config: String,
    path: PathBuf,
    mgmt: Option<SocketAddr>,
    pub discovery: ScriptedServer,
}

/// The address in a log line, after these words.
fn address_after(line: &str, words: &str) -> SocketAddr {
    let rest = line.split(words).nth(1).unwrap();
    rest.split(['"', ' ']).next().unwrap().parse().unwrap()
}

/// All that peers have sent to a process has arrived, also at those of its doors. The system delivers a packet later where
/// it is busy, and one that was sent after it may be there sooner.
fn has_all_arrived(process: u32, doors: &[SocketAddr]) -> bool {
    let folder = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
    let links = folder.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    let own: HashSet<String> = links
        .filter_map(|link| Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    // Address and port are in hexadecimal, states by their numbers.
    const ESTABLISHED: &str = "01";
    const UNDER_WAY: [&str; 4] = ["03", "04", "09", "0B"];
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows: Vec<Vec<&str>> = table.lines().skip(1).map(|line| line.split_whitespace().collect()).collect();
    let by_ends: HashMap<(&str, &str), &Vec<&str>> = rows.iter().map(|row| ((row[1], row[2]), row)).collect();
    let at_door = |end: &str| doors.iter().any(|door| end.ends_with(&format!(":{:04X}", door.port())));
    let is_there = |row: &Vec<&str>| match by_ends.get(&(row[2], row[1])) {
        None => row[3] != ESTABLISHED,
        Some(far) => !UNDER_WAY.contains(&far[3]) && far[4].starts_with("00000000:"),
    };
    let ours = |row: &&Vec<&str>| own.contains(row[9]) || at_door(row[1]) || at_door(row[2]);
    rows.iter().filter(ours).all(is_there)
}

/// An operator's call of any proxy's: the status code, and the body.
pub fn admin_request(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut caller = ScriptedPeer::new(TcpStream::connect(address).unwrap());
    let length = body.len();
    caller.send(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"));
    caller.answer()
}

/// Starts the program with a configuration and hands over its log.
pub fn launch(config: &str) -> (Child, Receiver<String>) {
    let (child, log, _) = launch_by(Command::new(env!("CARGO_BIN_EXE_cottonnotch")), config);
    (child, log)
}

/// The program, once the system lets it have only so many descriptors.
pub fn with_descriptor_limit(descriptors: u32) -> Command {
    let mut command = Command::new("/bin/sh");
    let program = env!("CARGO_BIN_EXE_cottonnotch");
    command.args(["-c", &format!("ulimit -n {descriptors}; exec '{program}'")]);
    command
}

fn launch_by(mut command: Command, config: &str) -> (Child, Receiver<String>, PathBuf) {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("cottonnotch-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let command = command.env_remove("RUST_LOG").env("GW_CONFIG", &path).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let (send, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap());
    std::thread::spawn(move || lines.lines().map_while(Result::ok).all(|line| send.send(line).is_ok()));
    (child, log, path)
}

impl Proxy {
    /// A proxy that knows these render nodes as `s0`, `s1` ...
    pub fn start(nodes: &[&ScriptedServer]) -> Self {
        Self::with(nodes, 1024, SETTINGS)
    }

    pub fn with(nodes: &[&ScriptedServer], sockets: u32, settings: &str) -> Self {
        Self::by(Command::new(env!("CARGO_BIN_EXE_cottonnotch")), nodes, sockets, settings)
    }

    /// One that operators may call.
    pub fn with_admin(nodes: &[&ScriptedServer], sockets: u32, settings: &str) -> Self {
        Self::with_admin_by(Command::new(env!("CARGO_BIN_EXE_cottonnotch")), nodes, sockets, settings)
    }

    /// One that operators may call, started by this command.
    pub fn with_admin_by(command: Command, nodes: &[&ScriptedServer], sockets: u32, settings: &str) -> Self {
        Self::at(command, "127.0.0.1:0", Some("127.0.0.1:0"), ScriptedServer::new(), nodes, sockets, settings)
    }

    /// One that operators may call, at an address and with a discovery that another process may share. Its processes
    /// meet in this folder.
    pub fn shared(
        address: SocketAddr,
        folder: &std::path::Path,
        discovery: ScriptedServer,
        nodes: &[&ScriptedServer],
    ) -> Self {
        let command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
        Self::shared_by(command, address, folder, discovery, nodes)
    }

    /// As [`Self::shared`], started by this command.
    pub fn shared_by(
        mut command: Command,
        address: SocketAddr,
        folder: &std::path::Path,
        discovery: ScriptedServer,
        nodes: &[&ScriptedServer],
    ) -> Self {
        command.env("TMPDIR", folder);
        let listen = address.to_string();
        Self::at(command, &listen, Some("127.0.0.1:0"), discovery, nodes, 1024, SETTINGS)
    }

    /// As [`Self::shared`], with no render node to begin with: operators may call it, clients can't connect yet.
    pub fn start_without_nodes(address: SocketAddr, folder: &std::path::Path) -> Self {
        let command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
        Self::start_without_nodes_by(command, address, folder, ScriptedServer::new())
    }

    /// As [`Self::start_without_nodes`], started by this command and with this discovery.
    pub fn start_without_nodes_by(
        mut command: Command,
        address: SocketAddr,
        folder: &std::path::Path,
        discovery: ScriptedServer,
    ) -> Self {
        command.env("TMPDIR", folder);
        let (listen, mgmt) = (address.to_string(), Some("127.0.0.1:0"));
        Self::start_unlistening(command, &listen, mgmt, discovery, &[], 1024, SETTINGS)
    }

    /// One that operators may call, with a configuration of its own; no story speaks for its discovery.
    pub fn configured(command: Command, config: String) -> Self {
        let (child, log, path) = launch_by(command, &config);
        let discovery = ScriptedServer::new();
        let mut proxy =
            Proxy { child, address: discovery.address(), log, config, path, mgmt: None, discovery };
        proxy.mgmt =
            Some(address_after(&proxy.wait_for_log("operators may call at "), "operators may call at "));
        proxy.address = address_after(&proxy.wait_for_log("listens on "), "listens on ");
        proxy
    }

    /// One that operators may call, that knows these members.
    pub fn with_endpoints(known: &[String], settings: &str) -> Self {
        Self::with_endpoints_by(Command::new(env!("CARGO_BIN_EXE_cottonnotch")), known, settings)
    }

    /// As [`Self::with_endpoints`], started by this command.
    pub fn with_endpoints_by(command: Command, known: &[String], settings: &str) -> Self {
        Self::with_endpoints_at(command, "127.0.0.1:0".parse().unwrap(), known, settings)
    }

    /// As [`Self::with_endpoints_by`], at this address.
    pub fn with_endpoints_at(command: Command, listen: SocketAddr, known: &[String], settings: &str) -> Self {
        let (listen, mgmt) = (listen.to_string(), Some("127.0.0.1:0"));
        let mut proxy = Self::start_unlistening_with(
            command,
            &listen,
            mgmt,
            ScriptedServer::new(),
            known,
            1024,
            settings,
        );
        proxy.address = address_after(&proxy.wait_for_log("listens on "), "listens on ");
        proxy
    }

    /// One that is started by this command.
    pub fn by(command: Command, nodes: &[&ScriptedServer], sockets: u32, settings: &str) -> Self {
        Self::at(command, "127.0.0.1:0", None, ScriptedServer::new(), nodes, sockets, settings)
    }

    fn at(
        command: Command,
        listen: &str,
        mgmt: Option<&str>,
        discovery: ScriptedServer,
        nodes: &[&ScriptedServer],
        sockets: u32,
        settings: &str,
    ) -> Self {
        let mut proxy = Self::start_unlistening(command, listen, mgmt, discovery, nodes, sockets, settings);
        proxy.address = address_after(&proxy.wait_for_log("listens on "), "listens on ");
        proxy
    }

    /// One that operators can call, if it is one for that; clients may not be let in yet.
    fn start_unlistening(
        command: Command,
        listen: &str,
        mgmt: Option<&str>,
        discovery: ScriptedServer,
        nodes: &[&ScriptedServer],
        sockets: u32,
        settings: &str,
    ) -> Self {
        let known: Vec<String> =
            nodes.iter().enumerate().map(|(i, node)| member(&format!("s{i}"), node, "up")).collect();
        Self::start_unlistening_with(command, listen, mgmt, discovery, &known, sockets, settings)
    }

    fn start_unlistening_with(
        command: Command,
        listen: &str,
        mgmt: Option<&str>,
        discovery: ScriptedServer,
        known: &[String],
        sockets: u32,
        settings: &str,
    ) -> Self {
        let (found, known, mgmt) = (discovery.address(), list(1, true, known), mgmt.unwrap_or_default());
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","mgmt":"{mgmt}","discovery":"{found}","seed":"7f","limits":{{"sockets":{sockets}}},
            "known":{known},"settings":{settings}}}"#
        );
        let (child, log, path) = launch_by(command, &config);
        let mut proxy = Proxy { child, address: found, log, config, path, mgmt: None, discovery };
        if !mgmt.is_empty() {
            proxy.mgmt =
                Some(address_after(&proxy.wait_for_log("operators may call at "), "operators may call at "));
        }
        proxy
    }

    /// The next log line with this text in it.
    pub fn wait_for_log(&self, text: &str) -> String {
        wait_for(TIMEOUT, text, || self.log.try_recv().ok().filter(|line| line.contains(text)))
    }

    /// The log since it was last read.
    pub fn drain_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// The log up to the next line with this text in it.
    pub fn drain_log_until(&self, text: &str) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        while lines.last().is_none_or(|line| !line.contains(text)) {
            lines.push(wait_for(TIMEOUT, text, || self.log.try_recv().ok()));
        }
        lines
    }

    pub fn connect(&self) -> ScriptedPeer {
        ScriptedPeer::new(TcpStream::connect(self.address).unwrap())
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators call.
    pub fn admin_address(&self) -> SocketAddr {
        self.mgmt.unwrap()
    }

    /// An operator's call: the status code, and the body.
    pub fn admin_request(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        admin_request(self.admin_address(), method, path, body)
    }

    /// One of the figures; `None` where there is none of that name.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let (status, text) = self.admin_request("GET", "/status/metrics", "");
        assert_eq!(status, 200);
        let value = text.lines().find_map(|line| line.strip_prefix(&format!("svc.{name}:")))?;
        Some(value.split('|').next().unwrap().parse().unwrap())
    }

    /// A client that has sent its first line.
    pub fn open(&self) -> ScriptedPeer {
        let mut client = self.connect();
        client.send(&with_fresh_id(OPEN));
        client
    }

    /// A client that is up at this render node, and the render node's end.
    pub fn establish(&self, node: &ScriptedServer) -> (ScriptedPeer, ScriptedPeer) {
        let mut client = self.open();
        let mut far = node.accept_attempt().0;
        far.send("UP 1\r\n");
        assert_eq!(client.receive(), "UP 1\r\n");
        (client, far)
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Ends it as the system does when there is no time left.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Replaces the configuration file, with these parts of the first one changed, and sends SIGHUP.
    pub fn reconfigure(&self, changes: &[(&str, &str)]) {
        let changed = changes.iter().fold(self.config.clone(), |text, (from, to)| text.replace(from, to));
        assert_ne!(changed, self.config);
        let new = self.path.with_extension("new");
        std::fs::write(&new, changed).and_then(|()| std::fs::rename(&new, &self.path)).unwrap();
        self.reload();
    }

    /// Puts the first configuration file back, and sends SIGHUP.
    pub fn restore_config(&self) {
        std::fs::write(&self.path, &self.config).unwrap();
        self.reload();
    }

    /// Cuts the first configuration file down to so many bytes, and sends SIGHUP.
    pub fn truncate_config(&self, left: usize) {
        std::fs::write(&self.path, &self.config[..left]).unwrap();
        self.reload();
    }

    /// Sends SIGHUP.
    pub fn reload(&self) {
        self.signal("-HUP");
    }

    /// Stops the process: whatever its peers do until [`Self::wake`] is all there at once when it goes on.
    pub fn pause(&self) {
        self.signal("-STOP");
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        wait_for(TIMEOUT, "the proxy to stop", || state().contains(") T ").then_some(()));
    }

    /// Waits until all that was sent to the process is there: what is sent from now on comes after it.
    pub fn wait_until_arrived(&self) {
        let doors: Vec<SocketAddr> = [Some(self.address), self.mgmt].into_iter().flatten().collect();
        wait_for(TIMEOUT, "bytes and ends to arrive", || {
            has_all_arrived(self.child.id(), &doors).then_some(())
        });
    }

    /// Waits until no connection of the process to this address is being made any more: nobody listens there, and the
    /// system tells it when it next tries.
    pub fn wait_until_refused(&self, address: SocketAddr) {
        const SYN_SENT: &str = "02";
        let door = format!(":{:04X}", address.port());
        wait_for(TIMEOUT, "the refusal", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let words = |line: &str| -> Vec<String> { line.split_whitespace().map(str::to_owned).collect() };
            let is_made = |row: &Vec<String>| row[2].ends_with(&door) && row[3] == SYN_SENT;
            (!table.lines().skip(1).map(words).any(|row| is_made(&row))).then_some(())
        });
    }

    /// The process goes on, once all that was sent to it is there; since when.
    pub fn resume_after_arrival(&self) -> Instant {
        self.wait_until_arrived();
        let since = Instant::now();
        self.resume();
        since
    }

    /// The process goes on, whatever is still on its way.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let killed = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(killed.unwrap().success());
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for(TIMEOUT, "the proxy to exit", || self.child.try_wait().unwrap())
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // A test that fails shows what the proxy said last: no failure without a trace.
        if std::thread::panicking() {
            self.drain_log().iter().for_each(|line| eprintln!("proxy: {line}"));
        }
    }
}
