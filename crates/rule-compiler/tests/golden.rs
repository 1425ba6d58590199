//! Checks that the book and the plan of the example rules keep the bytes of earlier builds, because proxies vote on their
//! hashes.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_golden::{assert_bytes, assert_text, golden_path};
use cottonnotch_routing_rules::{Book, History, Inventory, Merged, RuleFile, merge};
use cottonnotch_rule_compiler::{Budgets, Features, Plan, Profile, Profiles, compile};
use std::path::Path;

const FILES: [&str; 5] = [
    "consortium.toml",
    "consortium/casa-c.toml",
    "consortium/edicoes-a.toml",
    "consortium/edicoes-a/opera.toml",
    "consortium/verlag-b.toml",
];

/// Rules of the kinds that the example files lack, and one that conflicts with a rule of its parent namespace.
const MORE: &str = r#"
namespace = "consortium/verlag-b/archive"
owner = "archive@verlag-b.example"
revision = 1
rules = 4
on_doubt = "refuse"
retry_ms = 250

[[rule]]
name = "not-in-the-east"
place.avoid.halls = ["east"]

[[rule]]
name = "last"
must = false
move = "last"

[[rule]]
name = "one-attempt"
attempts.most = 1

[[rule]]
name = "few-nodes"
groups = [7, "0x10-0x1f"]
spread = { nodes = 2 }
"#;

/// Delegates to the namespace of [`MORE`].
const DELEGATION: &str = r#"
[[delegate]]
to = "archive"
tenants = ["verlag-b"]
"#;

fn files() -> Vec<RuleFile> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/rules");
    let read = |name: &str| {
        let mut text = std::fs::read_to_string(folder.join(name)).unwrap();
        if name.ends_with("verlag-b.toml") {
            text.push_str(DELEGATION);
        }
        RuleFile::new(name, text)
    };
    FILES.into_iter().map(read).chain([RuleFile::new("more.toml", MORE)]).collect()
}

fn world() -> Inventory {
    Inventory::of(
        "consortium",
        &["edicoes-a", "edicoes-a-opera", "verlag-b", "archive"],
        &["print", "proof"],
        &["north", "south", "east"],
        &["small", "large", "vast"],
        10_000,
    )
}

fn profiles() -> Profiles {
    let some = Profile {
        features: Features { reports_loads: true, drained_by_pieces: true, ..Features::default() },
        budgets: Budgets { rules: 4, selectors: 6, bytes: 700 },
    };
    [("small", Profile::least()), ("large", some), ("vast", Profile::full())]
        .map(|(name, profile)| (name.to_owned(), profile))
        .into()
}

#[test]
fn book_and_plan_keep_their_bytes() {
    let Merged { book, history, conflicts } = merge(&History::default(), &files(), &world());
    let compiled = compile(&book, &profiles());
    let encode = |value: postcard::Result<Vec<u8>>| value.unwrap();
    let made = [
        ("world", encode(postcard::to_allocvec(&world()))),
        ("ledger", encode(postcard::to_allocvec(&history))),
        ("book", encode(postcard::to_allocvec(&book))),
        ("profiles", encode(postcard::to_allocvec(&profiles()))),
        ("plan", compiled.plan.to_bytes()),
        ("plan_hash", compiled.plan.hash().to_vec()),
    ];
    let golden = assert_bytes(&golden_path!("book_and_plan.txt"), &made);
    assert_eq!(postcard::from_bytes::<Inventory>(&golden[0]).unwrap(), world());
    assert_eq!(postcard::from_bytes::<History>(&golden[1]).unwrap(), history);
    assert_eq!(postcard::from_bytes::<Book>(&golden[2]).unwrap(), book);
    assert_eq!(postcard::from_bytes::<Profiles>(&golden[3]).unwrap(), profiles());
    let plan = Plan::from_bytes(&golden[4]).unwrap();
    assert_eq!((plan.to_bytes(), plan.hash().to_vec()), (golden[4].clone(), golden[5].clone()));
    let table: String = compiled.table.iter().map(|row| format!("{row}\n")).collect();
    let conflicts: String = conflicts.iter().map(|conflict| format!("{conflict}\n")).collect();
    assert_text(&golden_path!("table.txt"), &(table + &conflicts));
}
