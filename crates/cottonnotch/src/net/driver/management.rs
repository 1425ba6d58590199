//! The operators' address as the driver has it: who is let in, whether this process is ready, and what is called for by
//! hand.

use super::context::{CALLERS, LOOK, Net, PART};
use super::endpoints::Subchannels;
use super::maintenance_file::{Kept, LOOK_EVERY, NoSave};
use super::message_latency::Messages;
use crate::maintenance::Maintenance;
use crate::net::management::{Answer, Desk};
use cottonnotch_decision::{Event, Micros};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Processes share their state in this folder, where the environment names one.
const FOLDER: &str = "TMPDIR";

/// The desk, if there is one, and what is kept of the calls.
pub struct Management {
    desk: Option<Desk>,
    kept: Kept,
    unread: RateLimitedLog,
    unwritten: RateLimitedLog,
}

/// Where a proxy's processes share something: named by the address that they share, so that proxies on one machine don't
/// read each other's. `None`: nowhere, since no folder is named, or the system gives each an address of its own.
pub fn shared_file(listen: SocketAddr, kind: &str) -> Option<PathBuf> {
    let folder = std::env::var_os(FOLDER).filter(|folder| !folder.is_empty())?;
    let address = listen.to_string().replace([':', '[', ']', '%'], "_");
    (listen.port() != 0).then(|| PathBuf::from(folder).join(format!("cottonnotch-{address}.{kind}")))
}

impl Management {
    /// Opens the operators' address, if one is configured. Fails if it can't be had.
    pub fn start(net: &mut Net) -> io::Result<Self> {
        let Some(address) = net.config.mgmt else {
            return Ok(Management::at(None, Kept::default()));
        };
        let desk = Desk::open(&mut net.reactor, address, CALLERS)?;
        // No key-values: scripts take the last word as the address.
        log::info!(target: PART, "operators may call at {}", desk.address()?);
        let kept = Kept::at(shared_file(net.config.listen, "maintenance"));
        if !kept.is_kept() {
            log::warn!(target: PART, "maintenance by hand ends with this process: {FOLDER} names no folder, or listen no port");
        }
        Ok(Management::at(Some(desk), kept))
    }

    fn at(desk: Option<Desk>, kept: Kept) -> Self {
        Management { desk, kept, unread: RateLimitedLog::default(), unwritten: RateLimitedLog::default() }
    }

    /// Looks for what another process of this proxy was told, and sets the timer of the next look. An event, if that
    /// changes something.
    pub fn look(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &mut Subchannels,
    ) -> Option<Event> {
        self.desk.as_ref()?;
        net.timer_in(LOOK_EVERY, LOOK);
        match self.take_over(net, messages, subchannels) {
            Ok(event) => event,
            Err(error) => {
                if let Some(left_out) = self.unread.due(net.now()) {
                    log::error!(target: PART, error:%, left_out; "kept maintenance cannot be taken over: {error}");
                }
                None
            }
        }
    }

    /// Takes over what is kept, if that is news, and writes what is missing there. Fails if it can't be read, now or ever.
    fn take_over(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &mut Subchannels,
    ) -> Result<Option<Event>, NoSave> {
        let theirs = self.kept.look().transpose()?;
        let mut merged = subchannels.by_hand().clone();
        let changed = theirs.as_ref().map_or_else(Vec::new, |theirs| merged.merge(theirs));
        // Guards against two that write at once: who finds something missing writes it again, until it is there.
        if theirs.is_some_and(|theirs| merged != theirs) || self.kept.is_behind() {
            self.save(net.now(), &merged);
        }
        if self.kept.sync_folder().is_err() {
            log::debug!(target: PART, "the folder of kept maintenance cannot be synced yet");
        }
        if changed.is_empty() {
            return Ok(None);
        }
        Ok(subchannels.lay_over(net, messages, merged, &changed))
    }

    fn save(&mut self, now: Micros, state: &Maintenance) {
        let Err(error) = self.kept.save(state) else { return };
        self.kept.fell_behind();
        if let Some(left_out) = self.unwritten.due(now) {
            log::error!(target: PART, error:%, left_out; "maintenance by hand cannot be kept yet: {error}");
        }
    }

    /// An operator takes a render node out, or puts it back: the answer, and an event if that changes anything.
    pub fn by_hand(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &mut Subchannels,
        id: &str,
        out: bool,
    ) -> (Answer, Vec<Event>) {
        // What is kept first: what this process writes takes the place of what is there, which it must know.
        let taken_over = match self.take_over(net, messages, subchannels) {
            Err(NoSave::Io(error)) => {
                let words = format!("nothing was done, earlier calls cannot be read: {error}\n");
                return (Answer::failed(words), Vec::new());
            }
            Err(NoSave::Bad(error)) => {
                log::error!(target: PART, error:%; "kept maintenance cannot be taken over: {error}");
                None
            }
            Ok(event) => event,
        };
        let (answer, event) = self.call(net, messages, subchannels, id, out);
        (answer, taken_over.into_iter().chain(event).collect())
    }

    fn call(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &mut Subchannels,
        id: &str,
        out: bool,
    ) -> (Answer, Option<Event>) {
        if !subchannels.is_known(id) {
            return (Answer::unknown("no render node of that id is listed\n"), None);
        }
        let how = if out { "out" } else { "in use" };
        let done = Answer::yes(format!("{id} is {how}\n"));
        // Of the wall clock: another process, or a later one, reads it.
        net.observe_wall();
        let now = net.wall.unix(net.now());
        let mut state = subchannels.by_hand().clone();
        let changed = if out { state.enter(now, id) } else { state.exit(now, id) };
        if !changed && state.is_out(id) != out {
            return (Answer::failed("too many render nodes are out\n"), None);
        }
        if !changed {
            return (done, None);
        }
        state.forget_old(now);
        // The yes is a promise that outlives this process; where it can't be kept, nothing is done.
        if let Err(error) = self.kept.save(&state) {
            log::error!(target: PART, error:%; "maintenance by hand cannot be kept: {error}");
            return (Answer::failed(format!("nothing was done, it cannot be kept: {error}\n")), None);
        }
        (done, subchannels.lay_over(net, messages, state, &[id.to_owned()]))
    }

    /// What earlier processes were told by hand is known here, as far as it is kept.
    pub fn is_informed(&self) -> bool {
        self.desk.is_none() || self.kept.is_known()
    }

    /// Operators wait to be let in.
    pub fn acceptable(&mut self, net: &mut Net) {
        self.desk.iter_mut().for_each(|desk| desk.acceptable(&mut net.reactor));
    }

    /// The timer for that is due.
    pub fn accept_again(&mut self, net: &mut Net) {
        self.desk.iter_mut().for_each(|desk| desk.accept_again(&mut net.reactor));
    }

    /// Whether this process is ready to serve.
    pub fn status(trouble: Option<&str>) -> Answer {
        match trouble {
            Some(trouble) => Answer::unready(format!("not ready: {trouble}\n")),
            None => Answer::yes("ready\n"),
        }
    }

    /// Answers a caller, if it is still there.
    pub fn answer(&self, net: &mut Net, caller: Key, answer: &Answer) {
        net.reactor.with(caller, |object, io| object.caller().map(|caller| caller.answer(io, answer)));
    }
}
