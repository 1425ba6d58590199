use super::*;

fn compiled(step: u64) -> VersionContent {
    let history = History { step, ..History::default() };
    ContentBody::new(Some([7; 32]), history, Book::default(), Profiles::new(), Inventory::default())
        .compile()
        .unwrap()
}

#[test]
fn decodes_exactly_what_was_encoded() {
    let encoded = compiled(3);
    let decoded = VersionContent::decode(encoded.bytes.to_vec()).unwrap();
    assert_eq!((decoded.hash, &decoded.body), (encoded.hash, &encoded.body));
    assert_eq!(decoded.plan.hash(), encoded.plan.hash());
    for cut in 0..encoded.bytes.len() {
        assert!(VersionContent::decode(encoded.bytes[..cut].to_vec()).is_err(), "cut at {cut}");
    }
    let newer = postcard::to_allocvec(&(FORMAT + 1, 0_u64)).unwrap();
    assert!(matches!(VersionContent::decode(newer), Err(ContentError::Format(_))));
    assert_eq!(hex(&[0x0f; 32]), "0f".repeat(32));
}

#[test]
fn evicts_the_least_recently_used_content() {
    let cache = ContentCache::default();
    let first = Arc::new(compiled(0));
    cache.insert(Arc::clone(&first));
    for step in 1..100 {
        cache.insert(Arc::new(compiled(step)));
        assert!(cache.get(&first.hash).is_some());
    }
    assert_eq!(cache.len(), MAX_CACHED);
    assert!(cache.get(&compiled(1).hash).is_none() && cache.get(&compiled(99).hash).is_some());
}
