use super::*;

#[test]
fn loads_what_was_saved_and_rejects_damaged_files() {
    let folder = tempfile::tempdir().unwrap();
    let state = StateFolder::open(folder.path()).unwrap();
    assert!(state.load("memory").unwrap().is_none());
    state.save("memory", b"one").unwrap();
    state.save("memory", b"two").unwrap();
    state.save("content-aa", b"").unwrap();
    assert_eq!(state.load("memory").unwrap().unwrap(), b"two");
    assert_eq!(state.list("content-").unwrap(), ["content-aa"]);
    let path = folder.path().join("memory");
    let intact = std::fs::read(&path).unwrap();
    for offset in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[offset] ^= 1;
        std::fs::write(&path, &damaged).unwrap();
        assert!(matches!(state.load("memory"), Err(StateFileError::Damaged)), "byte {offset}");
        std::fs::write(&path, &intact[..offset]).unwrap();
        assert!(matches!(state.load("memory"), Err(StateFileError::Damaged)), "cut at {offset}");
    }
    // A crash before the rename leaves the old content in place.
    std::fs::write(&path, &intact).unwrap();
    std::fs::write(folder.path().join("memory.new"), b"half").unwrap();
    assert_eq!(state.load("memory").unwrap().unwrap(), b"two");
}

#[test]
fn folder_is_locked_by_one_process() {
    let folder = tempfile::tempdir().unwrap();
    let state = StateFolder::open(folder.path()).unwrap();
    assert_eq!(StateFolder::open(folder.path()).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    drop(state);
    StateFolder::open(folder.path()).unwrap();
}
