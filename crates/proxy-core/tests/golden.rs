//! Envelopes have the same bytes as in earlier builds.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_consensus::Message;
use cottonnotch_golden::{assert_bytes, golden_path};
use cottonnotch_proxy_core::envelope::EnvelopeKey;

fn key(me: u16) -> EnvelopeKey {
    EnvelopeKey::new("0123456789abcdef".repeat(4).as_bytes(), "site", me).unwrap()
}

#[test]
fn envelopes_keep_their_bytes() {
    let messages = [
        ("hint", Message::LeaderHint { echo: 7, leader: Some(2) }),
        ("vote", Message::VoteResponse { term: 8, pre_vote: false, granted: true }),
    ];
    let sealed = messages.clone().map(|(name, message)| (name, key(0).seal(1, message).unwrap()));
    let golden = assert_bytes(&golden_path!("envelopes.txt"), &sealed);
    for (bytes, (_, message)) in golden.iter().zip(messages) {
        assert_eq!(key(1).open(bytes), Ok((0, message)));
    }
}
