//! The inputs of the start of the consensus thread.

use super::compile_job::CompileJob;
use super::published_plan::PublishedPlan;
use super::status::SharedStatus;
use super::version_content::ContentCache;
use cottonnotch_consensus::Config;
use cottonnotch_proxy_core::envelope::EnvelopeKey;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Sender;

/// The member's own settings and its view of the cluster, from the configuration.
pub struct MemberSettings {
    /// The address for datagrams (UDP) and for contents (TCP).
    pub listen: SocketAddr,
    /// The members' addresses, by ordinal.
    pub members: Vec<SocketAddr>,
    /// The key that authenticates datagrams.
    pub envelope_key: EnvelopeKey,
    pub state_folder: Option<PathBuf>,
    /// Whether the cluster starts for the first time. A voter without durable state then starts with the initial state, instead
    /// of recovering its state from other voters.
    pub first_start: bool,
    pub config: Config,
    pub seed: u64,
}

/// The state that the consensus thread shares with other threads.
#[derive(Clone)]
pub struct SharedState {
    pub contents: ContentCache,
    pub published: Arc<PublishedPlan>,
    pub status: Arc<SharedStatus>,
    pub jobs: Sender<CompileJob>,
}

/// The complete input of the consensus thread's start.
pub struct ConsensusSetup {
    pub member: MemberSettings,
    pub shared: SharedState,
}
