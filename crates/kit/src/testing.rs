//! Test data shared by the unit tests of several modules.

use crate::plan::{Class, Demands, Front, Habits, Network, Plan, Proxy, Rules, Session, Tenant};
use crate::time::{MS, Micros, S};

/// Returns a plan with one proxy for each item of `zones`, a deadline of 1.8 s, a message aim of 150 ms and
/// fixed waits.
pub(crate) fn plan(zones: &[u16], sessions: Vec<Session>) -> Plan {
    let name = str::to_owned;
    let proxy = |(i, zone): (usize, &u16)| Proxy {
        name: format!("n{i}"),
        zone: *zone,
        sockets: 1000,
        memory_mb: 100,
        seed: 1,
    };
    Plan {
        name: name("test"),
        seed: 99,
        measured_from: 0,
        ends: 60 * S,
        zones: vec![name("a"), name("b")],
        classes: vec![Class {
            name: name("chat"),
            setup_aim: 300 * MS,
            deadline: 1800 * MS,
            message_aim: 150 * MS,
            worth: 1.0,
        }],
        tenants: vec![Tenant { name: name("acme"), share: 1.0, quota_connections: 9.0, quota_per_s: 9.0 }],
        nodes: vec![],
        proxies: zones.iter().enumerate().map(proxy).collect(),
        sessions,
        rude: vec![],
        timeline: vec![],
        habits: Habits {
            line_every: 2 * S,
            tries: 3,
            backoff: 100 * MS,
            sulk: S,
            honour: 1.0,
            rejoin: (200 * MS, 200 * MS),
            marks_retry: true,
        },
        front: Front { every: 100 * MS, notice: 400 * MS, leaves_after: 300 * MS },
        network: Network {
            node_ms: (0.0, 0.0),
            datagram: (0, 0),
            loss: 0.0,
            datagrams: false,
            liars: Vec::new(),
        },
        rules: Rules {
            answer_slack: 8 * MS,
            stop_within: S,
            ask_within: 10 * S,
            told_within: 6 * S,
            fall_multiple: 3.0,
            fall_window: 2 * S,
            cold_from: 0.3,
            warm_up: 9 * S,
            line_held: S,
            ended_within: S,
            silent_within: 7 * S,
            attempts: 3,
            connect_timeout: 250 * MS,
            retry_after_max: S,
            grace: 50 * MS,
            term_to_kill: 4 * S,
        },
        demands: Demands::default(),
        wall_steps: Vec::new(),
    }
}

/// Returns a session that arrives at `arrives` and lasts `life`.
pub(crate) fn session(arrives: Micros, life: Micros) -> Session {
    let (class, tenant, zone, key, group) = (0, 0, 0, 0xabc, 7);
    Session { arrives, life, class, tenant, zone, key, group, loads: vec![(0, 1.0)], patience: 1.0, seed: 5 }
}
