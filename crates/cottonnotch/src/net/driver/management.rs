//! The operators' address as the driver has it: connections are accepted, requests get responses, and maintenance by hand
//! is stored for the other processes of this proxy.

use super::context::{ACCEPT_ADMINS, Context, POLL_SIBLINGS};
use super::endpoints::Endpoints;
use super::log_target::LOG_TARGET;
use super::maintenance_file::{MaintenanceFile, MaintenanceFileError, POLL_INTERVAL};
use super::message_latency::MessageLatency;
use crate::maintenance::Maintenance;
use crate::net::management::admin_request::AdminResponse;
use crate::net::management::admin_server::AdminServer;
use cottonnotch_decision::{Event, Micros};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Processes share their state in this folder, where the environment names one.
const STATE_FOLDER_VARIABLE: &str = "TMPDIR";

/// What an operator does with a render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Takes it out of use.
    Enter,
    /// Puts it back in use.
    Exit,
}

/// The admin server, if there is one, and the stored maintenance.
pub struct Management {
    admin_server: Option<AdminServer>,
    file: MaintenanceFile,
    read_failure_log: RateLimitedLog,
    write_failure_log: RateLimitedLog,
}

/// The file in which a proxy's processes share something: named by the address that they share, so that proxies on one machine don't
/// read each other's. `None`: nowhere, since no folder is named, or the system gives each an address of its own.
pub fn shared_file(listen: SocketAddr, kind: &str) -> Option<PathBuf> {
    let folder = std::env::var_os(STATE_FOLDER_VARIABLE).filter(|folder| !folder.is_empty())?;
    let address = listen.to_string().replace([':', '[', ']', '%'], "_");
    (listen.port() != 0).then(|| PathBuf::from(folder).join(format!("cottonnotch-{address}.{kind}")))
}

impl Management {
    /// Opens the operators' address, if one is configured. Fails if it can't be had.
    pub fn start(context: &mut Context) -> io::Result<Self> {
        let Some(address) = context.config.mgmt else {
            return Ok(Management::new(None, MaintenanceFile::default()));
        };
        let admin_server = AdminServer::open(&mut context.reactor, address, ACCEPT_ADMINS)?;
        // No key-values: scripts take the last word as the address.
        log::info!(target: LOG_TARGET, "operators may call at {}", admin_server.address()?);
        let file = MaintenanceFile::at(shared_file(context.config.listen, "maintenance"));
        if !file.is_persistent() {
            log::warn!(target: LOG_TARGET, "maintenance by hand ends with this process: {STATE_FOLDER_VARIABLE} names no folder, or listen no port");
        }
        Ok(Management::new(Some(admin_server), file))
    }

    fn new(admin_server: Option<AdminServer>, file: MaintenanceFile) -> Self {
        Management {
            admin_server,
            file,
            read_failure_log: RateLimitedLog::default(),
            write_failure_log: RateLimitedLog::default(),
        }
    }

    /// Takes over what operators have set at another process of this proxy, and sets the timer of the next poll. An event,
    /// if that changes something.
    pub fn sync(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &mut Endpoints,
    ) -> Option<Event> {
        self.admin_server.as_ref()?;
        context.set_timer(POLL_INTERVAL, POLL_SIBLINGS);
        match self.take_over(context, latency, endpoints) {
            Ok(event) => event,
            Err(error) => {
                if let Some(left_out) = self.read_failure_log.due(context.now()) {
                    log::error!(target: LOG_TARGET, error:%, left_out; "stored maintenance cannot be taken over: {error}");
                }
                None
            }
        }
    }

    /// Takes over what is stored, if that is new, and writes what is missing there. Fails if it can't be read, now or ever.
    fn take_over(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &mut Endpoints,
    ) -> Result<Option<Event>, MaintenanceFileError> {
        let theirs = self.file.read_changes().transpose()?;
        let mut merged = endpoints.manual_overrides().clone();
        let changed = theirs.as_ref().map_or_else(Vec::new, |theirs| merged.merge(theirs));
        // Guards against two that write at once: who finds something missing writes it again, until it is there.
        if theirs.is_some_and(|theirs| merged != theirs) || self.file.is_behind() {
            self.save(context.now(), &merged);
        }
        if self.file.sync_folder().is_err() {
            log::debug!(target: LOG_TARGET, "the folder of stored maintenance cannot be synced yet");
        }
        if changed.is_empty() {
            return Ok(None);
        }
        Ok(endpoints.set_overrides(context, latency, merged, &changed))
    }

    fn save(&mut self, now: Micros, state: &Maintenance) {
        let Err(error) = self.file.save(state) else { return };
        self.file.mark_behind();
        if let Some(left_out) = self.write_failure_log.due(now) {
            log::error!(target: LOG_TARGET, error:%, left_out; "maintenance by hand cannot be stored yet: {error}");
        }
    }

    /// An operator takes a render node out, or puts it back: the response, and events if that changes anything.
    pub fn set_maintenance(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &mut Endpoints,
        id: &str,
        action: MaintenanceAction,
    ) -> (AdminResponse, Vec<Event>) {
        // What is stored first: what this process writes replaces what is there, which it must know.
        let taken_over = match self.take_over(context, latency, endpoints) {
            Err(MaintenanceFileError::Io(error)) => {
                let text = format!("nothing was done, earlier calls cannot be read: {error}\n");
                return (AdminResponse::failed(text), Vec::new());
            }
            Err(MaintenanceFileError::Invalid(error)) => {
                log::error!(target: LOG_TARGET, error:%; "stored maintenance cannot be taken over: {error}");
                None
            }
            Ok(event) => event,
        };
        let (response, event) = self.apply_override(context, latency, endpoints, id, action);
        (response, taken_over.into_iter().chain(event).collect())
    }

    fn apply_override(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &mut Endpoints,
        id: &str,
        action: MaintenanceAction,
    ) -> (AdminResponse, Option<Event>) {
        if !endpoints.is_known(id) {
            return (AdminResponse::not_found("no render node of that id is listed\n"), None);
        }
        let (is_out, state_name) = match action {
            MaintenanceAction::Enter => (true, "out"),
            MaintenanceAction::Exit => (false, "in use"),
        };
        let done = AdminResponse::ok(format!("{id} is {state_name}\n"));
        // Of the wall clock: another process, or a later one, reads it.
        context.observe_wall_clock();
        let now = context.wall_clock.unix(context.now());
        let mut state = endpoints.manual_overrides().clone();
        let changed = if is_out { state.enter(now, id) } else { state.exit(now, id) };
        if !changed && state.is_out(id) != is_out {
            return (AdminResponse::failed("too many render nodes are out\n"), None);
        }
        if !changed {
            return (done, None);
        }
        state.remove_expired(now);
        // The yes is a promise that outlives this process; where it can't be kept, nothing is done.
        if let Err(error) = self.file.save(&state) {
            log::error!(target: LOG_TARGET, error:%; "maintenance by hand cannot be stored: {error}");
            return (AdminResponse::failed(format!("nothing was done, it cannot be kept: {error}\n")), None);
        }
        (done, endpoints.set_overrides(context, latency, state, &[id.to_owned()]))
    }

    /// What operators have set at earlier processes is known here, as far as it is stored.
    pub fn has_maintenance(&self) -> bool {
        self.admin_server.is_none() || self.file.is_known()
    }

    /// Operators wait to be accepted.
    pub fn on_admins_waiting(&mut self, context: &mut Context) {
        self.admin_server
            .iter_mut()
            .for_each(|admin_server| admin_server.on_connections_waiting(&mut context.reactor));
    }

    /// The timer for that is due.
    pub fn on_accept_timer(&mut self, context: &mut Context) {
        self.admin_server
            .iter_mut()
            .for_each(|admin_server| admin_server.on_accept_timer(&mut context.reactor));
    }

    /// Sends a response, if the operator is still connected.
    pub fn respond(&self, context: &mut Context, admin: Key, response: &AdminResponse) {
        context.reactor.with(admin, |object, io| object.admin().map(|admin| admin.respond(io, response)));
    }
}

/// The response to a request for the status.
pub fn status_response(not_ready_reason: Option<&str>) -> AdminResponse {
    match not_ready_reason {
        Some(reason) => AdminResponse::unavailable(format!("not ready: {reason}\n")),
        None => AdminResponse::ok("ready\n"),
    }
}
