use super::*;

#[test]
fn a_digest_is_read_back_and_nothing_else_is() {
    let hash = [0xa7; 32];
    assert_eq!(digest(&hex(&hash)), Some(hash));
    for text in ["", "a7", &"g7".repeat(32), &"a7".repeat(33), &"ä".repeat(32)] {
        assert_eq!(digest(text), None, "{text}");
    }
}
