//! The module is printed and kept in the on-call folder: it stays short and narrow.

#[test]
fn module_stays_printable() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/policy.rs")).unwrap();
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 650, "the module holds {lines} lines that are not blank, 650 at most");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} of the module is wider than 110", i + 1);
    }
    assert!(text.lines().next().unwrap().contains("src/interface.rs"), "the interface is named first");
}
