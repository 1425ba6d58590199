//! Tests of invalid files: the error names the file, line and key, and no other namespace changes.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::{any_universe, file, files, inventory};
use cottonnotch_routing_rules::{
    Conflict, History, MAX_FILE_BYTES, RuleFile, RuleKind, State, Strength, UncertaintyPolicy, merge, read,
};
use proptest::prelude::*;

fn error(body: &str) -> (u32, String, String) {
    let error = read(&file("r/a", 1, body)).expect_err(body);
    assert_eq!(error.file, "rules/r/a.toml");
    (error.line, error.key, error.why)
}

#[test]
fn a_file_reads() {
    let body = "on_doubt = \"refuse\"\nretry_ms = 250\nrules = 2\n\n\
                [[delegate]]\nto = \"x\"\ngroups = [\"0x10-0x1f\", [32, 33], 7, \"ffffffffffffffff\"]\n\n\
                [[rule]]\nname = \"one\"\npace.per_s = 2.5\n\n[[rule]]\nname = \"two\"\nmove = \"drains-only\"\nstrength = \"wish\"\n";
    let content = read(&file("r/a", 9, body)).expect("the file is valid");
    assert_eq!(
        (content.revision, content.uncertainty_policy),
        (9, UncertaintyPolicy::Refuse { retry_ms: 250 })
    );
    assert_eq!((content.delegates[0].to.as_str(), content.delegates[0].line), ("r/a/x", 8));
    let groups: Vec<(u64, u64)> = content.delegates[0].groups.iter().map(|g| (g.first, g.last)).collect();
    assert_eq!(groups, [(7, 7), (0x10, 0x21), (u64::MAX, u64::MAX)]);
    assert_eq!(content.rules[0].kind, RuleKind::Pace { per_s_milli: 2_500 });
    assert_eq!((content.rules[0].line, content.rules[1].line), (12, 16));
    assert_eq!(content.rules[1].strength, Strength::Preference);
}

#[test]
fn errors_name_line_and_key() {
    assert_eq!(error("on_dubt = \"keep\"\n").0, 4);
    assert_eq!(error("on_dubt = \"keep\"\n").1, "on_dubt");
    assert!(error("[[rule]]\nname = \"m\"\natempts.most = 2\n").2.contains("unknown field"));
    assert_eq!(error("[[rule]]\nname = \"m\"\natempts.most = 2\n").0, 6);
    assert_eq!(error("[[rule]]\nname = \"m\"\nattempts.most = \"two\"\n").0, 6);
    assert_eq!(error("\n[[rule]]\nname = \"m\"\n").0, 5);
    assert_eq!(error("rules = 2\n[[rule]]\nname = \"m\"\nattempts.most = 2\n").1, "rules");
    assert_eq!(error("retry_ms = 5\n").1, "retry_ms");
    for (body, key) in [
        ("attempts.most = 0", "attempts"),
        ("spread.nodes = 0", "spread"),
        ("pace.per_s = -1.0", "pace"),
        ("pace.per_s = inf", "pace"),
        ("cap.connections = 0", "cap"),
        ("place.require.halls = []", "place"),
        ("must = true\nplace.prefer.halls = [\"h0\"]", "place"),
        ("must = false\nplace.require.halls = [\"h0\"]", "place"),
        ("must = false\nattempts.most = 2", "must"),
        ("must = true\nstrength = \"must\"\nattempts.most = 2", "strength"),
        ("attempts.most = 2\nspread.nodes = 2", "rule"),
        ("groups = [\"20-10\"]\nattempts.most = 2", "groups"),
        ("groups = [\"0x1ffffffffffffffff\"]\nattempts.most = 2", "groups"),
        ("tenants = [\"\"]\nattempts.most = 2", "tenants"),
    ] {
        assert_eq!(error(&format!("[[rule]]\nname = \"m\"\n{body}\n")).1, key, "{body}");
    }
    let twice = "[[rule]]\nname = \"m\"\nattempts.most = 2\n[[rule]]\nname = \"m\"\nattempts.most = 3\n";
    assert_eq!((error(twice).0, error(twice).1.as_str()), (7, "name"));
    assert_eq!(error("[[delegate]]\nto = \"x\"\n[[delegate]]\nto = \"x\"\n").0, 6);
    assert_eq!(error("[[delegate]]\nto = \"x\"\nhanded_to = \"y\"\n").1, "handed_to");
    assert_eq!(error("[[delegate]]\nto = \"X y\"\n").1, "to");
}

#[test]
fn too_large_cut_short_or_no_text_at_all() {
    let large = RuleFile::new("f", vec![b'#'; MAX_FILE_BYTES + 1]);
    assert!(read(&large).is_err_and(|error| error.why.contains("larger")));
    assert!(read(&RuleFile::new("f", vec![0xff, b'\n'])).is_err_and(|error| error.why.contains("UTF-8")));
    assert!(
        read(&RuleFile::new("f", "namespace = \"r\"\nrevision = 1"))
            .is_err_and(|e| e.why.contains("cut short"))
    );
    assert!(read(&RuleFile::new("f", "")).is_err());
}

#[test]
fn a_file_cut_anywhere_but_between_lines_is_broken_and_with_a_count_anywhere_is() {
    let complete = file(
        "r/a",
        1,
        "rules = 2\n[[rule]]\nname = \"m\"\nattempts.most = 22\n[[rule]]\nname = \"n\"\nspread.nodes = 3",
    );
    assert!(read(&complete).is_ok());
    // The stated count of rules is on the fourth line, before the first rule.
    let text = String::from_utf8_lossy(&complete.text);
    let counted = text.find("[[rule]]").expect("the file has rules");
    for cut in
        (0..complete.text.len()).filter(|cut| *cut >= counted || complete.text[..*cut].last() != Some(&b'\n'))
    {
        let part = RuleFile::new("f", &complete.text[..cut]);
        assert!(read(&part).is_err(), "{:?}", String::from_utf8_lossy(&part.text));
    }
}

#[test]
fn a_broken_file_holds_back_its_own_namespace_alone() {
    let body = "[[delegate]]\nto = \"a\"\ntenants = [\"t0\"]\n[[delegate]]\nto = \"b\"\ntenants = [\"t1\"]\n";
    let good = [file("r", 1, body), file("r/a", 1, ""), file("r/b", 1, "")];
    let first = merge(&History::default(), &good, &inventory());
    let broken = RuleFile::new("rules/r/a.toml", "namespace = \n");
    let merged = merge(&first.history, &[good[0].clone(), broken.clone(), file("r/b", 2, "")], &inventory());
    let revisions: Vec<u64> = merged.book.namespaces.iter().map(|owner| owner.revision).collect();
    assert_eq!(revisions, [1, 1, 2]);
    let state = &merged.history.namespaces["r/a"].state;
    assert!(
        matches!(state, State::HeldBack { since: 2, why, by: None }
        if why.starts_with("rules/r/a.toml:1: namespace")),
        "{state:?}"
    );
    // A broken file whose path belongs to no namespace holds no namespace back.
    let unattributed = RuleFile::new("nobody.toml", "namespace = \n");
    let merged = merge(&first.history, &[good.as_slice(), &[unattributed]].concat(), &inventory());
    assert_eq!(merged.book, first.book);
    assert!(matches!(&merged.conflicts[..], [Conflict::InvalidFile { namespace: None, .. }]));
    // In a first merge, without a history, the path of the file tells which namespace it belongs to.
    let merged = merge(&History::default(), &[good[0].clone(), broken], &inventory());
    assert!(
        matches!(&merged.conflicts[..], [Conflict::InvalidFile { namespace: Some(path), .. }] if path == "r/a")
    );
    assert!(matches!(merged.history.namespaces["r/a"].state, State::HeldBack { .. }));
}

fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![
        Just("namespace = \"r/a\"".to_owned()),
        Just("revision = 7".to_owned()),
        Just("[[rule]]".to_owned()),
        Just("[[delegate]]".to_owned()),
        Just("to = \"r\"".to_owned()),
        Just("name = \"n\"".to_owned()),
        Just("groups = [\"0x0-ffffffffffffffff\", [5, 1]]".to_owned()),
        Just("place.require.halls = [\"h1\"]".to_owned()),
        Just("cap = { connections = 9223372036854775807 }".to_owned()),
        Just("pace.per_s = nan".to_owned()),
        "[ -~]{0,30}",
    ];
    prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        proptest::collection::vec(line, 0..12).prop_map(|lines| (lines.join("\n") + "\n").into_bytes()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_never_panic_and_change_no_other_namespace(universe in any_universe(), bytes in any_bytes(), at in 0..5_usize) {
        // Merges good files, then overwrites one of them with arbitrary bytes.
        let good = files(&universe);
        let first = merge(&History::default(), &good, &inventory());
        let second = merge(&first.history, &good, &inventory());
        let mut bad = good.clone();
        let at = at % bad.len();
        bad[at].text = bytes;
        let path = &universe[at].path;
        let merged = merge(&first.history, &bad, &inventory());
        if read(&bad[at]).is_err() {
            // A namespace that was held back may come into force now. No rule that was in force changes or disappears.
            for rule in &second.book.rules {
                prop_assert!(merged.book.rules.contains(rule), "{path}: {rule:?} is gone");
            }
        }
    }
}
