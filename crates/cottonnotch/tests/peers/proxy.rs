//! A proxy process under test.

use super::process::{address_after, has_all_arrived, launch_by};
use super::{
    OPEN, SETTINGS, ScriptedPeer, ScriptedServer, TIMEOUT, admin_request, list, member, wait_for,
    with_fresh_id,
};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

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

impl Proxy {
    /// A proxy that knows these render nodes as `s0`, `s1` ...
    pub fn start(nodes: &[&ScriptedServer]) -> Self {
        Self::with(nodes, 1024, SETTINGS)
    }

    pub fn with(nodes: &[&ScriptedServer], sockets: u32, settings: &str) -> Self {
        Self::by(Command::new(env!("CARGO_BIN_EXE_cottonnotch")), nodes, sockets, settings)
    }

    /// One with an admin address.
    pub fn with_admin(nodes: &[&ScriptedServer], sockets: u32, settings: &str) -> Self {
        Self::with_admin_by(Command::new(env!("CARGO_BIN_EXE_cottonnotch")), nodes, sockets, settings)
    }

    /// One with an admin address, started by this command.
    pub fn with_admin_by(command: Command, nodes: &[&ScriptedServer], sockets: u32, settings: &str) -> Self {
        Self::at(command, "127.0.0.1:0", Some("127.0.0.1:0"), ScriptedServer::new(), nodes, sockets, settings)
    }

    /// One with an admin address, at an address and with a discovery that another process may share. Its processes meet in
    /// this folder.
    pub fn shared(
        address: SocketAddr,
        folder: &std::path::Path,
        discovery: ScriptedServer,
        nodes: &[&ScriptedServer],
    ) -> Self {
        let command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
        Self::shared_by(command, address, folder, discovery, nodes)
    }

    /// As [`Self::shared`], with these settings.
    pub fn shared_with(
        address: SocketAddr,
        folder: &std::path::Path,
        nodes: &[&ScriptedServer],
        settings: &str,
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
        command.env("TMPDIR", folder);
        let (listen, discovery) = (address.to_string(), ScriptedServer::new());
        Self::at(command, &listen, Some("127.0.0.1:0"), discovery, nodes, 1024, settings)
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

    /// As [`Self::shared_by`], but it may not listen for clients yet: it waits while it cannot know of an earlier process's ids.
    pub fn shared_unlistening_by(
        mut command: Command,
        address: SocketAddr,
        folder: &std::path::Path,
        discovery: ScriptedServer,
        nodes: &[&ScriptedServer],
    ) -> Self {
        command.env("TMPDIR", folder);
        let (listen, mgmt) = (address.to_string(), Some("127.0.0.1:0"));
        let mut proxy = Self::start_unlistening(command, &listen, mgmt, discovery, nodes, 1024, SETTINGS);
        proxy.address = address;
        proxy
    }

    /// As [`Self::shared`], with no render node to begin with: it has an admin address, clients can't connect yet.
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

    /// One with an admin address and a configuration of its own; no test scripts its discovery.
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

    /// One with an admin address that knows these members.
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

    /// One that may not listen for clients yet; it has an admin address if one is configured.
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

    /// The address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.mgmt.unwrap()
    }

    /// An operator's request: the status code, and the body.
    pub fn admin_request(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        admin_request(self.admin_address(), method, path, body)
    }

    /// One of the metrics; `None` where there is none of that name.
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

    /// A client whose connection is established at this render node, and the render node's end.
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
        let listeners: Vec<SocketAddr> = [Some(self.address), self.mgmt].into_iter().flatten().collect();
        wait_for(TIMEOUT, "bytes and ends to arrive", || {
            has_all_arrived(self.child.id(), &listeners).then_some(())
        });
    }

    /// Waits until no connection of the process to this address is being made any more: nobody listens there, and the
    /// system tells it when it next tries.
    pub fn wait_until_refused(&self, address: SocketAddr) {
        const SYN_SENT: &str = "02";
        let suffix = format!(":{:04X}", address.port());
        wait_for(TIMEOUT, "the refusal", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let words = |line: &str| -> Vec<String> { line.split_whitespace().map(str::to_owned).collect() };
            let is_made = |row: &Vec<String>| row[2].ends_with(&suffix) && row[3] == SYN_SENT;
            (!table.lines().skip(1).map(words).any(|row| is_made(&row))).then_some(())
        });
    }

    /// Waits until a connection of the process to this address has been dropped by a full backlog: it is still being made a fifth of
    /// a second after its first packet, and the system tries again a second after that packet. Without this, a packet that a busy
    /// machine delivers late could meet room that was made for the second try.
    pub fn wait_until_dropped(&self, address: SocketAddr) {
        const SYN_SENT: &str = "02";
        /// Hundredths of a second that are left of the second when a fifth of it is over.
        const LEFT: u32 = 80;
        let suffix = format!(":{:04X}", address.port());
        wait_for(TIMEOUT, "a dropped connection", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let mut rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
            let until_retry = |row: &Vec<&str>| u32::from_str_radix(row[5].split(':').nth(1)?, 16).ok();
            let is_dropped = |row: &Vec<&str>| until_retry(row).is_some_and(|left| left <= LEFT);
            rows.any(|row| row[2].ends_with(&suffix) && row[3] == SYN_SENT && is_dropped(&row)).then_some(())
        });
    }

    /// Waits until a connection of the process to this address has been dropped by a full backlog at the system's second try,
    /// too: a fifth of a second later, so that a packet that a busy machine delivers late meets no room.
    pub fn wait_until_dropped_twice(&self, address: SocketAddr) {
        const SYN_SENT: &str = "02";
        let suffix = format!(":{:04X}", address.port());
        wait_for(TIMEOUT, "a connection that is dropped twice", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let mut rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
            let was_repeated = |row: &Vec<&str>| u32::from_str_radix(row[6], 16).is_ok_and(|tries| tries > 0);
            rows.any(|row| row[2].ends_with(&suffix) && row[3] == SYN_SENT && was_repeated(&row))
                .then_some(())
        });
        std::thread::sleep(Duration::from_millis(200));
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
        // A test that fails shows the proxy's last log lines: no failure without a trace.
        if std::thread::panicking() {
            self.drain_log().iter().for_each(|line| eprintln!("proxy: {line}"));
        }
    }
}
