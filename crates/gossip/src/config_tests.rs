use super::*;

fn check(text: &str) -> Result<Option<Settings>, String> {
    let section: GossipSection = toml::from_str(text).map_err(|e| e.message().to_owned())?;
    section.check().map_err(|e| e.to_string())
}

#[test]
fn is_off_by_default_and_errors_name_their_key() {
    assert_eq!(check(""), Ok(None));
    assert_eq!(check("strength = 'address'").unwrap().unwrap().period, 1_000_000);
    assert!(check("strength = 'shared'\nkey_files = ['a', 'b']").unwrap().is_some());
    assert!(check("strength = 'signed'\nkey_files = ['a']\npublic_keys = 'p'").unwrap().is_some());
    for (text, named) in [
        ("period = 3", "unknown field `period`"),
        ("strength = 'strong'", "unknown variant"),
        ("period_ms = 99", "gossip.period_ms is not within 100 to 60000"),
        ("datagram_bytes = 257", "gossip.datagram_bytes is not within 128 to 256"),
        ("fan_out = 25", "gossip.datagrams_per_s is too low"),
        ("bytes_per_s = 1300", "gossip.bytes_per_s is too low"),
        ("period_ms = 150", "gossip.datagrams_per_s is too low"),
        ("key_files = ['a']", "gossip.key_files: unused"),
        ("strength = 'shared'", "gossip.key_files: strength 'shared' needs"),
        ("strength = 'shared'\nkey_files = ['a']\npublic_keys = 'p'", "gossip.public_keys: unused"),
        ("strength = 'signed'\nkey_files = ['a']", "gossip.public_keys: strength 'signed'"),
    ] {
        let error = check(text).unwrap_err();
        assert!(error.contains(named), "{text}: {error}");
    }
}
