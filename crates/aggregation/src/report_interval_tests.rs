use super::*;
use crate::FleetSection;

#[test]
fn bandwidth_limit_holds_at_every_fleet_size() {
    let section = FleetSection { members_from: Some(4), longest_period_ms: 60_000, ..Default::default() };
    let settings = section.check().unwrap().unwrap();
    for (members, requests) in [(300.0, 80.0), (3_000.0, 800.0), (300.0, 20.0)] {
        let interval = report_interval(&settings, members, 160.0, requests) as f64 / 1e6;
        let datagrams = members * 160.0 / 256.0 / interval;
        assert!(datagrams <= 3.01 * requests, "{members} members: {datagrams} datagrams per second");
    }
    assert_eq!(
        report_interval(&settings, 5.0, 160.0, 80.0),
        settings.min_report_interval,
        "not below the minimum interval"
    );
    assert_eq!(report_interval(&settings, 300.0, 160.0, 0.0), settings.max_report_interval);
    assert_eq!(report_interval(&settings, 300.0, f64::NAN, f64::NAN), settings.max_report_interval);
}
