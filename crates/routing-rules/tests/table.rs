//! Tests that the table of state transitions in the design document equals the one in the code.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use std::path::Path;

use cottonnotch_routing_rules::{StateEvent, StateName};

#[test]
fn the_documents_table_is_the_codes() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/design/rulebook.md");
    let text = std::fs::read_to_string(path).expect("the design document can be read");
    let rows: Vec<Vec<String>> = text
        .lines()
        .filter(|line| line.starts_with('|'))
        .map(|line| line.trim_matches('|').split('|').map(|cell| cell.trim().to_lowercase()).collect())
        .collect();
    let plain = |debug: String| {
        let spaced: String =
            debug.chars().flat_map(|c| if c.is_uppercase() { vec![' ', c] } else { vec![c] }).collect();
        spaced.trim().to_lowercase()
    };
    let head: Vec<String> = std::iter::once("from".to_owned())
        .chain(StateEvent::ALL.iter().map(|event| plain(format!("{event:?}"))))
        .collect();
    assert!(rows.contains(&head), "the document has no table head {head:?}");
    for name in StateName::ALL {
        let row: Vec<String> = std::iter::once(plain(format!("{name:?}")))
            .chain(StateEvent::ALL.iter().map(|event| plain(format!("{:?}", name.next(*event)))))
            .collect();
        assert!(rows.contains(&row), "the document has no table row {row:?}");
    }
}
