//! Tests of the routing verdicts for compiled rule files: every query that the decision module makes.

use super::*;
use crate::rules::clock::Clock;
use cottonnotch_decision::names::Names;
use cottonnotch_decision::{Class, ClassId, Idempotency, ServerState, Settings, TenantId, ZoneId};
use cottonnotch_routing_rules::{History, Inventory, RuleFile, merge};
use cottonnotch_rule_compiler::{Profile as HardwareProfile, Profiles, compile};

use std::collections::BTreeSet;

const SECOND: Micros = 1_000_000;

fn profile(proxies: u32, ordinal: u32) -> Profile {
    let class = Class {
        target: SECOND,
        deadline: SECOND,
        message_latency_objective: 0,
        attempts: 3,
        idempotency: Idempotency::Idempotent,
        priority_weight: 1.0,
    };
    let tenant = cottonnotch_decision::Tenant { allowance_per_s: 1.0, allowance_open: 1.0 };
    let settings = Settings {
        nodes: proxies,
        ordinal,
        classes: vec![class.clone(), class],
        tenants: vec![tenant.clone(), tenant],
        ..Settings::default()
    };
    let names = |all: [&str; 2]| {
        let mut names = Names::default();
        all.iter().for_each(|name| {
            names.intern(name);
        });
        names
    };
    Profile {
        settings,
        classes: names(["look", "edit"]),
        tenants: names(["north", "south"]),
        withdrawn: Default::default(),
        zones: Names::default(),
        connect_timeout: SECOND,
        reports_latency: false,
    }
}

/// Compiles the plan of a single namespace with these rules.
fn plan(rules: &str) -> Arc<Plan> {
    let text =
        format!("namespace = \"consortium\"\nrevision = 1\non_doubt = \"refuse\"\nretry_ms = 250\n{rules}");
    let inventory =
        Inventory::of("consortium", &["north", "south"], &["look", "edit"], &["a", "b"], &["x", "y"], 1_000);
    let merged = merge(&History::default(), &[RuleFile::new("consortium.toml", text)], &inventory);
    assert_eq!(merged.conflicts, []);
    let profiles: Profiles = ["x", "y"].map(|class| (class.to_owned(), HardwareProfile::full())).into();
    Arc::new(compile(&merged.book, &profiles).plan)
}

/// Sends a full endpoint list with these servers. Halls a and b alternate, hardware classes x and y alternate in pairs.
fn update_list(verdicts: &RoutingVerdicts, servers: impl Iterator<Item = u32>) {
    let entry = |server: u32| Entry {
        server: ServerId(server),
        digest: u64::from(server + 1).wrapping_mul(0x5851_f42d_4c95_7f2d),
        state: ServerState::Ready,
        zone: ZoneId::default(),
        cell: 0,
        started: None,
        weight: 1.0,
    };
    let entries: Vec<Entry> = servers.map(entry).collect();
    verdicts.update_endpoints(true, &entries, |server| NodeKind {
        hall: ["a", "b"][server.0 as usize % 2].into(),
        hardware: ["x", "y"][server.0 as usize / 2 % 2].into(),
    });
}

fn verdicts_of(
    proxies: u32,
    ordinal: u32,
    rules: &str,
    without_requirement: UnknownRules,
) -> (RoutingVerdicts, Arc<PublishedPlan>) {
    let published = Arc::new(PublishedPlan::default());
    let uncertainty =
        UncertaintySettings { before_first: UnknownRules::Refuse, without_requirement, retry: 500_000 };
    let verdicts = RoutingVerdicts::new(
        Arc::clone(&published),
        uncertainty,
        RuleNames::Recorded,
        &profile(proxies, ordinal),
    );
    update_list(&verdicts, 0..8);
    published.grant(&plan(rules), 1, [1; 32], Micros::MAX);
    (verdicts, published)
}

fn verdicts(rules: &str) -> (RoutingVerdicts, Arc<PublishedPlan>) {
    verdicts_of(1, 0, rules, UnknownRules::Serve)
}

fn request(id: u64, class: u16, tenant: Option<u16>, group: Option<u64>) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        left: None,
        load_hint: None,
        group,
        again: false,
    }
}

fn allowed(verdict: &RoutingVerdict) -> Vec<u32> {
    (0..8).filter(|server| verdict.allows(ServerId(*server))).collect()
}

fn first_choice(verdict: &RoutingVerdict) -> Vec<u32> {
    (0..8).filter(|server| !verdict.is_second_choice(ServerId(*server))).collect()
}

#[test]
fn requirements_restrict_and_preferences_order_nodes() {
    let (mut verdicts, _) = verdicts(
        "[[rule]]\nname = \"north\"\ntenants = [\"north\"]\nplace = { require = { halls = [\"a\"] } }\n\
         [[rule]]\nname = \"edits\"\nclasses = [\"edit\"]\nplace = { avoid = { hardware = [\"y\"] } }\n\
         [[rule]]\nname = \"near\"\nclasses = [\"look\"]\nplace = { prefer = { hardware = [\"y\"] } }\n",
    );
    let look = verdicts.evaluate(0, &request(1, 0, None, None));
    assert_eq!((look.allowed.clone(), first_choice(&look)), (None, vec![2, 3, 6, 7]));
    let north = verdicts.evaluate(0, &request(2, 0, Some(0), None));
    assert_eq!(allowed(&north), [0, 2, 4, 6]);
    let preferred: Vec<u32> =
        first_choice(&north).into_iter().filter(|s| allowed(&north).contains(s)).collect();
    assert_eq!(preferred, [2, 6]);
    let both = verdicts.evaluate(0, &request(3, 1, Some(0), None));
    assert_eq!((allowed(&both), &both.preferred), (vec![0, 4], &None));
    let basis = verdicts.basis(RequestId(3)).unwrap();
    assert_eq!((basis.version, basis.is_uncertain), (Some(1), false));
    assert_eq!(
        BTreeSet::from_iter(basis.rules),
        BTreeSet::from(["consortium:edits", "consortium:north"].map(Name::from))
    );
    assert_eq!(verdicts.evaluate(0, &request(4, 1, Some(1), None)).allowed.map(|_| ()), Some(()));
    // A preference for hardware that no listed node has ranks all nodes alike.
    update_list(&verdicts, [0, 1, 4, 5].into_iter());
    assert_eq!(verdicts.evaluate(0, &request(5, 0, None, None)).preferred, None);
}

#[test]
fn cap_counts_attempts_and_connections_of_all_proxies() {
    let cap = "[[rule]]\nname = \"cap\"\nclasses = [\"look\"]\ncap = { connections = 5, halls = [\"a\"] }\n";
    let mut total = 0;
    for ordinal in 0..3 {
        let (mut verdicts, published) = verdicts_of(3, ordinal, cap, UnknownRules::Serve);
        let mut in_hall_a = 0;
        for id in 0..20 {
            let attempt = request(id, 0, None, None);
            let verdict = verdicts.evaluate(0, &attempt);
            let to = allowed(&verdict)[0];
            in_hall_a += u32::from(to.is_multiple_of(2));
            verdicts.record_attempt(0, &attempt, ServerId(to));
        }
        total += in_hall_a;
        // Requests of another class are neither counted nor limited.
        assert_eq!(verdicts.evaluate(0, &request(50, 1, None, None)).allowed, None);
        // After one connection ends, exactly one more is allowed, even under a new version and a new endpoint list.
        verdicts.remove_connection(RequestId(0));
        published.grant(&plan(cap), 2, [2; 32], Micros::MAX);
        update_list(&verdicts, 0..8);
        let attempt = request(60, 0, None, None);
        assert_eq!(allowed(&verdicts.evaluate(0, &attempt)).len(), 8);
        verdicts.record_attempt(0, &attempt, ServerId(0));
        assert_eq!(allowed(&verdicts.evaluate(0, &request(61, 0, None, None))), [1, 3, 5, 7]);
        verdicts.add_connection(&request(62, 0, None, None), ServerId(2));
    }
    assert_eq!(total, 5, "the three proxies together keep the limit");
}

#[test]
fn pace_admits_its_share_and_reports_the_next_token() {
    let (mut verdicts, _) = verdicts_of(
        4,
        0,
        "[[rule]]\nname = \"slow\"\nclasses = [\"look\"]\npace = { per_s = 8.0 }\n",
        UnknownRules::Serve,
    );
    let (mut sent, mut id) = (0, 0);
    for now in (0..60 * SECOND).step_by(50_000) {
        id += 1;
        let attempt = request(id, 0, None, None);
        match verdicts.evaluate(now, &attempt).not_before {
            None => {
                verdicts.record_attempt(now, &attempt, ServerId(0));
                verdicts.remove_connection(attempt.id);
                sent += 1;
            }
            Some(next) => assert!(next > now && next <= now + SECOND / 2 + 1),
        }
    }
    assert!((118..=123).contains(&sent), "2 per second for a minute, plus saved tokens: {sent}");
    assert_eq!(verdicts.evaluate(60 * SECOND, &request(0, 1, None, None)).not_before, None);
}

#[test]
fn applies_attempts_spread_and_move_rules() {
    let (mut verdicts, _) = verdicts(
        "[[rule]]\nname = \"tries\"\nclasses = [\"edit\"]\nattempts = { most = 2 }\n\
         [[rule]]\nname = \"together\"\nclasses = [\"look\"]\nspread = { nodes = 2 }\n\
         [[rule]]\nname = \"still\"\ntenants = [\"north\"]\nmove = \"drains-only\"\n",
    );
    assert_eq!(verdicts.evaluate(0, &request(1, 1, None, None)).attempts, 2);
    assert_eq!(verdicts.evaluate(0, &request(1, 0, None, None)).attempts, u32::MAX);
    let subset = allowed(&verdicts.evaluate(0, &request(2, 0, None, Some(77))));
    assert_eq!(subset.len(), 2);
    assert_eq!(
        allowed(&verdicts.evaluate(0, &request(3, 0, Some(1), Some(77)))),
        subset,
        "all requests of a group get the same subset"
    );
    assert_eq!(
        verdicts.stickiness(0, &request(4, 0, Some(0), None), ServerId(0)),
        Some(Stickiness::UntilDrained)
    );
    assert_eq!(verdicts.stickiness(0, &request(4, 0, Some(1), None), ServerId(0)), None);
}

#[test]
fn uncertainty_follows_owners_and_operators() {
    let rules = "[[rule]]\nname = \"north\"\ntenants = [\"north\"]\nplace = { require = { halls = [\"a\"] } }\n\
         [[rule]]\nname = \"near\"\nplace = { prefer = { hardware = [\"y\"] } }\n";
    let rejected =
        |after| RoutingVerdict { reject_with_retry_after: Some(after), ..RoutingVerdict::default() };
    let (mut verdicts, published) = verdicts(rules);
    let (north, other) = (request(1, 0, Some(0), None), request(2, 0, None, None));
    assert!(verdicts.evaluate(0, &north).preferred.is_some());
    published.revoke();
    assert_eq!(verdicts.evaluate(0, &north), rejected(250_000), "the Retry-After of the namespace");
    assert_eq!(
        verdicts.evaluate(0, &other),
        RoutingVerdict::default(),
        "no requirement selects the request, and preferences are ignored"
    );
    assert!(verdicts.basis(north.id).unwrap().is_uncertain);
    assert_eq!(verdicts.rejected_while_uncertain(), 1);
    // The lease expires by the clock alone, without a revocation.
    published.grant(&plan(rules), 1, [1; 32], Clock.now() + 30_000);
    assert_eq!(allowed(&verdicts.evaluate(0, &north)), [0, 2, 4, 6]);
    std::thread::sleep(std::time::Duration::from_millis(40));
    assert_eq!(verdicts.evaluate(0, &north), rejected(250_000));

    let (mut verdicts, published) = verdicts_of(1, 0, rules, UnknownRules::Refuse);
    published.revoke();
    assert_eq!(
        verdicts.evaluate(0, &other),
        rejected(500_000),
        "the operator's unruled_on_doubt rejects the request"
    );

    let without_version = RoutingVerdicts::new(
        Arc::default(),
        UncertaintySettings {
            before_first: UnknownRules::Refuse,
            without_requirement: UnknownRules::Serve,
            retry: SECOND,
        },
        RuleNames::Omitted,
        &profile(1, 0),
    );
    assert_eq!(without_version.clone().evaluate(0, &other), rejected(SECOND), "no version is known yet");
    assert_eq!(without_version.basis(other.id).unwrap().version, None);
}

/// Prints the time that a verdict takes. Run with `cargo test --release -- --ignored --nocapture measures_verdict_cost`.
#[test]
#[ignore = "a measurement, run by hand"]
fn measures_verdict_cost() {
    let rules: String = (0..60)
        .map(|n| format!("[[rule]]\nname = \"r{n}\"\ntenants = [\"{}\"]\ngroups = [[{n}, {}]]\nplace = {{ avoid = {{ halls = [\"b\"], hardware = [\"y\"] }} }}\n", ["north", "south"][n % 2], n + 100))
        .collect();
    let (mut verdicts, _) = verdicts(&rules);
    let began = std::time::Instant::now();
    let rounds = 200_000;
    for id in 0..rounds {
        let attempt = request(id % 64, 0, Some((id % 2) as u16), Some(id % 160));
        std::hint::black_box(verdicts.evaluate(0, &attempt));
    }
    println!("{:?} per verdict", began.elapsed() / rounds as u32);
}
