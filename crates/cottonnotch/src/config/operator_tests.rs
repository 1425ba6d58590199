use super::*;

const SHIPPED: &str = include_str!("../../../../deploy/cottonnotch.toml");

/// The shipped file with every setting enabled. The file has its settings commented out, as a `#` without a space.
fn with_all_settings() -> String {
    let set = |line: &str| match line.strip_prefix('#') {
        Some(set) if set.starts_with("[[") || set.starts_with(|c: char| c.is_ascii_alphabetic()) => {
            set.to_owned()
        }
        _ => line.to_owned(),
    };
    SHIPPED.lines().map(set).collect::<Vec<_>>().join("\n")
}

#[test]
fn shipped_file_has_the_defaults() {
    assert_eq!(toml::from_str::<OperatorConfig>(SHIPPED).unwrap(), OperatorConfig::default());
    let all = with_all_settings();
    let set: toml::Table = all.parse().unwrap();
    let read: OperatorConfig = toml::from_str(&all).unwrap();
    // `records.file` and `records.descriptor` exclude each other, so each is checked without the other.
    let RecordsSection { file, descriptor, queue_records, flush_ms, .. } = read.records.clone();
    let to_file = RecordsSection { descriptor: None, ..read.records.clone() };
    let default_records = RecordsSection::default();
    let to_descriptor = RecordsSection { descriptor, queue_records, flush_ms, ..default_records.clone() };
    assert!(file.is_some() && descriptor.is_some());
    for records in [to_file, to_descriptor] {
        // Aggregation is not authenticated, so it cannot be combined with the file's gossip strength, which is not
        // 'address'.
        let fleet = FleetSection::default();
        OperatorConfig { records, fleet, ..read.clone() }.check().unwrap();
    }
    let authenticated =
        OperatorConfig { gossip: read.gossip, fleet: read.fleet.clone(), ..OperatorConfig::default() };
    assert!(authenticated.check().unwrap_err().to_string().starts_with("fleet.members_from"));
    let fleet = FleetSection { members_from: Some(24), group_homes: Some(64), ..FleetSection::default() };
    assert_eq!(read.fleet, fleet);
    assert_eq!((queue_records, flush_ms), (default_records.queue_records, default_records.flush_ms));
    assert!(read.consensus.check().unwrap().is_some() && read.hardware.len() == 1);
    let default_consensus = ConsensusSection::default();
    let (listen, cluster, key_file, me) = (
        default_consensus.listen,
        default_consensus.cluster.clone(),
        default_consensus.key_file.clone(),
        default_consensus.me,
    );
    let (voters, members, state_folder) = (Vec::new(), Vec::new(), default_consensus.state_folder.clone());
    let consensus =
        ConsensusSection { listen, cluster, key_file, me, voters, members, state_folder, ..read.consensus };
    assert_eq!(consensus, default_consensus, "the shipped values are the defaults");
    let mut keys = BTreeMap::new();
    collect_leaves("", &simd_json::serde::to_owned_value(OperatorConfig::default()).unwrap(), &mut keys);
    for key in keys.keys() {
        let (section, name) = key.split_once('.').unwrap();
        let found = set.get(section).and_then(|section| section.get(name));
        assert!(found.is_some(), "{key} is not in the shipped file");
    }
}
