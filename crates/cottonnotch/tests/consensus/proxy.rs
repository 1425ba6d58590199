//! A daemon process, with its files in a folder of the scenario.

use crate::judge::Version;
use crate::{MAX_WAIT, wait_for};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A proxy; its process is killed when it is dropped.
pub struct Proxy {
    pub folder: PathBuf,
    /// The address for clients; another one after each start.
    pub address: Arc<Mutex<SocketAddr>>,
    /// The address of the admin server; another one after each start.
    mgmt: Option<SocketAddr>,
    child: Option<Child>,
    /// All lines since the first start.
    log: Arc<Mutex<Vec<String>>>,
    /// The program that it runs from the next start on.
    binary: PathBuf,
}

/// The environment variable with the path of an earlier build of the program.
const EARLIER_BUILD: &str = "COTTONNOTCH_EARLIER_BUILD";

/// An earlier build, for tests of two builds side by side; says so where there is none.
pub fn earlier_build() -> Option<PathBuf> {
    let build = std::env::var_os(EARLIER_BUILD).map(PathBuf::from);
    if build.is_none() {
        println!("skipped: {EARLIER_BUILD} names no earlier build");
    }
    build
}

impl Proxy {
    /// A proxy with these files, not started yet.
    pub fn new(folder: PathBuf, platform: &str, operator: &str) -> Self {
        std::fs::create_dir_all(folder.join("rules")).unwrap();
        std::fs::write(folder.join("platform.json"), platform).unwrap();
        std::fs::write(folder.join("operator.toml"), operator).unwrap();
        let address = Arc::new(Mutex::new(SocketAddr::from(([127, 0, 0, 1], 1))));
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_cottonnotch"));
        Proxy { folder, address, mgmt: None, child: None, log: Arc::default(), binary }
    }

    /// Runs another build of the program from the next start on.
    pub fn run(&mut self, binary: &Path) {
        self.binary = binary.to_owned();
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.binary);
        command.env_remove("RUST_LOG").env("GW_CONFIG", self.folder.join("platform.json"));
        command.env("COTTONNOTCH_OPERATOR", self.folder.join("operator.toml")).env("TMPDIR", &self.folder);
        command
    }

    /// Starts the process without waiting for it.
    pub fn launch(&mut self) {
        let mut child = self.command().stderr(Stdio::piped()).stdout(Stdio::null()).spawn().unwrap();
        let (lines, log) = (BufReader::new(child.stderr.take().unwrap()), Arc::clone(&self.log));
        std::thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|line| log.lock().unwrap().push(line));
        });
        self.child = Some(child);
    }

    /// Starts the process and waits until it accepts clients.
    pub fn start(&mut self) {
        let before = self.log().len();
        self.launch();
        let after = |words: &str| {
            let line = self.logged_since(before, words);
            line.split(words).nth(1).unwrap().split(['"', ' ']).next().unwrap().parse().unwrap()
        };
        let (mgmt, address) = (after("operators may call at "), after("listens on "));
        *self.address.lock().unwrap() = address;
        self.mgmt = Some(mgmt);
    }

    /// One of its figures; `None` if there is none of that name, or no answer.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let mut caller = TcpStream::connect(self.mgmt?).ok()?;
        caller.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        caller.write_all(b"GET /status/metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").ok()?;
        let mut text = String::new();
        caller.read_to_string(&mut text).ok()?;
        let value = text.lines().find_map(|line| line.strip_prefix(&format!("svc.{name}:")))?;
        value.split('|').next()?.parse().ok()
    }

    /// The output of `check` on its files.
    pub fn check(&self) -> Output {
        self.command().arg("check").output().unwrap()
    }

    pub fn running(&self) -> bool {
        self.child.is_some()
    }

    fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("a running proxy");
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Stops the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process (SIGCONT).
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Has it reload its files (SIGHUP).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have exited already.
            let _ = child.kill();
            child.wait().unwrap();
        }
    }

    /// Removes its state folder.
    pub fn remove_state(&self) {
        let state = self.folder.join("state");
        if state.exists() {
            std::fs::remove_dir_all(state).unwrap();
        }
    }

    /// Writes a rule file to its folder, atomically.
    pub fn write_rules(&self, name: &str, text: &str) {
        let path = self.folder.join("rules").join(name);
        let new = path.with_extension("new");
        std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path)).unwrap();
    }

    /// Changes its operator's file.
    pub fn change_operator(&self, from: &str, to: &str) {
        let path = self.folder.join("operator.toml");
        let old = std::fs::read_to_string(&path).unwrap();
        let new = old.replace(from, to);
        assert_ne!(old, new, "nothing of that is in the file");
        std::fs::write(path, new).unwrap();
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    fn logged_since(&self, line: usize, text: &str) -> String {
        let found = || self.log.lock().unwrap()[line..].iter().find(|line| line.contains(text)).cloned();
        let until = std::time::Instant::now() + MAX_WAIT;
        loop {
            if let Some(found) = found() {
                return found;
            }
            assert!(std::time::Instant::now() < until, "no line with {text:?} in {:#?}", self.log());
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Lines with this text so far.
    pub fn count_logged(&self, text: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }

    /// The first log line with this text.
    pub fn logged(&self, text: &str) -> String {
        self.logged_since(0, text)
    }

    /// The versions that it acted on, by its log, which doesn't name their contents.
    pub fn versions(&self) -> Vec<Version> {
        let number = |line: &String| {
            let rest = line.split("rules version ").nth(1)?;
            let (number, rest) = rest.split_once(' ')?;
            rest.starts_with("is active").then(|| number.parse().ok())?
        };
        self.log().iter().filter_map(number).map(|number| (number, String::new())).collect()
    }

    /// The version that was active last, by its state folder. The file has a format name, the number, the hash and a checksum.
    pub fn last_active(&self) -> Option<Version> {
        let bytes = std::fs::read(self.folder.join("state/held")).ok()?;
        let body = bytes.get(16..bytes.len().checked_sub(32)?)?;
        let at = body.iter().position(|byte| byte & 0x80 == 0)? + 1;
        let (number, hash) = body.split_at(at);
        // Seven bits a byte, the least first.
        let number = number.iter().rev().fold(0, |sum, byte| sum << 7 | u64::from(byte & 0x7f));
        Some((number, hash.iter().map(|byte| format!("{byte:02x}")).collect()))
    }

    /// The records of all its incarnations, as JSON.
    pub fn records(&self) -> Vec<simd_json::OwnedValue> {
        lines_of(&self.folder.join("records"))
    }

    /// Waits for a record of which this holds.
    pub fn recorded(&self, what: &str, holds: impl Fn(&simd_json::OwnedValue) -> bool) {
        wait_for(MAX_WAIT, what, || self.records().iter().any(&holds).then_some(()));
    }
}

/// Whole lines only: the last one may be in the writing.
fn lines_of(path: &Path) -> Vec<simd_json::OwnedValue> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let complete = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
    complete.filter_map(|line| simd_json::to_owned_value(&mut line.as_bytes().to_vec()).ok()).collect()
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = self.log();
            let last = log.len().saturating_sub(60);
            println!("log of {}:\n{}", self.folder.display(), log[last..].join("\n"));
        }
    }
}
