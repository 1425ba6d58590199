use super::*;

fn compiled(step: u64) -> Compiled {
    let ledger = History { step, ..History::default() };
    Content::new(Some([7; 32]), ledger, Book::default(), Profiles::new(), Inventory::default())
        .compile()
        .unwrap()
}

#[test]
fn bytes_are_read_as_they_were_made_and_nothing_else_is() {
    let made = compiled(3);
    let read = Compiled::read(made.bytes.to_vec()).unwrap();
    assert_eq!((read.hash, &read.content), (made.hash, &made.content));
    assert_eq!(read.plan.hash(), made.plan.hash());
    for cut in 0..made.bytes.len() {
        assert!(Compiled::read(made.bytes[..cut].to_vec()).is_err(), "cut at {cut}");
    }
    let newer = postcard::to_allocvec(&(FORM + 1, 0_u64)).unwrap();
    assert!(matches!(Compiled::read(newer), Err(BadContent::Form(_))));
    assert_eq!(hex(&[0x0f; 32]), "0f".repeat(32));
}

#[test]
fn what_is_asked_for_stays_on_the_shelf() {
    let library = Library::default();
    let first = Arc::new(compiled(0));
    library.put(Arc::clone(&first));
    for step in 1..100 {
        library.put(Arc::new(compiled(step)));
        assert!(library.get(&first.hash).is_some());
    }
    assert_eq!(library.shelf().contents.len(), KEPT);
    assert!(library.get(&compiled(1).hash).is_none() && library.get(&compiled(99).hash).is_some());
}
