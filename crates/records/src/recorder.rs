//! The handle that the proxy's loop holds, and the thread behind it.

use crate::config::{Settings, Target};
use crate::event::Event;
use crate::names::{Name, Reason};
use crate::sink::sink;
use crate::writer::{EndKind, Message, Now, Writer};
use std::cell::Cell;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A recorder that is dropped without [`Recorder::close`] waits this long for its writer.
const DROP_WITHIN: Duration = Duration::from_millis(500);
/// While the writer drains a long queue, it reads the clocks after so many records.
const DRAIN_BATCH: usize = 1024;

/// Who records, as the first record says.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The proxy's name.
    pub name: Name,
    /// Tells this run of the process from any other under the name.
    pub incarnation: u64,
    /// The program's version.
    pub version: Reason,
}

/// Records since the start. `produced = written + dropped` once the recorder is closed in time; before, the rest waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Handed to the recorder, `start` and `stop` included.
    pub produced: u64,
    /// Written to the target.
    pub written: u64,
    /// Dropped by the full queue or by failed writes, as far as the writer has noticed.
    pub dropped: u64,
}

/// Reason records can't begin.
#[derive(Debug, thiserror::Error)]
pub enum RecorderError {
    /// The target can't be opened for writing.
    #[error("records.{key}: '{target}' cannot be written: {error}")]
    Target {
        /// The key that names it.
        key: &'static str,
        /// The path or number.
        target: String,
        /// The system's reason.
        error: io::Error,
    },
    /// The system gives no thread.
    #[error("the writer of records cannot be started: {0}")]
    Thread(io::Error),
}

/// Whether a file system's error may pass: it is full, or its device fails. A wrong path or permission does not pass.
fn is_transient(error: &io::Error) -> bool {
    let is_full = matches!(error.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded);
    is_full || error.raw_os_error() == Some(rustix::io::Errno::IO.raw_os_error())
}

/// The recorder's end, as it asks the writer.
struct End {
    deadline: Instant,
    produced: u64,
    kind: EndKind,
}

/// What the loop and the writer's thread share beside the queue.
#[derive(Default)]
struct Shared {
    taken: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
    end: OnceLock<End>,
}

/// Takes records from one thread. Recording never blocks, never fails and makes no system call but, seldom, a wake-up.
///
/// Switched off, it costs one comparison; [`record_with`](Recorder::record_with) then doesn't even build the event.
pub struct Recorder(Option<Running>);

struct Running {
    queue: SyncSender<Message>,
    produced: Cell<u64>,
    /// Of those, put into the queue.
    sent: Cell<u64>,
    /// The writer is woken when so many wait.
    wake_threshold: u64,
    began: Instant,
    shared: Arc<Shared>,
    writer_thread: Thread,
    done: Receiver<()>,
}

impl Recorder {
    /// One that records nothing.
    pub fn off() -> Self {
        Recorder(None)
    }

    /// Opens the target, starts the writer and records `start`. To be called before any other descriptor is opened
    /// if the target is a descriptor: its number must still be the inherited one's.
    pub fn open(settings: &Settings, identity: Identity) -> Result<Self, RecorderError> {
        let (key, target) = match &settings.target {
            Target::File { path, .. } => ("file", path.display().to_string()),
            Target::Descriptor(number) => ("descriptor", number.to_string()),
        };
        let shared = Arc::new(Shared::default());
        let theirs = Arc::clone(&shared);
        let is_out_of_time = move || theirs.end.get().is_some_and(|end| Instant::now() >= end.deadline);
        let mut writer = Writer::new(sink(&settings.target, is_out_of_time), format!("{key} '{target}'"));
        match writer.open() {
            // The writer opens it before each batch, and counts what is dropped until then.
            Err(error) if is_transient(&error) => {
                log::warn!(error:%; "records.{key} '{target}' cannot be opened yet: {error}");
            }
            opened => opened.map_err(|error| RecorderError::Target { key, target, error })?,
        }

        let (queue, incoming) = sync_channel(settings.queue_records);
        let (finished, done) = sync_channel(1);
        let (began, flush, theirs) = (Instant::now(), settings.flush, Arc::clone(&shared));
        let write = move || {
            write_until_end(&mut writer, &incoming, &theirs, began, flush);
            // Nobody waits any more if the time was up.
            let _ = finished.send(());
        };
        let thread = thread::Builder::new().name("records".to_owned()).spawn(write);
        let recorder = Recorder(Some(Running {
            queue,
            produced: Cell::new(0),
            sent: Cell::new(0),
            wake_threshold: settings.queue_records as u64 / 2,
            began,
            shared,
            writer_thread: thread.map_err(RecorderError::Thread)?.thread().clone(),
            done,
        }));
        let Identity { name, incarnation, version } = identity;
        recorder.record(Event::Start { name, incarnation, pid: std::process::id(), version });
        Ok(recorder)
    }

    /// Whether records are kept.
    pub fn is_on(&self) -> bool {
        self.0.is_some()
    }

    /// Records an event that happens now.
    #[inline]
    pub fn record(&self, event: Event) {
        if let Some(running) = &self.0 {
            running.record(event);
        }
    }

    /// Records an event that happens now; it is built only if records are kept.
    #[inline]
    pub fn record_with(&self, event: impl FnOnce() -> Event) {
        if let Some(running) = &self.0 {
            running.record(event());
        }
    }

    /// How many records there were.
    pub fn counts(&self) -> Counts {
        self.0.as_ref().map_or_else(Counts::default, Running::counts)
    }

    /// Records `stop`, writes what waits, and ends. Waits `within` at most: if the target takes nothing for so long,
    /// the rest is given up. Nothing is recorded afterwards.
    pub fn close(&mut self, within: Duration) -> Counts {
        self.0.take().map_or_else(Counts::default, |running| running.end(within, EndKind::Orderly))
    }
}

impl Drop for Recorder {
    /// Without `stop`, which tells an end in order from any other.
    fn drop(&mut self) {
        if let Some(running) = self.0.take() {
            running.end(DROP_WITHIN, EndKind::Abandoned);
        }
    }
}

impl Running {
    fn record(&self, event: Event) {
        let seq = self.produced.replace(self.produced.get() + 1);
        let mono_us = self.began.elapsed().as_micros() as u64;
        // A full queue drops the record; the writer sees that by the gap.
        if self.queue.try_send(Message { seq, mono_us, event }).is_ok() {
            self.sent.set(self.sent.get() + 1);
        }
        // The writer sleeps between two writes instead of waiting for the queue: a waiting one would have to be
        // woken, by a system call, for nearly every record.
        // Saturating: the writer may have taken a record before it is counted here.
        let taken = self.shared.taken.load(Ordering::Relaxed);
        if self.sent.get().saturating_sub(taken) >= self.wake_threshold {
            self.writer_thread.unpark();
        }
    }

    fn counts(&self) -> Counts {
        Counts {
            produced: self.produced.get(),
            written: self.shared.written.load(Ordering::Relaxed),
            dropped: self.shared.dropped.load(Ordering::Relaxed),
        }
    }

    fn end(self, within: Duration, kind: EndKind) -> Counts {
        let deadline = Instant::now() + within;
        let _ = self.shared.end.set(End { deadline, produced: self.produced.get(), kind });
        let Running { queue, shared, writer_thread, done, produced, .. } = self;
        drop(queue);
        writer_thread.unpark();
        // After this, a writer that hangs in a system call is left to the end of the process.
        let _ = done.recv_timeout(within);
        let (written, dropped) =
            (shared.written.load(Ordering::Acquire), shared.dropped.load(Ordering::Acquire));
        Counts { produced: produced.get() + u64::from(kind == EndKind::Orderly), written, dropped }
    }
}

/// The writer's thread: drains the queue, writes, and sleeps between two writes, until the recorder ends.
fn write_until_end(
    writer: &mut Writer<impl crate::sink::Sink>,
    incoming: &Receiver<Message>,
    shared: &Shared,
    began: Instant,
    flush: Duration,
) {
    let (mut taken, mut ended) = (0, false);
    while !ended {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
        writer.set_now(Now { mono_us: began.elapsed().as_micros() as u64, wall_us: wall });
        let mut empty = false;
        for _ in 0..DRAIN_BATCH {
            match incoming.try_recv() {
                Ok(message) => {
                    writer.add(message);
                    taken += 1;
                    shared.taken.store(taken, Ordering::Relaxed);
                }
                Err(error) => {
                    ended = error == TryRecvError::Disconnected;
                    empty = true;
                    break;
                }
            }
        }
        if let Some(end) = shared.end.get().filter(|_| ended) {
            writer.finish(end.produced, end.kind);
        } else if empty {
            writer.flush();
        }
        shared.written.store(writer.written(), Ordering::Release);
        shared.dropped.store(writer.dropped(), Ordering::Release);
        if empty && !ended {
            thread::park_timeout(flush);
        }
    }
}
