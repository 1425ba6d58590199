//! The thread that publishes this process's open ids and looks for them at the other processes of its proxy. It does all the work
//! on files, so that a slow disk delays claims but not the event loop.
//!
//! An id is claimed in this order: publish it in the own table, then look for it in the tables of the others. Of two processes
//! that claim an id at the same time, at least one sees the other's claim, so at most one is granted. A process that sees one
//! withdraws its own claim and tries again a little later: the other may just have released the id, or have withdrawn too.

use super::layout::{IdKind, MAX_ACKNOWLEDGED};
use super::sibling_table::SiblingTable;
use super::table::{PublishError, Table, TableFile};
use cottonnotch_decision::Micros;
use cottonnotch_reactor::waker::Waker;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{Ordering, fence};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

/// The log target of this module, on which log filters and collectors rely.
const LOG_TARGET: &str = "cottonnotch::net::driver";
/// How long an id that is open at another process is looked for again before the claim is denied. Another process releases an id
/// once it has noticed the end of the connection, which a client that comes again may be ahead of.
const RELEASE_GRACE: Duration = Duration::from_millis(32);
/// First delay between two tries of a claim, for the process that started first and for the others; it doubles with each try.
/// The delays differ, so that two processes that claim an id at the same time do not keep meeting.
const FIRST_RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(2), Duration::from_millis(3)];
/// Interval at which the others' acknowledgements are read while one is missing, and at which a failed write is tried again.
const FILE_INTERVAL: Duration = Duration::from_millis(20);

/// Another process of this proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sibling {
    /// When it started, in microseconds of Unix time.
    pub started_unix: Micros,
    /// Its table's file.
    pub path: PathBuf,
}

impl Sibling {
    /// The process with this start time; `table_path` tells where its table is.
    pub fn new(started_unix: Micros, table_path: impl FnOnce(Micros) -> PathBuf) -> Self {
        Sibling { started_unix, path: table_path(started_unix) }
    }
}

/// Work for the thread.
#[derive(Debug)]
pub enum Job {
    /// The other processes that are alive. `open_ids` holds all ids of this process if it had not published them before.
    Siblings { siblings: Vec<Sibling>, open_ids: Option<Vec<(u64, IdKind)>> },
    /// Claims an id; the outcome is reported with the claim's number.
    Claim { number: u64, id: u64, kind: IdKind },
    /// Releases an id, whether its claim was granted or is still being tried.
    Release { id: u64 },
}

/// How a claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The id is open at this process and at no other.
    Granted,
    /// The id is open at another process.
    Taken,
    /// The files cannot be written or read now.
    Unavailable,
}

/// A report of the thread.
#[derive(Debug)]
pub enum WorkerReport {
    /// A claim has ended.
    Claim { number: u64, outcome: ClaimOutcome },
    /// All these processes, by their start times, respect the ids of this process.
    Acknowledged(Vec<Micros>),
    /// Processes have ended; these are the ids of their requests that must not run again.
    Inherited(Vec<u64>),
}

/// A claim that is tried again.
#[derive(Debug)]
struct Retry {
    number: u64,
    id: u64,
    kind: IdKind,
    delay: Duration,
    until: Instant,
}

/// The thread's state.
pub struct Worker {
    /// Start time of this process.
    started_unix: Micros,
    file: Arc<TableFile>,
    table: Table,
    siblings: Vec<Sibling>,
    /// The tables of those siblings that publish their ids.
    tables: BTreeMap<Micros, SiblingTable>,
    /// The tables of those that had ended at the last change of the siblings.
    ended: Vec<SiblingTable>,
    /// Whether each sibling was found to respect the ids of this process, or to publish none.
    is_acknowledged: bool,
    /// Claims to be tried again, by time; the number makes the keys unique.
    retries: BTreeMap<(Instant, u64), Retry>,
    reports: Sender<WorkerReport>,
    waker: Waker,
}

impl Worker {
    /// Creates the thread's state.
    pub fn new(
        started_unix: Micros,
        file: Arc<TableFile>,
        reports: Sender<WorkerReport>,
        waker: Waker,
    ) -> Self {
        Worker {
            started_unix,
            table: Table::new(Arc::clone(&file)),
            file,
            siblings: Vec::new(),
            tables: BTreeMap::new(),
            ended: Vec::new(),
            is_acknowledged: true,
            retries: BTreeMap::new(),
            reports,
            waker,
        }
    }

    /// Does the jobs until their sender is dropped.
    pub fn run(mut self, jobs: &Receiver<Job>) {
        loop {
            match self.next_job(jobs) {
                Ok(job) => self.handle(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.retry_due_claims();
            if !self.is_acknowledged {
                self.look_for_acknowledgements();
            } else if !self.table.is_published() {
                // What fails is tried again after the next interval.
                let _ = self.table.publish();
            }
        }
    }

    fn next_job(&self, jobs: &Receiver<Job>) -> Result<Job, RecvTimeoutError> {
        let retry =
            self.retries.first_key_value().map(|((at, _), _)| at.saturating_duration_since(Instant::now()));
        let is_settled = self.is_acknowledged && self.table.is_published();
        let next_look = (!is_settled).then_some(FILE_INTERVAL);
        match [retry, next_look].into_iter().flatten().min() {
            Some(wait) => jobs.recv_timeout(wait),
            None => jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
        }
    }

    fn handle(&mut self, job: Job) {
        match job {
            Job::Siblings { siblings, open_ids } => self.set_siblings(siblings, open_ids),
            Job::Claim { number, id, kind } => {
                let until = Instant::now() + RELEASE_GRACE;
                self.claim(Retry { number, id, kind, delay: self.first_retry_delay(), until });
            }
            Job::Release { id } => self.table.remove(id),
        }
    }

    fn report(&self, report: WorkerReport) {
        // Fails if the loop has ended, and the thread is about to.
        let _ = self.reports.send(report);
        self.waker.wake();
    }

    // ---- siblings ----

    fn set_siblings(&mut self, siblings: Vec<Sibling>, open_ids: Option<Vec<(u64, IdKind)>>) {
        if let Some(open_ids) = open_ids
            && let Err(error) = self.table.replace(&open_ids)
        {
            log::error!(target: LOG_TARGET, error:%; "open ids cannot be shared with another process: {error}");
        }
        self.is_acknowledged &= siblings == self.siblings;
        let has_one_ended = self.siblings.iter().any(|sibling| !siblings.contains(sibling));
        self.siblings = siblings;
        if has_one_ended {
            self.inherit_from_ended();
        }
        if let Err(error) = self.acknowledge_siblings() {
            log::warn!(target: LOG_TARGET, error:%; "open ids cannot be shared with another process yet: {error}");
        }
    }

    /// Reports the ids that the tables of ended processes keep from running again. These tables still count for claims until the
    /// next change, so that a claim which is made before the loop has read the report is denied, too.
    fn inherit_from_ended(&mut self) {
        let siblings = &self.siblings;
        let is_alive = |start: &Micros| siblings.iter().any(|sibling| sibling.started_unix == *start);
        let (alive, ended): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.tables).into_iter().partition(|(start, _)| is_alive(start));
        self.tables = alive;
        self.ended = ended.into_values().collect();
        let mut inherited = Vec::new();
        for table in &self.ended {
            match table.ids_to_run_once() {
                Ok(ids) => inherited.extend(ids),
                Err(error) => {
                    log::warn!(target: LOG_TARGET, error:%; "the ids of an ended process cannot be read: {error}");
                }
            }
        }
        self.report(WorkerReport::Inherited(inherited));
    }

    /// Opens the tables of new siblings, and tells those whose tables are open that their ids are respected. A process that
    /// is not told accepts no clients.
    fn acknowledge_siblings(&mut self) -> io::Result<()> {
        self.table.publish()?;
        for Sibling { started_unix, path } in &self.siblings {
            if !self.tables.contains_key(started_unix)
                && let Some(table) = SiblingTable::open(path)?
            {
                self.tables.insert(*started_unix, table);
            }
        }
        let starts: Vec<Micros> = self.tables.keys().copied().collect();
        if starts.len() > MAX_ACKNOWLEDGED {
            return Err(io::Error::other("too many processes of this proxy are alive"));
        }
        self.file.acknowledge(&starts)
    }

    fn look_for_acknowledgements(&mut self) {
        let acknowledged = self.acknowledge_siblings().and_then(|()| {
            let mut all = self.tables.values().map(|table| table.acknowledges(self.started_unix));
            all.try_fold(true, |all, one| Ok(all && one?))
        });
        self.is_acknowledged = acknowledged.unwrap_or(false);
        if self.is_acknowledged {
            let starts = self.siblings.iter().map(|sibling| sibling.started_unix).collect();
            self.report(WorkerReport::Acknowledged(starts));
        }
    }

    // ---- claims ----

    fn first_retry_delay(&self) -> Duration {
        let is_first = self.tables.keys().all(|start| self.started_unix < *start);
        FIRST_RETRY_DELAYS[usize::from(!is_first)]
    }

    fn retry_due_claims(&mut self) {
        let now = Instant::now();
        while let Some(first) = self.retries.first_entry()
            && first.key().0 <= now
        {
            let retry = first.remove();
            self.claim(retry);
        }
    }

    /// Tries a claim once: reports its end, or schedules another try.
    fn claim(&mut self, retry: Retry) {
        let outcome = match self.try_claim(retry.id, retry.kind) {
            Ok(true) => ClaimOutcome::Granted,
            Ok(false) => ClaimOutcome::Taken,
            Err(error) => {
                log::debug!(target: LOG_TARGET, error:%; "an id cannot be claimed: {error}");
                ClaimOutcome::Unavailable
            }
        };
        let next = Instant::now() + retry.delay;
        if outcome == ClaimOutcome::Granted || next > retry.until {
            self.report(WorkerReport::Claim { number: retry.number, outcome });
        } else {
            self.retries.insert((next, retry.number), Retry { delay: 2 * retry.delay, ..retry });
        }
    }

    /// Claims an id if it is open at no other process. The id is in the table afterwards only if that is so.
    fn try_claim(&mut self, id: u64, kind: IdKind) -> Result<bool, PublishError> {
        self.table.insert(id, kind)?;
        // The claim must be visible to the others before their tables are read.
        fence(Ordering::SeqCst);
        let is_taken = self.is_taken(id);
        if !matches!(is_taken, Ok(false)) {
            self.table.remove(id);
        }
        Ok(!is_taken?)
    }

    fn is_taken(&self, id: u64) -> io::Result<bool> {
        for table in self.tables.values().chain(&self.ended) {
            if table.contains(id)? {
                return Ok(true);
            }
        }
        Ok(false)
    }
}
