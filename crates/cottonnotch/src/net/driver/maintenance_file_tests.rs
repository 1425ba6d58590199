use super::*;

fn two_processes() -> (tempfile::TempDir, MaintenanceFile, MaintenanceFile) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("x.maintenance");
    (folder, MaintenanceFile::new(Some(path.clone())), MaintenanceFile::new(Some(path)))
}

#[test]
fn reads_what_another_process_wrote_once() {
    let (_folder, mut one, mut other) = two_processes();
    assert!(one.read_changes().is_none(), "the file does not exist yet");
    let mut state = Maintenance::default();
    state.enter(5, "s1");
    one.save(&state).unwrap();
    assert!(one.read_changes().is_none(), "a process does not read back its own write");
    assert_eq!(other.read_changes().unwrap().unwrap(), state);
    assert!(other.read_changes().is_none(), "a change is returned once");
}

#[test]
fn rejects_torn_file_and_reads_the_next_one() {
    let (folder, mut one, mut other) = two_processes();
    let path = folder.path().join("x.maintenance");
    let mut state = Maintenance::default();
    state.enter(5, "s1");
    let text = encode(&state);
    for invalid in [&b""[..], b"{}", &text.as_bytes()[..text.len() / 2], &[0xff; 700_000]] {
        fs::write(&path, invalid).unwrap();
        assert!(one.read_changes().unwrap().is_err(), "{} bytes", invalid.len());
        fs::remove_file(&path).unwrap();
        assert!(one.read_changes().is_none());
    }
    fs::create_dir(&path).unwrap();
    assert!(one.read_changes().unwrap().is_err(), "a folder is not a maintenance file");
    assert!(other.save(&state).is_err(), "a folder cannot be replaced by the file");
    assert!(fs::read_dir(folder.path()).unwrap().count() == 1, "no temporary file is left");
    fs::remove_dir(&path).unwrap();
    other.save(&state).unwrap();
    assert_eq!(one.read_changes().unwrap().unwrap(), state);
}
