//! The start of the consensus thread: it takes, or waits for, its address and its state folder, and restores its state.

use super::clock::Clock;
use super::consensus_handle::ConsensusHandle;
use super::consensus_loop::ConsensusLoop;
use super::consensus_setup::{ConsensusSetup, MemberSettings, SharedState};
use super::content_server::ContentServer;
use super::durable_file::StateFolder;
use super::lease_file::LeaseFile;
use super::state_recovery::{follow_predecessor, restore_state};
use cottonnotch_consensus::{Config, Input, Member};
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// While another process of this proxy has the address or the folder, they are tried again after this.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Whether another process of this proxy may still have the address and the state folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// There is none: what is taken is an error.
    Absent,
    /// There may be one: what is taken is waited for.
    MayRun,
}

/// Starts the thread. Fails if the address or the folder can't be had and isn't waited for.
pub fn start(
    setup: ConsensusSetup,
    inputs: (Sender<Input>, Receiver<Input>),
    predecessor: Predecessor,
) -> io::Result<ConsensusHandle> {
    let (sender, inputs) = inputs;
    let handle = ConsensusHandle::new(sender, setup.shared.contents.clone());
    let resources = match Resources::acquire(&setup) {
        Ok(resources) => Some(resources),
        Err(error) if predecessor == Predecessor::MayRun && is_taken(&error) => {
            log::info!("consensus starts once the predecessor has released its address");
            None
        }
        Err(error) => return Err(error),
    };
    let own_handle = handle.clone();
    let thread = std::thread::Builder::new().name("rules-accord".into());
    thread.spawn(move || {
        let status = Arc::clone(&setup.shared.status);
        if let Err(error) = run(setup, &own_handle, &inputs, resources) {
            log::error!(error:%; "consensus stops in this process, its lease will expire: {error}");
            status.lock().consensus_error = Some(error.to_string());
        }
    })?;
    Ok(handle)
}

/// Whether another process has what was asked for.
fn is_taken(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::WouldBlock)
}

/// What only one process of a member can have.
struct Resources {
    socket: UdpSocket,
    content_server: ContentServer,
    state_folder: Option<StateFolder>,
}

impl Resources {
    fn acquire(setup: &ConsensusSetup) -> io::Result<Self> {
        let MemberSettings { listen, state_folder, .. } = &setup.member;
        let socket = UdpSocket::bind(listen).map_err(|error| with_key("accord.listen", error))?;
        let state_folder = state_folder.as_deref().map(StateFolder::open).transpose();
        let state_folder = state_folder.map_err(|error| with_key("accord.state_folder", error))?;
        let content_server = ContentServer::start(*listen, setup.shared.contents.clone());
        let content_server = content_server.map_err(|error| with_key("accord.listen", error))?;
        Ok(Resources { socket, content_server, state_folder })
    }
}

/// Names the configuration's key in an error; not in one that is waited for, which shows nobody its text.
fn with_key(key: &str, error: io::Error) -> io::Error {
    if is_taken(&error) { error } else { io::Error::new(error.kind(), format!("{key}: {error}")) }
}

fn run(
    setup: ConsensusSetup,
    handle: &ConsensusHandle,
    inputs: &Receiver<Input>,
    resources: Option<Resources>,
) -> io::Result<()> {
    let Some(resources) = wait_for_resources(&setup, handle, resources)? else { return Ok(()) };
    let Resources { socket, content_server, state_folder } = resources;
    if let Ok(waker) = waker(&socket) {
        handle.set_waker(waker);
    }
    let ConsensusSetup { member: settings, shared } = setup;
    let member = start_member(&settings, &shared, handle, state_folder.as_ref())?;
    let folder = settings.state_folder.as_deref().filter(|_| state_folder.is_some());
    let lease_file = folder.map(LeaseFile::create).transpose()?;
    *handle.state_folder() = state_folder;
    let result = ConsensusLoop::new(settings, shared, handle, socket, member, lease_file).run(inputs);
    // Granted leases expire by themselves. The address and the folder are free for the next process.
    content_server.stop();
    *handle.state_folder() = None;
    result
}

/// Retries until the predecessor has released the address and the folder, and follows its lease meanwhile; `None`: stopped.
fn wait_for_resources(
    setup: &ConsensusSetup,
    handle: &ConsensusHandle,
    mut acquired: Option<Resources>,
) -> io::Result<Option<Resources>> {
    while !handle.is_stopped() {
        match acquired.take().map_or_else(|| Resources::acquire(setup), Ok) {
            Ok(resources) => return Ok(Some(resources)),
            Err(error) if is_taken(&error) => {
                let folder = setup.member.state_folder.as_deref();
                folder.and_then(|folder| follow_predecessor(folder, &setup.shared));
                std::thread::sleep(RETRY_AFTER);
            }
            Err(error) => return Err(error),
        }
    }
    Ok(None)
}

/// The member, with the state that an earlier process left.
fn start_member(
    settings: &MemberSettings,
    shared: &SharedState,
    handle: &ConsensusHandle,
    state_folder: Option<&StateFolder>,
) -> io::Result<Member> {
    let durable_state = restore_state(settings, shared, handle, state_folder)?;
    let now = Clock.now();
    let config = Config { incarnation: incarnation(), ..settings.config.clone() };
    Ok(Member::new(config, now, durable_state, settings.seed ^ incarnation()))
}

/// Never given twice to this member: the time of the start, in microseconds.
fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// A socket whose datagrams reach this one.
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
