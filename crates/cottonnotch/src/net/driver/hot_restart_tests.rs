use super::*;

/// Creates a process that has published its file.
fn started_process(prefix: &Path, started_unix: Micros) -> HotRestart {
    let mut hot_restart = HotRestart::new(prefix.to_owned(), started_unix);
    hot_restart.publish().unwrap();
    hot_restart
}

#[test]
fn successor_counts_while_ready_and_alive() {
    let folder = tempfile::tempdir().unwrap();
    let prefix = folder.path().join("cottonnotch-a_1.process");
    let mut old = started_process(&prefix, 10);
    old.announce_ready().unwrap();
    assert!(old.siblings().unwrap().is_empty() && !old.has_successor());
    let mut new = started_process(&prefix, 20);
    assert!(!old.has_successor(), "the new process is not ready yet");
    old.publish_descriptors(73).unwrap();
    let seen = new.siblings().unwrap();
    let [predecessor] = &seen[..] else { panic!("{seen:?}") };
    assert_eq!((predecessor.started_unix, predecessor.is_ready, predecessor.descriptors), (10, true, 73));
    assert!(new.is_older(predecessor));
    new.announce_ready().unwrap();
    new.announce_ready().unwrap();
    assert!(old.has_successor() && !new.has_successor());
    drop(new);
    assert!(!old.has_successor());
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1, "only the old process's file is left");
}

#[test]
fn age_goes_by_monotonic_clock() {
    let folder = tempfile::tempdir().unwrap();
    let prefix = folder.path().join("cottonnotch-a_1.process");
    let first = started_process(&prefix, 20);
    // The second process has the lower Unix start time, as after a backward step of the wall clock.
    let mut second = started_process(&prefix, 10);
    second.announce_ready().unwrap();
    assert!(first.has_successor() && !second.has_successor());
    assert!(second.is_older(&first.seen_by(&second)));
    // A file of an older build contains only the number of descriptors.
    second.published_file.as_ref().unwrap().file.set_len(DESCRIPTORS_WIDTH as u64).unwrap();
    assert!(!first.has_successor(), "without a monotonic time, the Unix time in the name counts");
}

impl HotRestart {
    /// This process as the other process sees it.
    fn seen_by(&self, sibling: &HotRestart) -> SiblingProcess {
        sibling.siblings().unwrap().into_iter().find(|seen| seen.started_unix == self.started_unix).unwrap()
    }
}

#[test]
fn retries_publishing_its_file() {
    let folder = tempfile::tempdir().unwrap();
    let prefix = folder.path().join("later").join("cottonnotch-a_1.process");
    let mut me = HotRestart::new(prefix.clone(), 10);
    assert!(me.publish().is_err() && me.announce_ready().is_err(), "the folder does not exist");
    assert!(me.siblings().is_err() && !me.has_successor(), "other processes cannot be listed either");
    fs::create_dir(folder.path().join("later")).unwrap();
    assert!(me.siblings().unwrap().is_empty());
    me.publish().unwrap();
    let sibling = started_process(&prefix, 20);
    assert!(
        sibling.siblings().unwrap()[0].is_ready,
        "the earlier announcement takes effect once the file can be written"
    );
}

#[test]
fn removes_files_of_dead_processes_only() {
    let folder = tempfile::tempdir().unwrap();
    let prefix = folder.path().join("cottonnotch-a_1.process");
    let me = started_process(&prefix, 10);
    for dead in ["99.ready", "98.starting"] {
        fs::write(folder.path().join(format!("cottonnotch-a_1.process-{dead}")), "rubbish").unwrap();
    }
    let foreign = [
        "cottonnotch-a_1.process-x.ready",
        "cottonnotch-a_1.process-5.other",
        "cottonnotch-b_1.process-7.ready",
    ];
    for name in foreign {
        fs::write(folder.path().join(name), "").unwrap();
    }
    fs::create_dir(folder.path().join("cottonnotch-a_1.process-50.ready")).unwrap();
    assert!(me.siblings().unwrap().is_empty());
    let left = fs::read_dir(folder.path()).unwrap().count();
    assert_eq!(left, foreign.len() + 2, "the foreign files, the folder and this process's own file");
}
