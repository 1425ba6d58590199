//! The event loop's side of the exchange of open ids with other processes: jobs for the thread, and what it has reported.

use super::layout::IdKind;
use super::table::TableFile;
use super::worker::{ClaimOutcome, Job, Sibling, Worker, WorkerReport};
use crate::net::network_event::NetworkEvent;
use crate::net::object::Object;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::Reactor;
use cottonnotch_reactor::waker::WakerSource;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

/// The exchange with other processes. Its thread ends when this is dropped.
pub struct Exchange {
    jobs: Sender<Job>,
    reports: Receiver<WorkerReport>,
    /// The other processes that are alive. While there are none, the thread is told nothing.
    siblings: Vec<Sibling>,
    /// Start times of the processes that were last found to respect the ids of this one.
    acknowledged_by: Vec<Micros>,
    ended_claims: Vec<(u64, ClaimOutcome)>,
    /// Ids of ended processes that must not run again, and that were not taken yet.
    inherited: Vec<u64>,
    /// Number of times that siblings have ended and the thread has not reported their ids yet.
    awaited_inheritances: u32,
}

impl Exchange {
    /// Starts the thread. Fails if the system cannot start it, or cannot create the socket pair that wakes the loop.
    pub fn start(
        reactor: &mut Reactor<dyn Object>,
        started_unix: Micros,
        file: Arc<TableFile>,
    ) -> io::Result<Self> {
        let mut waker = None;
        let key = reactor.insert(|key, io| {
            let (source, thread_waker) = WakerSource::register(|| NetworkEvent::ClaimsEnded, key, io)?;
            waker = Some(thread_waker);
            Ok(Box::new(source))
        })?;
        let waker = waker.ok_or(io::ErrorKind::NotConnected)?;
        let (jobs, job_receiver) = channel();
        let (report_sender, reports) = channel();
        let worker = Worker::new(started_unix, file, report_sender, waker);
        let thread = std::thread::Builder::new().name("open-ids".to_owned());
        if let Err(error) = thread.spawn(move || worker.run(&job_receiver)) {
            reactor.remove(key);
            return Err(error);
        }
        Ok(Exchange {
            jobs,
            reports,
            siblings: Vec::new(),
            acknowledged_by: Vec::new(),
            ended_claims: Vec::new(),
            inherited: Vec::new(),
            awaited_inheritances: 0,
        })
    }

    /// Whether ids have to be claimed: another process is alive, or the ids of one that has ended are not known yet.
    pub fn is_active(&self) -> bool {
        !self.siblings.is_empty() || self.awaited_inheritances > 0
    }

    /// Tells which other processes are alive. `taken` returns the ids that are taken at this process.
    pub fn set_siblings(&mut self, siblings: &[Sibling], taken: impl FnOnce() -> Vec<(u64, IdKind)>) {
        if siblings == self.siblings {
            return;
        }
        // While this process was alone, the thread was not told of its ids.
        let open_ids = (!self.is_active()).then(taken);
        let has_one_ended = self.siblings.iter().any(|sibling| !siblings.contains(sibling));
        self.siblings = siblings.to_vec();
        self.awaited_inheritances += u32::from(has_one_ended);
        self.acknowledged_by.clear();
        self.send(Job::Siblings { siblings: siblings.to_vec(), open_ids });
    }

    /// Begins a claim.
    pub fn claim(&mut self, number: u64, id: u64, kind: IdKind) {
        self.send(Job::Claim { number, id, kind });
    }

    /// Releases an id.
    pub fn release(&mut self, id: u64) {
        self.send(Job::Release { id });
    }

    fn send(&self, job: Job) {
        // Fails only if the thread has panicked; then no claim ends, and requests are rejected as their claims expire.
        let _ = self.jobs.send(job);
    }

    /// Returns the claims that have ended since the last call.
    pub fn ended_claims(&mut self) -> Vec<(u64, ClaimOutcome)> {
        self.receive();
        std::mem::take(&mut self.ended_claims)
    }

    /// Returns the ids of ended processes that must not run again and were found since the last call.
    pub fn inherited(&mut self) -> Vec<u64> {
        self.receive();
        std::mem::take(&mut self.inherited)
    }

    /// Whether all these processes respect the ids of this one.
    pub fn is_acknowledged_by(&self, siblings: &[Sibling]) -> bool {
        siblings.iter().map(|sibling| &sibling.started_unix).eq(&self.acknowledged_by)
    }

    fn receive(&mut self) {
        while let Ok(report) = self.reports.try_recv() {
            match report {
                WorkerReport::Claim { number, outcome } => self.ended_claims.push((number, outcome)),
                WorkerReport::Acknowledged(starts) => self.acknowledged_by = starts,
                WorkerReport::Inherited(ids) => {
                    self.inherited.extend(ids);
                    self.awaited_inheritances = self.awaited_inheritances.saturating_sub(1);
                }
            }
        }
    }
}
