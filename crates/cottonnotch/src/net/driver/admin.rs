//! Handles operators' requests: status, metrics and manual maintenance.

use super::Driver;
use super::management::{MaintenanceAction, status_response};
use crate::net::management::admin_request::{AdminRequest, AdminResponse};
use crate::net::management::metrics::Gauges;
use crate::rules::RulesService;
use cottonnotch_reactor::Key;

impl Driver {
    /// Handles an operator's request and responds in the same iteration of the event loop.
    pub(super) fn handle_admin_request(&mut self, admin: Key, request: &AdminRequest) {
        let response = match request {
            AdminRequest::Status => self.status(),
            AdminRequest::Metrics => self.metrics(),
            AdminRequest::Enter(id) => self.set_maintenance(id, MaintenanceAction::Enter),
            AdminRequest::Exit(id) => self.set_maintenance(id, MaintenanceAction::Exit),
        };
        self.management.respond(&mut self.context, admin, &response);
    }

    /// Reports whether this process is ready to serve. If it is, the process announces this, so that its predecessor
    /// may stop.
    fn status(&mut self) -> AdminResponse {
        let not_ready_reason = self.not_ready_reason();
        if not_ready_reason.is_none() {
            self.lifecycle.announce_ready();
        }
        status_response(not_ready_reason)
    }

    fn metrics(&self) -> AdminResponse {
        let (known_endpoints, skipped_endpoints) = self.endpoints.gauges(self.context.now());
        let gauges = Gauges {
            in_progress: self.clients.in_progress(),
            known_endpoints,
            skipped_endpoints,
            rules: self.context.rules.as_ref().map(RulesService::status),
            affinity: self.peers.affinity_metrics(),
        };
        let audit = self.context.audit.metrics();
        AdminResponse::ok(self.context.records.metrics().text(gauges, audit))
    }

    /// Applies a manual override and responds once the override is in force. By then, queued requests and retries
    /// have been directed to other endpoints.
    fn set_maintenance(&mut self, id: &str, action: MaintenanceAction) -> AdminResponse {
        let (context, latency, endpoints) = (&mut self.context, &mut self.latency, &mut self.endpoints);
        let (response, events) = self.management.set_maintenance(context, latency, endpoints, id, action);
        self.handle_events(events);
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
        response
    }

    /// Applies overrides that operators have set at another process of this proxy.
    pub(super) fn sync_maintenance(&mut self) {
        let event = self.management.sync(&mut self.context, &mut self.latency, &mut self.endpoints);
        self.handle_event(event);
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
    }

    /// The reason why this process is not ready to serve, or `None` if it is ready.
    fn not_ready_reason(&self) -> Option<&'static str> {
        if self.lifecycle.is_shutting_down() {
            Some("it is shutting down")
        } else if !self.endpoints.has_usable_endpoint() {
            Some("no render node is listed that may be used")
        } else if !self.acceptor.is_listening() {
            Some("it does not listen for clients yet")
        } else {
            None
        }
    }
}
