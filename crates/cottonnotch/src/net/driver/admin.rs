//! Requests of operators: status, metrics, and maintenance by hand.

use super::Driver;
use super::management::Management;
use crate::net::management::metrics::Gauges;
use crate::net::management::{AdminRequest, AdminResponse};
use crate::rules::RulesService;
use cottonnotch_reactor::Key;

impl Driver {
    /// An operator calls; the answer is given in this turn.
    pub(super) fn handle_admin_request(&mut self, admin: Key, admin_request: &AdminRequest) {
        let answer = match admin_request {
            AdminRequest::Status => {
                let not_ready_reason = self.not_ready_reason();
                if not_ready_reason.is_none() {
                    self.lifecycle.announce_ready();
                }
                Management::status(not_ready_reason)
            }
            AdminRequest::Metrics => {
                let (known, skipped) = self.endpoints.gauges(self.context.now());
                let rules = self.context.rules.as_ref().map(RulesService::status);
                let (in_progress, homes) = (self.clients.requests().len(), self.peers.homes());
                let gauges = Gauges { in_progress, known, skipped, rules, homes };
                AdminResponse::ok(self.context.records.metrics().text(gauges, self.context.audit.metrics()))
            }
            AdminRequest::Enter(id) => self.set_maintenance(id, true),
            AdminRequest::Exit(id) => self.set_maintenance(id, false),
        };
        self.management.answer(&mut self.context, admin, &answer);
    }

    /// The answer is given once the call is in force: what is held or is to be tried again has gone elsewhere.
    pub(super) fn set_maintenance(&mut self, id: &str, out: bool) -> AdminResponse {
        let (context, latency, endpoints) = (&mut self.context, &mut self.latency, &mut self.endpoints);
        let (answer, events) = self.management.set_maintenance(context, latency, endpoints, id, out);
        self.handle_events(events);
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
        answer
    }

    /// What operators have called for, here or at another process of this proxy.
    pub(super) fn sync_maintenance(&mut self) {
        let event = self.management.sync(&mut self.context, &mut self.latency, &mut self.endpoints);
        self.handle_event(event);
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
    }

    /// Why this process is not ready to serve, if it isn't.
    pub(super) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.lifecycle.is_draining() {
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
