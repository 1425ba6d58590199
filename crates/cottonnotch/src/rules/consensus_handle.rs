//! The consensus thread, as other threads have it.

use super::durable_file::Disk;
use super::state_files::content_name;
use super::version_content::{Compiled, Library, hex};
use cottonnotch_consensus::Input;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// A datagram of nothing ends the thread's wait; it is no message.
pub const WAKE: &[u8] = &[0];

/// The thread, as others have it.
#[derive(Clone)]
pub struct Agent {
    pub commands: Sender<Input>,
    pub waker: Arc<OnceLock<UdpSocket>>,
    pub disk: Arc<Mutex<Option<Disk>>>,
    pub library: Library,
    pub stop: Arc<AtomicBool>,
}

impl Agent {
    /// Hands the accord what has happened.
    pub fn tell(&self, input: Input) {
        // The thread is over: the process ends, or the accord has.
        let _ = self.commands.send(input);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.get() {
            // It looks by itself a little later.
            let _ = waker.send(WAKE);
        }
    }

    /// Its folder, if it has one.
    pub fn disk(&self) -> MutexGuard<'_, Option<Disk>> {
        // Nobody leaves it half changed.
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a content, also beyond the process if it has a folder.
    pub fn keep(&self, compiled: Arc<Compiled>) {
        let (hash, bytes) = (compiled.hash, Arc::clone(&compiled.bytes));
        let gone = self.library.put(compiled);
        let disk = self.disk();
        let Some(disk) = &*disk else { return };
        if let Err(error) = disk.save(&content_name(&hash), &bytes) {
            log::error!(error:%; "rules {} cannot be kept beyond this process: {error}", &hex(&hash)[..12]);
        }
        for hash in gone {
            // What stays is found at the next start, and goes then.
            let _ = disk.remove(&content_name(&hash));
        }
    }

    /// The thread is to end.
    pub fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// The thread ends: another process takes this member's part.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        self.wake();
    }
}
