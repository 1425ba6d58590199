//! Tests that the example rules merge without a conflict and have the effects that their comments describe.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use std::path::Path;

use cottonnotch_routing_rules::{
    History, Inventory, MoveCondition, Node, Request, RuleFile, State, UncertaintyPolicy, effective, merge,
};

fn files() -> Vec<RuleFile> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/rules");
    let names = ["consortium", "consortium/edicoes-a", "consortium/edicoes-a/opera", "consortium/verlag-b"];
    let names = names.into_iter().chain(["consortium/casa-c"]);
    let file = |name: &str| {
        let path = format!("{name}.toml");
        let text = std::fs::read(dir.join(&path)).expect("the example file can be read");
        RuleFile::new(format!("examples/rules/{path}"), text)
    };
    names.map(file).collect()
}

fn inventory() -> Inventory {
    Inventory::of(
        "consortium",
        &["edicoes-a", "edicoes-a-opera", "verlag-b", "archive"],
        &["print", "proof"],
        &["north", "south", "east"],
        &["small", "large", "vast"],
        8_000,
    )
}

#[test]
fn three_rivals_and_a_consortium_merge_with_no_conflict() {
    let merged = merge(&History::default(), &files(), &inventory());
    assert_eq!(merged.conflicts, []);
    assert_eq!(merged.book.namespaces.len(), 5);
    assert!(merged.history.namespaces.values().all(|entry| entry.state == State::Good));
    let evaluate = |tenant, class, group, hall, hardware| {
        effective(&merged.book, &Request { tenant, class, group }, &Node { hall, hardware })
    };
    // Print requests of Verlag B go only to large nodes in the east. No print request goes to a small node.
    assert!(evaluate(Some("verlag-b"), "print", None, "east", "large").allowed);
    assert!(!evaluate(Some("verlag-b"), "print", None, "north", "large").allowed);
    assert!(!evaluate(None, "print", None, "north", "small").allowed);
    // Edições A and its team avoid the east. The team's preference for the south applies to the team's own tenant.
    assert!(!evaluate(Some("edicoes-a-opera"), "proof", None, "east", "large").allowed);
    let opera = evaluate(Some("edicoes-a-opera"), "proof", Some(0x123), "south", "large");
    assert_eq!(opera.preferences, [("consortium/edicoes-a/opera:opera-in-the-south".to_owned(), true)]);
    assert_eq!((opera.spread, opera.move_when), (Some(3), Some(MoveCondition::DrainsOnly)));
    assert_eq!(opera.uncertainty_policy, Some(UncertaintyPolicy::Refuse { retry_ms: 2_000 }));
    // The lowest limit on attempts applies.
    assert_eq!(evaluate(Some("verlag-b"), "proof", None, "east", "large").attempts, Some(2));
    assert_eq!(evaluate(Some("edicoes-a"), "proof", None, "north", "large").attempts, Some(4));
    // Each delegated quota is a separate cap.
    let caps = evaluate(Some("edicoes-a-opera"), "proof", None, "south", "large").caps;
    assert_eq!(caps.iter().map(|(_, connections)| *connections).max(), Some(4_000));
    assert_eq!(caps.len(), 3);
    // Casa C owns only the old groups of the archive.
    assert_eq!(evaluate(Some("archive"), "print", Some(0x4001), "north", "vast").paces.len(), 1);
    assert_eq!(evaluate(Some("archive"), "print", Some(0x5001), "north", "vast").paces.len(), 0);
    assert!(!evaluate(Some("archive"), "print", Some(0x8000), "north", "large").allowed);
}
