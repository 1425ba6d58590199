//! Test harness: one balancer with a clock, its timers and a record of its actions.
#![allow(dead_code)]

use cottonnotch_decision::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub struct Node {
    pub now: Micros,
    pub balancer: Balancer,
    pub actions: Vec<Action>,
    pub timers: Vec<(Micros, u32)>,
}

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        target: 500 * MS,
        deadline: 2 * S,
        message_latency_objective: 100 * MS,
        attempts: 4,
        idempotency,
        priority_weight: 1.0,
    }
}

pub fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        nodes: 1,
        classes: vec![class(idempotency)],
        step: 5 * MS,
        retry_after: true,
        max_retry_after: 2 * S,
        slow_start_from: 0.2,
        slow_start_window: 10 * S,
        overload_multiple: 3.0,
        overload_window: 3 * S,
        ..Settings::default()
    }
}

pub fn entry(server: u32, state: ServerState) -> Entry {
    Entry {
        server: ServerId(server),
        digest: u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        state,
        zone: ZoneId(server as u16 % 2),
        cell: server / 2,
        started: None,
        weight: 1.0,
    }
}

pub fn request(id: u64, left: Option<Micros>) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        left,
        load_hint: None,
        group: None,
        again: false,
    }
}

impl Node {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let now = 100 * S;
        let balancer = Balancer::new(settings, 7, now);
        let mut node = Node { now, balancer, actions: Vec::new(), timers: Vec::new() };
        let entries = (0..servers).map(|s| entry(s, ServerState::Ready)).collect();
        node.notify(Event::List { full: true, copy: true, entries });
        node
    }

    pub fn notify(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
        }
        self.actions.extend(out.iter().cloned());
        out
    }

    /// Advances the clock to `at` and fires the timers that come due on the way.
    pub fn run_to(&mut self, at: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        while let Some(next) = self.timers.iter().map(|t| t.0).filter(|t| *t <= at).min() {
            self.now = self.now.max(next);
            let i = self.timers.iter().position(|t| t.0 == next).unwrap();
            let token = self.timers.remove(i).1;
            all.extend(self.notify(Event::Timer(token)));
        }
        self.now = at;
        all
    }

    pub fn send_request(&mut self, id: u64, time_left: Micros) -> Vec<Action> {
        self.notify(Event::Request(request(id, Some(time_left))))
    }

    pub fn end_attempt(&mut self, id: u64, server: ServerId, outcome: Outcome, last: bool) -> Vec<Action> {
        self.notify(Event::Ended { request: RequestId(id), attempt: 0, server, outcome, last })
    }

    pub fn establish(&mut self, id: u64, server: ServerId) -> Vec<Action> {
        self.notify(Event::Established { request: RequestId(id), attempt: 0, server, elapsed: MS })
    }

    /// Places and establishes one connection per id, each `apart` after the previous one.
    pub fn place_and_establish(&mut self, ids: std::ops::Range<u64>, apart: Micros) {
        for id in ids {
            self.run_to(self.now + apart);
            let at = self.place(id);
            self.establish(id, at);
        }
    }

    /// Returns the ids of the requests that were sent to `server`.
    pub fn requests_sent_to(&self, server: ServerId) -> Vec<u64> {
        let to = |a: &Action| match a {
            Action::Send { request, server: at, .. } if *at == server => Some(request.0),
            _ => None,
        };
        self.actions.iter().filter_map(to).collect()
    }

    /// Sends a request to the balancer and returns the server that it was placed on.
    pub fn place(&mut self, id: u64) -> ServerId {
        sent(&self.send_request(id, 2 * S)).expect("the request is sent").0
    }
}

pub fn sent(actions: &[Action]) -> Option<(ServerId, Micros)> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, timeout, .. } => Some((*server, *timeout)),
        _ => None,
    })
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn migrated(actions: &[Action]) -> Vec<u64> {
    let moved = |a: &Action| if let Action::Migrate(request) = a { Some(request.0) } else { None };
    actions.iter().filter_map(moved).collect()
}
