use super::*;

/// However many ids clients choose, the number that is kept has a limit, and the oldest is forgotten first.
#[test]
fn forgets_oldest_id_beyond_limit() {
    let mut used = UsedIds::default();
    let limit = MAX_USED_IDS as u64;
    assert!((0..limit).all(|id| used.insert(0, id).is_none()));
    assert!((limit..3 * limit).all(|id| used.insert(0, id) == Some(id - limit)));
}

#[test]
fn forgets_ids_after_retention() {
    let mut used = UsedIds::default();
    used.insert(0, 1);
    used.insert(1, 2);
    assert_eq!(used.next_expired(RETENTION - 1), None);
    assert_eq!(used.next_expired(RETENTION), Some(1));
    assert_eq!(used.next_expired(RETENTION), None);
    assert_eq!(used.next_expired(RETENTION + 1), Some(2));
}
