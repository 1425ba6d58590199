//! Measures the cost of lookups, compilation and plan swaps. The requirements are stated as ratios, so `main` measures and
//! prints ratios itself; Criterion measures single lookups.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use std::collections::BTreeSet;
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use cottonnotch_routing_rules::{
    Book, GroupRange, MoveCondition, Node, Owner, PlacementMode, Request, Rule, RuleKind, Selector, Strength,
    UncertaintyPolicy,
};
use cottonnotch_rule_compiler::{Plan, Profile, Profiles, compile, contradiction};
use criterion::Criterion;
use hdrhistogram::Histogram;

const HALLS: u64 = 40;
const CLASSES: u64 = 8;

fn mix(number: u64) -> u64 {
    let number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb) >> 16
}

fn one_of(prefix: &str, number: u64, among: u64) -> BTreeSet<String> {
    [format!("{prefix}{}", mix(number) % among)].into()
}

/// A book of `count` rules, most of which select a tenant, a class, groups or several of these. The first six rules and one
/// in `common` of the others apply to all tenants.
fn book(count: u64, common: u64) -> Book {
    let paths = ["consortium", "consortium/house", "consortium/house/team"];
    let rule = |number: u64| {
        let which = mix(number + 77);
        let mut on = Selector::default();
        if number >= 6 && !which.is_multiple_of(common) {
            on.tenants = one_of("tenant-", number * 3, (count / 10).max(3));
        }
        if (which / 10).is_multiple_of(3) {
            on.classes = one_of("class-", number * 5, 10);
        }
        if (which / 100).is_multiple_of(3) && number >= 6 {
            let first = mix(number * 7) % 100_000;
            on.groups = vec![GroupRange { first, last: first + mix(number * 9) % 1_000 }];
        }
        let (halls, hardware) = (one_of("hall-", number * 11, HALLS), one_of("node-", number * 13, CLASSES));
        let kind = match which / 1000 % 10 {
            0..4 => RuleKind::Place { how: PlacementMode::Avoid, halls, hardware },
            4..7 => RuleKind::Place { how: PlacementMode::Prefer, halls, hardware: BTreeSet::new() },
            7 => RuleKind::Cap { connections: 1_000, halls, hardware: BTreeSet::new() },
            8 => RuleKind::Attempts { most: 3 },
            _ => RuleKind::Move { when: MoveCondition::Last },
        };
        let depth = mix(number * 17) % 3;
        let strength = if matches!(kind, RuleKind::Place { how: PlacementMode::Prefer, .. })
            || which.is_multiple_of(7)
        {
            Strength::Preference
        } else {
            Strength::Requirement
        };
        Rule {
            namespace: paths[depth as usize].into(),
            name: format!("rule-{number:05}"),
            file: "rules.toml".into(),
            line: 1,
            strength,
            priority: (which % 5) as i32,
            depth: depth as u32,
            on,
            kind,
        }
    };
    let mut rules: Vec<Rule> = (0..count).map(rule).collect();
    rules.sort_by(|a, b| (&a.namespace, &a.name).cmp(&(&b.namespace, &b.name)));
    let uncertainty_policy = UncertaintyPolicy::Refuse { retry_ms: 500 };
    let namespaces = paths.map(|path| Owner { path: path.into(), revision: 1, uncertainty_policy });
    Book { namespaces: namespaces.into(), rules }
}

fn profiles() -> Profiles {
    (0..CLASSES).map(|class| (format!("node-{class}"), Profile::full())).collect()
}

struct RequestAndNode {
    tenant: String,
    class: String,
    group: Option<u64>,
    hall: String,
    hardware: String,
}

/// Requests and nodes that match the rules of a book of `count` rules, in no order.
fn asked(count: u64) -> Vec<RequestAndNode> {
    let one = |number: u64| RequestAndNode {
        tenant: format!("tenant-{}", mix(number * 31) % (count / 10).max(3)),
        class: format!("class-{}", mix(number * 37) % 12),
        group: number.is_multiple_of(2).then(|| mix(number * 41) % 100_000),
        hall: format!("hall-{}", mix(number * 43) % (HALLS + 1)),
        hardware: format!("node-{}", mix(number * 47) % (CLASSES + 1)),
    };
    (0..4096).map(one).collect()
}

fn one_lookup(plan: &Plan, asked: &RequestAndNode) -> (bool, u32, Option<u32>) {
    let request = Request { tenant: Some(&asked.tenant), class: &asked.class, group: asked.group };
    let node = Node { hall: &asked.hall, hardware: &asked.hardware };
    let lookup = plan.lookup(&request);
    let key = plan.node_key(&node);
    (lookup.allows_key(key), lookup.rank_key(key), lookup.attempts())
}

/// The time of one lookup with a node's admission and rank, in nanoseconds. Returns the minimum of many rounds, because other
/// processes slow down some of the rounds.
fn lookup_ns(plan: &Plan, asked: &[RequestAndNode]) -> f64 {
    let round = || {
        let start = Instant::now();
        for asked in asked {
            black_box(one_lookup(plan, black_box(asked)));
        }
        start.elapsed().as_secs_f64() * 1e9 / asked.len() as f64
    };
    // Rounds are short, so that some of them run undisturbed by other processes.
    (0..1000).map(|_| round()).fold(f64::INFINITY, f64::min)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 10_000_000_000, 3).expect("bounds in order")
}

fn seconds<T>(work: impl Fn() -> T) -> f64 {
    let round = || {
        let start = Instant::now();
        black_box(work());
        start.elapsed().as_secs_f64()
    };
    (0..5).map(|_| round()).fold(f64::INFINITY, f64::min)
}

/// The latencies of lookups on eight threads that share a plan. If `swaps` is set, the plan is replaced every 10 ms.
fn shared(plans: &[Arc<Plan>; 2], asked: &[RequestAndNode], swaps: bool) -> Histogram<u64> {
    let plan = ArcSwap::new(plans[0].clone());
    let over = AtomicBool::new(false);
    let reader = |from: usize| {
        let mut seen = histogram();
        let mut at = from * 511;
        while !over.load(Ordering::Relaxed) {
            // Each sample covers several lookups, because reading the clock would dominate the time of one.
            let start = Instant::now();
            for _ in 0..8 {
                let plan = plan.load();
                black_box(one_lookup(&plan, &asked[at % asked.len()]));
                at += 1;
            }
            seen.saturating_record(start.elapsed().as_nanos() as u64);
        }
        seen
    };
    let (reader, over, plan) = (&reader, &over, &plan);
    std::thread::scope(|scope| {
        let readers: Vec<_> = (0..8).map(|from| scope.spawn(move || reader(from))).collect();
        let start = Instant::now();
        let mut next = 1;
        while start.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_millis(10));
            if swaps {
                plan.store(plans[next % 2].clone());
                next += 1;
            }
        }
        over.store(true, Ordering::Relaxed);
        let mut all = histogram();
        for reader in readers {
            all.add(reader.join().expect("a reader ends")).expect("histograms of one kind");
        }
        all
    })
}

fn main() {
    // `cargo test --benches` runs this without `--bench` and only checks that it doesn't fail.
    let brief = !std::env::args().any(|arg| arg == "--bench");
    let (small, large) = (book(10, 100), book(if brief { 200 } else { 10_000 }, 100));
    let plan_small = compile(&small, &profiles()).plan;
    let plan_large = compile(&large, &profiles()).plan;
    let count = plan_large.rules() as u64;
    let (few, many) = (asked(10), asked(count));
    if brief {
        black_box((one_lookup(&plan_small, &few[0]), one_lookup(&plan_large, &many[0])));
        return;
    }
    // `docs/CAPACITY.md` quotes these lines.
    for rules in [1_000, 3_000, 10_000, 30_000] {
        let book = book(rules, 100);
        let plan = compile(&book, &profiles()).plan;
        println!(
            r#"{{"what":"lower","rules":{rules},"least_ms":{:.2},"plan_bytes":{},"index_bytes":{},"look_ns":{:.0}}}"#,
            seconds(|| compile(&book, &profiles())) * 1e3,
            plan.to_bytes().len(),
            plan.index_bytes(),
            lookup_ns(&plan, &asked(rules))
        );
    }
    let (ns_small, ns_large) = (lookup_ns(&plan_small, &few), lookup_ns(&plan_large, &many));
    println!(
        "lookup among 10 rules {ns_small:.0} ns, among {count} {ns_large:.0} ns, ratio {:.2}",
        ns_large / ns_small
    );
    let heavy = compile(&book(count, 10), &profiles()).plan;
    let ns_heavy = lookup_ns(&heavy, &many);
    println!("with a tenth of the rules for all tenants {ns_heavy:.0} ns, ratio {:.2}", ns_heavy / ns_small);
    let bytes = plan_large.to_bytes();
    println!(
        "plan of {count}: {} bytes on the wire, about {} in the index",
        bytes.len(),
        plan_large.index_bytes()
    );
    println!("compile {count}: {:.1} ms", seconds(|| compile(&large, &profiles())) * 1e3);
    println!("decode {count}: {:.1} ms", seconds(|| Plan::from_bytes(&bytes)) * 1e3);

    // The two plans bound attempts alike, one by a rule for all tenants, the other by a rule for each tenant as well. Every
    // slot changes, but no request is treated differently.
    let tenants: BTreeSet<&String> = large.rules.iter().flat_map(|rule| &rule.on.tenants).collect();
    let bound = |name: String, tenants: BTreeSet<String>| Rule {
        namespace: "consortium".into(),
        name,
        file: "rules.toml".into(),
        line: 1,
        strength: Strength::Requirement,
        priority: 0,
        depth: 0,
        on: Selector { tenants, ..Selector::default() },
        kind: RuleKind::Attempts { most: 2 },
    };
    let with = |more: Vec<Rule>| {
        let mut rules = large.rules.clone();
        rules.extend(more);
        rules.sort_by(|a, b| (&a.namespace, &a.name).cmp(&(&b.namespace, &b.name)));
        compile(&Book { namespaces: large.namespaces.clone(), rules }, &profiles()).plan
    };
    let all = || bound("z-all".into(), BTreeSet::new());
    let each = tenants.iter().map(|tenant| bound(format!("z-{tenant}"), [tenant.to_string()].into()));
    let (one, two) = (with(vec![all()]), with(each.chain([all()]).collect()));
    let found = contradiction(&one, &two);
    println!("contradiction, none ({found:?}): {:.1} ms", seconds(|| contradiction(&one, &two)) * 1e3);
    let found = contradiction(&plan_large, &two).is_some();
    println!("contradiction, some ({found}): {:.1} ms", seconds(|| contradiction(&plan_large, &two)) * 1e3);

    let plans = [Arc::new(plan_large), Arc::new(two)];
    for _ in 0..3 {
        let still = shared(&plans, &many, false);
        let swapped = shared(&plans, &many, true);
        let of = |seen: &Histogram<u64>| seen.value_at_quantile(0.9999) as f64;
        println!(
            "eight threads, 8 lookups per sample: p50 {} ns, p99.99 {} ns; swapped 100 times a second {} ns, {} ns, ratio {:.2}",
            still.value_at_quantile(0.5),
            of(&still),
            swapped.value_at_quantile(0.5),
            of(&swapped),
            of(&swapped) / of(&still)
        );
    }

    let mut criterion = Criterion::default().configure_from_args();
    for (name, plan, asked) in [("look_10", &plan_small, &few), ("look_10000", &plans[0], &many)] {
        let mut at = 0;
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                at += 1;
                one_lookup(plan, &asked[at % asked.len()])
            });
        });
    }
    criterion.final_summary();
}
