//! Messages on connections that are up: what loads and delays they show, and the notes that the module gets.

use super::context::{Net, TICK};
use super::request_table::{Call, Calls};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Event, Micros, RequestId, ServerId};
use cottonnotch_proxy_core::{LatencyReport, LoadLine, LoadLines, MessageLatencies, REPORT_INTERVAL};

/// How messages fare.
pub struct Messages {
    delays: MessageLatencies,
    lines: LoadLines,
    /// Lines may tell delays, too.
    tells_delay: bool,
    /// Groups count.
    groups: bool,
}

impl Messages {
    /// Nothing seen yet. Sets the timer of the first [`Self::tick`].
    pub fn start(net: &mut Net) -> Self {
        net.timer_in(REPORT_INTERVAL, TICK);
        let Profile { settings, tells_delay, .. } = &net.config.profile;
        let delays =
            MessageLatencies::new(settings.nodes, settings.shortest_message_objective(), settings.weighted);
        let (groups, tells_delay) = (settings.groups, *tells_delay);
        Messages { delays, lines: LoadLines::default(), tells_delay, groups }
    }

    /// The settings have changed.
    pub fn set(&mut self, Profile { settings, tells_delay, .. }: &Profile) {
        self.tells_delay = *tells_delay;
        self.delays.configure(settings.nodes, settings.shortest_message_objective(), settings.weighted);
        self.groups = settings.groups;
    }

    /// A subchannel is listed; `anew` if it is a new life of its process.
    pub fn listed(&mut self, server: ServerId, weight: f64, anew: bool) {
        self.delays.listed(server, weight, anew);
        if anew {
            self.lines.forget(server);
        }
    }

    /// What stands where, and what the other proxies say of theirs.
    pub fn delays(&mut self) -> &mut MessageLatencies {
        &mut self.delays
    }

    /// A connection is up; `setup` is how long that took.
    pub fn opened(&mut self, now: Micros, call: &Call, server: ServerId, setup: Option<Micros>) {
        let group = call.group.filter(|_| self.groups);
        self.delays.connection_opened(now, call.id, server, group, setup);
    }

    /// An RPC is over, up or not.
    pub fn over(&mut self, call: &Call) {
        self.delays.connection_closed(call.id);
    }

    /// A subchannel has told a figure on this connection: its load, or a delay.
    pub fn load(&mut self, now: Micros, call: &Call, figure: f64) -> Option<Event> {
        let told = match call.at {
            Some((server, _)) if self.tells_delay => self.lines.classify(now, server, call.id, figure),
            _ => LoadLine::Load(figure),
        };
        match (told, call.at) {
            (LoadLine::Load(load), _) => Some(self.loaded(call.id, load)),
            (LoadLine::Delay(delay), Some((server, _))) => {
                let LatencyReport { server, delay } = self.delays.latency_advertised(now, server, delay)?;
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
    pub fn delayed(&mut self, now: Micros, call: &Call, delay: Micros) {
        if let Some((server, _)) = call.at {
            self.delays.round_trip_measured(now, server, delay);
        }
    }

    /// The notes that are due; sets the next tick's timer.
    pub fn tick(&mut self, net: &mut Net, calls: &Calls) -> Vec<Event> {
        let now = net.now();
        net.timer_in(REPORT_INTERVAL, TICK);
        for (key, _) in calls.up() {
            let waited = net.with_front(key, |front, _| front.waiting_for(now)).flatten();
            // A line that is still unanswered shows a delay as well as a late reply does.
            if let (Some(waited), Some(call)) = (waited, calls.get(key)) {
                self.delayed(net.now(), call, waited);
            }
        }
        let settled = self.lines.settle(now);
        let mut events: Vec<Event> = settled.into_iter().map(|(id, load)| self.loaded(id, load)).collect();
        let note = |LatencyReport { server, delay }| Event::LatencyUpdate { server, latency: delay };
        events.extend(self.delays.due_reports(now).into_iter().map(note));
        events
    }
}
