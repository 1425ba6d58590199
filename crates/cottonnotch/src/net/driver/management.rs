//! The driver's side of the operators' address: accepts connections, sends responses, and stores manual maintenance
//! for the other processes of this proxy.

use super::context::{ACCEPT_ADMINS_TIMER, Context, POLL_SIBLINGS_TIMER};
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

/// Environment variable that names the folder in which the processes share state.
const STATE_FOLDER_VARIABLE: &str = "TMPDIR";

/// What an operator does with a render node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Takes the node out of use.
    Enter,
    /// Puts the node back in use.
    Exit,
}

/// The admin server, if one is configured, and the stored maintenance.
pub struct Management {
    admin_server: Option<AdminServer>,
    file: MaintenanceFile,
    read_failure_log: RateLimitedLog,
    write_failure_log: RateLimitedLog,
}

/// The path of a file that the processes of one proxy share. The name contains the listen address, so that proxies on
/// one machine do not read each other's files. Returns `None` if no folder is named, or if the system assigns the
/// port and each process has an address of its own.
pub fn shared_file_path(listen: SocketAddr, kind: &str) -> Option<PathBuf> {
    let folder = std::env::var_os(STATE_FOLDER_VARIABLE).filter(|folder| !folder.is_empty())?;
    let address = listen.to_string().replace([':', '[', ']', '%'], "_");
    (listen.port() != 0).then(|| PathBuf::from(folder).join(format!("cottonnotch-{address}.{kind}")))
}

impl Management {
    /// Opens the operators' address, if one is configured. Fails if the address cannot be bound.
    pub fn start(context: &mut Context) -> io::Result<Self> {
        let Some(address) = context.config.mgmt else {
            return Ok(Management::new(None, MaintenanceFile::default()));
        };
        let admin_server = AdminServer::open(&mut context.reactor, address, ACCEPT_ADMINS_TIMER)?;
        // This line has no key-values: scripts take its last word as the address.
        log::info!(target: LOG_TARGET, "operators may call at {}", admin_server.address()?);
        let file = MaintenanceFile::new(shared_file_path(context.config.listen, "maintenance"));
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

    /// Applies overrides that operators have set at another process of this proxy, and sets the timer of the next
    /// poll. Returns an event if that changes an endpoint.
    pub fn sync(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &mut Endpoints,
    ) -> Option<Event> {
        self.admin_server.as_ref()?;
        context.set_timer(POLL_INTERVAL, POLL_SIBLINGS_TIMER);
        match self.merge_stored(context, latency, endpoints) {
            Ok(event) => event,
            Err(error) => {
                if let Some(left_out) = self.read_failure_log.due(context.now()) {
                    log::error!(target: LOG_TARGET, error:%, left_out; "stored maintenance cannot be taken over: {error}");
                }
                None
            }
        }
    }

    /// Merges the stored overrides, if the file has changed, and saves overrides that the file lacks. Fails if the
    /// file cannot be read or is invalid.
    fn merge_stored(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &mut Endpoints,
    ) -> Result<Option<Event>, MaintenanceFileError> {
        let stored = self.file.read_changes().transpose()?;
        let mut merged = endpoints.manual_overrides().clone();
        let changed = stored.as_ref().map_or_else(Vec::new, |stored| merged.merge(stored));
        // Two processes may write at the same time: a process that finds its overrides missing writes them again
        // until they are stored.
        if stored.is_some_and(|stored| merged != stored) || self.file.needs_save() {
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
        self.file.mark_unsaved();
        if let Some(left_out) = self.write_failure_log.due(now) {
            log::error!(target: LOG_TARGET, error:%, left_out; "maintenance by hand cannot be stored yet: {error}");
        }
    }

    /// Takes a render node out or puts it back, at an operator's request. Returns the response, and events if an
    /// endpoint changed.
    pub fn set_maintenance(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        endpoints: &mut Endpoints,
        id: &str,
        action: MaintenanceAction,
    ) -> (AdminResponse, Vec<Event>) {
        // Reads the file first: saving replaces its content, so the process must know that content.
        let merge_event = match self.merge_stored(context, latency, endpoints) {
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
        (response, merge_event.into_iter().chain(event).collect())
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
        let response = AdminResponse::ok(format!("{id} is {state_name}\n"));
        // Override times are wall-clock times, because other and later processes read them.
        context.observe_wall_clock();
        let now = context.wall_clock.unix(context.now());
        let mut state = endpoints.manual_overrides().clone();
        let changed = if is_out { state.enter(now, id) } else { state.exit(now, id) };
        if !changed && state.is_out(id) != is_out {
            return (AdminResponse::failed("too many render nodes are out\n"), None);
        }
        if !changed {
            return (response, None);
        }
        state.remove_expired(now);
        // The response promises that the override outlives this process. If the override cannot be stored, nothing is
        // changed.
        if let Err(error) = self.file.save(&state) {
            log::error!(target: LOG_TARGET, error:%; "maintenance by hand cannot be stored: {error}");
            return (AdminResponse::failed(format!("nothing was done, it cannot be kept: {error}\n")), None);
        }
        (response, endpoints.set_overrides(context, latency, state, &[id.to_owned()]))
    }

    /// Whether the overrides stored by earlier processes have been read.
    pub fn is_maintenance_loaded(&self) -> bool {
        self.admin_server.is_none() || self.file.is_loaded()
    }

    /// Accepts waiting operators' connections.
    pub fn on_admins_waiting(&mut self, context: &mut Context) {
        self.admin_server
            .iter_mut()
            .for_each(|admin_server| admin_server.on_connections_waiting(&mut context.reactor));
    }

    /// Resumes accepting when the timer fires.
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

/// The response to a status request.
pub fn status_response(not_ready_reason: Option<&str>) -> AdminResponse {
    match not_ready_reason {
        Some(reason) => AdminResponse::unavailable(format!("not ready: {reason}\n")),
        None => AdminResponse::ok("ready\n"),
    }
}
