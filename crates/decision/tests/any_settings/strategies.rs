//! Strategies for settings and plans, including combinations that no deployment uses.

use cottonnotch_decision::*;
use proptest::prelude::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// Plan of one simulation: the settings, the parameters of the environment, and the seed of all random
/// choices.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub settings: Settings,
    /// Time until a client gives up, by class; `None` if the client states none.
    pub patience: Vec<Option<Micros>>,
    pub servers: u32,
    pub zones: u16,
    pub cells: u32,
    pub requests: u32,
    pub grace: Micros,
    /// Percentage of list calls that fail.
    pub list_failure_percent: u64,
    /// Percentage of clients that leave early.
    pub client_leave_percent: u64,
    /// Percentage of servers that are faulty.
    pub faulty_percent: u64,
    /// Whether the node has routing rules.
    pub has_rules: bool,
    /// Time from the start to the shutdown of the node; `None`: the node does not shut down.
    pub shutdown: Option<Micros>,
}

fn time() -> impl Strategy<Value = Micros> {
    prop_oneof![50 * MS..=S, S..=10 * S, 10 * S..=60 * S]
}

fn idempotency() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![Just(Scope::All), Just(Scope::Zone), Just(Scope::Cell)];
    // The windows range from less than a round trip to several seconds.
    let window = prop_oneof![1 => Just(0), 1 => 1..=10 * MS, 4 => 10 * MS..=S, 2 => S..=8 * S];
    let keyed = (scope, window).prop_map(|(scope, window)| Idempotency::Keyed { scope, window });
    prop_oneof![Just(Idempotency::Idempotent), keyed.clone(), keyed, Just(Idempotency::NotIdempotent)]
}

prop_compose! {
    fn class()(
        deadline in prop_oneof![4 => time(), 1 => Just(0)],
        target in prop_oneof![1 => Just(0), 4 => time()],
        message_latency_objective in prop_oneof![Just(0), 1..=S],
        attempts in 1..=5_u32,
        idempotency in idempotency(),
        priority_weight in prop_oneof![Just(0.0), Just(1.0), 0.0..1e6],
        percent in prop_oneof![5 => Just(100), 2 => 1..=100_i64, 1 => Just(0)],
    ) -> (Class, Option<Micros>) {
        // The request states the whole deadline, a part of it, or no deadline.
        let left = (deadline > 0 && percent > 0).then(|| (deadline / 100 * percent).max(1));
        (Class { target, deadline, message_latency_objective, attempts, idempotency, priority_weight }, left)
    }
}

fn number() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), Just(1.0), Just(0.001), 0.0..1.0, 1.0..50.0, Just(1e12)]
}

prop_compose! {
    fn limits()(
        tenants in prop_oneof![Just(Vec::new()), prop::collection::vec((number(), number()), 1..5)],
        nodes in prop_oneof![Just(1_u32), 1..=10_u32, 1..=300_u32],
        ordinal in 0..300_u32,
        flags in any::<[bool; 5]>(),
        weights in 0..3_usize,
        step in prop_oneof![Just(0), 1..=5 * MS],
        max_retry_after in prop_oneof![Just(0), 1..=10 * S],
        slow_start in (number(), prop_oneof![Just(0), 1..=20 * S], number(), prop_oneof![Just(0), 1..=5 * S]),
        prices in (prop_oneof![Just(0.0), 0.0..1.0], prop_oneof![Just(0.0), 0.0..1.0]),
        over_quota_weight in number(),
    ) -> Settings {
        let tenant = |(allowance_per_s, allowance_open)| Tenant { allowance_per_s, allowance_open };
        Settings {
            ordinal: ordinal % nodes,
            nodes,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: tenants.into_iter().map(tenant).collect(),
            groups: flags[0],
            weight_by_work: flags[1],
            over_quota_weight,
            step,
            list_on_request: flags[2],
            list_pushed: flags[3],
            weights: [WeightMeaning::Nothing, WeightMeaning::Size, WeightMeaning::Live][weights],
            retry_after: flags[4],
            max_retry_after,
            slow_start_from: slow_start.0,
            slow_start_window: slow_start.1,
            overload_multiple: slow_start.2,
            overload_window: slow_start.3,
            probes: false,
            report_load: None,
            probe_price: prices.0,
            migration_price: prices.1,
        }
    }
}

prop_compose! {
    pub fn plan()(
        seed in any::<u64>(),
        limits in limits(),
        classes in prop::collection::vec(class(), 1..=20),
        servers in prop_oneof![1 => Just(0_u32), 3 => 1..=3_u32, 12 => 4..=12_u32],
        zones in 1..=3_u16,
        cells in 1..=5_u32,
        requests in 1..=80_u32,
        grace in prop_oneof![Just(0), 1..=S],
        faults in (0..=60_u64, 0..=30_u64, 0..=100_u64),
        has_rules in any::<bool>(),
        shutdown in prop_oneof![3 => Just(None), 1 => (0..=13 * S).prop_map(Some)],
    ) -> Plan {
        let (classes, patience) = classes.into_iter().unzip();
        let settings = Settings { classes, ..limits };
        let (list_failure_percent, client_leave_percent, faulty_percent) = faults;
        Plan {
            seed, settings, patience, servers, zones, cells, requests, grace, list_failure_percent,
            client_leave_percent, faulty_percent, shutdown, has_rules,
        }
    }
}
