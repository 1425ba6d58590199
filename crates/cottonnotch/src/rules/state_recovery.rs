//! What a process of this member finds of an earlier one: its memory, its contents, what it went by, and, while it still
//! lives, what it goes by.

use super::consensus_handle::Agent;
use super::consensus_parts::Parts;
use super::durable_file::{self, Disk};
use super::lease_file::{LeaseFile, LeaseRecord};
use super::state_files::{CONTENT, HELD, MEMORY, content_name};
use super::version_content::Compiled;
use cottonnotch_consensus::{ContentHash, DurableState, Input, Micros};
use std::io;
use std::sync::Arc;

/// While another process of this member has the address: goes by what that one goes by, if it can be had.
pub fn borrow(parts: &Parts) -> Option<()> {
    let folder = parts.state_folder.as_deref()?;
    let file = LeaseFile::of_another(folder).ok()?;
    let LeaseRecord { number, hash, .. } = file.read()?;
    if matches!(&*parts.publication.read(), Some(p) if (p.number, p.hash) == (number, hash)) {
        return None;
    }
    let bytes = durable_file::load(folder, &content_name(&hash)).ok()??;
    let compiled = Arc::new(Compiled::read(bytes).ok().filter(|compiled| compiled.hash == hash)?);
    log::info!(version = number; "rules version {number} counts here for as long as the earlier process has it");
    parts.publication.lend(&compiled.plan, number, hash, file);
    parts.library.put(compiled);
    Some(())
}

/// What an earlier process of this member has left: its memory, its contents, and what it went by.
pub fn remembered(parts: &Parts, agent: &Agent, disk: Option<&Disk>) -> io::Result<Option<DurableState>> {
    let first = || parts.first_start.then(DurableState::initial);
    let Some(disk) = disk else { return Ok(first()) };
    for name in disk.names(CONTENT)? {
        match disk
            .load(&name)
            .map_err(|error| error.to_string())
            .and_then(|bytes| Compiled::read(bytes.unwrap_or_default()).map_err(|error| error.to_string()))
        {
            Ok(compiled) if name == content_name(&compiled.hash) => {
                let hash = compiled.hash;
                parts.library.put(Arc::new(compiled));
                agent.tell(Input::ContentReady { hash });
            }
            _ => {
                // It is fetched again if it is needed.
                log::warn!("kept rules '{name}' cannot be used, they are removed");
                let _ = disk.remove(&name);
            }
        }
    }
    let held = disk
        .load(HELD)
        .ok()
        .flatten()
        .and_then(|bytes| postcard::from_bytes::<(u64, ContentHash)>(&bytes).ok());
    if parts.publication.read().is_none()
        && let Some((number, hash)) = held
        && let Some(compiled) = parts.library.get(&hash)
    {
        // Known, and not in force: for those rules that go on in doubt.
        parts.publication.grant(&compiled.plan, number, hash, Micros::MIN);
        parts.board.seen().version = Some(number);
    }
    match disk.load(MEMORY) {
        Ok(Some(bytes)) => match postcard::from_bytes(&bytes) {
            Ok(memory) => Ok(Some(memory)),
            Err(error) => {
                log::error!(error:%; "the accord's memory is of another build, this member abstains for a while: {error}");
                Ok(None)
            }
        },
        Ok(None) => Ok(first()),
        Err(error) => {
            log::error!(error:%; "the accord's memory is lost, this member abstains for a while: {error}");
            Ok(None)
        }
    }
}
