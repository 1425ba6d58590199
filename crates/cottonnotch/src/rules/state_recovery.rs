//! Recovery of the state that an earlier process of the same member left: durable state, contents and the version that was
//! active last. While the earlier process still runs, the new process follows its lease.

use super::consensus_handle::ConsensusHandle;
use super::consensus_setup::{MemberSettings, SharedState};
use super::durable_file::{self, StateFileError, StateFolder};
use super::lease_file::{LeaseFile, LeaseRecord};
use super::state_files::{CONTENT_PREFIX, DURABLE_STATE, LAST_ACTIVE, content_name};
use super::version_content::{ContentError, VersionContent};
use cottonnotch_consensus::{ContentHash, DurableState, Input, Micros};
use std::io;
use std::path::Path;
use std::sync::Arc;

/// Publishes the version of the predecessor's lease file, which stays valid for as long as the predecessor holds its lease.
/// Returns `None` if the version is already published, or if the lease or its content cannot be read.
pub fn follow_predecessor(folder: &Path, shared: &SharedState) -> Option<()> {
    let file = LeaseFile::open(folder).ok()?;
    let LeaseRecord { number, hash, .. } = file.read()?;
    if matches!(&*shared.published.read(), Some(p) if (p.number, p.hash) == (number, hash)) {
        return None;
    }
    let bytes = durable_file::load(folder, &content_name(&hash)).ok()??;
    let content = Arc::new(VersionContent::decode(bytes).ok().filter(|content| content.hash == hash)?);
    log::info!(version = number; "rules version {number} is active for as long as the predecessor holds its lease");
    shared.published.follow_predecessor(&content.plan, number, hash, file);
    shared.contents.insert(content);
    Some(())
}

/// Restores the contents and the last active version from the state folder. Returns the voter's durable state, if there is one.
pub fn restore_state(
    settings: &MemberSettings,
    shared: &SharedState,
    handle: &ConsensusHandle,
    folder: Option<&StateFolder>,
) -> io::Result<Option<DurableState>> {
    let initial = || settings.first_start.then(DurableState::initial);
    let Some(folder) = folder else { return Ok(initial()) };
    restore_contents(folder, shared, handle)?;
    restore_last_active(folder, shared);
    Ok(restore_durable_state(folder, initial))
}

/// Why a stored content cannot be used.
#[derive(Debug, thiserror::Error)]
enum StoredContentError {
    #[error(transparent)]
    File(#[from] StateFileError),
    #[error(transparent)]
    Content(#[from] ContentError),
    #[error("the hash of the content differs from that in the file name")]
    Misnamed,
}

fn load_content(folder: &StateFolder, name: &str) -> Result<VersionContent, StoredContentError> {
    let content = VersionContent::decode(folder.load(name)?.unwrap_or_default())?;
    if name == content_name(&content.hash) { Ok(content) } else { Err(StoredContentError::Misnamed) }
}

fn restore_contents(folder: &StateFolder, shared: &SharedState, handle: &ConsensusHandle) -> io::Result<()> {
    for name in folder.list(CONTENT_PREFIX)? {
        match load_content(folder, &name) {
            Ok(content) => {
                let hash = content.hash;
                shared.contents.insert(Arc::new(content));
                handle.send(Input::ContentReady { hash });
            }
            Err(error) => {
                // The member fetches the content again if it needs it.
                log::warn!("stored rules '{name}' cannot be used and are removed: {error}");
                let _ = folder.remove(&name);
            }
        }
    }
    Ok(())
}

/// Publishes the version that was active last, with an expired lease, because some rules apply even while it is uncertain which
/// version is in force.
fn restore_last_active(folder: &StateFolder, shared: &SharedState) {
    let bytes = folder.load(LAST_ACTIVE).ok().flatten();
    let last = bytes.and_then(|bytes| postcard::from_bytes::<(u64, ContentHash)>(&bytes).ok());
    if shared.published.read().is_none()
        && let Some((number, hash)) = last
        && let Some(content) = shared.contents.get(&hash)
    {
        shared.published.grant(&content.plan, number, hash, Micros::MIN);
        shared.status.lock().version = Some(number);
    }
}

fn restore_durable_state(
    folder: &StateFolder,
    initial: impl FnOnce() -> Option<DurableState>,
) -> Option<DurableState> {
    match folder.load(DURABLE_STATE) {
        Ok(Some(bytes)) => match postcard::from_bytes(&bytes) {
            Ok(durable_state) => Some(durable_state),
            Err(error) => {
                log::error!(error:%; "the durable state of consensus is of another build, this voter recovers first: {error}");
                None
            }
        },
        Ok(None) => initial(),
        Err(error) => {
            log::error!(error:%; "the durable state of consensus cannot be read, this voter recovers first: {error}");
            None
        }
    }
}
