//! Envelopes keep the bytes that earlier builds gave them.

use cottonnotch_consensus::Message;
use cottonnotch_golden::{assert_bytes, golden_path};
use cottonnotch_proxy_core::envelope::EnvelopeKey;

fn seal(me: u16) -> EnvelopeKey {
    EnvelopeKey::new("0123456789abcdef".repeat(4).as_bytes(), "site", me).unwrap()
}

#[test]
fn an_envelope_keeps_its_bytes() {
    let messages = [
        ("hint", Message::LeaderHint { echo: 7, leader: Some(2) }),
        ("vote", Message::VoteResponse { term: 8, pre_vote: false, granted: true }),
    ];
    let made = messages.clone().map(|(name, message)| (name, seal(0).seal(1, message).unwrap()));
    let golden = assert_bytes(&golden_path!("envelopes.txt"), &made);
    for (bytes, (_, message)) in golden.iter().zip(messages) {
        assert_eq!(seal(1).open(bytes), Ok((0, message)));
    }
}
