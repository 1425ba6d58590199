use super::*;

#[test]
fn successor_reads_the_current_lease_and_no_damaged_one() {
    let folder = tempfile::tempdir().unwrap();
    assert!(LeaseFile::open(folder.path()).is_err());
    let own_file = LeaseFile::create(folder.path()).unwrap();
    let successor_file = LeaseFile::open(folder.path()).unwrap();
    assert_eq!(successor_file.read(), None, "no lease has been written yet");
    for until in [1, Micros::MIN, Micros::MAX] {
        let lease = LeaseRecord { number: 7, hash: [3; 32], until };
        own_file.write(lease).unwrap();
        assert_eq!(successor_file.read(), Some(lease));
    }
    for offset in 0..FILE_BYTES {
        own_file.write(LeaseRecord { number: 7, hash: [3; 32], until: 5 }).unwrap();
        let mut byte = [0];
        own_file.0.read_exact_at(&mut byte, offset as u64).unwrap();
        own_file.0.write_all_at(&[byte[0] ^ 1], offset as u64).unwrap();
        assert_eq!(successor_file.read(), None, "byte {offset}");
    }
}
