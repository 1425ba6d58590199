//! What the consensus thread is started with.

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

/// The member's place in the cluster, from the configuration.
pub struct MemberSettings {
    /// Datagrams, and contents over TCP, are received here.
    pub listen: SocketAddr,
    /// The members' addresses, by ordinal.
    pub members: Vec<SocketAddr>,
    /// Authenticates datagrams.
    pub envelope_key: EnvelopeKey,
    pub state_folder: Option<PathBuf>,
    /// The cluster starts for the first time: a voter without durable state never had any.
    pub first_start: bool,
    pub config: Config,
    pub seed: u64,
}

/// What the consensus thread shares with other threads.
#[derive(Clone)]
pub struct SharedState {
    pub contents: ContentCache,
    pub published: Arc<PublishedPlan>,
    pub status: Arc<SharedStatus>,
    pub jobs: Sender<CompileJob>,
}

/// What the consensus thread is started with.
pub struct ConsensusSetup {
    pub member: MemberSettings,
    pub shared: SharedState,
}
