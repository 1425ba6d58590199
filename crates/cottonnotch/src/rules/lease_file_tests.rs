use super::*;

#[test]
fn another_process_reads_what_holds_now_and_no_rubbish() {
    let folder = tempfile::tempdir().unwrap();
    assert!(LeaseFile::of_another(folder.path()).is_err());
    let own = LeaseFile::own(folder.path()).unwrap();
    let theirs = LeaseFile::of_another(folder.path()).unwrap();
    assert_eq!(theirs.read(), None, "nothing was told yet");
    for until in [1, Micros::MIN, Micros::MAX] {
        let lease = LeaseRecord { number: 7, hash: [3; 32], until };
        own.tell(lease).unwrap();
        assert_eq!(theirs.read(), Some(lease));
    }
    for at in 0..WIDTH {
        own.tell(LeaseRecord { number: 7, hash: [3; 32], until: 5 }).unwrap();
        let mut byte = [0];
        own.0.read_exact_at(&mut byte, at as u64).unwrap();
        own.0.write_all_at(&[byte[0] ^ 1], at as u64).unwrap();
        assert_eq!(theirs.read(), None, "byte {at}");
    }
}
