use super::*;
use cottonnotch_routing_rules::{Inventory, merge};

fn file(namespace: &str, revision: u64, most: u32) -> RuleFile {
    let rule = format!("[[rule]]\nname = \"r\"\nattempts = {{ most = {most} }}\n");
    let delegate = match namespace.contains('/') {
        true => String::new(),
        false => "[[delegate]]\nto = \"c/one\"\ntenants = [\"t\"]\n".to_owned(),
    };
    let name = format!("{}.toml", namespace.replace('/', "-"));
    RuleFile::new(name, format!("namespace = \"{namespace}\"\nrevision = {revision}\n{delegate}{rule}"))
}

fn merged(last: &History, own: &[RuleFile]) -> (History, usize) {
    let inventory = Inventory::of("c", &["t"], &["look"], &["a"], &["x"], 100);
    let merged = merge(last, &apply_overrides(last, own), &inventory);
    (merged.history, merged.conflicts.len())
}

#[test]
fn only_newer_files_override() {
    let (first, conflicts) = merged(&History::default(), &[file("c", 3, 5), file("c/one", 1, 4)]);
    assert!(conflicts == 0 && has_newer_revision(&History::default(), &first));
    // A proxy that has only the newer file of the child namespace.
    let (second, conflicts) = merged(&first, &[file("c/one", 2, 3)]);
    assert!(conflicts == 0 && has_newer_revision(&first, &second) && !has_newer_revision(&second, &first));
    let revision = |of: &History, namespace: &str| of.namespaces[namespace].in_force;
    assert_eq!((revision(&second, "c"), revision(&second, "c/one")), (Some(3), Some(2)));
    // A proxy with an outdated folder, and a proxy without any files.
    for own in [vec![file("c", 2, 9), file("c/one", 1, 4)], Vec::new()] {
        let (same, conflicts) = merged(&second, &own);
        assert!(conflicts == 0 && !has_newer_revision(&second, &same));
        assert_eq!((revision(&same, "c"), revision(&same, "c/one")), (Some(3), Some(2)));
    }
}

#[test]
fn faulty_file_holds_back_its_namespace_only() {
    let (first, _) = merged(&History::default(), &[file("c", 3, 5), file("c/one", 1, 4)]);
    let broken = RuleFile::new("c-one.toml", "namespace = ");
    let (second, conflicts) = merged(&first, &[file("c", 4, 5), broken]);
    assert!(conflicts == 1 && has_newer_revision(&first, &second));
    assert_eq!((second.namespaces["c"].in_force, second.namespaces["c/one"].in_force), (Some(4), Some(1)));
    let (third, conflicts) = merged(&second, &[file("c", 4, 5), file("c/one", 2, 4)]);
    assert!(conflicts == 0 && third.namespaces["c/one"].in_force == Some(2));
}

#[test]
fn two_files_of_one_revision_conflict() {
    let (first, _) = merged(&History::default(), &[file("c", 3, 5)]);
    let (second, conflicts) = merged(&first, &[file("c", 3, 6)]);
    assert!(conflicts == 1 && !has_newer_revision(&first, &second));
    assert_eq!(second.namespaces["c"].good, first.namespaces["c"].good);
    let other = RuleFile::new("again.toml", file("c", 4, 7).text);
    let (_, conflicts) = merged(&first, &[file("c", 4, 6), other]);
    assert!(conflicts > 0, "two files of one folder have the same namespace");
}
