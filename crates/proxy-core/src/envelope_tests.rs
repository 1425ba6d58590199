use super::*;
use proptest::prelude::*;

fn key(digit: char, cluster: &str, me: u16) -> EnvelopeKey {
    EnvelopeKey::new(format!("{}\n", digit.to_string().repeat(64)).as_bytes(), cluster, me).unwrap()
}

fn message() -> Message {
    Message::LeaderHint { echo: 7, leader: Some(2) }
}

#[test]
fn only_the_receiver_opens_it() {
    let datagram = key('a', "site", 0).seal(1, message()).unwrap();
    assert_eq!(key('a', "site", 1).open(&datagram), Ok((0, message())));
    assert_eq!(
        key('A', "site", 1).open(&datagram),
        Ok((0, message())),
        "hexadecimal digits are case-insensitive"
    );
    assert_eq!(key('a', "site", 2).open(&datagram), Err(EnvelopeError::WrongReceiver));
    assert_eq!(key('a', "other", 1).open(&datagram), Err(EnvelopeError::WrongReceiver));
    assert_eq!(key('b', "site", 1).open(&datagram), Err(EnvelopeError::NotAuthentic));
    let own = key('a', "site", 1).seal(1, message()).unwrap();
    assert_eq!(
        key('a', "site", 1).open(&own),
        Err(EnvelopeError::WrongReceiver),
        "sent by the receiver itself"
    );
    for text in ["", "abc", &"g".repeat(64), &"a".repeat(65)] {
        assert!(EnvelopeKey::new(text.as_bytes(), "site", 0).is_none());
    }
    assert!(!format!("{:?}", key('a', "site", 0)).contains("97"), "the key must not be shown");
}

proptest! {
    #[test]
    fn rejects_any_flipped_bit(at in any::<prop::sample::Index>(), bit in 0..8_u32) {
        let mut datagram = key('a', "site", 0).seal(1, message()).unwrap();
        let at = at.index(datagram.len());
        datagram[at] ^= 1 << bit;
        prop_assert_eq!(key('a', "site", 1).open(&datagram), Err(EnvelopeError::NotAuthentic));
    }

    #[test]
    fn rejects_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(key('a', "site", 1).open(&bytes).is_err());
        // Authentic bytes that are not a valid envelope, as another build might send.
        let sender = key('a', "site", 0);
        let mut authentic = bytes.clone();
        authentic.extend_from_slice(blake3::keyed_hash(&sender.key, &bytes).as_bytes());
        let _ = key('a', "site", 1).open(&authentic);
    }
}
