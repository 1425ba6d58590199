//! The handle through which other threads communicate with the consensus thread.

use super::durable_file::StateFolder;
use super::state_files::content_name;
use super::version_content::{ContentCache, VersionContent, short_hex};
use cottonnotch_consensus::Input;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// The datagram that wakes up the consensus thread. Messages are longer, so it cannot be mistaken for one.
pub const WAKE_UP: &[u8] = &[0];

/// A handle to the consensus thread. Clones refer to the same thread.
#[derive(Clone)]
pub struct ConsensusHandle {
    inputs: Sender<Input>,
    waker: Arc<OnceLock<UdpSocket>>,
    state_folder: Arc<Mutex<Option<StateFolder>>>,
    contents: ContentCache,
    is_stopped: Arc<AtomicBool>,
}

impl ConsensusHandle {
    /// Creates a handle that sends inputs to this channel. The thread sets the waker and the state folder when it has them.
    pub fn new(inputs: Sender<Input>, contents: ContentCache) -> Self {
        ConsensusHandle {
            inputs,
            waker: Arc::default(),
            state_folder: Arc::default(),
            contents,
            is_stopped: Arc::default(),
        }
    }

    /// Sends an input to the member.
    pub fn send(&self, input: Input) {
        // Sending fails only after the thread has ended; nobody needs the input then.
        let _ = self.inputs.send(input);
        self.wake();
    }

    /// Sets the socket that sends wake-up datagrams to the thread's socket.
    pub fn set_waker(&self, waker: UdpSocket) {
        // Only the start of the thread calls this, so the waker is never set twice.
        let _ = self.waker.set(waker);
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.get() {
            // If the datagram is lost, the thread still wakes up within a second, when its receive timeout ends.
            let _ = waker.send(WAKE_UP);
        }
    }

    /// Locks and returns the state folder; `None` if the thread has none.
    pub fn state_folder(&self) -> MutexGuard<'_, Option<StateFolder>> {
        // No holder of the lock leaves a partial change behind when it panics, so a poisoned lock is safe to use.
        self.state_folder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a content in the cache, and in the state folder if there is one. Contents that the cache evicts are removed from
    /// the folder.
    pub fn store(&self, content: Arc<VersionContent>) {
        let (hash, bytes) = (content.hash, Arc::clone(&content.bytes));
        let evicted = self.contents.insert(content);
        let folder = self.state_folder();
        let Some(folder) = &*folder else { return };
        if let Err(error) = folder.save(&content_name(&hash), &bytes) {
            log::error!(error:%; "rules {} cannot be stored: {error}", short_hex(&hash));
        }
        for hash in evicted {
            // A file that remains is loaded at the next start like the other contents.
            let _ = folder.remove(&content_name(&hash));
        }
    }

    /// Whether the thread has been told to stop.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    /// Stops the thread, so that another process can take over as this member.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
        self.wake();
    }
}
