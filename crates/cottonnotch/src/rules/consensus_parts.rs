//! What the consensus thread is made of.

use super::compile_job::Job;
use super::published_plan::Publication;
use super::status::StatusBoard;
use super::version_content::Library;
use cottonnotch_consensus::Config;
use cottonnotch_proxy_core::envelope::EnvelopeKey;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Sender;

/// What the thread is made of.
pub struct Parts {
    pub listen: SocketAddr,
    pub members: Vec<SocketAddr>,
    pub seal: EnvelopeKey,
    pub state_folder: Option<PathBuf>,
    pub first_start: bool,
    pub config: Config,
    pub seed: u64,
    pub library: Library,
    pub publication: Arc<Publication>,
    pub board: Arc<StatusBoard>,
    pub jobs: Sender<Job>,
}
