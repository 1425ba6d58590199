//! The handle by which other threads reach the consensus thread.

use super::durable_file::StateFolder;
use super::state_files::content_name;
use super::version_content::{ContentCache, VersionContent, short_hex};
use cottonnotch_consensus::Input;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// The datagram that ends the thread's wait. It is no message: those are longer.
pub const WAKE_UP: &[u8] = &[0];

/// A handle of the consensus thread. Clones are handles of the same thread.
#[derive(Clone)]
pub struct ConsensusHandle {
    inputs: Sender<Input>,
    waker: Arc<OnceLock<UdpSocket>>,
    state_folder: Arc<Mutex<Option<StateFolder>>>,
    contents: ContentCache,
    is_stopped: Arc<AtomicBool>,
}

impl ConsensusHandle {
    /// A handle that sends inputs into this channel. The thread adds its waker and its state folder once it has them.
    pub fn new(inputs: Sender<Input>, contents: ContentCache) -> Self {
        ConsensusHandle {
            inputs,
            waker: Arc::default(),
            state_folder: Arc::default(),
            contents,
            is_stopped: Arc::default(),
        }
    }

    /// Sends the member an input.
    pub fn send(&self, input: Input) {
        // An error means that the thread has ended, and with it the member.
        let _ = self.inputs.send(input);
        self.wake();
    }

    /// Sets the socket whose datagrams reach the thread's socket.
    pub fn set_waker(&self, waker: UdpSocket) {
        // Set once, by the thread's start.
        let _ = self.waker.set(waker);
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.get() {
            // A lost datagram costs a second: the thread wakes up by itself then.
            let _ = waker.send(WAKE_UP);
        }
    }

    /// The state folder, if the thread has one.
    pub fn state_folder(&self) -> MutexGuard<'_, Option<StateFolder>> {
        // Nobody panics with it half changed.
        self.state_folder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a content, in the state folder too if there is one, and removes those it evicts from the cache.
    pub fn store(&self, content: Arc<VersionContent>) {
        let (hash, bytes) = (content.hash, Arc::clone(&content.bytes));
        let evicted = self.contents.insert(content);
        let folder = self.state_folder();
        let Some(folder) = &*folder else { return };
        if let Err(error) = folder.save(&content_name(&hash), &bytes) {
            log::error!(error:%; "rules {} cannot be stored: {error}", short_hex(&hash));
        }
        for hash in evicted {
            // What can't be removed is found at the next start, and removed then.
            let _ = folder.remove(&content_name(&hash));
        }
    }

    /// Whether the thread should end.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    /// Ends the thread: another process takes over as this member.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
        self.wake();
    }
}
