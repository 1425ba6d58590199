//! Tests of each kind of conflict: which namespace is held back, what the conflict reports, and what stays in force.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::{file, inventory};
use cottonnotch_routing_rules::{Conflict, History, Merged, Merger, RuleFile, State, check, merge};

const ROOT: &str = r#"
[[delegate]]
to = "a"
tenants = ["t0"]
connections = 50
[[delegate]]
to = "b"
tenants = ["t1"]
halls = ["h0"]
connections = 50
"#;

fn merge_fresh(files: &[RuleFile]) -> Merged {
    merge(&History::default(), files, &inventory())
}

fn root() -> RuleFile {
    file("r", 1, ROOT)
}

fn in_force(merged: &Merged) -> Vec<(&str, u64)> {
    merged.book.namespaces.iter().map(|owner| (owner.path.as_str(), owner.revision)).collect()
}

fn single_conflict(merged: &Merged) -> &Conflict {
    assert_eq!(merged.conflicts.len(), 1, "{:#?}", merged.conflicts);
    &merged.conflicts[0]
}

fn state<'a>(merged: &'a Merged, path: &str) -> &'a State {
    &merged.history.namespaces[path].state
}

#[test]
fn a_rule_on_what_its_namespace_does_not_own() {
    let body = "[[rule]]\nname = \"greedy\"\ntenants = [\"t0\", \"t1\"]\nattempts.most = 2\n";
    let merged = merge_fresh(&[root(), file("r/a", 1, body), file("r/b", 1, "")]);
    let Conflict::OutOfScope { one, other, what, witness } = single_conflict(&merged) else {
        panic!("{:?}", merged.conflicts)
    };
    assert_eq!((one.namespace.as_str(), one.file.as_str(), one.line), ("r/a", "rules/r/a.toml", 4));
    assert_eq!((other.namespace.as_str(), other.file.as_str(), other.line), ("r", "rules/r.toml", 5));
    assert_eq!((what.as_str(), witness.tenant.as_deref()), ("tenant t1", Some("t1")));
    assert_eq!(in_force(&merged), [("r", 1), ("r/b", 1)]);
    assert!(matches!(state(&merged, "r/a"), State::HeldBack { by: Some(by), .. } if by == "r"));
}

#[test]
fn a_rule_for_nodes_that_its_namespace_may_not_use() {
    let body = "[[rule]]\nname = \"away\"\nplace.prefer.halls = [\"h1\"]\n";
    let merged = merge_fresh(&[root(), file("r/b", 1, body)]);
    let Conflict::OutOfScope { what, witness, .. } = single_conflict(&merged) else {
        panic!("{:?}", merged.conflicts)
    };
    assert_eq!((what.as_str(), witness.node().map(|node| node.hall)), ("hall h1", Some("h1")));
}

#[test]
fn finds_siblings_with_one_subject() {
    let body = "[[delegate]]\nto = \"a\"\ntenants = [\"t0\", \"t1\"]\n[[delegate]]\nto = \"b\"\ntenants = [\"t1\"]\n";
    let merged = merge_fresh(&[file("r", 1, body), file("r/a", 1, ""), file("r/b", 1, "")]);
    let Conflict::OverlappingScopes { one, other, witness, .. } = single_conflict(&merged) else {
        panic!("{:?}", merged.conflicts)
    };
    assert_eq!((one.namespace.as_str(), one.line), ("r/a", 4));
    assert_eq!((other.namespace.as_str(), other.line), ("r/b", 7));
    assert_eq!(witness.tenant.as_deref(), Some("t1"));
    // Both are first seen in the same merge, so the one with the greater path counts as newer.
    assert_eq!(in_force(&merged), [("r", 1), ("r/a", 1)]);
}

#[test]
fn accepts_siblings_apart_by_group_or_class() {
    let body = "[[delegate]]\nto = \"a\"\ntenants = [\"t0\"]\ngroups = [\"0x10-0x1f\"]\n\
                [[delegate]]\nto = \"b\"\ntenants = [\"t0\"]\ngroups = [[32, 47], \"ff\"]\n";
    assert_eq!(merge_fresh(&[file("r", 1, body)]).conflicts, []);
}

#[test]
fn holds_back_a_parent_that_delegates_a_subject_twice() {
    let first = merge_fresh(&[root(), file("r/a", 1, ""), file("r/b", 1, "")]);
    assert_eq!(first.conflicts, []);
    let body = ROOT.replace("[\"t1\"]", "[\"t0\", \"t1\"]");
    let files = [file("r", 2, &body), file("r/a", 1, ""), file("r/b", 2, "")];
    let merged = merge(&first.history, &files, &inventory());
    assert!(matches!(single_conflict(&merged), Conflict::OverlappingScopes { .. }));
    assert_eq!(in_force(&merged), [("r", 1), ("r/a", 1), ("r/b", 2)]);
    assert!(matches!(state(&merged, "r"), State::HeldBack { since: 2, .. }));
}

#[test]
fn finds_requirements_that_leave_no_node() {
    let parent =
        format!("{ROOT}[[rule]]\nname = \"north\"\nclasses = [\"c0\"]\nplace.require.halls = [\"h0\"]\n");
    let child = "[[rule]]\nname = \"south\"\nplace.require.halls = [\"h1\"]\n";
    let merged = merge_fresh(&[file("r", 1, &parent), file("r/a", 1, child), file("r/b", 1, "")]);
    let Conflict::NoNode { one, other, requirements, witness } = single_conflict(&merged) else {
        panic!("{:?}", merged.conflicts)
    };
    assert_eq!((one.namespace.as_str(), one.name.as_str(), one.line), ("r/a", "south", 4));
    assert_eq!((other.namespace.as_str(), other.name.as_str()), ("r", "north"));
    assert_eq!(
        (requirements.len(), witness.tenant.as_deref(), witness.class.as_str()),
        (2, Some("t0"), "c0")
    );
    assert_eq!(in_force(&merged), [("r", 1), ("r/b", 1)]);
}

#[test]
fn finds_three_requirements_that_leave_no_node() {
    let parent = format!("{ROOT}[[rule]]\nname = \"north\"\nplace.require.halls = [\"h0\"]\n");
    let child = "[[rule]]\nname = \"one\"\nplace.avoid = { halls = [\"h0\"], hardware = [\"w0\"] }\n\
                 [[rule]]\nname = \"other\"\nplace.avoid = { halls = [\"h0\"], hardware = [\"w1\"] }\n";
    let merged = merge_fresh(&[file("r", 1, &parent), file("r/a", 1, child)]);
    let Conflict::NoNode { requirements, .. } = single_conflict(&merged) else {
        panic!("{:?}", merged.conflicts)
    };
    assert_eq!(requirements.len(), 3);
}

#[test]
fn finds_overcommitted_quotas() {
    let body = ROOT.replace("connections = 50", "connections = 51");
    let merged = merge_fresh(&[file("r", 1, &body), file("r/a", 1, ""), file("r/b", 1, "")]);
    let Conflict::OverCommitted { promised: 102, total: 100, quotas, .. } = single_conflict(&merged) else {
        panic!("{:?}", merged.conflicts)
    };
    assert_eq!(quotas.len(), 2);
    assert_eq!(in_force(&merged), [("r", 1), ("r/a", 1)]);
}

#[test]
fn finds_a_cap_beyond_the_quota() {
    let merged = merge_fresh(&[root(), file("r/a", 1, "[[rule]]\nname = \"much\"\ncap.connections = 51\n")]);
    assert!(matches!(single_conflict(&merged), Conflict::OverCommitted { promised: 51, total: 50, .. }));
    assert_eq!(in_force(&merged), [("r", 1)]);
}

#[test]
fn finds_an_ineffective_preference() {
    let parent = format!("{ROOT}[[rule]]\nname = \"not-south\"\nplace.avoid.halls = [\"h1\"]\n");
    let child = "[[rule]]\nname = \"south\"\nplace.prefer.halls = [\"h1\"]\n";
    let merged = merge_fresh(&[file("r", 1, &parent), file("r/a", 1, child)]);
    let Conflict::IneffectivePreference { one, other, witness } = single_conflict(&merged) else {
        panic!("{:?}", merged.conflicts)
    };
    assert_eq!((one.name.as_str(), other.name.as_str()), ("south", "not-south"));
    assert_eq!(witness.node().map(|node| node.hall), Some("h1"));
    assert_eq!(in_force(&merged), [("r", 1)]);
}

#[test]
fn accepts_a_second_choice_but_not_the_opposite_of_a_preference_above() {
    let child = |preference: &str| format!("[[rule]]\nname = \"w\"\n{preference}\n");
    let parent = format!("{ROOT}[[rule]]\nname = \"w\"\nplace.prefer.halls = [\"h0\"]\n");
    let files = |preference: &str| [file("r", 1, &parent), file("r/a", 1, &child(preference))];
    assert_eq!(merge_fresh(&files("place.prefer.hardware = [\"w0\"]")).conflicts, []);
    assert_eq!(merge_fresh(&files("place.prefer.halls = [\"h0\"]")).conflicts, []);
    let merged = merge_fresh(&files("place.prefer.halls = [\"h1\"]"));
    assert!(
        matches!(single_conflict(&merged), Conflict::IneffectivePreference { other, .. } if other.namespace == "r")
    );
}

#[test]
fn finds_a_preference_that_child_requirements_defeat() {
    let parent = format!("{ROOT}[[rule]]\nname = \"w\"\ntenants = [\"t0\"]\nplace.prefer.halls = [\"h0\"]\n");
    let child = "[[rule]]\nname = \"m\"\nplace.require.halls = [\"h1\"]\n";
    let merged = merge_fresh(&[file("r", 1, &parent), file("r/a", 1, child)]);
    assert!(
        matches!(single_conflict(&merged), Conflict::IneffectivePreference { one, .. } if one.namespace == "r")
    );
    assert_eq!(in_force(&merged), [("r", 1)]);
}

#[test]
fn a_delegation_in_a_circle() {
    let merged = merge_fresh(&[root(), file("r/a", 1, "[[delegate]]\nto = \"r\"\n"), file("r/b", 1, "")]);
    let Conflict::DelegationCycle { one, other, .. } = single_conflict(&merged) else {
        panic!("{:?}", merged.conflicts)
    };
    assert_eq!((one.namespace.as_str(), other.namespace.as_str()), ("r/a", "r"));
    assert_eq!(in_force(&merged), [("r", 1), ("r/b", 1)]);
    let itself = merge_fresh(&[root(), file("r/a", 1, "[[delegate]]\nto = \"r/a\"\n")]);
    assert!(matches!(single_conflict(&itself), Conflict::DelegationCycle { .. }));
    let across = [
        root(),
        file("r/a", 1, "[[delegate]]\nto = \"r/b\"\n"),
        file("r/b", 1, "[[delegate]]\nto = \"r/a\"\n"),
    ];
    let conflicts = check(&History::default(), &across, &inventory());
    assert_eq!(
        conflicts.iter().filter(|c| matches!(c, Conflict::DelegationCycle { .. })).count(),
        2,
        "{conflicts:?}"
    );
}

#[test]
fn holds_back_the_delegator_to_a_stranger() {
    let merged = merge_fresh(&[root(), file("r/a", 1, "[[delegate]]\nto = \"r/b\"\n"), file("r/b", 1, "")]);
    assert!(matches!(single_conflict(&merged), Conflict::NotAChild { .. }));
    assert_eq!(in_force(&merged), [("r", 1), ("r/b", 1)]);
}

#[test]
fn orphans() {
    let stranger = merge_fresh(&[root(), file("r/c", 1, "")]);
    let Conflict::Orphan { one, other, .. } = single_conflict(&stranger) else {
        panic!("{:?}", stranger.conflicts)
    };
    assert_eq!((one.file.as_str(), other.file.as_str()), ("rules/r/c.toml", "rules/r.toml"));
    let alone = merge_fresh(&[file("r/a", 1, "")]);
    assert!(matches!(single_conflict(&alone), Conflict::Orphan { .. }));
    let other_root = merge_fresh(&[root(), file("s", 1, "")]);
    assert!(matches!(single_conflict(&other_root), Conflict::Orphan { .. }));
    assert_eq!(in_force(&other_root), [("r", 1)]);
}

#[test]
fn a_parent_can_take_a_delegation_back() {
    let first = merge_fresh(&[root(), file("r/a", 1, ""), file("r/b", 1, "")]);
    let without = "[[delegate]]\nto = \"b\"\ntenants = [\"t1\"]\n";
    let merged =
        merge(&first.history, &[file("r", 2, without), file("r/a", 1, ""), file("r/b", 1, "")], &inventory());
    assert_eq!(in_force(&merged), [("r", 2), ("r/b", 1)]);
}

#[test]
fn two_contents_under_one_revision() {
    let (one, mut other) =
        (file("r/a", 1, ""), file("r/a", 1, "[[rule]]\nname = \"m\"\nattempts.most = 2\n"));
    let first = merge_fresh(&[root(), one.clone()]);
    let merged = merge(&first.history, &[root(), other.clone()], &inventory());
    assert!(matches!(single_conflict(&merged), Conflict::DuplicateRevision { revision: 1, .. }));
    assert_eq!(merged.book, first.book);
    other.path_on_disk = "rules/copy.toml".to_owned();
    for files in [[root(), one.clone(), other.clone()], [other.clone(), one.clone(), root()]] {
        let merged = merge_fresh(&files);
        assert!(matches!(single_conflict(&merged), Conflict::DuplicateRevision { .. }));
        assert_eq!(in_force(&merged), [("r", 1)]);
    }
    // Two files with the same content do not conflict.
    let copy = RuleFile::new("rules/copy.toml", one.text.clone());
    assert_eq!(merge_fresh(&[root(), one, copy]).conflicts, []);
}

#[test]
fn rejects_an_older_revision_after_removal() {
    let first = merge_fresh(&[root(), file("r/a", 3, "")]);
    for history in [&first.history, &merge(&first.history, &[root()], &inventory()).history] {
        let merged = merge(history, &[root(), file("r/a", 2, "")], &inventory());
        assert!(matches!(single_conflict(&merged), Conflict::OldRevision { stated: 2, last: 3, .. }));
        assert!(single_conflict(&merged).to_string().contains("give the old text a new revision"));
        assert_eq!(in_force(&merged), [("r", 1), ("r/a", 3)]);
    }
}

#[test]
fn readmits_what_conflicted_only_with_held_back_content() {
    // The new content of `b` conflicts with a requirement of the root. `x` conflicts only with that content of `b`.
    let parent =
        format!("{ROOT}[[rule]]\nname = \"north\"\ntenants = [\"t1\"]\nplace.require.hardware = [\"w0\"]\n");
    let owner_body = "[[delegate]]\nto = \"x\"\n[[rule]]\nname = \"no\"\nplace.require.hardware = [\"w1\"]\n";
    let good = merge_fresh(&[file("r", 1, &parent), file("r/b", 1, "[[delegate]]\nto = \"x\"\n")]);
    let team_body = "[[rule]]\nname = \"w\"\nplace.prefer.hardware = [\"w0\"]\n";
    let files = [file("r", 1, &parent), file("r/b", 2, owner_body), file("r/b/x", 1, team_body)];
    let merged = merge(&good.history, &files, &inventory());
    assert_eq!(in_force(&merged), [("r", 1), ("r/b", 1), ("r/b/x", 1)], "{:?}", merged.conflicts);
}

#[test]
fn a_frozen_child_stays_and_a_thawed_one_catches_up() {
    let first = merge_fresh(&[root(), file("r/a", 1, "")]);
    let frozen = file("r", 2, &ROOT.replacen("to = \"a\"", "to = \"a\"\nfrozen = true", 1));
    let merged = merge(&first.history, &[frozen.clone(), file("r/a", 2, "")], &inventory());
    assert_eq!(in_force(&merged), [("r", 2), ("r/a", 1)]);
    assert!(matches!(state(&merged, "r/a"), State::Frozen { since: 2, by } if by == "r"));
    let gone = merge(&merged.history, &[frozen], &inventory());
    assert_eq!(in_force(&gone), [("r", 2), ("r/a", 1)]);
    let thawed = merge(&gone.history, &[file("r", 3, ROOT), file("r/a", 2, "")], &inventory());
    assert_eq!(in_force(&thawed), [("r", 3), ("r/a", 2)]);
    assert_eq!(*state(&thawed, "r/a"), State::Good);
}

#[test]
fn a_namespace_handed_over_counts_no_more_and_its_heir_has_what_it_had() {
    let first = merge_fresh(&[root(), file("r/a", 1, ""), file("r/b", 1, "")]);
    let body = "[[delegate]]\nto = \"a\"\nhanded_to = \"b\"\ntenants = [\"t0\"]\n\
                [[delegate]]\nto = \"b\"\ntenants = [\"t0\", \"t1\"]\n";
    let files = [file("r", 2, body), file("r/a", 2, ""), file("r/b", 1, "")];
    let merged = merge(&first.history, &files, &inventory());
    assert_eq!(merged.conflicts, []);
    assert_eq!(in_force(&merged), [("r", 2), ("r/b", 1)]);
    assert!(matches!(state(&merged, "r/a"), State::HandedOver { to, .. } if to == "r/b"));
}

#[test]
fn held_back_content_does_not_hold_back_later_content() {
    let parent =
        format!("{ROOT}[[rule]]\nname = \"w0\"\ntenants = [\"t0\"]\nplace.require.hardware = [\"w0\"]\n");
    let bad = file("r/a", 2, "[[rule]]\nname = \"w1\"\nplace.require.hardware = [\"w1\"]\n");
    let first = merge_fresh(&[file("r", 1, &parent), file("r/a", 1, "")]);
    let held = merge(&first.history, &[file("r", 1, &parent), bad.clone()], &inventory());
    assert_eq!(in_force(&held), [("r", 1), ("r/a", 1)]);
    let next = merge(&held.history, &[file("r", 2, &parent), bad.clone()], &inventory());
    assert_eq!(in_force(&next), [("r", 2), ("r/a", 1)]);
    // Once the conflicting requirement is gone, the held-back content comes into force without a new revision.
    let freed = merge(&next.history, &[file("r", 3, ROOT), bad], &inventory());
    assert_eq!(in_force(&freed), [("r", 3), ("r/a", 2)]);
}

#[test]
fn a_merger_that_remembers_gives_what_a_fresh_one_gives() {
    let mut merger = Merger::default();
    let mut history = History::default();
    let preference = "[[rule]]\nname = \"w\"\nplace.prefer.halls = [\"h1\"]\n";
    let requirement = "[[rule]]\nname = \"m\"\nplace.require.halls = [\"h0\"]\n";
    let steps: [&[RuleFile]; 6] = [
        &[root(), file("r/a", 1, preference)],
        &[root(), file("r/a", 1, preference)],
        &[file("r", 2, &format!("{ROOT}{requirement}")), file("r/a", 1, preference)],
        &[file("r", 2, &format!("{ROOT}{requirement}")), file("r/a", 2, ""), file("r/b", 1, "")],
        &[file("r", 2, &format!("{ROOT}{requirement}")), file("r/b", 1, "nonsense"), file("r/a", 2, "")],
        &[file("r", 3, ""), file("r/a", 3, preference)],
    ];
    for files in steps {
        let merged = merger.merge(&history, files, &inventory());
        assert_eq!(merged, merge(&history, files, &inventory()));
        history = merged.history;
    }
}
