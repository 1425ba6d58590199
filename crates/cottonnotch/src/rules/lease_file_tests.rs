use super::*;

#[test]
fn successor_reads_the_current_lease_and_no_damaged_one() {
    let folder = tempfile::tempdir().unwrap();
    assert!(LeaseFile::open(folder.path()).is_err());
    let own = LeaseFile::create(folder.path()).unwrap();
    let theirs = LeaseFile::open(folder.path()).unwrap();
    assert_eq!(theirs.read(), None, "no lease has been written yet");
    for until in [1, Micros::MIN, Micros::MAX] {
        let lease = LeaseRecord { number: 7, hash: [3; 32], until };
        own.write(lease).unwrap();
        assert_eq!(theirs.read(), Some(lease));
    }
    for at in 0..FILE_BYTES {
        own.write(LeaseRecord { number: 7, hash: [3; 32], until: 5 }).unwrap();
        let mut byte = [0];
        own.0.read_exact_at(&mut byte, at as u64).unwrap();
        own.0.write_all_at(&[byte[0] ^ 1], at as u64).unwrap();
        assert_eq!(theirs.read(), None, "byte {at}");
    }
}
