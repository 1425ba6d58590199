//! The thread of the accord, as others have it, and its start: address, folder and memory are had, or waited for.

use super::clock::Clock;
use super::consensus_handle::Agent;
use super::consensus_loop::Thread;
use super::consensus_parts::Parts;
use super::content_server::Serving;
use super::durable_file::Disk;
use super::lease_file::LeaseFile;
use super::state_recovery::{borrow, remembered};
use cottonnotch_consensus::{Config, Input, Member};
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Another process of this proxy has the address, or the folder: it is tried again after this.
const AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Begins the thread. Fails if the address can't be had; `waits`: unless another process may have it still.
pub fn start(parts: Parts, commands: (Sender<Input>, Receiver<Input>), waits: bool) -> io::Result<Agent> {
    let agent = Agent {
        commands: commands.0,
        waker: Arc::default(),
        disk: Arc::default(),
        library: parts.library.clone(),
        stop: Arc::default(),
    };
    let opened = match open(&parts) {
        Ok(opened) => Some(opened),
        Err(error) if waits && is_taken(&error) => {
            log::info!("the accord begins once the earlier process has left its address");
            None
        }
        Err(error) => return Err(error),
    };
    let running = agent.clone();
    let thread = std::thread::Builder::new().name("rules-accord".into());
    thread.spawn(move || {
        let board = Arc::clone(&parts.board);
        if let Err(error) = run(parts, &running, commands.1, opened) {
            log::error!(error:%; "the accord ends here, its lease runs out: {error}");
            board.seen().consensus_error = Some(error.to_string());
        }
    })?;
    Ok(agent)
}

/// Another process has it.
fn is_taken(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::WouldBlock)
}

/// What one process of a member has alone.
struct Opened {
    socket: UdpSocket,
    serving: Serving,
    disk: Option<Disk>,
}

fn open(parts: &Parts) -> io::Result<Opened> {
    let said = |what: &str, error: io::Error| {
        if is_taken(&error) { error } else { io::Error::new(error.kind(), format!("{what}: {error}")) }
    };
    let socket = UdpSocket::bind(parts.listen).map_err(|error| said("accord.listen", error))?;
    let disk = parts.state_folder.as_deref().map(Disk::open).transpose();
    let disk = disk.map_err(|error| said("accord.state_folder", error))?;
    let serving = Serving::start(parts.listen, parts.library.clone());
    let serving = serving.map_err(|error| said("accord.listen", error))?;
    Ok(Opened { socket, serving, disk })
}

fn run(
    parts: Parts,
    agent: &Agent,
    commands: Receiver<Input>,
    opened: Option<Opened>,
) -> Result<(), io::Error> {
    let mut opened = opened;
    let Opened { socket, serving, disk } = loop {
        if agent.is_stopped() {
            return Ok(());
        }
        match opened.take().map_or_else(|| open(&parts), Ok) {
            Ok(opened) => break opened,
            Err(error) if is_taken(&error) => {
                borrow(&parts);
                std::thread::sleep(AGAIN_AFTER);
            }
            Err(error) => return Err(error),
        }
    };
    if let Ok(waker) = waker(&socket) {
        let _ = agent.waker.set(waker);
    }
    let memory = remembered(&parts, agent, disk.as_ref())?;
    let lease = parts.state_folder.as_deref().filter(|_| disk.is_some()).map(LeaseFile::own).transpose()?;
    *agent.disk() = disk;
    let now = Clock.now();
    let config = Config { incarnation: incarnation(), ..parts.config.clone() };
    let member = Member::new(config, now, memory, parts.seed ^ incarnation());
    let mut thread = Thread { parts, agent, socket, member, lease, told: None };
    let ended = thread.run(&commands);
    // What was granted ends by itself. The address and the folder are free for the next process.
    serving.stop();
    *agent.disk() = None;
    ended
}

/// Never given twice to this member: the time of the start.
fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// A socket that reaches this one.
fn waker(socket: &UdpSocket) -> io::Result<UdpSocket> {
    let mut to = socket.local_addr()?;
    match to {
        SocketAddr::V4(v4) if v4.ip().is_unspecified() => to.set_ip(Ipv4Addr::LOCALHOST.into()),
        SocketAddr::V6(v6) if v6.ip().is_unspecified() => to.set_ip(Ipv6Addr::LOCALHOST.into()),
        _ => {}
    }
    let waker = UdpSocket::bind((to.ip(), 0))?;
    waker.connect(to)?;
    waker.set_nonblocking(true)?;
    Ok(waker)
}
