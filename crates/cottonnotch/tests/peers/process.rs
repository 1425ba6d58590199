//! Processes of the daemon, and what the system shows of their sockets.

use super::ScriptedPeer;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};

/// The address in a log line, after these words.
pub(super) fn address_after(line: &str, words: &str) -> SocketAddr {
    let rest = line.split(words).nth(1).unwrap();
    rest.split(['"', ' ']).next().unwrap().parse().unwrap()
}

/// Whether all that peers have sent to a process has arrived, also at its listeners. The system delivers a packet later where
/// it is busy, and one that was sent after it may be there sooner.
pub(super) fn has_all_arrived(process: u32, listeners: &[SocketAddr]) -> bool {
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
    let at_listener =
        |end: &str| listeners.iter().any(|listener| end.ends_with(&format!(":{:04X}", listener.port())));
    let is_there = |row: &Vec<&str>| match by_ends.get(&(row[2], row[1])) {
        None => row[3] != ESTABLISHED,
        Some(far) => !UNDER_WAY.contains(&far[3]) && far[4].starts_with("00000000:"),
    };
    let ours = |row: &&Vec<&str>| own.contains(row[9]) || at_listener(row[1]) || at_listener(row[2]);
    rows.iter().filter(ours).all(is_there)
}

/// An operator's request to any proxy: the status code, and the body.
pub fn admin_request(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut admin = ScriptedPeer::new(TcpStream::connect(address).unwrap());
    let length = body.len();
    admin.send(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"));
    admin.answer()
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

pub(super) fn launch_by(mut command: Command, config: &str) -> (Child, Receiver<String>, PathBuf) {
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
