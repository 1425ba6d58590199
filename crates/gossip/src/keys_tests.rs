use super::*;

fn file(byte: u8) -> Vec<u8> {
    format!("{}\n", format!("{byte:02x}").repeat(KEY_BYTES)).into_bytes()
}

fn signed(me: u32) -> Keys {
    let public: Vec<String> = (1..=3).map(|n| Keys::public_of(&file(n)).unwrap()).collect();
    let lines = public.join("\n");
    Keys::load(Strength::Signed, &[file(me as u8 + 1)], Some(lines.as_bytes()), me, 3).unwrap()
}

#[test]
fn proof_covers_sender_receiver_and_bytes() {
    let shared = Keys::load(Strength::Shared, &[file(9)], None, 0, 3).unwrap();
    for (keys, binds_sender) in [(shared, false), (signed(1), true)] {
        let mut datagram = b"whatever".to_vec();
        keys.seal(&mut datagram, To::One(2));
        assert_eq!(datagram.len(), 8 + keys.strength().proof_bytes());
        assert!(keys.proves(1, Some(2), &datagram));
        assert!(!keys.proves(1, Some(0), &datagram), "{keys:?} replayed to another member");
        assert!(!keys.proves(1, None, &datagram), "{keys:?} replayed to all");
        assert_eq!(keys.proves(0, Some(2), &datagram), !binds_sender, "{keys:?} in another's name");
        for place in 0..datagram.len() {
            let mut changed = datagram.clone();
            changed[place] ^= 1;
            assert!(!keys.proves(1, Some(2), &changed), "{keys:?} changed at {place}");
            assert!(!keys.proves(1, Some(2), &datagram[..place]), "{keys:?} cut at {place}");
        }
    }
}

#[test]
fn errors_name_files_and_show_no_secret() {
    let load = |strength, files: &[Vec<u8>], public: Option<&str>| {
        Keys::load(strength, files, public.map(str::as_bytes), 0, 1).map(|keys| keys.strength())
    };
    use Strength::*;
    assert_eq!(load(Shared, &[file(1), b"secret-but-not-hex".to_vec()], None), Err(KeysError::Secret(2)));
    assert_eq!(load(Shared, &[file(1), file(1)], None), Err(KeysError::Same));
    assert!(matches!(load(Shared, &[], None), Err(KeysError::Files { .. })));
    assert!(matches!(load(Address, &[file(1)], None), Err(KeysError::Files { .. })));
    assert!(matches!(load(Signed, &[file(1), file(2)], Some("")), Err(KeysError::Files { .. })));
    assert_eq!(load(Signed, &[file(1)], None), Err(KeysError::Public));
    assert_eq!(load(Signed, &[file(1)], Some("")), Err(KeysError::Line(1)));
    let other = Keys::public_of(&file(2)).unwrap();
    assert_eq!(load(Signed, &[file(1)], Some(&other)), Err(KeysError::NotMine(1)));
    let two = format!("{other}\n{other}");
    assert_eq!(load(Signed, &[file(1)], Some(&two)), Err(KeysError::Lines { lines: 2, members: 1 }));
    let shown = format!("{:?}", Keys::load(Shared, &[file(0xab)], None, 0, 1).unwrap());
    assert!(!shown.contains("ab") && !shown.contains("171"), "{shown}");
}
