//! The thread that makes, gets, compiles and compares contents, so that neither the loop nor the accord waits for it.

use super::compile_job::Job;
use super::consensus_handle::Agent;
use super::content_server::url;
use super::local_overrides::{advances, overlay};
use super::published_plan::Publication;
use super::status::StatusBoard;
use super::version_content::{Compiled, Content, Library, hex};
use cottonnotch_consensus::{ContentHash, Input, Micros, ProposalOutcome, Topic, Verdict};
use cottonnotch_routing_rules::{Conflict, History, Inventory, Merged, RuleFile, merge};
use cottonnotch_rule_compiler::{Profiles, contradiction};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// What was refused is made again on top of what is in force then, after this.
const AGAIN_AFTER: Duration = Duration::from_millis(400);
/// A cluster in which nothing is in force gets an empty book after this, if nobody has files.
const EMPTY_AFTER: Duration = Duration::from_secs(10);
/// How long a member is waited for.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const FETCH_WITHIN: Duration = Duration::from_secs(3);

/// Where a content goes that was made here.
pub enum Way {
    /// To the accord.
    Agreed(Agent),
    /// There are no others to agree with: it counts at once, and here only.
    Alone {
        /// There.
        publication: Arc<Publication>,
        /// The versions so far.
        number: u64,
    },
}

/// The thread's state.
pub struct Worker {
    way: Way,
    library: Library,
    board: Arc<StatusBoard>,
    members: Vec<SocketAddr>,
    files: Vec<RuleFile>,
    profiles: Profiles,
    /// The profiles changed while in use, and were not proposed yet.
    new_profiles: bool,
    world: Option<Inventory>,
    held: Option<ContentHash>,
    is_first: Option<Instant>,
    /// What this process has asked to be put in force.
    outstanding: Option<ContentHash>,
    /// What can't be run somewhere: it is not asked for again.
    given_up: Option<ContentHash>,
    due: Option<Instant>,
}

impl Worker {
    pub fn new(way: Way, library: Library, board: Arc<StatusBoard>, members: Vec<SocketAddr>) -> Self {
        // Alone there is nobody who could know of an earlier version.
        let is_first = matches!(way, Way::Alone { .. }).then(Instant::now);
        Worker {
            way,
            library,
            board,
            members,
            files: Vec::new(),
            profiles: Profiles::new(),
            new_profiles: false,
            world: None,
            held: None,
            is_first,
            outstanding: None,
            given_up: None,
            due: None,
        }
    }

    /// Works until nobody is there to ask.
    pub fn run(mut self, jobs: &Receiver<Job>) {
        loop {
            let wait = self.due.map(|due| due.saturating_duration_since(Instant::now()));
            let job = match wait {
                Some(wait) => jobs.recv_timeout(wait),
                None => jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match job {
                Err(RecvTimeoutError::Disconnected) => return,
                Ok(job) => self.take(job),
                Err(RecvTimeoutError::Timeout) => {
                    self.due = None;
                    self.propose();
                }
            }
        }
    }

    fn take(&mut self, job: Job) {
        match job {
            Job::Fetch { hash, size, from } => self.fetch(hash, size, &from),
            Job::Check { hash, against } => {
                let verdict = self.check(&hash, &against);
                log::debug!("rules {}: {verdict:?} beside {against:?}", &hex(&hash)[..12]);
                self.tell(Input::Checked { topic: Topic::Rules, hash, verdict });
            }
            Job::Over { hash, outcome } => {
                self.outstanding = self.outstanding.filter(|outstanding| *outstanding != hash);
                match outcome {
                    ProposalOutcome::InForce => log::info!("rules {} are in force", &hex(&hash)[..12]),
                    ProposalOutcome::Unsupported => {
                        log::error!("rules {} are dropped: a proxy cannot run them", &hex(&hash)[..12]);
                        self.given_up = Some(hash);
                    }
                    outcome => log::info!("rules {} are made anew: {outcome:?}", &hex(&hash)[..12]),
                }
                self.soon(AGAIN_AFTER);
            }
            Job::Held { version, is_first } => {
                self.held = version;
                self.is_first = is_first.then(|| self.is_first.unwrap_or_else(Instant::now));
                self.propose();
            }
            Job::Own { files, profiles } => {
                self.new_profiles |= self.profiles != profiles && self.world.is_some();
                (self.files, self.profiles, self.given_up) = (files, profiles, None);
                self.propose();
            }
            Job::Inventory(world) => {
                self.world = Some(world);
                self.propose();
            }
        }
    }

    fn soon(&mut self, after: Duration) {
        let at = Instant::now() + after;
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// Asks for this proxy's files to be put in force, if they say something new.
    fn propose(&mut self) {
        let Some(mut world) = self.world.clone() else { return };
        if self.outstanding.is_some() {
            return;
        }
        let base = match (self.held, self.is_first) {
            (Some(hash), _) => match self.library.get(&hash) {
                Some(base) => Some(base),
                None => return,
            },
            (None, Some(since)) => {
                let wait = EMPTY_AFTER.saturating_sub(since.elapsed());
                if self.files.is_empty() && !wait.is_zero() {
                    return self.soon(wait);
                }
                None
            }
            // In doubt: whatever was made now would be on top of something old.
            (None, None) => return,
        };
        // Guards against a proxy that hasn't heard of a hall yet, and would hold back who speaks of it.
        if let Some(base) = &base {
            let known = base.content.world.clone();
            world.nodes.extend(known.nodes);
            world.tenants.extend(known.tenants);
            world.classes.extend(known.classes);
        }
        let empty = History::default();
        let last = base.as_ref().map_or(&empty, |base| &base.content.ledger);
        let Merged { book, ledger, conflicts, .. } = merge(last, &overlay(last, &self.files), &world);
        self.note(conflicts.iter().flat_map(|conflict| {
            let owners = match conflict {
                // Nobody knows whose it is.
                Conflict::Broken { namespace: None, error } => vec![&*error.file],
                conflict => conflict.namespaces(),
            };
            owners.into_iter().map(move |owner| (owner.to_owned(), conflict.to_string()))
        }));
        let profiles_differ = base.as_ref().is_some_and(|base| base.content.profiles != self.profiles);
        let has_news = base.is_none() || advances(last, &ledger) || (self.new_profiles && profiles_differ);
        if !has_news {
            return;
        }
        let profiles = match &base {
            Some(base) if !self.new_profiles => base.content.profiles.clone(),
            _ => self.profiles.clone(),
        };
        let compiled = match Content::new(base.map(|base| base.hash), ledger, book, profiles, world).compile()
        {
            Ok(compiled) => Arc::new(compiled),
            Err(error) => return log::error!("rules cannot be proposed: {error}"),
        };
        if self.given_up == Some(compiled.hash) {
            return;
        }
        self.new_profiles = false;
        let (hash, size) = (compiled.hash, compiled.bytes.len() as u32);
        match &mut self.way {
            Way::Agreed(agent) => {
                log::info!("rules {} of {size} bytes are proposed", &hex(&hash)[..12]);
                self.outstanding = Some(hash);
                agent.keep(compiled);
                agent.tell(Input::Propose { topic: Topic::Rules, hash, size });
            }
            Way::Alone { publication, number } => {
                *number += 1;
                let rules = compiled.content.book.rules.len();
                publication.grant(&compiled.plan, *number, hash, Micros::MAX);
                log::info!(version = *number; "rules version {number} counts here: {rules} rules");
                self.library.put(compiled);
                (self.held, self.is_first) = (Some(hash), None);
            }
        }
    }

    fn tell(&self, input: Input) {
        if let Way::Agreed(agent) = &self.way {
            agent.tell(input);
        }
    }

    fn keep(&self, compiled: Arc<Compiled>) {
        match &self.way {
            Way::Agreed(agent) => agent.keep(compiled),
            Way::Alone { .. } => drop(self.library.put(compiled)),
        }
    }

    /// Which namespaces are held back, for operators; each is logged when that changes.
    fn note(&self, conflicts: impl Iterator<Item = (String, String)>) {
        let held_back: BTreeMap<String, String> = conflicts.collect();
        let before = std::mem::replace(&mut self.board.seen().held_back, held_back.clone());
        for (namespace, why) in &held_back {
            if before.get(namespace) != Some(why) {
                log::warn!(namespace = namespace.as_str(); "rules of {namespace} are in a conflict: {why}");
            }
        }
    }

    /// What the leader has to know of a proposal.
    fn check(&self, hash: &ContentHash, against: &[(u64, ContentHash)]) -> Verdict {
        let Some(new) = self.library.get(hash) else { return Verdict::Rejected };
        // Made on top of something else, it would take back what has come in force since.
        if new.content.base != against.last().map(|(_, hash)| *hash) {
            return Verdict::Rejected;
        }
        let mut agrees = None;
        for (number, old) in against.iter().rev() {
            // What can't be compared is taken for contradicting.
            let Some(old) = self.library.get(old) else { break };
            if let Some(found) = contradiction(&old.plan, &new.plan) {
                log::info!("rules {} contradict version {number}: {found:?}", &hex(hash)[..12]);
                break;
            }
            agrees = Some(*number);
        }
        agrees.map_or(Verdict::Incompatible, |from| Verdict::Compatible { from })
    }

    fn fetch(&mut self, hash: ContentHash, size: u32, from: &[u16]) {
        if self.library.get(&hash).is_some() {
            return self.tell(Input::ContentReady { hash });
        }
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_WITHIN))
            .timeout_global(Some(FETCH_WITHIN))
            .proxy(None)
            .build();
        let client = ureq::Agent::new_with_config(config);
        for member in from.iter().filter_map(|member| self.members.get(usize::from(*member))) {
            let got = client.get(url(*member, &hash)).call();
            let bytes = got.and_then(|mut got| {
                got.body_mut().with_config().limit(u64::from(size).saturating_add(1)).read_to_vec()
            });
            let bytes = match bytes {
                Ok(bytes) if *blake3::hash(&bytes).as_bytes() == hash => bytes,
                Ok(_) => {
                    log::warn!(member:%; "rules {} came otherwise than agreed from {member}", &hex(&hash)[..12]);
                    continue;
                }
                Err(error) => {
                    log::info!(member:%, error:%; "rules {} cannot be had from {member}: {error}", &hex(&hash)[..12]);
                    continue;
                }
            };
            match Compiled::read(bytes) {
                Ok(compiled) => {
                    self.keep(Arc::new(compiled));
                    return self.tell(Input::ContentReady { hash });
                }
                Err(error) => {
                    log::error!("rules {} cannot be run by this build: {error}", &hex(&hash)[..12]);
                    return self.tell(Input::ContentUnsupported { hash });
                }
            }
        }
    }
}
