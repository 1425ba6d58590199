//! The start of the consensus thread. The thread acquires its address and state folder, restores its state, and runs the loop.
//! If a predecessor still holds the address or the folder, the thread waits for them.

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

/// The interval between two attempts to acquire the address and the folder while another process of this proxy holds them.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Whether an earlier process of this proxy may still hold the address and the state folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// There is no such process. An address or folder in use is an error.
    Absent,
    /// There may be such a process. The thread waits for an address or folder in use.
    MayRun,
}

/// Starts the thread. Fails if the address or the folder cannot be acquired, unless a predecessor may still hold them.
pub fn start(
    setup: ConsensusSetup,
    inputs: (Sender<Input>, Receiver<Input>),
    predecessor: Predecessor,
) -> io::Result<ConsensusHandle> {
    let (sender, inputs) = inputs;
    let handle = ConsensusHandle::new(sender, setup.shared.contents.clone());
    let resources = match Resources::acquire(&setup) {
        Ok(resources) => Some(resources),
        Err(error) if predecessor == Predecessor::MayRun && is_in_use(&error) => {
            log::info!("consensus starts once the predecessor has released its address");
            None
        }
        Err(error) => return Err(error),
    };
    let thread_handle = handle.clone();
    let thread = std::thread::Builder::new().name("rules-accord".into());
    thread.spawn(move || {
        let status = Arc::clone(&setup.shared.status);
        if let Err(error) = run(setup, &thread_handle, &inputs, resources) {
            log::error!(error:%; "consensus stops in this process, its lease will expire: {error}");
            status.lock().consensus_error = Some(error.to_string());
        }
    })?;
    Ok(handle)
}

/// Whether the error means that another process holds the address or the folder.
fn is_in_use(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::WouldBlock)
}

/// The resources that only one process of a member can hold at a time.
struct Resources {
    socket: UdpSocket,
    content_server: ContentServer,
    state_folder: Option<StateFolder>,
}

impl Resources {
    fn acquire(setup: &ConsensusSetup) -> io::Result<Self> {
        let MemberSettings { listen, state_folder, .. } = &setup.member;
        let socket = UdpSocket::bind(listen).map_err(|error| add_key_to_error("accord.listen", error))?;
        let state_folder = state_folder.as_deref().map(StateFolder::open).transpose();
        let state_folder = state_folder.map_err(|error| add_key_to_error("accord.state_folder", error))?;
        let content_server = ContentServer::start(*listen, setup.shared.contents.clone());
        let content_server = content_server.map_err(|error| add_key_to_error("accord.listen", error))?;
        Ok(Resources { socket, content_server, state_folder })
    }
}

/// Adds the configuration key to an error's message. An error for a resource in use is returned unchanged: `is_in_use` has to
/// recognize it, and nobody sees its text.
fn add_key_to_error(key: &str, error: io::Error) -> io::Error {
    if is_in_use(&error) { error } else { io::Error::new(error.kind(), format!("{key}: {error}")) }
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
    // Releases the address and the folder for the next process. The granted leases expire by themselves.
    content_server.stop();
    *handle.state_folder() = None;
    result
}

/// Retries until the predecessor has released the address and the folder, and follows the predecessor's lease meanwhile.
/// Returns `None` if the thread is told to stop.
fn wait_for_resources(
    setup: &ConsensusSetup,
    handle: &ConsensusHandle,
    mut acquired: Option<Resources>,
) -> io::Result<Option<Resources>> {
    while !handle.is_stopped() {
        match acquired.take().map_or_else(|| Resources::acquire(setup), Ok) {
            Ok(resources) => return Ok(Some(resources)),
            Err(error) if is_in_use(&error) => {
                let folder = setup.member.state_folder.as_deref();
                folder.and_then(|folder| follow_predecessor(folder, &setup.shared));
                std::thread::sleep(RETRY_INTERVAL);
            }
            Err(error) => return Err(error),
        }
    }
    Ok(None)
}

/// Creates the member from the state that an earlier process left.
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

/// The incarnation of this start: the current time in microseconds, so that no two starts of a member have the same one.
fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Creates a socket that is connected to the given socket.
fn waker(socket: &UdpSocket) -> io::Result<UdpSocket> {
    let mut address = socket.local_addr()?;
    match address {
        SocketAddr::V4(v4) if v4.ip().is_unspecified() => address.set_ip(Ipv4Addr::LOCALHOST.into()),
        SocketAddr::V6(v6) if v6.ip().is_unspecified() => address.set_ip(Ipv6Addr::LOCALHOST.into()),
        _ => {}
    }
    let waker = UdpSocket::bind((address.ip(), 0))?;
    waker.connect(address)?;
    waker.set_nonblocking(true)?;
    Ok(waker)
}
