//! Draws the plan of a run from a scenario and a seed.

mod clients;
mod faults;
mod fleet;
mod listing;

use super::Scenario;
use super::chance::Chance;
use super::format::Body;
use super::holds::term_to_kill_s;
use super::range::{Range, micros};
use crate::plan::{Class, Demands, Front, Habits, Network, Plan, Proxy, Rules, Tenant};
use crate::time::{MS, Micros, S};
use rand::RngExt;

/// Sum of the tenants' quotas as a share of the fleet's capacity. The operators use 0.74 to 0.9.
const QUOTA: Range = Range::new(0.74, 0.9);

/// Context that all parts of the draw share.
struct Draw<'a> {
    body: &'a Body,
    chance: Chance,
    /// Start of the measured part.
    from: Micros,
    /// End of the measured part.
    ends: Micros,
}

pub(super) fn draw(scenario: &Scenario, seed: u64) -> Plan {
    let body = &scenario.body;
    let from = micros(body.load.fill_s + body.load.settle_s);
    let ends = from + micros(body.seconds);
    let draw = Draw { body, chance: Chance::new(seed), from, ends };
    let (nodes, connections_per_unit) = fleet::nodes(&draw);
    let capacity: f64 = nodes.iter().filter(|node| node.from_start).map(|node| node.capacity).sum();
    let course = faults::draw(&draw, scenario);
    let crowd = clients::Crowd::new(&draw, capacity, connections_per_unit);
    let sessions = crowd.sessions(&course.load);
    let quota = QUOTA.draw(&mut draw.chance.of("quota"));
    let tenants = (body.tenant.iter())
        .map(|tenant| Tenant {
            name: tenant.name.clone(),
            share: tenant.share,
            quota_connections: (quota * capacity * connections_per_unit * tenant.share).round().max(1.0),
            quota_per_s: quota * capacity * connections_per_unit * tenant.share / crowd.mean_life(),
        })
        .collect();
    let classes = (body.class.iter())
        .map(|class| Class {
            name: class.name.clone(),
            setup_aim: Micros::from(class.setup_aim_ms) * MS,
            deadline: Micros::from(class.deadline_ms) * MS,
            message_aim: Micros::from(class.message_aim_ms) * MS,
            worth: class.worth,
        })
        .collect();
    Plan {
        name: body.name.clone(),
        seed,
        measured_from: from,
        ends,
        zones: body.zones(),
        classes,
        tenants,
        nodes,
        proxies: proxies(&draw),
        sessions,
        rude: clients::rude(&draw, scenario),
        timeline: course.timeline,
        habits: habits(&draw),
        front: front(&draw),
        network: network(&draw),
        rules: rules(body),
        demands: Demands {
            service: body.demand.service,
            worst_window: body.demand.worst_window,
            datagram_bytes_per_s: body.demand.datagram_bytes_per_s,
        },
        wall_steps: Vec::new(),
    }
}

fn proxies(draw: &Draw<'_>) -> Vec<Proxy> {
    let zones = draw.body.zones().len() as u16;
    (0..draw.body.proxies.count)
        .map(|place| Proxy {
            name: draw.body.name_of(super::Pool::Proxies, place),
            zone: place % zones,
            sockets: draw.body.proxies.sockets,
            memory_mb: draw.body.proxies.memory_mb,
            seed: draw.chance.of_each("proxy", u64::from(place)).random(),
        })
        .collect()
}

fn habits(draw: &Draw<'_>) -> Habits {
    let (clients, mut chance) = (&draw.body.clients, draw.chance.of("habits"));
    Habits {
        line_every: micros(clients.line_every_s),
        tries: 1 + clients.retries.draw_count(&mut chance),
        backoff: clients.backoff_ms.draw_ms(&mut chance),
        sulk: clients.sulk_s.draw_s(&mut chance),
        honour: clients.honour.draw(&mut chance),
        rejoin: (micros(clients.rejoin_ms.least / 1e3), micros(clients.rejoin_ms.most / 1e3)),
        marks_retry: clients.marks_retry,
    }
}

fn front(draw: &Draw<'_>) -> Front {
    let (front, mut chance) = (&draw.body.front, draw.chance.of("front"));
    Front {
        every: front.ping_ms.draw_ms(&mut chance),
        notice: front.notice_s.at(draw.body.scale).draw_s(&mut chance),
        leaves_after: front.leaves_ms.draw_ms(&mut chance),
    }
}

fn network(draw: &Draw<'_>) -> Network {
    let (network, mut chance) = (&draw.body.network, draw.chance.of("network"));
    Network {
        node_ms: (network.same_zone_ms.draw(&mut chance), network.cross_zone_ms.draw(&mut chance)),
        datagram: (micros(network.datagram_ms.least / 1e3), micros(network.datagram_ms.most / 1e3)),
        loss: network.loss,
        datagrams: network.datagrams,
        liars: draw.body.proxies.liars.clone(),
    }
}

fn rules(body: &Body) -> Rules {
    let rules = &body.rules;
    let ms = |figure: u32| Micros::from(figure) * MS;
    Rules {
        answer_slack: ms(rules.answer_slack_ms),
        stop_within: ms(rules.stop_within_ms),
        ask_within: ms(rules.ask_within_ms),
        told_within: ms(rules.told_within_ms),
        fall_multiple: rules.fall_multiple,
        fall_window: ms(rules.fall_window_ms),
        // These are the bounds instead of the drawn values, since proxies do not know a render node's actual warm-up.
        cold_from: body.fleet.cold_from.least,
        warm_up: micros(body.fleet.warm_up_s.at(body.scale).most),
        line_held: ms(rules.line_held_ms),
        ended_within: ms(rules.ended_within_ms),
        silent_within: ms(rules.silent_within_ms),
        attempts: rules.attempts,
        connect_timeout: ms(rules.connect_timeout_ms),
        retry_after_max: ms(rules.retry_after_max_ms),
        grace: ms(rules.grace_ms),
        term_to_kill: (term_to_kill_s(body) * S as f64) as Micros,
    }
}
