//! Latency and load of messages on established connections, and the reports of them that the decision module gets.

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
    /// `LOAD` lines may report latencies, too.
    reports_latency: bool,
    /// Groups are kept together, so their connections are counted.
    groups: bool,
}

impl MessageLatency {
    /// Nothing seen yet. Sets the timer of the first [`Self::tick`].
    pub fn start(context: &mut Context) -> Self {
        context.set_timer(REPORT_INTERVAL, TICK);
        let Profile { settings, reports_latency, .. } = &context.config.profile;
        let delays = MessageLatencies::new(settings.into());
        let (groups, reports_latency) = (settings.groups, *reports_latency);
        MessageLatency { delays, lines: LoadLines::default(), reports_latency, groups }
    }

    /// The settings have changed.
    pub fn configure(&mut self, Profile { settings, reports_latency, .. }: &Profile) {
        self.reports_latency = *reports_latency;
        self.delays.configure(settings.into());
        self.groups = settings.groups;
    }

    /// An endpoint is listed, with its weight; what is known of an earlier process is dropped.
    pub fn update_endpoint(&mut self, server: ServerId, weight: f64, incarnation: Incarnation) {
        self.delays.endpoint_listed(server, weight);
        if incarnation == Incarnation::New {
            self.delays.process_restarted(server);
            self.lines.forget(server);
        }
    }

    /// Established connections by endpoint, and what the other proxies report of theirs.
    pub fn delays(&mut self) -> &mut MessageLatencies {
        &mut self.delays
    }

    /// A connection is established; `setup` is how long that took, if it was measured.
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

    /// A request is over, established or not.
    pub fn remove_request(&mut self, tracked: &TrackedRequest) {
        self.delays.connection_closed(tracked.id);
    }

    /// An endpoint has reported a number on this connection: its load, or a latency.
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

    /// A client's line was answered after this long, or is unanswered for that long by now.
    pub fn record(&mut self, now: Micros, tracked: &TrackedRequest, delay: Micros) {
        if let Some((server, _)) = tracked.latest_attempt {
            self.delays.round_trip_measured(now, server, delay);
        }
    }

    /// The reports that are due; sets the timer of the next tick.
    pub fn tick(&mut self, context: &mut Context, requests: &RequestTable) -> Vec<Event> {
        let now = context.now();
        context.set_timer(REPORT_INTERVAL, TICK);
        for (key, _) in requests.established() {
            let waited = context.with_client(key, |client, _| client.oldest_unanswered(now)).flatten();
            // A line that is still unanswered shows a delay as well as a late reply does.
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
