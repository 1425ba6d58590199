use super::*;
use proptest::prelude::*;

fn any_id() -> impl Strategy<Value = String> {
    prop_oneof![Just("a".to_owned()), Just("b".to_owned()), Just("s-5be2".to_owned())]
}

/// The reference model: given all overrides in the order in which they were set, the last override of an id is in
/// force.
fn is_out(calls: &[(bool, String)], id: &str) -> bool {
    calls.iter().rev().find(|(_, called)| called == id).is_some_and(|(out, _)| *out)
}

proptest! {
    #[test]
    fn latest_override_counts_across_processes(
        calls in prop::collection::vec((any::<bool>(), any_id(), any::<bool>(), any::<bool>()), 0..40),
    ) {
        let (mut first, mut second) = (Maintenance::default(), Maintenance::default());
        let mut applied = Vec::new();
        for (now, (out, id, in_second, merge_simultaneously)) in (1_000..).zip(calls) {
            let process = if in_second { &mut second } else { &mut first };
            if out { process.enter(now, &id) } else { process.exit(now, &id) };
            if merge_simultaneously {
                let before = first.clone();
                first.merge(&second);
                second.merge(&before);
                prop_assert_eq!(&first, &second, "both states are equal after the merge");
            } else {
                // Merges in both directions after each call. A process that does not know the other's overrides
                // might find nothing to change, and the call would have no effect.
                first.merge(&second);
                second.merge(&first.clone());
            }
            applied.push((out, id));
            for id in ["a", "b", "s-5be2"] {
                prop_assert_eq!(first.is_out(id), is_out(&applied, id), "{} after {:?}", id, applied);
            }
        }
        prop_assert_eq!(decode(encode(&first).as_bytes()), Ok(first));
    }

    #[test]
    fn merge_is_commutative(
        overrides in prop::collection::vec((any_id(), 0i64..5, any::<bool>(), 0i64..5), 0..12),
        split_at in 0usize..12,
    ) {
        let overrides: Vec<_> = overrides.into_iter().map(|(id, at, out, out_since)| (id, ManualOverride { set_at: at, is_out: out, out_since })).collect();
        let (a, b) = overrides.split_at(split_at.min(overrides.len()));
        let (a, b) = (Maintenance::from_overrides(a.to_vec()), Maintenance::from_overrides(b.to_vec()));
        let (mut ab, mut ba) = (a.clone(), b.clone());
        ab.merge(&b);
        ba.merge(&a);
        prop_assert_eq!(&ab, &ba);
        prop_assert!(ab.merge(&b).is_empty(), "a second merge changes nothing");
    }

    #[test]
    fn list_never_ends_maintenance(
        lists in prop::collection::vec((0u8..3, prop::option::of(0i64..99)), 1..20),
        exit_at in 0usize..20,
    ) {
        let mut state = Maintenance::default();
        state.enter(50, "a");
        for (i, (listed, started)) in lists.into_iter().enumerate() {
            if i == exit_at {
                state.exit(60, "a");
            }
            let listed = [ServerState::Ready, ServerState::Draining, ServerState::Removed][listed as usize];
            let (state_with_override, start) = state.apply("a", listed, started);
            if i < exit_at {
                prop_assert!(state_with_override != ServerState::Ready, "listed as {listed:?} at {i}");
            } else {
                prop_assert_eq!(state_with_override, listed, "after the end of the maintenance the listed state applies");
                prop_assert!(start.is_some_and(|at| at > 50), "it must count as newly started: {start:?}");
            }
            prop_assert_eq!(state.apply("b", listed, started), (listed, started), "other render nodes are not affected");
        }
    }

    #[test]
    fn rejects_damaged_state(
        ids in prop::collection::btree_set("[a-z0-9-]{1,9}", 1..6),
        at in any::<prop::sample::Index>(),
        truncate in any::<bool>(),
    ) {
        let mut state = Maintenance::default();
        for (now, id) in (1..).zip(&ids) {
            state.enter(now, id);
        }
        let mut bytes = encode(&state).into_bytes();
        let at = at.index(bytes.len());
        if truncate {
            bytes.truncate(at);
        } else {
            bytes[at] ^= 1;
        }
        prop_assert!(decode(&bytes).is_err(), "at {}: {:?}", at, String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn decode_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
        let mut with_header = b"cottonnotch-maintenance 1\n".to_vec();
        with_header.extend(bytes);
        let _ = decode(&with_header);
    }
}

#[test]
fn one_exit_undoes_repeated_enters() {
    let mut state = Maintenance::default();
    assert!(state.enter(1, "a"));
    assert!(!state.enter(2, "a"), "it is already out of use");
    assert!(state.exit(3, "a"));
    assert!(!state.is_out("a"));
    assert!(!state.exit(4, "a") && !state.exit(4, "never"));
    assert!(!state.contains("never"), "exit without enter adds no override");
}

#[test]
fn override_counts_after_clock_step_back() {
    let mut state = Maintenance::default();
    state.enter(1_000, "a");
    let mut second = state.clone();
    second.exit(5, "a");
    state.merge(&second);
    assert!(!state.is_out("a"));
}

#[test]
fn rejects_other_version() {
    let text = encode(&Maintenance::default());
    assert_eq!(decode(text.replace(" 1\n", " 2\n").as_bytes()), Err(MaintenanceDecodeError::InvalidFormat));
    assert_eq!(decode(b""), Err(MaintenanceDecodeError::InvalidFormat));
    assert_eq!(decode(text.trim_end().as_bytes()), Err(MaintenanceDecodeError::WrongChecksum));
}

#[test]
fn expires_ended_overrides_only() {
    let mut state = Maintenance::default();
    state.enter(1, "a");
    state.enter(1, "b");
    state.exit(2, "b");
    state.remove_expired(2 + RETENTION);
    assert!(state.is_out("a") && !state.contains("b"));
}
