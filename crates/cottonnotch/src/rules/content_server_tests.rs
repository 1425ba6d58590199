use super::*;

#[test]
fn parses_only_hashes_in_hexadecimal() {
    let hash = [0xa7; 32];
    assert_eq!(parse_hash(&hex(&hash)), Some(hash));
    for text in ["", "a7", &"g7".repeat(32), &"a7".repeat(33), &"ä".repeat(32)] {
        assert_eq!(parse_hash(text), None, "{text}");
    }
}
