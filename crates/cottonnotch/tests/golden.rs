//! What operators are shown keeps the text that earlier builds gave it: `check`, `/status`, `/maintenance` and the figures.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod peers;
use cottonnotch_golden::{assert_text, golden_path};
use peers::*;
use std::path::Path;
use std::process::Command;

/// The root of the project: `check` shows paths as they were given.
fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn check(config: &str, operator: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
    for name in [
        "GW_NAME",
        "GW_LISTEN",
        "GW_MGMT",
        "GW_DISCOVERY",
        "GW_SEED",
        "COTTONNOTCH_OPERATOR",
        "RUST_LOG",
        "TMPDIR",
    ] {
        command.env_remove(name);
    }
    let command =
        command.current_dir(root()).env("GW_CONFIG", config).args(["check", "--operator", operator]);
    let output = command.output().unwrap();
    let (code, errors) = (output.status.code().unwrap(), String::from_utf8(output.stderr).unwrap());
    format!("exit code {code}\n{errors}{}", String::from_utf8(output.stdout).unwrap())
}

/// Check keeps its text on the deploy files.
#[test]
fn check_text_of_deploy_files_is_unchanged() {
    assert_text(&golden_path!("check_platform.txt"), &check("examples/config.json", "deploy/platform.toml"));
    assert_text(
        &golden_path!("check_cottonnotch.txt"),
        &check("examples/config.json", "deploy/cottonnotch.toml"),
    );
}

/// With rules, agreed on; the key is made by whoever follows the example, so here it is written first.
#[test]
fn check_text_of_example_rules_is_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let (key, operator) = (folder.path().join("key"), folder.path().join("operator.toml"));
    std::fs::write(&key, "0123456789abcdef".repeat(4)).unwrap();
    let example = std::fs::read_to_string(root().join("examples/accord/proxy-0.toml")).unwrap();
    let text = example.replace("/tmp/cottonnotch-example.key", key.to_str().unwrap());
    std::fs::write(&operator, text).unwrap();
    let shown = check("examples/accord/proxy-0.json", operator.to_str().unwrap());
    let shown = shown.replace(folder.path().to_str().unwrap(), "FOLDER");
    assert_text(&golden_path!("check_rules.txt"), &shown);
}

/// Admin responses and metrics keep their text.
#[test]
fn admin_responses_are_unchanged() {
    let node = ScriptedServer::new();
    let proxy = Proxy::with_admin(&[&node], 1024, SETTINGS);
    let calls = [
        ("GET", "/status", ""),
        ("GET", "/status/metrics", ""),
        ("POST", "/maintenance/enter", "s9"),
        ("POST", "/maintenance/exit", "s0"),
        ("POST", "/maintenance/enter", "s0"),
        ("POST", "/maintenance/enter", "s0"),
        ("POST", "/maintenance/enter", "two words"),
        ("GET", "/status", ""),
        ("POST", "/maintenance/exit", "s0"),
        ("GET", "/status", ""),
        ("GET", "/other", ""),
        ("POST", "/status", ""),
    ];
    let mut text = String::new();
    for (method, path, body) in calls {
        let (status, answer) = proxy.admin_request(method, path, body);
        text.push_str(&format!("{method} {path} {body}\n{status} {answer}\n"));
    }
    assert_text(&golden_path!("calls.txt"), &text);
}
