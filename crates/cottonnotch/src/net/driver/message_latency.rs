//! Tracks latency and load of messages on established connections, and creates the reports for the decision module.

use super::context::{Context, TICK};
use super::endpoint::Incarnation;
use super::request_table::{RequestTable, TrackedRequest};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Event, Micros, RequestId, ServerId};
use cottonnotch_proxy_core::{LatencyReport, LoadLine, LoadLines, MessageLatencies, REPORT_INTERVAL};

/// Latencies and loads, by endpoint and connection.
pub struct MessageLatency {
    delays: MessageLatencies,
    lines: LoadLines,
    /// Whether `LOAD` lines may report latencies as well as loads.
    reports_latency: bool,
    /// Whether groups are kept together, so that connections are counted by group.
    groups: bool,
}

impl MessageLatency {
    /// Starts without measurements and sets the timer of the first [`Self::tick`].
    pub fn start(context: &mut Context) -> Self {
        context.set_timer(REPORT_INTERVAL, TICK);
        let Profile { settings, reports_latency, .. } = &context.config.profile;
        let delays = MessageLatencies::new(settings.into());
        let (groups, reports_latency) = (settings.groups, *reports_latency);
        MessageLatency { delays, lines: LoadLines::default(), reports_latency, groups }
    }

    /// Applies changed settings.
    pub fn configure(&mut self, Profile { settings, reports_latency, .. }: &Profile) {
        self.reports_latency = *reports_latency;
        self.delays.configure(settings.into());
        self.groups = settings.groups;
    }

    /// Updates the weight of a listed endpoint. If its process is new, drops what was measured of the earlier
    /// process.
    pub fn update_endpoint(&mut self, server: ServerId, weight: f64, incarnation: Incarnation) {
        self.delays.endpoint_listed(server, weight);
        if incarnation == Incarnation::New {
            self.delays.process_restarted(server);
            self.lines.forget(server);
        }
    }

    /// Latencies and established connections by endpoint, including the other proxies' reports.
    pub fn delays(&mut self) -> &mut MessageLatencies {
        &mut self.delays
    }

    /// Records that a connection is established; `setup` is the duration of the set-up, if it was measured.
    pub fn connection_opened(
        &mut self,
        now: Micros,
        tracked: &TrackedRequest,
        server: ServerId,
        setup: Option<Micros>,
    ) {
        let group = tracked.group.filter(|_| self.groups);
        self.delays.connection_opened(now, tracked.id, server, group, setup);
    }

    /// Records that a request is over, whether or not it was established.
    pub fn remove_request(&mut self, tracked: &TrackedRequest) {
        self.delays.connection_closed(tracked.id);
    }

    /// Handles a value that an endpoint reported on this connection: a load or a latency.
    pub fn handle_load_report(
        &mut self,
        now: Micros,
        tracked: &TrackedRequest,
        figure: f64,
    ) -> Option<Event> {
        let reported = match tracked.latest_attempt {
            Some((server, _)) if self.reports_latency => self.lines.classify(now, server, tracked.id, figure),
            _ => LoadLine::Load(figure),
        };
        match (reported, tracked.latest_attempt) {
            (LoadLine::Load(load), _) => Some(self.loaded(tracked.id, load)),
            (LoadLine::Latency(delay), Some((server, _))) => {
                let LatencyReport { server, latency: delay } =
                    self.delays.latency_advertised(now, server, delay)?;
                Some(Event::LatencyUpdate { server, latency: delay })
            }
            _ => None,
        }
    }

    fn loaded(&mut self, request: RequestId, load: f64) -> Event {
        self.delays.load_changed(request, load);
        Event::LoadUpdate { request, load }
    }

    /// Records the delay of a client's line: the time until its answer, or its waiting time so far if it is
    /// unanswered.
    pub fn record(&mut self, now: Micros, tracked: &TrackedRequest, delay: Micros) {
        if let Some((server, _)) = tracked.latest_attempt {
            self.delays.round_trip_measured(now, server, delay);
        }
    }

    /// Returns the reports that are due, and sets the timer of the next tick.
    pub fn tick(&mut self, context: &mut Context, requests: &RequestTable) -> Vec<Event> {
        let now = context.now();
        context.set_timer(REPORT_INTERVAL, TICK);
        for (key, _) in requests.established() {
            let waited = context.with_client(key, |client, _| client.oldest_unanswered(now)).flatten();
            // An unanswered line counts with its waiting time: it indicates latency just as a late reply does.
            if let (Some(waited), Some(tracked)) = (waited, requests.get(key)) {
                self.record(context.now(), tracked, waited);
            }
        }
        let settled = self.lines.settle(now);
        let mut events: Vec<Event> = settled.into_iter().map(|(id, load)| self.loaded(id, load)).collect();
        let note = |LatencyReport { server, latency: delay }| Event::LatencyUpdate { server, latency: delay };
        events.extend(self.delays.due_reports(now).into_iter().map(note));
        events
    }
}
