use super::*;
use proptest::prelude::*;

fn entry() -> impl Strategy<Value = Entry> {
    (0..1_u32 << 24, 0.0..3.8e6, prop::collection::vec(any::<u8>(), 0..40), 0..3_u8).prop_map(
        |(endpoint, load, groups, word)| Entry {
            endpoint: EndpointDigest(endpoint),
            load,
            groups,
            health: HealthVerdict::of(word),
        },
    )
}

proptest! {
    #[test]
    fn reports_come_back_within_the_stated_error(entries in prop::collection::vec(entry(), 0..60), generation: u16) {
        let totals = Totals { connections: 70_000, requests_per_s: 3.0, successes_per_s: 0.0, failures_per_s: 100.0 };
        let next = 2_300_000;
        let report =
            Report { generation, part: (0, 1), leaving: false, no_answer: true, next, totals, entries };
        let parts = write_report(&report);
        let mut back = Vec::new();
        for (place, bytes) in parts.iter().enumerate() {
            prop_assert!(bytes.len() <= LONGEST);
            let Some(Datagram::Report(read)) = read(bytes) else { panic!("unreadable") };
            prop_assert_eq!(read.part, (place as u8, parts.len() as u8));
            prop_assert!((read.totals.requests_per_s / 3.0 - 1.0).abs() < 0.05 && read.totals.connections == 70_000);
            prop_assert_eq!(read.next, next);
            prop_assert!(read.generation == generation && read.no_answer && !read.leaving);
            back.extend(read.entries);
        }
        for (sent, read) in report.entries.iter().zip(&back) {
            prop_assert_eq!(sent.endpoint, read.endpoint);
            prop_assert_eq!(sent.health, read.health);
            prop_assert!(sent.load < 64.0 || (read.load / sent.load - 1.0).abs() < 0.023);
            prop_assert_eq!(&sent.groups[..sent.groups.len().min(31)], &read.groups[..]);
        }
        prop_assert!(back.len() == report.entries.len() || parts.len() == MOST_PARTS);
    }

    #[test]
    fn groups_and_homes_come_back_within_the_stated_error(
        all in prop::collection::vec((any::<u64>(), 0.0..1e9, any::<u32>()), 0..400),
        generation: u16,
        told: bool,
    ) {
        let next = 6_000_000;
        let groups = all.iter().map(|(group, load, _)| (*group, *load)).collect();
        let report = GroupReport { generation, part: (0, 1), no_answer: told, next, groups };
        let (mut back, mut homes_back) = (Vec::new(), Vec::new());
        let parts = write_group_report(&report);
        for (place, bytes) in parts.iter().enumerate() {
            prop_assert!(bytes.len() <= LONGEST);
            let Some(Datagram::GroupReport(read)) = read(bytes) else { panic!("unreadable") };
            prop_assert_eq!(read.part, (place as u8, parts.len() as u8));
            prop_assert!(read.generation == generation && read.no_answer == told && read.next == next);
            back.extend(read.groups);
        }
        prop_assert!(back.len() == all.len() || parts.len() == MOST_PARTS && back.len() >= 288);
        for ((group, load, _), (told, read)) in all.iter().zip(&back) {
            prop_assert!(group == told && (load - read).abs() <= LOAD_STEP / 2.0);
        }
        let homes = all.iter().map(|(group, _, homes)| (*group, *homes)).collect();
        let table = SubsetSizes { generation, part: (0, 1), young: told, homes };
        let parts = write_subset_sizes(&table);
        for bytes in &parts {
            prop_assert!(bytes.len() <= LONGEST);
            let Some(Datagram::SubsetSizes(read)) = read(bytes) else { panic!("unreadable") };
            prop_assert!(read.young == told && read.generation == generation);
            homes_back.extend(read.homes);
        }
        prop_assert!(homes_back[..] == table.homes[..homes_back.len()]);
        prop_assert!(homes_back.len() == all.len() || parts.len() == MOST_PARTS);
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut ours = vec![VERSION, bytes.first().copied().unwrap_or(0) % 5];
        ours.extend(&bytes);
        read(&bytes);
        if let Some(Datagram::Report(report)) = read(&ours) {
            prop_assert!(report.part.0 < report.part.1);
        }
    }
}

#[test]
fn a_table_tells_what_is_full_or_unwell_and_nothing_else() {
    let node = |n, used, word| (EndpointDigest(n), used, word);
    let nodes = vec![
        node(1, 0.2, HealthVerdict::Unknown),
        node(2, 0.2, HealthVerdict::Unhealthy),
        node(3, 0.93, HealthVerdict::Healthy),
        node(4, 9.0, HealthVerdict::Unknown),
    ];
    let totals = Totals { connections: 1, ..Totals::default() };
    let table = FleetSummary {
        generation: 9,
        part: (0, 1),
        young: false,
        period: 1_500_000,
        members: 300,
        totals,
        mean_load: 40_000.0,
        nodes,
    };
    let Some(Datagram::Summary(back)) = read(&write_summary(&table)[0]) else { panic!("unreadable") };
    let told: Vec<u32> = back.nodes.iter().map(|(endpoint, ..)| endpoint.0).collect();
    assert_eq!(told, [4, 3, 2], "the fullest first");
    assert!((back.nodes[1].1 - 0.93).abs() <= USE_STEP / 2.0 && back.nodes[1].2 == HealthVerdict::Healthy);
    assert!((back.mean_load / 40_000.0 - 1.0).abs() < 0.023, "{}", back.mean_load);
    assert_eq!(back.nodes[2].1, 0.0, "named for its word alone, not as full");
    assert_eq!((back.members, back.generation, back.period), (300, 9, 1_500_000));
    assert!(read(&[1, 2, 0, 0, 0, 0]).is_none(), "gossip's version");
}
