//! Whatever is wrong with a scenario is told with the file, the line, the key, and what to do.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_kit::scenario::Scenario;
use std::path::Path;

const PLAIN: &str = "name = \"plain\"\nseconds = 20\n";

/// What stands behind the two plain lines, and a part of the message.
const SECTIONS: &[(&str, &str)] = &[
    ("colour = 3", "test.toml:3: colour: unknown field `colour`"),
    ("name = \"twice\"", "test.toml:3: duplicate key"),
    ("seconds 3", "test.toml:3: "),
    ("scale = 0", "test.toml:3: scale: must be over 0"),
    ("[flet]\nnodes = 3", "test.toml:3: flet: unknown field `flet`: did you mean 'fleet'?"),
    ("[fleet]\nnods = 3", "test.toml:4: fleet.nods: unknown field `nods`: did you mean 'nodes'?"),
    ("[fleet]\nnodes = 0", "test.toml:4: fleet.nodes: must be 1 to"),
    ("[fleet]\nnodes = -1", "test.toml:4: fleet.nodes: invalid value"),
    ("[fleet]\nzones = [\"a\", \"a\"]", "test.toml:4: fleet.zones[1]: the name 'a' is used twice"),
    ("[fleet]\nzones = []", "test.toml:4: fleet.zones: must not be empty: omit it to use the defaults"),
    ("[fleet]\nsetup_work_ms = [5, 3]", "test.toml:4: fleet.setup_work_ms: [5, 3] is reversed"),
    ("[fleet]\nsetup_work_ms = \"many\"", "test.toml:4: fleet.setup_work_ms: invalid type: string"),
    ("[fleet]\nsetup_work_ms = -3", "must not be negative: -3"),
    ("[fleet]\nsetup_work_ms = inf", "must be a finite number"),
    ("[fleet]\nsetup_work_ms = [1, 2, 3]", "must be a number, or two: [least, most]"),
    ("[fleet]\ncold_from = 0", "fleet.cold_from: must be over 0"),
    (
        "[[fleet.kind]]\nname = \"a\"\nshare = 1.2\nspeed = 1",
        "test.toml:5: fleet.kind[0].share: must be between 0 and 1: 1.2",
    ),
    (
        "[[fleet.kind]]\nname = \"a\"\nshare = 1\nspeed = 1\nspeed_spread = 0.5",
        "test.toml:7: fleet.kind[0].speed_spread: must not be over 0.3",
    ),
    ("[proxies]\ncount = 0", "test.toml:4: proxies.count: must be 1 to 200"),
    ("[proxies]\nsockets = 3", "proxies.sockets: must be at least 64"),
    ("[load]\nshare = 1\nstanding = 3", "test.toml:3: load: at most one of"),
    ("[load]\nshare = 9", "load.share: must not be over 5 times"),
    ("[load]\nstanding = 150_000\nlife_s = 1", "load.max_sessions: up to 31"),
    ("[load]\nshape = \"wav\"", "test.toml:4: load.shape: unknown variant `wav`: did you mean 'wave'?"),
    ("[load]\nshape = \"trace\"", "test.toml:3: load.trace: is missing"),
    ("[load]\ntrace = [[0, 1]]", "load.trace: is only for the shape"),
    (
        "[load]\nshape = \"trace\"\ntrace = [[5, 1], [2, 1]]",
        "load.trace: the times of the points must increase",
    ),
    ("[load]\nshape = \"trace\"\ntrace = [[5, -1]]", "load.trace: times and factors must be"),
    ("[load]\nburst_s = 20", "load.burst_s: is longer than"),
    ("[load]\nlife_sigma = 3", "load.life_sigma: must not be over 2"),
    ("[load]\nzone_skew = 3", "load.zone_skew: must not be over 1"),
    ("[load]\nfill_s = 0", "load.fill_s: must be over 0"),
    (
        "[[class]]\nname = \"a\"\nshare = 0.6\n[[class]]\nname = \"b\"\nshare = 0.6",
        "class: the shares add up to 1.200, more than 1",
    ),
    ("[[class]]\nname = \"a b\"\nshare = 0.6", "class[0]: 'a b' is not a valid name"),
    ("[[class]]\nname = \"a\"\nshare = 0.6\nidle = 1", "test.toml:6: class[0].idle: must be under 1"),
    (
        "[[class]]\nname = \"a\"\nshare = 0.6\ndeadline_ms = 10",
        "class[0].setup_aim_ms: must not exceed the deadline",
    ),
    ("[[class]]\nname = \"a\"", "class[0]: missing field `share`"),
    ("[[tenant]]\nname = \"a\"\nshare = 0.0", "test.toml:5: tenant[0].share: must be over 0"),
    ("[rude]\nper_s = 1\nkinds = [\"garbag\"]", "unknown variant `garbag`: did you mean 'garbage'?"),
    ("[rude]\nper_s = 1\nkinds = []", "rude.kinds: must not be empty: omit it to use all kinds"),
    ("[rude]\nper_s = 5000", "rude.per_s: must not be over 1000"),
    ("[rude]\nper_s = 1\nfrom_s = 30", "rude.from_s: 30 s is not before"),
    ("[network]\nloss = 1.5", "network.loss: must be between 0 and 1"),
    ("[clients]\nhonour = 2", "clients.honour: must be between 0 and 1"),
    ("[rules]\nattempts = 0", "rules.attempts: must be at least 1"),
    ("[demand]\nservice = 2", "demand.service: must be between 0 and 1"),
    ("fault = 3", "test.toml:3: fault: must be written as [[fault]]"),
];

/// The same for one fault, whose `at_s = 3` is in line 4 and whose kind is in line 5.
const FAULTS: &[(&str, &str)] = &[
    ("\"kil\"", "test.toml:5: fault[0].kind: there is no fault 'kil': did you mean 'kill'?"),
    ("\"earthquake\"", "fault[0].kind: there is no fault 'earthquake'; the kinds are kill"),
    ("\"kill\"\nnodes = 1\nfor = 3", "test.toml:7: fault[0].for: unknown field `for`"),
    (
        "\"kill\"\nnodes = 1\nfr_s = 3",
        "test.toml:7: fault[0].fr_s: unknown field `fr_s`: did you mean 'for_s'?",
    ),
    ("\"kill\"", "test.toml:3: fault[0]: needs exactly one of `share`"),
    ("\"kill\"\nnodes = 0", "test.toml:6: fault[0].nodes: must be at least 1"),
    ("\"kill\"\nshare = 1.5", "test.toml:6: fault[0].share: must be a share of the fleet"),
    ("\"kill\"\nnodes = 17", "fault[0]: affects 17 render nodes, but there are only 16"),
    (
        "\"kill\"\nnames = [\"render-16\"]",
        "fault[0].names: there is no 'render-16': the names are render-0 to render-15",
    ),
    ("\"kill\"\nnames = [\"render-1\", \"render-1\"]", "'render-1' is named twice"),
    ("\"kill\"\nnames = []", "fault[0].names: must not be empty"),
    ("\"kill\"\nzone = \"hall-f\"", "there is no zone 'hall-f': did you mean 'hall-"),
    (
        "\"kill\"\nnodes = 1\nthen = \"recover\"",
        "test.toml:7: fault[0].then: a killed process cannot recover",
    ),
    ("\"kill\"\nnodes = 1\nthen = \"stat\"", "unknown variant `stat`: did you mean 'sta"),
    ("\"hang\"\nnodes = 1\nthen = \"stay\"\nfor_s = 2", "fault[0].for_s: has no effect if `then`"),
    ("\"hang\"\nnodes = 1\nfor_s = 0", "fault[0].for_s: must be over 0"),
    ("\"slow\"\nnodes = 1\ntimes = 0.5", "fault[0].times: must be 1 or more"),
    ("\"shrink\"\nto = 1.5", "fault[0].to: must be a share of the fleet"),
    ("\"shrink\"\nto = 0.5\ntold = \"before\"\nlead_s = 0", "fault[0].lead_s: must be over 0"),
    ("\"rolling-restart\"\nevery_s = 0", "fault[0].every_s: must be over 0"),
    ("\"flap\"\nnodes = 1\ntimes = 0", "fault[0].times: must be over 0"),
    ("\"grow\"\nnodes = 1", "fault[0].nodes: only 0 spare render nodes are left, but the fault needs 1"),
    ("\"drop\"\nshare = 1.5", "fault[0].share: must be between 0 and 1"),
    ("\"surge\"\nload = 2\nfor_s = 0", "fault[0].for_s: must be over 0"),
    ("\"discovery\"\nchange = \"gap\"\nfor_s = 3", "fault[0].for_s: has no effect: "),
    ("\"network\"\nchange = \"loss\"", "fault[0].loss: is missing"),
    (
        "\"network\"\nchange = \"loss\"\nloss = 0.1\nproxies = 1",
        "fault[0].change: \"loss\" affects all proxies",
    ),
    ("\"network\"\nchange = \"part\"\nnodes = 1", "fault[0].change: \"part\" affects only proxies"),
    ("\"network\"\nchange = \"part\"\nloss = 0.1", "fault[0].loss: is only for \"loss\""),
    ("\"network\"\nchange = \"cut-off\"", "fault[0].nodes: is missing"),
    ("\"proxy\"\nchange = \"reload\"\nfor_s = 3", "fault[0].for_s: has no effect: "),
    ("\"proxy\"\nchange = \"kill\"\nproxies = 6", "fault[0]: affects 6 proxies, but there are only 5"),
    (
        "\"proxy\"\nchange = \"kill\"\nproxies = 1\nnames = [\"proxy-0\"]",
        "fault[0]: has both `proxies` and `names`",
    ),
    ("\"rude\"\nper_s = 0\nfor_s = 1", "fault[0].per_s: must be over 0"),
    (
        "\"kill\"\nnames = [\"render-1\"]\nfor_s = 5\n[[fault]]\nat_s = 5\nkind = \"slow\"\nnames = [\"render-1\"]",
        "test.toml:8: fault[1]: 'render-1' is already affected by fault[0] (kill, until 10.9 s)",
    ),
    (
        "\"kill\"\nshare = 0.6\nthen = \"stay\"\n[[fault]]\nat_s = 5\nkind = \"slow\"\nshare = 0.5",
        "fault[1]: affects 8 render nodes, but only 6 of 16 are not affected by fault[0] (kill, to the end)",
    ),
    (
        "\"proxy\"\nchange = \"restart\"\nnames = [\"proxy-0\"]\n\
         [[fault]]\nat_s = 5\nkind = \"proxy\"\nchange = \"terminate\"\nnames = [\"proxy-0\"]",
        "fault[1]: 'proxy-0' is already affected by fault[0] (proxy, until 7.7 s)",
    ),
    (
        "\"discovery\"\nchange = \"down\"\nfor_s = 5\n\
         [[fault]]\nat_s = 5\nkind = \"discovery\"\nchange = \"silent\"\nfor_s = 5",
        "fault[1]: fault[0] already affects discovery at that time",
    ),
];

/// Of each case that is taken, or told otherwise, what happened to it.
fn missed<'a>(cases: impl Iterator<Item = (String, &'a str)>) -> Vec<String> {
    let told = |(text, message): (String, &'a str)| match Scenario::read(Path::new("test.toml"), &text) {
        Ok(_) => Some(format!("taken:\n{text}")),
        Err(error) if !error.to_string().contains(message) => Some(format!("{error}\n   not: {message}")),
        Err(_) => None,
    };
    cases.filter_map(told).collect()
}

#[test]
fn faulty_sections_are_told_with_their_place() {
    let missed = missed(SECTIONS.iter().map(|(text, message)| (format!("{PLAIN}{text}\n"), *message)));
    assert!(missed.is_empty(), "\n{}", missed.join("\n"));
}

#[test]
fn faulty_faults_are_told_with_their_place() {
    let text = |kind: &str| format!("{PLAIN}[[fault]]\nat_s = 3\nkind = {kind}\n");
    let missed = missed(FAULTS.iter().map(|(kind, message)| (text(kind), *message)));
    assert!(missed.is_empty(), "\n{}", missed.join("\n"));
}

#[test]
fn a_fault_needs_a_kind_and_a_time_before_the_end() {
    let cases = [
        ("at_s = 3", "test.toml:3: fault[0]: has no `kind`"),
        ("kind = \"drop\"", "test.toml:3: fault[0]: has no `at_s`"),
        ("at_s = \"x\"\nkind = \"drop\"", "test.toml:4: fault[0].at_s: is not a number of seconds"),
        ("at_s = -1\nkind = \"drop\"", "test.toml:4: fault[0].at_s: is not a number of seconds"),
        ("at_s = 25\nkind = \"drop\"", "test.toml:4: fault[0].at_s: 25 s is not before the end at 20 s"),
    ];
    let missed =
        missed(cases.iter().map(|(text, message)| (format!("{PLAIN}[[fault]]\n{text}\n"), *message)));
    assert!(missed.is_empty(), "\n{}", missed.join("\n"));
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let error = Scenario::load(Path::new("/nowhere/x.toml")).unwrap_err().to_string();
    assert!(error.starts_with("/nowhere/x.toml: cannot be read"), "{error}");
}
