use super::*;

#[test]
fn is_off_by_default_and_errors_name_their_key() {
    let check = |text: &str| {
        let section: FleetSection = toml::from_str(text).map_err(|e| e.message().to_owned())?;
        section.check().map_err(|e| e.to_string())
    };
    assert_eq!(check(""), Ok(None));
    assert_eq!(check("members_from = 24").unwrap().unwrap().min_report_interval, 1_000_000);
    assert_eq!(check("members_from = 24").unwrap().unwrap().affinity, None, "five endpoints by default");
    let affinity = check("members_from = 24\ngroup_homes = 64").unwrap().unwrap().affinity.unwrap();
    assert_eq!(
        (affinity.max_groups, affinity.shrink_hold, affinity.retention),
        (64, 600_000_000, 180_000_000)
    );
    for (text, named) in [
        ("members = 3", "unknown field"),
        ("members_from = 2", "fleet.members_from is not within"),
        ("datagrams_per_request = 0", "fleet.datagrams_per_request is not within"),
        ("datagrams_per_request = nan", "fleet.datagrams_per_request is not within"),
        ("period_ms = 10", "fleet.period_ms is not within"),
        ("longest_period_ms = 900", "fleet.longest_period_ms is less"),
        ("group_homes = 0", "fleet.group_homes is not within 1 to 320: '0'"),
        ("group_homes = 321", "fleet.group_homes is not within 1 to 320: '321'"),
        ("home_use = 0.04", "fleet.home_use is not within 0.05 to 0.9: '0.04'"),
        ("home_use = nan", "fleet.home_use is not within"),
        ("homes_hold_s = 9", "fleet.homes_hold_s is not within 10 to 86400: '9'"),
        ("homes_keep_s = 86401", "fleet.homes_keep_s is not within 10 to 86400: '86401'"),
    ] {
        let error = check(text).unwrap_err();
        assert!(error.contains(named), "{text}: {error}");
    }
}
