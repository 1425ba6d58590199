//! A small plan for tests.

use crate::plan::*;
use crate::time::{MS, S};

/// Creates a plan with the given numbers of render nodes, proxies and sessions. The nodes (n0, n1, ...) are warm,
/// with capacity 1 and 20 connections each.
pub(crate) fn plan(nodes: u16, proxies: u16, sessions: u32) -> Plan {
    let class = |name: &str, message_aim| Class {
        name: name.into(),
        setup_aim: 300 * MS,
        deadline: 2 * S,
        message_aim,
        worth: 1.0,
    };
    let node = |i| Node {
        name: format!("n{i}"),
        zone: 0,
        cell: 0,
        kind: "std".into(),
        size: 1.0,
        capacity: 1.0,
        connections_per_unit: 20.0,
        connections_max: 1000,
        setups_max: 100,
        setup_work: 0.002,
        setup_wait: 5 * MS,
        group_cost: 0.0,
        message: 4 * MS,
        bursty: 2.0,
        buffer: S,
        cold_from: 0.3,
        warm_up: 5 * S,
        from_start: true,
        seed: u64::from(i),
    };
    let proxy = |i| Proxy { name: format!("p{i}"), zone: 0, sockets: 1024, memory_mb: 64, seed: i };
    let session = |i: u32| Session {
        arrives: 0,
        life: 60 * S,
        class: 0,
        tenant: 0,
        zone: 0,
        key: u64::from(i) + 0x7f3a_9c21_0000_0000,
        group: u64::from(i) + 0x5c0f,
        loads: vec![(0, 0.05)],
        patience: 1.0,
        seed: u64::from(i),
    };
    Plan {
        name: "test".into(),
        seed: 1,
        measured_from: 0,
        ends: 60 * S,
        zones: vec!["a".into()],
        classes: vec![class("look", 150 * MS), class("edit", 60 * MS)],
        tenants: vec![Tenant { name: "acme".into(), share: 1.0, quota_connections: 1e6, quota_per_s: 1e6 }],
        nodes: (0..nodes).map(node).collect(),
        proxies: (0..u64::from(proxies)).map(proxy).collect(),
        sessions: (0..sessions).map(session).collect(),
        rude: Vec::new(),
        timeline: Vec::new(),
        habits: Habits {
            line_every: 2 * S,
            tries: 3,
            backoff: 50 * MS,
            sulk: S,
            honour: 0.5,
            rejoin: (60 * MS, 1700 * MS),
            marks_retry: true,
        },
        front: Front { every: 500 * MS, notice: 2 * S, leaves_after: 300 * MS },
        network: Network {
            node_ms: (0.0, 0.0),
            datagram: (MS, 2 * MS),
            loss: 0.0,
            datagrams: true,
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
            term_to_kill: 3700 * MS,
        },
        demands: Demands::default(),
        wall_steps: Vec::new(),
    }
}

/// The first line of a session's request; `more` is appended to its values.
pub(crate) fn first_line(plan: &Plan, session: u32, id: u64, d: u32, more: &str) -> String {
    let Session { class, tenant, key, group, .. } = &plan.sessions[session as usize];
    let (class, tenant) = (&plan.classes[usize::from(*class)].name, &plan.tenants[usize::from(*tenant)].name);
    format!("OPEN {id:016x} {key:016x} c={class},t={tenant},d={d},g={group:016x}{more}\r\n")
}
