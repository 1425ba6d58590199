//! Hands events to the decision module and carries out its actions in order.

use super::Driver;
use super::clients::AttemptPlan;
use super::log_target::LOG_TARGET;
use cottonnotch_decision::{Action, Event, Micros, Notification, ServerId};

impl Driver {
    /// Hands events to the decision module, in order.
    pub(super) fn handle_events(&mut self, events: Vec<Event>) {
        self.pending_events.extend(events);
        self.process_pending_events();
    }

    /// Hands an event, if there is one, to the decision module.
    pub(super) fn handle_event(&mut self, event: Option<Event>) {
        self.pending_events.extend(event);
        self.process_pending_events();
    }

    /// Hands the pending events to the decision module, including those that its own actions cause.
    pub(super) fn process_pending_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            let now = self.context.now();
            log::debug!(target: LOG_TARGET, "event {event:?}");
            self.peers.observe_event(now, &event);
            self.audit_event(now, &event);
            self.context.rules.iter().for_each(|rules| rules.observe_event(&event));
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                log::debug!(target: LOG_TARGET, "action {action:?}");
                self.execute(now, action);
            }
        }
    }

    /// Shows the guard the server entries and settings that the module is about to receive.
    fn audit_event(&mut self, now: Micros, event: &Event) {
        let audit = &mut self.context.audit;
        match event {
            Event::List { full, entries, .. } => audit.listed(now, *full, entries),
            Event::ManualOverride { entries } => audit.listed(now, false, entries),
            Event::Settings(settings) => audit.configure((**settings).clone()),
            _ => {}
        }
    }

    /// Carries out an action and queues the event that it causes at once, if any.
    fn execute(&mut self, now: Micros, action: Action) {
        let (context, latency) = (&mut self.context, &mut self.latency);
        let event = match action {
            Action::Send { request, server, timeout, before } => {
                let plan = AttemptPlan { server, timeout, write_deadline: before };
                self.clients.start_attempt(context, &self.endpoints, request, plan)
            }
            Action::Reject { request, retry_after, reason } => {
                self.clients.reject(context, latency, request, retry_after, reason);
                None
            }
            Action::Fail { request, reason } => {
                self.clients.fail(context, latency, request, reason);
                None
            }
            Action::Migrate(request) => {
                let reason = self.clients.migration_reason(&self.endpoints, request);
                self.clients.migrate(context, latency, &self.endpoints, request, reason)
            }
            Action::WatchList => self.endpoints.start_watch(context),
            // Health checks are not implemented: the module does not request any.
            Action::Probe(server) => Some(Event::Probed { server, report: None }),
            Action::Timer { after, token } => {
                context.reactor.io.owner_timer(now + after, token);
                None
            }
            Action::HealthChanged { server, health } => {
                self.endpoints.set_health(server, health);
                context.records.endpoint_health(|| self.endpoints.shared_name(server), health);
                None
            }
            Action::Log { notification, server } => {
                self.log_notification(now, notification, server);
                None
            }
        };
        self.pending_events.extend(event);
    }

    fn log_notification(&mut self, now: Micros, notification: Notification, server: Option<ServerId>) {
        if notification == Notification::Queueing && self.no_endpoint_log.due(now).is_none() {
            return;
        }
        let endpoint = server.map_or("-", |server| self.endpoints.name(server));
        let (discovery, revision) = (self.context.config.discovery, self.endpoints.revision());
        let requests = self.clients.in_progress();
        match notification {
            Notification::PausedFailing => {
                log::warn!(target: LOG_TARGET, endpoint; "endpoint {endpoint} paused, keeps failing")
            }
            Notification::Recovered => {
                log::info!(target: LOG_TARGET, endpoint; "endpoint {endpoint} back after a successful trial")
            }
            Notification::Queueing => {
                log::warn!(target: LOG_TARGET, requests; "no endpoint can be used now, queueing requests")
            }
            Notification::ListUnreachable => {
                log::error!(
                    target: LOG_TARGET, discovery:%, revision;
                    "discovery cannot be reached, going on with the last list"
                )
            }
        }
    }
}
