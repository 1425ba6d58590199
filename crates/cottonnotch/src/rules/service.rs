//! The rules as the driver has them: it says what happens, and asks what counts.

use super::clock::Clock;
use super::compile_job::Job;
use super::compile_worker::{Way, Worker};
use super::config::Unknown;
use super::consensus_handle::Agent;
use super::consensus_parts::Parts;
use super::consensus_thread;
use super::node_kinds::NodeKind;
use super::published_plan::Publication;
use super::routing_verdict::{Doubt, Rulings, VerdictBasis};
use super::settings::RulesSettings;
use super::status::{RulesStatus, StatusBoard};
use super::version_content::Library;
use cottonnotch_consensus::{Config, Input};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Entry, Event, Micros, RequestId, ServerId};
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};

/// Where nobody is agreed with, a retry is told as the accord's default is.
const RETRY_ALONE: Micros = 500_000;

/// Discovery tells one proxy after another: one that is told so much later is not told.
const LIST_LATE: Micros = 300_000;
/// Between two attempts to be told.
const LIST_AGAIN: Micros = 2_000_000;

/// The rules, with the threads behind them.
pub struct RulesService {
    rulings: Rulings,
    settings: RulesSettings,
    publication: Arc<Publication>,
    board: Arc<StatusBoard>,
    jobs: Sender<Job>,
    agent: Option<Agent>,
    /// The longest from a look to the act under it.
    act: Option<Micros>,
    /// The version that held requests were last looked at under.
    announced: Option<(u64, bool)>,
}

impl RulesService {
    /// Begins the threads. Fails if an address or a folder can't be had; `waits`: unless another process of this proxy may have
    /// it still. `names`: the records want the rules' names.
    pub fn start(
        settings: RulesSettings,
        profile: &Profile,
        seed: u64,
        names: bool,
        waits: bool,
    ) -> io::Result<Self> {
        let (publication, board) = (Arc::new(Publication::default()), Arc::new(StatusBoard::default()));
        let library = Library::default();
        let (jobs, to_do) = channel();
        let accord = settings.accord.as_ref();
        let doubt = accord.map_or(
            Doubt { before_first: Unknown::Refuse, unruled: Unknown::Serve, retry: RETRY_ALONE },
            |(accord, _)| Doubt {
                before_first: accord.before_first,
                unruled: accord.unruled_on_doubt,
                retry: accord.retry.as_micros() as Micros,
            },
        );
        let agent = match accord {
            None => None,
            Some((accord, seal)) => {
                let parts = Parts {
                    listen: accord.listen,
                    members: accord.members.clone(),
                    seal: seal.clone(),
                    state_folder: accord.state_folder.clone(),
                    first_start: accord.first_start,
                    config: Config {
                        ordinal: accord.me,
                        members: accord.members.len() as u16,
                        voters: accord.voters.clone(),
                        timing: accord.timing,
                        incarnation: 0,
                    },
                    seed,
                    library: library.clone(),
                    publication: Arc::clone(&publication),
                    board: Arc::clone(&board),
                    jobs: jobs.clone(),
                };
                Some(consensus_thread::start(parts, channel(), waits)?)
            }
        };
        let way = match &agent {
            Some(agent) => Way::Agreed(agent.clone()),
            None => Way::Alone { publication: Arc::clone(&publication), number: 0 },
        };
        let members = accord.map(|(accord, _)| accord.members.clone()).unwrap_or_default();
        let worker = Worker::new(way, library, Arc::clone(&board), members);
        let thread = std::thread::Builder::new().name("rules-worker".into());
        thread.spawn(move || worker.run(&to_do))?;
        let act = accord.map(|(accord, _)| accord.timing.act);
        let rulings = Rulings::new(Arc::clone(&publication), doubt, names, profile);
        let rulebook =
            RulesService { rulings, settings, publication, board, jobs, agent, act, announced: None };
        rulebook.hand_files();
        Ok(rulebook)
    }

    fn hand_files(&self) {
        let (files, profiles) = (self.settings.files.clone(), self.settings.profiles.clone());
        self.ask(Job::Own { files, profiles });
    }

    fn ask(&self, job: Job) {
        // The worker ends with the process.
        let _ = self.jobs.send(job);
    }

    /// What the decisions are put under.
    pub fn rulings(&self) -> &Rulings {
        &self.rulings
    }

    /// A new configuration was taken. Of the accord nothing changes.
    pub fn reload(&mut self, settings: Option<RulesSettings>, profile: &Profile) {
        self.rulings.set(profile);
        let Some(settings) = settings else {
            return log::warn!("rules cannot be switched off while clients are served, the old ones go on");
        };
        let accord = self.settings.accord.take();
        self.settings = settings;
        self.settings.accord = accord;
        self.hand_files();
        self.tell_world(profile);
    }

    fn tell_world(&self, profile: &Profile) {
        let named = |kind: NodeKind| (kind.hall.into_string(), kind.hardware.into_string());
        let nodes: std::collections::BTreeSet<_> = self.rulings.kinds().into_iter().map(named).collect();
        // With no node nothing can be placed, and no rule be judged.
        if !nodes.is_empty() {
            self.ask(Job::Inventory(self.settings.world(profile, nodes)));
        }
    }

    /// The list, or what operators have laid over it, has changed in these.
    pub fn update_endpoints(
        &self,
        profile: &Profile,
        revision: u64,
        full: bool,
        entries: &[Entry],
        kind_of: impl Fn(ServerId) -> NodeKind,
    ) {
        let before = self.rulings.kinds().len();
        self.rulings.listed(full, entries, kind_of);
        if self.rulings.kinds().len() != before {
            self.tell_world(profile);
        }
        if let Some(agent) = &self.agent {
            agent.tell(Input::ListReceived { revision });
            self.board.seen().newer_list.take_if(|(newer, _)| *newer <= revision);
        }
    }

    /// Others have been told of a newer list than this one for longer than discovery's tellings are apart: its revision. Said
    /// again after a while, for as long as it is so.
    pub fn newer_list_revision(&self, revision: u64) -> Option<u64> {
        let mut seen = self.board.seen();
        let (newer, since) = seen.newer_list.as_mut()?;
        let now = Clock.now();
        if *newer <= revision || now - *since < LIST_LATE {
            return None;
        }
        *since = now + LIST_AGAIN;
        Some(*newer)
    }

    /// What the module is about to hear, as far as it changes what stands.
    pub fn observe_event(&self, event: &Event) {
        match event {
            Event::Open { request, server } => self.rulings.opened(request, *server),
            Event::Ended { request, last, .. } => {
                self.rulings.left(*request);
                if *last {
                    self.rulings.forget(*request);
                }
            }
            Event::ClientClosed(request) => self.forget_request(*request),
            _ => {}
        }
    }

    /// The request has had its answer, or needs none.
    pub fn forget_request(&self, request: RequestId) {
        self.rulings.left(request);
        self.rulings.forget(request);
    }

    /// The request's first line must be written before this, by [`Clock`], or not at all.
    pub fn write_deadline(&self, request: RequestId) -> Option<Micros> {
        Some(self.rulings.evaluated_at(request)?.saturating_add(self.act?))
    }

    /// Once a second: an event if what is held is to be looked at anew.
    pub fn tick(&mut self) -> Option<Event> {
        let now = Clock.now();
        let reading = self.publication.read();
        let state = reading.as_ref().map(|published| {
            let in_force = now < self.publication.until(published);
            (published.number, in_force)
        });
        (std::mem::replace(&mut self.announced, state) != state).then_some(Event::RulesChanged)
    }

    /// Another process of this proxy takes this one's part.
    pub fn stop_consensus(&mut self) {
        self.agent.iter().for_each(Agent::stop);
    }

    /// What the request was last ruled by.
    pub fn basis(&self, request: RequestId) -> Option<VerdictBasis> {
        self.rulings.basis(request)
    }

    /// What operators may know.
    pub fn status(&self) -> RulesStatus {
        let mut seen = self.board.seen().clone();
        if let Some(published) = &*self.publication.read() {
            (seen.version, seen.until) = (Some(published.number), self.publication.until(published));
            seen.rules = published.plan.rules() as u64;
        }
        // Rounded up: 0 means that it is over.
        let left = seen.until.saturating_sub(Clock.now());
        seen.lease_left_ms = u64::try_from(left).map_or(0, |left| left.div_ceil(1_000));
        seen.rejected_while_uncertain = self.rulings.rejected_while_uncertain();
        seen
    }
}
