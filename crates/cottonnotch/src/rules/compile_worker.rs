//! The worker thread that merges rule files into contents, and fetches, compiles and compares contents. Neither the event loop
//! nor the consensus thread waits for these slow tasks.

use super::compile_job::CompileJob;
use super::consensus_handle::ConsensusHandle;
use super::content_fetcher::fetch_content;
use super::local_overrides::{apply_overrides, has_newer_revision};
use super::published_plan::PublishedPlan;
use super::status::SharedStatus;
use super::version_content::{ContentBody, ContentCache, VersionContent, short_hex};
use cottonnotch_consensus::{ContentHash, Input, Micros, ProposalOutcome, Topic, Verdict};
use cottonnotch_routing_rules::{Conflict, History, Inventory, Merged, RuleFile, merge};
use cottonnotch_rule_compiler::{Profiles, contradiction};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// The delay between the end of a proposal and the next merge of the local files with the version in force.
const REPROPOSE_DELAY: Duration = Duration::from_millis(400);
/// How long a proxy without rule files waits before it proposes an empty book as the first version of the cluster. The delay
/// gives proxies that have rule files time to propose theirs.
const EMPTY_BOOK_DELAY: Duration = Duration::from_secs(10);

/// The receiver of the contents that this process creates.
pub enum Destination {
    /// Contents are proposed to the other members.
    Consensus(ConsensusHandle),
    /// Consensus is off. Contents come into force in this process at once.
    Local {
        published: Arc<PublishedPlan>,
        /// The number of the most recently published version.
        number: u64,
    },
}

/// The rule inputs from this proxy's own configuration and endpoint list.
#[derive(Default)]
struct LocalRules {
    files: Vec<RuleFile>,
    profiles: Profiles,
    /// The profiles changed while rules were in use, and no version with the new profiles has been proposed yet.
    profiles_changed: bool,
    /// The inventory; `None` until the first endpoint list arrives.
    inventory: Option<Inventory>,
}

/// The progress of this process's proposals.
#[derive(Default)]
struct ProposalState {
    /// The version that this process acts on.
    active: Option<ContentHash>,
    /// When this process learned that the cluster has never had a version; `None` if the cluster has one or this is unknown.
    cluster_has_no_version_since: Option<Instant>,
    /// The content whose proposal is still in progress.
    outstanding: Option<ContentHash>,
    /// A content that some member cannot run, and which is therefore not proposed again.
    unsupported: Option<ContentHash>,
    /// When the local files are merged again and proposed if they change the version in force.
    retry_at: Option<Instant>,
}

/// The version that a proposal is based on.
enum ProposalBase {
    Version(Arc<VersionContent>),
    /// The cluster has never had a version.
    Empty,
}

impl ProposalBase {
    fn version(&self) -> Option<&VersionContent> {
        match self {
            ProposalBase::Version(content) => Some(content),
            ProposalBase::Empty => None,
        }
    }
}

/// The state of the worker thread.
pub struct CompileWorker {
    destination: Destination,
    contents: ContentCache,
    status: Arc<SharedStatus>,
    members: Vec<SocketAddr>,
    local: LocalRules,
    proposal: ProposalState,
}

impl CompileWorker {
    pub fn new(
        destination: Destination,
        contents: ContentCache,
        status: Arc<SharedStatus>,
        members: Vec<SocketAddr>,
    ) -> Self {
        // Without consensus no other member can have an earlier version.
        let is_local = matches!(destination, Destination::Local { .. });
        let cluster_has_no_version_since = is_local.then(Instant::now);
        let proposal = ProposalState { cluster_has_no_version_since, ..ProposalState::default() };
        CompileWorker { destination, contents, status, members, local: LocalRules::default(), proposal }
    }

    /// Handles jobs until every sender has been dropped.
    pub fn run(mut self, jobs: &Receiver<CompileJob>) {
        loop {
            let wait = self.proposal.retry_at.map(|at| at.saturating_duration_since(Instant::now()));
            let job = match wait {
                Some(wait) => jobs.recv_timeout(wait),
                None => jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match job {
                Err(RecvTimeoutError::Disconnected) => return,
                Ok(job) => self.handle_job(job),
                Err(RecvTimeoutError::Timeout) => {
                    self.proposal.retry_at = None;
                    self.propose();
                }
            }
        }
    }

    fn handle_job(&mut self, job: CompileJob) {
        match job {
            CompileJob::Fetch { hash, size, from } => self.fetch(hash, size, &from),
            CompileJob::Check { hash, against } => {
                let verdict = self.check(&hash, &against);
                log::debug!("rules {}: {verdict:?} compared with {against:?}", short_hex(&hash));
                self.send(Input::Checked { topic: Topic::Rules, hash, verdict });
            }
            CompileJob::ProposalFinished { hash, outcome } => self.finish_proposal(hash, outcome),
            CompileJob::ActiveVersion { hash, cluster_has_no_version } => {
                let since = self.proposal.cluster_has_no_version_since;
                self.proposal.active = hash;
                self.proposal.cluster_has_no_version_since =
                    cluster_has_no_version.then(|| since.unwrap_or_else(Instant::now));
                self.propose();
            }
            CompileJob::LocalFiles { files, profiles } => {
                self.local.profiles_changed |=
                    self.local.profiles != profiles && self.local.inventory.is_some();
                (self.local.files, self.local.profiles) = (files, profiles);
                self.proposal.unsupported = None;
                self.propose();
            }
            CompileJob::Inventory(inventory) => {
                self.local.inventory = Some(inventory);
                self.propose();
            }
        }
    }

    fn finish_proposal(&mut self, hash: ContentHash, outcome: ProposalOutcome) {
        self.proposal.outstanding = self.proposal.outstanding.filter(|outstanding| *outstanding != hash);
        let name = short_hex(&hash);
        match outcome {
            ProposalOutcome::InForce => log::info!("rules {name} are in force"),
            ProposalOutcome::Unsupported => {
                log::error!("rules {name} are dropped: a proxy cannot run them");
                self.proposal.unsupported = Some(hash);
            }
            outcome => log::info!("rules {name} are merged again, their proposal ended: {outcome:?}"),
        }
        self.schedule_proposal(REPROPOSE_DELAY);
    }

    fn schedule_proposal(&mut self, wait: Duration) {
        let at = Instant::now() + wait;
        self.proposal.retry_at = Some(self.proposal.retry_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Merges this proxy's files with the version in force, and proposes the result if it differs.
    fn propose(&mut self) {
        let Some(inventory) = self.local.inventory.clone() else { return };
        if self.proposal.outstanding.is_some() {
            return;
        }
        let Some(base) = self.proposal_base() else { return };
        let Some(body) = self.merge_files(base.version(), inventory) else { return };
        let content = match body.compile() {
            Ok(content) => Arc::new(content),
            Err(error) => return log::error!("rules cannot be proposed: {error}"),
        };
        if self.proposal.unsupported != Some(content.hash) {
            self.local.profiles_changed = false;
            self.publish(content);
        }
    }

    /// The version that a proposal can be based on now. Returns `None` if the version in force is unknown, if its content is
    /// not in the cache, or if this proxy has no files and still waits for the proposals of other proxies.
    fn proposal_base(&mut self) -> Option<ProposalBase> {
        if let Some(hash) = self.proposal.active {
            return self.contents.get(&hash).map(ProposalBase::Version);
        }
        // A process without a lease in a cluster that has versions cannot propose: its proposal could be based on an outdated
        // version.
        let since = self.proposal.cluster_has_no_version_since?;
        let wait = EMPTY_BOOK_DELAY.saturating_sub(since.elapsed());
        if self.local.files.is_empty() && !wait.is_zero() {
            self.schedule_proposal(wait);
            return None;
        }
        Some(ProposalBase::Empty)
    }

    /// Merges the local files with the base version. Returns `None` if the result has neither a newer revision nor new
    /// profiles.
    fn merge_files(&self, base: Option<&VersionContent>, mut inventory: Inventory) -> Option<ContentBody> {
        if let Some(base) = base {
            extend_inventory(&mut inventory, &base.body.inventory);
        }
        let empty_history = History::default();
        let base_history = base.map_or(&empty_history, |base| &base.body.history);
        let files = apply_overrides(base_history, &self.local.files);
        let Merged { book, history, conflicts, .. } = merge(base_history, &files, &inventory);
        self.report_conflicts(&conflicts);
        let new_profiles =
            self.local.profiles_changed && base.is_some_and(|base| base.body.profiles != self.local.profiles);
        if base.is_some() && !has_newer_revision(base_history, &history) && !new_profiles {
            return None;
        }
        let profiles = match base {
            Some(base) if !self.local.profiles_changed => base.body.profiles.clone(),
            _ => self.local.profiles.clone(),
        };
        Some(ContentBody::new(base.map(|base| base.hash), history, book, profiles, inventory))
    }

    /// Proposes a content of this process, or puts it into force at once if consensus is off.
    fn publish(&mut self, content: Arc<VersionContent>) {
        let (hash, size) = (content.hash, content.bytes.len() as u32);
        match &mut self.destination {
            Destination::Consensus(handle) => {
                log::info!("rules {} of {size} bytes are proposed", short_hex(&hash));
                self.proposal.outstanding = Some(hash);
                handle.store(content);
                handle.send(Input::Propose { topic: Topic::Rules, hash, size });
            }
            Destination::Local { published, number } => {
                *number += 1;
                let rules = content.body.book.rules.len();
                published.grant(&content.plan, *number, hash, Micros::MAX);
                log::info!(version = *number; "rules version {number} is active: {rules} rules");
                self.contents.insert(content);
                self.proposal.active = Some(hash);
                self.proposal.cluster_has_no_version_since = None;
            }
        }
    }

    fn send(&self, input: Input) {
        if let Destination::Consensus(handle) = &self.destination {
            handle.send(input);
        }
    }

    fn store(&self, content: Arc<VersionContent>) {
        match &self.destination {
            Destination::Consensus(handle) => handle.store(content),
            Destination::Local { .. } => drop(self.contents.insert(content)),
        }
    }

    /// Stores the held-back namespaces with their reasons in the status, and logs each namespace whose reason is new.
    fn report_conflicts(&self, conflicts: &[Conflict]) {
        let mut held_back = BTreeMap::new();
        for conflict in conflicts {
            for namespace in conflicting_namespaces(conflict) {
                held_back.insert(namespace.to_owned(), conflict.to_string());
            }
        }
        let previous = std::mem::replace(&mut self.status.lock().held_back, held_back.clone());
        for (namespace, reason) in &held_back {
            if previous.get(namespace) != Some(reason) {
                log::warn!(namespace = namespace.as_str(); "rules of {namespace} are in a conflict: {reason}");
            }
        }
    }

    /// Compares a content with the versions that some member may still act on.
    fn check(&self, hash: &ContentHash, against: &[(u64, ContentHash)]) -> Verdict {
        let Some(new) = self.contents.get(hash) else { return Verdict::Rejected };
        // A content with another base would undo the changes that have come into force since.
        if new.body.base != against.last().map(|(_, hash)| *hash) {
            return Verdict::Rejected;
        }
        let mut compatible_from = None;
        for (number, old) in against.iter().rev() {
            // A version whose content is not in the cache counts as incompatible.
            let Some(old) = self.contents.get(old) else { break };
            if let Some(witness) = contradiction(&old.plan, &new.plan) {
                log::info!("rules {} are incompatible with version {number}: {witness:?}", short_hex(hash));
                break;
            }
            compatible_from = Some(*number);
        }
        compatible_from.map_or(Verdict::Incompatible, |from| Verdict::Compatible { from })
    }

    /// Fetches a content from other members unless the cache has it. If no member has the content, consensus requests it again
    /// later.
    fn fetch(&mut self, hash: ContentHash, size: u32, from: &[u16]) {
        if self.contents.get(&hash).is_some() {
            return self.send(Input::ContentReady { hash });
        }
        let members = from.iter().filter_map(|member| self.members.get(usize::from(*member)).copied());
        let Some(bytes) = fetch_content(members, &hash, size) else { return };
        match VersionContent::decode(bytes) {
            Ok(content) => {
                self.store(Arc::new(content));
                self.send(Input::ContentReady { hash });
            }
            Err(error) => {
                log::error!("rules {} cannot be run by this build: {error}", short_hex(&hash));
                self.send(Input::ContentUnsupported { hash });
            }
        }
    }
}

/// Adds the names that other proxies know to the inventory. This proxy may not have seen a render node of some hall yet, and
/// would otherwise hold back the rules that name that hall.
fn extend_inventory(inventory: &mut Inventory, other: &Inventory) {
    inventory.nodes.extend(other.nodes.iter().cloned());
    inventory.tenants.extend(other.tenants.iter().cloned());
    inventory.classes.extend(other.classes.iter().cloned());
}

/// The namespaces that a conflict holds back. Returns the file's name if the namespace cannot be read from the file.
fn conflicting_namespaces(conflict: &Conflict) -> Vec<&str> {
    match conflict {
        Conflict::InvalidFile { namespace: None, error } => vec![&*error.file],
        conflict => conflict.namespaces(),
    }
}
