//! Measures a merge of 10,000 rules in 300 namespaces: a complete merge, and a merge after one file changed.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]
#![allow(missing_docs)]

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant};

use cottonnotch_routing_rules::{History, Inventory, Merger, RuleFile, merge};
use criterion::{Criterion, criterion_group, criterion_main};

const OWNERS: usize = 60;
/// The numbers of owners for which the growth of the merge is measured.
const OWNER_COUNTS: [usize; 4] = [6, 20, 60, 180];
/// Connections per owner. No quota exceeds them.
const CONNECTIONS_PER_OWNER: u64 = 1_700;
const TEAMS_PER_OWNER: usize = 4;
const RULES_PER_NAMESPACE: usize = 33;
const TENANTS_PER_OWNER: usize = 8;
const HALLS: [&str; 6] = ["north", "south", "east", "west", "annex", "cellar"];
const HARDWARE: [&str; 4] = ["small", "medium", "large", "vast"];

fn tenant(owner: usize, at: usize) -> String {
    format!("tenant-{owner}-{at}")
}

fn inventory(owners: usize, connections: u64) -> Inventory {
    let tenants: Vec<String> =
        (0..owners).flat_map(|owner| (0..TENANTS_PER_OWNER).map(move |at| tenant(owner, at))).collect();
    let tenants: Vec<&str> = tenants.iter().map(String::as_str).collect();
    Inventory::of(
        "consortium",
        &tenants,
        &["live", "batch", "proof", "print"],
        &HALLS,
        &HARDWARE,
        connections,
    )
}

fn write_rules(text: &mut String, seed: usize, revision: usize, tenants: &[String]) {
    for at in 0..RULES_PER_NAMESPACE {
        let of = &tenants[at % tenants.len()];
        let hall = HALLS[(seed + at) % 5];
        let kind = match at % 6 {
            0 => format!("priority = {at}\nplace.prefer = {{ halls = [\"{hall}\"] }}"),
            1 => format!("cap = {{ connections = {} }}", 10 + at),
            2 => "place.avoid = { halls = [\"cellar\"], hardware = [\"small\"] }".to_owned(),
            3 => "place.require = { hardware = [\"large\", \"vast\", \"medium\"] }".to_owned(),
            4 => format!("attempts = {{ most = {} }}", 2 + revision),
            _ => format!("pace = {{ per_s = {at}.5 }}"),
        };
        let first = at * 0x100;
        writeln!(
            text,
            "[[rule]]\nname = \"rule-{at}\"\ntenants = [\"{of}\"]\nclasses = [\"live\", \"batch\"]\n\
             groups = [\"{first:#x}-{:#x}\"]\n{kind}\n",
            first + 0xff
        )
        .expect("writing to a String cannot fail");
    }
}

fn file_header(path: &str, revision: usize) -> String {
    format!("namespace = \"{path}\"\nowner = \"operators\"\nrevision = {revision}\n\n")
}

fn team_file(owner: usize, team: usize, revision: usize) -> RuleFile {
    let path = format!("consortium/house-{owner}/team-{team}");
    let mut text = file_header(&path, revision);
    let tenants = [tenant(owner, team * 2), tenant(owner, team * 2 + 1)];
    write_rules(&mut text, owner + team, revision, &tenants);
    RuleFile::new(format!("{path}.toml"), text)
}

/// The files of the consortium and of the namespaces below it. Each owner has four teams: 60 owners make 300 namespaces.
fn files(owners: usize) -> Vec<RuleFile> {
    let mut root = file_header("consortium", 1);
    let mut files = Vec::new();
    for owner in 0..owners {
        let all: Vec<String> = (0..TENANTS_PER_OWNER).map(|at| tenant(owner, at)).collect();
        writeln!(
            root,
            "[[delegate]]\nto = \"house-{owner}\"\ntenants = {all:?}\nhalls = {HALLS:?}\nconnections = 1600\n"
        )
        .expect("writing to a String cannot fail");
        let path = format!("consortium/house-{owner}");
        let mut text = file_header(&path, 1);
        for team in 0..TEAMS_PER_OWNER {
            writeln!(
                text,
                "[[delegate]]\nto = \"team-{team}\"\ntenants = {:?}\nconnections = 400\n",
                &all[team * 2..team * 2 + 2]
            )
            .expect("writing to a String cannot fail");
        }
        write_rules(&mut text, owner, 1, &all);
        files.push(RuleFile::new(format!("{path}.toml"), text));
        files.extend((0..TEAMS_PER_OWNER).map(|at| team_file(owner, at, 1)));
    }
    writeln!(root, "[[rule]]\nname = \"no-cellar\"\nplace.avoid = {{ halls = [\"cellar\"] }}\n")
        .expect("writing to a String cannot fail");
    write_rules(&mut root, 0, 1, &(0..owners).map(|owner| tenant(owner, 0)).collect::<Vec<_>>());
    files.push(RuleFile::new("consortium.toml", root));
    files
}

/// The minimum, median and mean durations. They differ widely on a busy machine; the minimum is closest to the cost of the work
/// itself.
fn min_median_mean(times: u32, mut run: impl FnMut() -> Duration) -> [Duration; 3] {
    let mut all: Vec<Duration> = (0..times).map(|_| run()).collect();
    all.sort_unstable();
    [all[0], all[all.len() / 2], all.iter().sum::<Duration>() / times]
}

/// Prints the duration of a merge and the encoded sizes of its results for a number of owners. `docs/CAPACITY.md` quotes the
/// lines. The history (`ledger_bytes`) and the book make up nearly all of the content that proxies send one another.
fn print_merge_cost(owners: usize, connections: u64, times: u32) {
    let (files, inventory) = (files(owners), inventory(owners, connections));
    let merged = merge(&History::default(), &files, &inventory);
    let [least, median, _] = min_median_mean(times, || {
        let start = Instant::now();
        black_box(merge(&History::default(), &files, &inventory));
        start.elapsed()
    });
    let text: usize = files.iter().map(|file| file.text.len()).sum();
    let ledger = postcard::to_allocvec(&merged.history).expect("a history can be encoded").len();
    let book = postcard::to_allocvec(&merged.book).expect("a book can be encoded").len();
    println!(
        r#"{{"what":"merge","namespaces":{},"rules":{},"conflicts":{},"text_bytes":{text},"ledger_bytes":{ledger},"book_bytes":{book},"least_ms":{:.2},"median_ms":{:.2}}}"#,
        merged.book.namespaces.len(),
        merged.book.rules.len(),
        merged.conflicts.len(),
        least.as_secs_f64() * 1e3,
        median.as_secs_f64() * 1e3
    );
}

fn bench(criterion: &mut Criterion) {
    OWNER_COUNTS
        .into_iter()
        .for_each(|owners| print_merge_cost(owners, CONNECTIONS_PER_OWNER * owners as u64, 5));
    // The quotas of the owners exceed the connections of the fleet, so the merge holds back one owner after another until they
    // fit.
    print_merge_cost(180, 100_000, 1);
    let (files, inventory) = (files(OWNERS), inventory(OWNERS, CONNECTIONS_PER_OWNER * OWNERS as u64));
    let first = merge(&History::default(), &files, &inventory);
    assert!(first.conflicts.is_empty(), "{:?}", first.conflicts.first());
    let (namespaces, rules) = (first.book.namespaces.len(), first.book.rules.len());
    let bytes: usize = files.iter().map(|file| file.text.len()).sum();
    println!("{namespaces} namespaces, {rules} rules, {bytes} bytes");
    criterion.bench_function("whole", |bench| {
        bench.iter(|| black_box(merge(&History::default(), &files, &inventory)));
    });
    // One team's file gets a new revision before each merge, so that each merge finds one changed file compared to its cache.
    let mut changed = files.clone();
    let mut merger = Merger::default();
    let mut history = merger.merge(&History::default(), &files, &inventory).history;
    let mut revision = 1;
    let mut merge_one_changed_file = || {
        revision += 1;
        changed[3] = team_file(0, 2, revision);
        let start = Instant::now();
        let merged = merger.merge(&history, &changed, &inventory);
        let took = start.elapsed();
        assert!(merged.conflicts.is_empty(), "{:?}", merged.conflicts.first());
        history = merged.history;
        took
    };
    criterion.bench_function("one changed file", |bench| {
        bench.iter_custom(|times| (0..times).map(|_| merge_one_changed_file()).sum());
    });
    let full = min_median_mean(25, || {
        let start = Instant::now();
        black_box(merge(&History::default(), &files, &inventory));
        start.elapsed()
    });
    let changed = min_median_mean(100, merge_one_changed_file);
    for ((name, full), changed) in ["least", "median", "mean"].iter().zip(full).zip(changed) {
        let ratio = full.as_secs_f64() / changed.as_secs_f64();
        println!("{name}: whole {full:?}, one changed file {changed:?}: 1/{ratio:.1} of the whole");
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(4));
    targets = bench
}
criterion_main!(benches);
