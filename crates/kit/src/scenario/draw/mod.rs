//! Draws the plan of a run from a scenario and a seed.

mod clients;
mod faults;
mod fleet;
mod listing;

use super::Scenario;
use super::claims::term_to_kill_s;
use super::format::Body;
use super::random_streams::RandomStreams;
use super::range::{Range, micros};
use crate::plan::{Class, Demands, Front, Habits, Network, Plan, Proxy, Rules, Tenant};
use crate::time::{MS, Micros, S};
use rand::RngExt;

/// Sum of the tenants' quotas as a share of the fleet's capacity. The operators use 0.74 to 0.9.
const QUOTA_SHARE: Range = Range::new(0.74, 0.9);

/// Context that all parts of the draw share.
struct DrawContext<'a> {
    body: &'a Body,
    streams: RandomStreams,
    /// Start of the measured part.
    from: Micros,
    /// End of the measured part.
    ends: Micros,
}

pub(super) fn draw_plan(scenario: &Scenario, seed: u64) -> Plan {
    let body = &scenario.body;
    let from = micros(body.load.fill_s + body.load.settle_s);
    let ends = from + micros(body.seconds);
    let context = DrawContext { body, streams: RandomStreams::new(seed), from, ends };
    let (nodes, connections_per_unit) = fleet::nodes(&context);
    let capacity: f64 = nodes.iter().filter(|node| node.from_start).map(|node| node.capacity).sum();
    let effects = faults::draw_effects(&context, scenario);
    let sampler = clients::SessionSampler::new(&context, capacity, connections_per_unit);
    let sessions = sampler.sessions(&effects.arrivals);
    let quota = QUOTA_SHARE.draw(&mut context.streams.stream("quota"));
    let tenants = (body.tenant.iter())
        .map(|tenant| Tenant {
            name: tenant.name.clone(),
            share: tenant.share,
            quota_connections: (quota * capacity * connections_per_unit * tenant.share).round().max(1.0),
            quota_per_s: quota * capacity * connections_per_unit * tenant.share / sampler.mean_life(),
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
        proxies: proxies(&context),
        sessions,
        rude: clients::misbehaving_clients(&context, scenario),
        timeline: effects.timeline,
        habits: habits(&context),
        front: front(&context),
        network: network(&context),
        rules: rules(body),
        demands: Demands {
            service: body.demand.service,
            worst_window: body.demand.worst_window,
            datagram_bytes_per_s: body.demand.datagram_bytes_per_s,
        },
        wall_steps: Vec::new(),
    }
}

fn proxies(context: &DrawContext<'_>) -> Vec<Proxy> {
    let zones = context.body.zones().len() as u16;
    (0..context.body.proxies.count)
        .map(|index| Proxy {
            name: context.body.target_name(super::TargetKind::Proxies, index),
            zone: index % zones,
            sockets: context.body.proxies.sockets,
            memory_mb: context.body.proxies.memory_mb,
            seed: context.streams.item_stream("proxy", u64::from(index)).random(),
        })
        .collect()
}

fn habits(context: &DrawContext<'_>) -> Habits {
    let (clients, mut rng) = (&context.body.clients, context.streams.stream("habits"));
    Habits {
        line_every: micros(clients.line_every_s),
        tries: 1 + clients.retries.draw_count(&mut rng),
        backoff: clients.backoff_ms.draw_ms(&mut rng),
        sulk: clients.sulk_s.draw_s(&mut rng),
        honour: clients.honour.draw(&mut rng),
        rejoin: (micros(clients.rejoin_ms.min / 1e3), micros(clients.rejoin_ms.max / 1e3)),
        marks_retry: clients.marks_retry,
    }
}

fn front(context: &DrawContext<'_>) -> Front {
    let (front, mut rng) = (&context.body.front, context.streams.stream("front"));
    Front {
        every: front.ping_ms.draw_ms(&mut rng),
        notice: front.notice_s.scaled(context.body.scale).draw_s(&mut rng),
        leaves_after: front.leaves_ms.draw_ms(&mut rng),
    }
}

fn network(context: &DrawContext<'_>) -> Network {
    let (network, mut rng) = (&context.body.network, context.streams.stream("network"));
    Network {
        node_ms: (network.same_zone_ms.draw(&mut rng), network.cross_zone_ms.draw(&mut rng)),
        datagram: (micros(network.datagram_ms.min / 1e3), micros(network.datagram_ms.max / 1e3)),
        loss: network.loss,
        datagrams: network.datagrams,
        liars: context.body.proxies.liars.clone(),
    }
}

fn rules(body: &Body) -> Rules {
    let rules = &body.rules;
    let ms = |value: u32| Micros::from(value) * MS;
    Rules {
        answer_slack: ms(rules.answer_slack_ms),
        stop_within: ms(rules.stop_within_ms),
        ask_within: ms(rules.ask_within_ms),
        told_within: ms(rules.told_within_ms),
        fall_multiple: rules.fall_multiple,
        fall_window: ms(rules.fall_window_ms),
        // These are the bounds instead of the drawn values, since proxies do not know a render node's actual warm-up.
        cold_from: body.fleet.cold_from.min,
        warm_up: micros(body.fleet.warm_up_s.scaled(body.scale).max),
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
