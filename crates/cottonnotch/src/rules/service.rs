//! The driver's interface to the rules. The driver reports events to it and requests verdicts from it.

use super::clock::Clock;
use super::compile_job::CompileJob;
use super::compile_worker::{CompileWorker, Destination};
use super::config::{ConsensusSettings, UnknownRules};
use super::consensus_handle::ConsensusHandle;
use super::consensus_setup::{ConsensusSetup, MemberSettings, SharedState};
use super::consensus_thread::{self, Predecessor};
use super::node_kinds::NodeKind;
use super::published_plan::PublishedPlan;
use super::routing_verdict::{RoutingVerdicts, RuleNames, UncertaintySettings, VerdictBasis};
use super::settings::RulesSettings;
use super::status::{RulesStatus, SharedStatus};
use super::version_content::ContentCache;
use cottonnotch_consensus::{Config, Input};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Entry, Event, Micros, RequestId, ServerId};
use cottonnotch_proxy_core::envelope::EnvelopeKey;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

/// The Retry-After without consensus, in microseconds. Equals the default of `accord.retry_ms`.
const RETRY_WITHOUT_CONSENSUS: Micros = 500_000;
/// After this many microseconds, a list that another member has is considered lost. Discovery sends a list to one proxy after
/// another, so proxies receive it at slightly different times.
const LIST_OVERDUE_DELAY: Micros = 300_000;
/// The interval between two requests for a newer list, in microseconds.
const LIST_RETRY_INTERVAL: Micros = 2_000_000;

/// The routing rules, with the handles of the threads that maintain them.
pub struct RulesService {
    verdicts: RoutingVerdicts,
    settings: RulesSettings,
    published: Arc<PublishedPlan>,
    status: Arc<SharedStatus>,
    jobs: Sender<CompileJob>,
    consensus: Option<ConsensusHandle>,
    /// The maximum time between a verdict and the write of the request that depends on it. `None` without consensus, where the
    /// time is unlimited.
    max_write_delay: Option<Micros>,
    /// The version at the last [`Self::tick`], and whether its lease was valid. Queued requests are evaluated again when this
    /// changes.
    last_tick_state: Option<(u64, bool)>,
}

impl RulesService {
    /// Starts the threads. Fails if an address or a folder cannot be acquired. With `has_predecessor`, an earlier process of
    /// this proxy may still hold them, and the consensus thread waits for their release. With `records_names`, the records list
    /// the names of the rules.
    pub fn start(
        settings: RulesSettings,
        profile: &Profile,
        seed: u64,
        records_names: bool,
        has_predecessor: bool,
    ) -> io::Result<Self> {
        let (jobs, job_queue) = channel();
        let shared = SharedState {
            contents: ContentCache::default(),
            published: Arc::default(),
            status: Arc::default(),
            jobs,
        };
        let consensus = match &settings.consensus {
            None => None,
            Some((consensus, envelope_key)) => {
                let predecessor = if has_predecessor { Predecessor::MayRun } else { Predecessor::Absent };
                let member = member_settings(consensus, envelope_key, seed);
                let setup = ConsensusSetup { member, shared: shared.clone() };
                Some(consensus_thread::start(setup, channel(), predecessor)?)
            }
        };
        start_worker(&settings, consensus.clone(), &shared, job_queue)?;
        let rule_names = if records_names { RuleNames::Recorded } else { RuleNames::Omitted };
        let uncertainty = uncertainty_settings(&settings);
        let SharedState { published, status, jobs, .. } = shared;
        let service = RulesService {
            verdicts: RoutingVerdicts::new(Arc::clone(&published), uncertainty, rule_names, profile),
            max_write_delay: settings.consensus.as_ref().map(|(consensus, _)| consensus.timing.act),
            settings,
            published,
            status,
            jobs,
            consensus,
            last_tick_state: None,
        };
        service.send_local_files();
        Ok(service)
    }

    fn send_local_files(&self) {
        let (files, profiles) = (self.settings.files.clone(), self.settings.profiles.clone());
        self.send_job(CompileJob::LocalFiles { files, profiles });
    }

    fn send_job(&self, job: CompileJob) {
        // The worker runs until the process ends, so sending does not fail.
        let _ = self.jobs.send(job);
    }

    /// The routing verdicts for the decision module.
    pub fn verdicts(&self) -> &RoutingVerdicts {
        &self.verdicts
    }

    /// Applies a changed configuration. The settings of consensus stay as they were at the start.
    pub fn reload(&mut self, settings: Option<RulesSettings>, profile: &Profile) {
        self.verdicts.set_profile(profile);
        let Some(settings) = settings else {
            return log::warn!("rules cannot be switched off while clients are served, the old ones stay");
        };
        let consensus = self.settings.consensus.take();
        self.settings = settings;
        self.settings.consensus = consensus;
        self.send_local_files();
        self.send_inventory(profile);
    }

    fn send_inventory(&self, profile: &Profile) {
        let kind_names = |kind: NodeKind| (kind.hall.into_string(), kind.hardware.into_string());
        let nodes: std::collections::BTreeSet<_> =
            self.verdicts.kinds().into_iter().map(kind_names).collect();
        // Without any known node the rules cannot be compiled.
        if !nodes.is_empty() {
            self.send_job(CompileJob::Inventory(self.settings.inventory(profile, nodes)));
        }
    }

    /// Applies an update of the endpoint list, or of the operators' overrides of the list.
    pub fn update_endpoints(
        &self,
        profile: &Profile,
        revision: u64,
        full: bool,
        entries: &[Entry],
        kind_of: impl Fn(ServerId) -> NodeKind,
    ) {
        let kinds_before = self.verdicts.kinds().len();
        self.verdicts.update_endpoints(full, entries, kind_of);
        if self.verdicts.kinds().len() != kinds_before {
            self.send_inventory(profile);
        }
        if let Some(consensus) = &self.consensus {
            consensus.send(Input::ListReceived { revision });
            self.status.lock().newer_list.take_if(|(newer, _)| *newer <= revision);
        }
    }

    /// The revision of a newer endpoint list that other members have and that is overdue here. Returns the revision again after
    /// an interval, until this proxy has received the list. `revision` is that of this proxy's list.
    pub fn newer_list_revision(&self, revision: u64) -> Option<u64> {
        let mut status = self.status.lock();
        let (newer, since) = status.newer_list.as_mut()?;
        let now = Clock.now();
        if *newer <= revision || now - *since < LIST_OVERDUE_DELAY {
            return None;
        }
        *since = now + LIST_RETRY_INTERVAL;
        Some(*newer)
    }

    /// Updates the established connections for an event that the decision module is about to handle.
    pub fn observe_event(&self, event: &Event) {
        match event {
            Event::Open { request, server } => self.verdicts.add_connection(request, *server),
            Event::Ended { request, last, .. } => {
                self.verdicts.remove_connection(*request);
                if *last {
                    self.verdicts.forget(*request);
                }
            }
            Event::ClientClosed(request) => self.forget_request(*request),
            _ => {}
        }
    }

    /// Removes the state of a request that was answered, or that needs no answer any more.
    pub fn forget_request(&self, request: RequestId) {
        self.verdicts.remove_connection(request);
        self.verdicts.forget(request);
    }

    /// The time, by [`Clock`], before which the request's first line must be written. A later write could follow rules whose
    /// lease expired longer ago than `accord.contradiction_ms` allows. Returns `None` if there is no limit.
    pub fn write_deadline(&self, request: RequestId) -> Option<Micros> {
        Some(self.verdicts.evaluated_at(request)?.saturating_add(self.max_write_delay?))
    }

    /// Called once a second. Returns an event if queued requests must be evaluated again.
    pub fn tick(&mut self) -> Option<Event> {
        let now = Clock.now();
        let version = self.published.read();
        let state = version.as_ref().map(|published| {
            let is_lease_valid = now < self.published.valid_until(published);
            (published.number, is_lease_valid)
        });
        (std::mem::replace(&mut self.last_tick_state, state) != state).then_some(Event::RulesChanged)
    }

    /// Stops consensus in this process, so that a successor can take over as the member.
    pub fn stop_consensus(&mut self) {
        self.consensus.iter().for_each(ConsensusHandle::stop);
    }

    /// The basis of the request's last verdict.
    pub fn basis(&self, request: RequestId) -> Option<VerdictBasis> {
        self.verdicts.basis(request)
    }

    /// The status for operators.
    pub fn status(&self) -> RulesStatus {
        let mut status = self.status.lock().clone();
        if let Some(published) = &*self.published.read() {
            (status.version, status.lease_until) =
                (Some(published.number), self.published.valid_until(published));
            status.rule_count = published.plan.rules() as u64;
        }
        // Rounded up, so that 0 means that the lease has expired.
        let remaining = status.lease_until.saturating_sub(Clock.now());
        status.lease_left_ms = u64::try_from(remaining).map_or(0, |remaining| remaining.div_ceil(1_000));
        status.rejected_while_uncertain = self.verdicts.rejected_while_uncertain();
        status
    }
}

fn member_settings(consensus: &ConsensusSettings, envelope_key: &EnvelopeKey, seed: u64) -> MemberSettings {
    MemberSettings {
        listen: consensus.listen,
        members: consensus.members.clone(),
        envelope_key: envelope_key.clone(),
        state_folder: consensus.state_folder.clone(),
        first_start: consensus.first_start,
        config: Config {
            ordinal: consensus.ordinal,
            members: consensus.members.len() as u16,
            voters: consensus.voters.clone(),
            timing: consensus.timing,
            // The consensus thread sets the incarnation when it starts the member.
            incarnation: 0,
        },
        seed,
    }
}

fn uncertainty_settings(settings: &RulesSettings) -> UncertaintySettings {
    match &settings.consensus {
        None => UncertaintySettings {
            before_first: UnknownRules::Refuse,
            without_requirement: UnknownRules::Serve,
            retry: RETRY_WITHOUT_CONSENSUS,
        },
        Some((consensus, _)) => UncertaintySettings {
            before_first: consensus.before_first,
            without_requirement: consensus.unruled_on_doubt,
            retry: consensus.retry.as_micros() as Micros,
        },
    }
}

fn start_worker(
    settings: &RulesSettings,
    consensus: Option<ConsensusHandle>,
    shared: &SharedState,
    jobs: Receiver<CompileJob>,
) -> io::Result<()> {
    let destination = match consensus {
        Some(handle) => Destination::Consensus(handle),
        None => Destination::Local { published: Arc::clone(&shared.published), number: 0 },
    };
    let members = settings.consensus.as_ref().map(|(consensus, _)| consensus.members.clone());
    let contents = shared.contents.clone();
    let status = Arc::clone(&shared.status);
    let worker = CompileWorker::new(destination, contents, status, members.unwrap_or_default());
    let thread = std::thread::Builder::new().name("rules-worker".into());
    thread.spawn(move || worker.run(&jobs))?;
    Ok(())
}
