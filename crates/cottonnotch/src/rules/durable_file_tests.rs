use super::*;

#[test]
fn what_is_saved_is_loaded_and_what_is_damaged_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk::open(folder.path()).unwrap();
    assert!(disk.load("memory").unwrap().is_none());
    disk.save("memory", b"one").unwrap();
    disk.save("memory", b"two").unwrap();
    disk.save("content-aa", b"").unwrap();
    assert_eq!(disk.load("memory").unwrap().unwrap(), b"two");
    assert_eq!(disk.names("content-").unwrap(), ["content-aa"]);
    let path = folder.path().join("memory");
    let sound = std::fs::read(&path).unwrap();
    for at in 0..sound.len() {
        let mut torn = sound.clone();
        torn[at] ^= 1;
        std::fs::write(&path, &torn).unwrap();
        assert!(matches!(disk.load("memory"), Err(BadFile::Damaged)), "byte {at}");
        std::fs::write(&path, &sound[..at]).unwrap();
        assert!(matches!(disk.load("memory"), Err(BadFile::Damaged)), "cut at {at}");
    }
    // A crash before the rename leaves the old one.
    std::fs::write(&path, &sound).unwrap();
    std::fs::write(folder.path().join("memory.new"), b"half").unwrap();
    assert_eq!(disk.load("memory").unwrap().unwrap(), b"two");
}

#[test]
fn a_folder_has_one_owner() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk::open(folder.path()).unwrap();
    assert_eq!(Disk::open(folder.path()).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    drop(disk);
    Disk::open(folder.path()).unwrap();
}
