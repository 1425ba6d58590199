//! Rulings from real files, over all that the decisions may ask.

use super::*;
use crate::rules::clock::Clock;
use cottonnotch_decision::names::Names;
use cottonnotch_decision::{Class, ClassId, Idempotency, ServerState, Settings, TenantId, ZoneId};
use cottonnotch_routing_rules::{History, Inventory, RuleFile, merge};
use cottonnotch_rule_compiler::{Profile as Hardware, Profiles, lower};

use std::collections::BTreeSet;

const S: Micros = 1_000_000;

fn profile(proxies: u32, ordinal: u32) -> Profile {
    let class = Class {
        target: S,
        deadline: S,
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
        connect_timeout: S,
        reports_latency: false,
    }
}

/// The plan of one namespace's file, with these rules.
fn plan(rules: &str) -> Arc<Plan> {
    let text =
        format!("namespace = \"consortium\"\nrevision = 1\non_doubt = \"refuse\"\nretry_ms = 250\n{rules}");
    let world =
        Inventory::of("consortium", &["north", "south"], &["look", "edit"], &["a", "b"], &["x", "y"], 1_000);
    let merged = merge(&History::default(), &[RuleFile::new("consortium.toml", text)], &world);
    assert_eq!(merged.conflicts, []);
    let profiles: Profiles = ["x", "y"].map(|class| (class.to_owned(), Hardware::full())).into();
    Arc::new(lower(&merged.book, &profiles).plan)
}

/// Eight nodes: halls a and b by turns, classes x and y by pairs.
fn list(rulings: &Rulings, proxies: impl Iterator<Item = u32>) {
    let entry = |server: u32| Entry {
        server: ServerId(server),
        digest: u64::from(server + 1).wrapping_mul(0x5851_f42d_4c95_7f2d),
        state: ServerState::Ready,
        zone: ZoneId::default(),
        cell: 0,
        started: None,
        weight: 1.0,
    };
    let entries: Vec<Entry> = proxies.map(entry).collect();
    rulings.listed(true, &entries, |server| NodeKind {
        hall: ["a", "b"][server.0 as usize % 2].into(),
        hardware: ["x", "y"][server.0 as usize / 2 % 2].into(),
    });
}

fn rulings_of(proxies: u32, ordinal: u32, rules: &str, unruled: Unknown) -> (Rulings, Arc<Publication>) {
    let publication = Arc::new(Publication::default());
    let doubt = Doubt { before_first: Unknown::Refuse, unruled, retry: 500_000 };
    let rulings = Rulings::new(Arc::clone(&publication), doubt, true, &profile(proxies, ordinal));
    list(&rulings, 0..8);
    publication.grant(&plan(rules), 1, [1; 32], Micros::MAX);
    (rulings, publication)
}

fn rulings(rules: &str) -> (Rulings, Arc<Publication>) {
    rulings_of(1, 0, rules, Unknown::Serve)
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

fn allowed(ruling: &RoutingVerdict) -> Vec<u32> {
    (0..8).filter(|server| ruling.allows(ServerId(*server))).collect()
}

fn first_choice(ruling: &RoutingVerdict) -> Vec<u32> {
    (0..8).filter(|server| !ruling.is_second_choice(ServerId(*server))).collect()
}

#[test]
fn places_narrow_and_wishes_order_for_those_they_speak_of() {
    let (mut rulings, _) = rulings(
        "[[rule]]\nname = \"north\"\ntenants = [\"north\"]\nplace = { require = { halls = [\"a\"] } }\n\
         [[rule]]\nname = \"edits\"\nclasses = [\"edit\"]\nplace = { avoid = { hardware = [\"y\"] } }\n\
         [[rule]]\nname = \"near\"\nclasses = [\"look\"]\nplace = { prefer = { hardware = [\"y\"] } }\n",
    );
    let look = rulings.evaluate(0, &request(1, 0, None, None));
    assert_eq!((look.allowed.clone(), first_choice(&look)), (None, vec![2, 3, 6, 7]));
    let north = rulings.evaluate(0, &request(2, 0, Some(0), None));
    assert_eq!(allowed(&north), [0, 2, 4, 6]);
    let wished: Vec<u32> = first_choice(&north).into_iter().filter(|s| allowed(&north).contains(s)).collect();
    assert_eq!(wished, [2, 6]);
    let both = rulings.evaluate(0, &request(3, 1, Some(0), None));
    assert_eq!((allowed(&both), &both.preferred), (vec![0, 4], &None));
    let basis = rulings.basis(RequestId(3)).unwrap();
    assert_eq!((basis.version, basis.is_uncertain), (Some(1), false));
    assert_eq!(
        BTreeSet::from_iter(basis.rules),
        BTreeSet::from(["consortium:edits", "consortium:north"].map(Name::from))
    );
    assert_eq!(rulings.evaluate(0, &request(4, 1, Some(1), None)).allowed.map(|_| ()), Some(()));
    // A wish for what isn't there puts nothing before another.
    list(&rulings, [0, 1, 4, 5].into_iter());
    assert_eq!(rulings.evaluate(0, &request(5, 0, None, None)).preferred, None);
}

#[test]
fn a_cap_counts_attempts_and_connections_and_parts_are_the_whole() {
    let cap = "[[rule]]\nname = \"cap\"\nclasses = [\"look\"]\ncap = { connections = 5, halls = [\"a\"] }\n";
    let mut taken = 0;
    for me in 0..3 {
        let (mut rulings, publication) = rulings_of(3, me, cap, Unknown::Serve);
        let mut at_a = 0;
        for id in 0..20 {
            let asked = request(id, 0, None, None);
            let ruling = rulings.evaluate(0, &asked);
            let to = allowed(&ruling)[0];
            at_a += u32::from(to.is_multiple_of(2));
            rulings.record_attempt(0, &asked, ServerId(to));
        }
        taken += at_a;
        // Others are not counted, and are not held back.
        assert_eq!(rulings.evaluate(0, &request(50, 1, None, None)).allowed, None);
        // One leaves: there is room for one, also under a new version and a new list.
        rulings.left(RequestId(0));
        publication.grant(&plan(cap), 2, [2; 32], Micros::MAX);
        list(&rulings, 0..8);
        let asked = request(60, 0, None, None);
        assert_eq!(allowed(&rulings.evaluate(0, &asked)).len(), 8);
        rulings.record_attempt(0, &asked, ServerId(0));
        assert_eq!(allowed(&rulings.evaluate(0, &request(61, 0, None, None))), [1, 3, 5, 7]);
        rulings.opened(&request(62, 0, None, None), ServerId(2));
    }
    assert_eq!(taken, 5, "three proxies together");
}

#[test]
fn a_pace_lets_its_part_through_and_says_when_the_next_may_go() {
    let (mut rulings, _) = rulings_of(
        4,
        0,
        "[[rule]]\nname = \"slow\"\nclasses = [\"look\"]\npace = { per_s = 8.0 }\n",
        Unknown::Serve,
    );
    let (mut sent, mut id) = (0, 0);
    for now in (0..60 * S).step_by(50_000) {
        id += 1;
        let asked = request(id, 0, None, None);
        match rulings.evaluate(now, &asked).not_before {
            None => {
                rulings.record_attempt(now, &asked, ServerId(0));
                rulings.left(asked.id);
                sent += 1;
            }
            Some(next) => assert!(next > now && next <= now + S / 2 + 1),
        }
    }
    assert!((118..=123).contains(&sent), "two a second for a minute, and what was saved: {sent}");
    assert_eq!(rulings.evaluate(60 * S, &request(0, 1, None, None)).not_before, None);
}

#[test]
fn attempts_groups_and_moves_are_as_written() {
    let (mut rulings, _) = rulings(
        "[[rule]]\nname = \"tries\"\nclasses = [\"edit\"]\nattempts = { most = 2 }\n\
         [[rule]]\nname = \"together\"\nclasses = [\"look\"]\nspread = { nodes = 2 }\n\
         [[rule]]\nname = \"still\"\ntenants = [\"north\"]\nmove = \"drains-only\"\n",
    );
    assert_eq!(rulings.evaluate(0, &request(1, 1, None, None)).attempts, 2);
    assert_eq!(rulings.evaluate(0, &request(1, 0, None, None)).attempts, u32::MAX);
    let homes = allowed(&rulings.evaluate(0, &request(2, 0, None, Some(77))));
    assert_eq!(homes.len(), 2);
    assert_eq!(
        allowed(&rulings.evaluate(0, &request(3, 0, Some(1), Some(77)))),
        homes,
        "the same for all of it"
    );
    assert_eq!(
        rulings.stickiness(0, &request(4, 0, Some(0), None), ServerId(0)),
        Some(Stickiness::UntilDrained)
    );
    assert_eq!(rulings.stickiness(0, &request(4, 0, Some(1), None), ServerId(0)), None);
}

#[test]
fn doubt_refuses_keeps_or_serves_as_owners_and_operators_say() {
    let rules = "[[rule]]\nname = \"north\"\ntenants = [\"north\"]\nplace = { require = { halls = [\"a\"] } }\n\
         [[rule]]\nname = \"near\"\nplace = { prefer = { hardware = [\"y\"] } }\n";
    let refused = |after| RoutingVerdict { refuse: Some(after), ..RoutingVerdict::default() };
    let (mut rulings, publication) = rulings(rules);
    let (north, other) = (request(1, 0, Some(0), None), request(2, 0, None, None));
    assert!(rulings.evaluate(0, &north).preferred.is_some());
    publication.revoke();
    assert_eq!(rulings.evaluate(0, &north), refused(250_000), "as the namespace says");
    assert_eq!(
        rulings.evaluate(0, &other),
        RoutingVerdict::default(),
        "no must speaks of it, and wishes are dropped"
    );
    assert!(rulings.basis(north.id).unwrap().is_uncertain);
    assert_eq!(rulings.rejected_while_uncertain(), 1);
    // The lease is over by the clock alone, without a word from anybody.
    publication.grant(&plan(rules), 1, [1; 32], Clock.now() + 30_000);
    assert_eq!(allowed(&rulings.evaluate(0, &north)), [0, 2, 4, 6]);
    std::thread::sleep(std::time::Duration::from_millis(40));
    assert_eq!(rulings.evaluate(0, &north), refused(250_000));

    let (mut rulings, publication) = rulings_of(1, 0, rules, Unknown::Refuse);
    publication.revoke();
    assert_eq!(rulings.evaluate(0, &other), refused(500_000), "the operator wants it so");

    let keep = Rulings::new(
        Arc::default(),
        Doubt { before_first: Unknown::Refuse, unruled: Unknown::Serve, retry: S },
        false,
        &profile(1, 0),
    );
    assert_eq!(keep.clone().evaluate(0, &other), refused(S), "nothing is known yet");
    assert_eq!(keep.basis(other.id).unwrap().version, None);
}

/// Prints what a ruling costs; `cargo test --release -- --ignored --nocapture a_ruling_s_cost`.
#[test]
#[ignore = "a measurement"]
fn a_ruling_s_cost() {
    let rules: String = (0..60)
        .map(|n| format!("[[rule]]\nname = \"r{n}\"\ntenants = [\"{}\"]\ngroups = [[{n}, {}]]\nplace = {{ avoid = {{ halls = [\"b\"], hardware = [\"y\"] }} }}\n", ["north", "south"][n % 2], n + 100))
        .collect();
    let (mut rulings, _) = rulings(&rules);
    let began = std::time::Instant::now();
    let rounds = 200_000;
    for id in 0..rounds {
        let asked = request(id % 64, 0, Some((id % 2) as u16), Some(id % 160));
        std::hint::black_box(rulings.evaluate(0, &asked));
    }
    println!("{:?} a ruling", began.elapsed() / rounds as u32);
}
