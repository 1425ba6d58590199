//! The platform's `settings` in the JSON configuration of a proxy. They have the names and units of the simulator's
//! first message, nested. Times are in microseconds.

use crate::plan::{Plan, ProxyId};
use crate::time::{MS, Micros, S};
use simd_json::{OwnedValue, json};
use std::collections::BTreeSet;

/// Worth of traffic beyond a tenant's share. The operators set this value.
const OVER_SHARE_WORTH: f64 = 0.05;
/// Interval at which a proxy handles its pending input. The operators set this value.
const STEP_INTERVAL: Micros = 2 * MS;
/// CPU time in microseconds that a proxy may use in a second. The operators set this value.
const CPU_US_PER_S: u32 = 800_000;
/// Time after which an idle connection is closed. No connection of a rehearsal is idle, since each belongs to a
/// session.
const IDLE_TIMEOUT: Micros = 10 * S;

/// Returns the settings of one proxy. Settings that the plan does not vary have the operators' values.
pub fn settings(plan: &Plan, proxy: ProxyId) -> OwnedValue {
    let zone = plan.proxies.get(usize::from(proxy.0)).and_then(|it| plan.zones.get(usize::from(it.zone)));
    let kinds: Vec<&str> =
        plan.nodes.iter().map(|node| node.kind.as_str()).collect::<BTreeSet<_>>().into_iter().collect();
    let classes: Vec<OwnedValue> = (plan.classes.iter())
        .map(|class| {
            json!({
                "name": class.name.as_str(),
                "target": class.setup_aim,
                "deadline": class.deadline,
                "gain": class.worth,
                "lateWorth": 0.0,
                "effect": "safe",
                "group": "all",
                "window": 5 * S,
                "streaming": true,
            })
        })
        .collect();
    let tenants: Vec<OwnedValue> = (plan.tenants.iter())
        .map(|tenant| {
            json!({
                "name": tenant.name.as_str(),
                "share": tenant.share,
                "allowancePerS": tenant.quota_per_s,
            })
        })
        .collect();
    let aims: Vec<f64> = plan.classes.iter().map(|class| class.message_aim as f64).collect();
    let quotas: Vec<f64> = plan.tenants.iter().map(|tenant| tenant.quota_connections).collect();
    json!({
        "ordinal": proxy.0,
        "balancers": plan.member_count(),
        "tier": 0,
        "tiers": ["render-fleet"],
        "zone": zone.map_or("", String::as_str),
        "zones": plan.zones.clone(),
        "skus": kinds,
        "weights": "nominal",
        "workload": "conn",
        "worthBy": "request",
        "registryMode": "on_request",
        "step": STEP_INTERVAL,
        "overShareWorth": OVER_SHARE_WORTH,
        "requestClasses": classes,
        "tenants": tenants,
        "clients": {"marksRetry": plan.habits.marks_retry},
        "familyInfo": {
            "mode": "proxy",
            "groups": plan.nodes.iter().any(|node| node.group_cost > 0.0),
            "messageAim": aims,
            "tenantQuotaConnections": quotas,
            "hint": "none here",
            "notes": "1: load of the connection now, microseconds of work a second; 2: milliseconds of a message now",
            "reportX0": "load over capacity",
            "reportX1": "seconds of work piled up",
            "tellsLoad": true,
            "tellsDelay": true,
            "park": 0,
        },
        "policyLimits": {
            "mostTries": plan.rules.attempts,
            "parallelTries": false,
            "cancel": true,
            "probes": true,
            "retryAfter": plan.rules.retry_after_max > 0,
            "maxRetryAfter": plan.rules.retry_after_max,
            "mayTell": plan.network.datagrams,
            "connectTimeout": plan.rules.connect_timeout,
            "connIdle": IDLE_TIMEOUT,
            "maxOpen": 1_000_000,
            "maxStreams": 1_048_576,
            "cpuUsPerS": CPU_US_PER_S,
            "cpuUsPerRequest": 0.0,
        },
        "rules": {
            "answerSlack": plan.rules.answer_slack,
            "askWithin": plan.rules.ask_within,
            "stopSendingWithin": plan.rules.stop_within,
            "coldFrom": plan.rules.cold_from,
            "warmUp": plan.rules.warm_up,
            "fallMultiple": plan.rules.fall_multiple,
            "fall": plan.rules.fall_window,
        },
        "report": {"how": "none", "columns": []},
        "resultMix": {"whole": 0.3, "worstWindow": 0.3, "worstClass": 0.3, "worstTenant": 0.1},
        "prices": {
            "crossZone": 0.012, "waste": 0.1, "probe": 0.002, "peer": 0.01, "lateFail": 0.063, "moves": 0.042,
            "connection": 0.0, "handshake": 0.0, "origin": 0.0, "registryMode": 0.0,
        },
    })
}
