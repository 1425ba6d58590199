use super::*;
use proptest::prelude::*;

fn seal(key: char, cluster: &str, me: u16) -> EnvelopeKey {
    EnvelopeKey::new(format!("{}\n", key.to_string().repeat(64)).as_bytes(), cluster, me).unwrap()
}

fn message() -> Message {
    Message::LeaderHint { echo: 7, leader: Some(2) }
}

#[test]
fn only_the_receiver_of_the_cluster_opens_it() {
    let datagram = seal('a', "site", 0).seal(1, message()).unwrap();
    assert_eq!(seal('a', "site", 1).open(&datagram), Ok((0, message())));
    assert_eq!(seal('A', "site", 1).open(&datagram), Ok((0, message())), "digits have no case");
    assert_eq!(seal('a', "site", 2).open(&datagram), Err(EnvelopeError::Stray));
    assert_eq!(seal('a', "other", 1).open(&datagram), Err(EnvelopeError::Stray));
    assert_eq!(seal('b', "site", 1).open(&datagram), Err(EnvelopeError::Unproven));
    let own = seal('a', "site", 1).seal(1, message()).unwrap();
    assert_eq!(seal('a', "site", 1).open(&own), Err(EnvelopeError::Stray), "its own echo");
    for text in ["", "abc", &"g".repeat(64), &"a".repeat(65)] {
        assert!(EnvelopeKey::new(text.as_bytes(), "site", 0).is_none());
    }
    assert!(!format!("{:?}", seal('a', "site", 0)).contains("97"), "the key is not shown");
}

proptest! {
    #[test]
    fn whatever_is_changed_is_dropped(at in any::<prop::sample::Index>(), bit in 0..8_u32) {
        let mut datagram = seal('a', "site", 0).seal(1, message()).unwrap();
        let at = at.index(datagram.len());
        datagram[at] ^= 1 << bit;
        prop_assert_eq!(seal('a', "site", 1).open(&datagram), Err(EnvelopeError::Unproven));
    }

    #[test]
    fn any_bytes_are_dropped(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(seal('a', "site", 1).open(&bytes).is_err());
        // Proven rubbish, as of another build.
        let sender = seal('a', "site", 0);
        let mut proven = bytes.clone();
        proven.extend_from_slice(blake3::keyed_hash(&sender.key, &bytes).as_bytes());
        let _ = seal('a', "site", 1).open(&proven);
    }
}
