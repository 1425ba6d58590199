//! Tracks latency and load of messages on established connections, and creates the reports for the decision module.

use super::context::{Context, TICK_TIMER};
use super::endpoint::Incarnation;
use super::request_table::{RequestTable, TrackedRequest};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Event, Micros, RequestId, ServerId};
use cottonnotch_proxy_core::{LatencyReport, LoadLine, LoadLines, MessageLatencies, REPORT_INTERVAL};

/// Latencies and loads, by endpoint and connection.
pub struct MessageLatency {
    latencies: MessageLatencies,
    load_lines: LoadLines,
    /// Whether `LOAD` lines may report latencies as well as loads.
    reports_latency: bool,
    /// Whether groups are kept together, so that connections are counted by group.
    tracks_groups: bool,
}

impl MessageLatency {
    /// Starts without measurements and sets the timer of the first [`Self::tick`].
    pub fn start(context: &mut Context) -> Self {
        context.set_timer(REPORT_INTERVAL, TICK_TIMER);
        let Profile { settings, reports_latency, .. } = &context.config.profile;
        let latencies = MessageLatencies::new(settings.into());
        let (tracks_groups, reports_latency) = (settings.groups, *reports_latency);
        MessageLatency { latencies, load_lines: LoadLines::default(), reports_latency, tracks_groups }
    }

    /// Applies changed settings.
    pub fn configure(&mut self, Profile { settings, reports_latency, .. }: &Profile) {
        self.reports_latency = *reports_latency;
        self.latencies.configure(settings.into());
        self.tracks_groups = settings.groups;
    }

    /// Updates the weight of a listed endpoint. If its process is new, drops what was measured of the earlier
    /// process.
    pub fn update_endpoint(&mut self, server: ServerId, weight: f64, incarnation: Incarnation) {
        self.latencies.endpoint_listed(server, weight);
        if incarnation == Incarnation::New {
            self.latencies.process_restarted(server);
            self.load_lines.forget(server);
        }
    }

    /// Latencies and established connections by endpoint, including the other proxies' reports.
    pub fn latencies(&mut self) -> &mut MessageLatencies {
        &mut self.latencies
    }

    /// Records that a connection is established; `setup` is the duration of the set-up, if it was measured.
    pub fn connection_opened(
        &mut self,
        now: Micros,
        tracked: &TrackedRequest,
        server: ServerId,
        setup: Option<Micros>,
    ) {
        let group = tracked.group.filter(|_| self.tracks_groups);
        self.latencies.connection_opened(now, tracked.id, server, group, setup);
    }

    /// Records that a request is over, whether or not it was established.
    pub fn remove_request(&mut self, tracked: &TrackedRequest) {
        self.latencies.connection_closed(tracked.id);
    }

    /// Handles a value that an endpoint reported on this connection: a load or a latency.
    pub fn handle_load_report(&mut self, now: Micros, tracked: &TrackedRequest, value: f64) -> Option<Event> {
        let classified = match tracked.latest_attempt {
            Some((server, _)) if self.reports_latency => {
                self.load_lines.classify(now, server, tracked.id, value)
            }
            _ => LoadLine::Load(value),
        };
        match (classified, tracked.latest_attempt) {
            (LoadLine::Load(load), _) => Some(self.load_update(tracked.id, load)),
            (LoadLine::Latency(latency), Some((server, _))) => {
                let LatencyReport { server, latency } =
                    self.latencies.latency_advertised(now, server, latency)?;
                Some(Event::LatencyUpdate { server, latency })
            }
            _ => None,
        }
    }

    fn load_update(&mut self, request: RequestId, load: f64) -> Event {
        self.latencies.load_changed(request, load);
        Event::LoadUpdate { request, load }
    }

    /// Records the delay of a client's line: the time until its answer, or its waiting time so far if it is
    /// unanswered.
    pub fn record(&mut self, now: Micros, tracked: &TrackedRequest, latency: Micros) {
        if let Some((server, _)) = tracked.latest_attempt {
            self.latencies.round_trip_measured(now, server, latency);
        }
    }

    /// Returns the reports that are due, and sets the timer of the next tick.
    pub fn tick(&mut self, context: &mut Context, requests: &RequestTable) -> Vec<Event> {
        let now = context.now();
        context.set_timer(REPORT_INTERVAL, TICK_TIMER);
        for (key, _) in requests.established() {
            let waited = context.with_client(key, |client, _| client.oldest_unanswered(now)).flatten();
            // An unanswered line counts with its waiting time: it indicates latency just as a late reply does.
            if let (Some(waited), Some(tracked)) = (waited, requests.get(key)) {
                self.record(context.now(), tracked, waited);
            }
        }
        let settled = self.load_lines.settle(now);
        let mut events: Vec<Event> =
            settled.into_iter().map(|(id, load)| self.load_update(id, load)).collect();
        let to_event = |LatencyReport { server, latency }| Event::LatencyUpdate { server, latency };
        events.extend(self.latencies.due_reports(now).into_iter().map(to_event));
        events
    }
}
