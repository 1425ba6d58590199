//! Tests of the kit's command line: exit codes, messages, and that no process is left running. They need the proxy's
//! program in the same folder, which `cargo test` builds for the whole workspace.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use rustix::process::{Pid, Signal, kill_process};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Upper bound for the duration of every command in these tests.
const TIMEOUT: Duration = Duration::from_secs(240);

fn kit() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch-kit"));
    command.current_dir(root()).stdin(Stdio::null());
    command
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the path of the proxy beside the kit. Fails if only this crate's tests were built, which doesn't build the
/// proxy.
fn daemon() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_cottonnotch-kit")).with_file_name("cottonnotch");
    assert!(path.is_file(), "no {}: run the tests of the whole workspace (cargo test)", path.display());
    path
}

fn output_text(output: &Output) -> String {
    let (out, err) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    format!("exit {:?}\n{out}\n{err}", output.status.code())
}

/// Calls `look` repeatedly until it returns a value. Fails after `TIMEOUT`.
fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the process ids of the children of `parent`, from `/proc`.
fn children(parent: u32) -> Vec<u32> {
    let of = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    let all = std::fs::read_dir("/proc").unwrap().filter_map(|e| e.ok()?.file_name().to_str()?.parse().ok());
    all.filter(|pid| of(*pid) == Some(parent)).collect()
}

fn is_alive(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // A zombie has exited, but its new parent has not collected its exit status yet.
    status.rsplit_once(')').is_some_and(|(_, rest)| !rest.trim_start().starts_with('Z'))
}

fn signal(pid: u32, signal: Signal) {
    kill_process(Pid::from_raw(pid as i32).unwrap(), signal).unwrap();
}

/// Starts a rehearsal and waits until its two proxies run.
fn start_rehearsal() -> (Child, Vec<u32>) {
    daemon();
    let mut command = kit();
    command.args(["rehearse", "rehearsals/short/calm.toml"]);
    let child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let proxies = wait_for("two proxies", || Some(children(child.id())).filter(|pids| pids.len() == 2));
    (child, proxies)
}

#[test]
fn short_rehearsals_pass_with_the_proxy() {
    daemon();
    let output = kit().args(["rehearse", "rehearsals/short", "--jobs", "3"]).output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
}

#[test]
fn every_scripted_fault_fails_by_its_rule_and_the_honest_proxy_passes() {
    let output = kit().args(["prove", "--jobs", "5"]).output().unwrap();
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert_eq!(text.lines().filter(|line| line.starts_with("ok  ")).count(), 19, "{text}");
}

#[test]
fn a_broken_rule_is_loud_and_goes_into_the_report() {
    let folder = tempfile::tempdir().unwrap();
    let report = folder.path().join("report.json");
    let program = env!("CARGO_BIN_EXE_cottonnotch-kit");
    let output = kit()
        .args(["rehearse", "rehearsals/short/calm.toml", "--daemon", program, "--daemon-arg", "bad-proxy"])
        .args(["--daemon-arg", "drops-request", "--json"])
        .arg(&report)
        .output()
        .unwrap();
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    for part in ["FAILED", "BROKEN one-final-answer", "request ", "proxy proxy-", " s, ", "      | "] {
        assert!(text.contains(part), "no '{part}' in {text}");
    }
    let mut json = std::fs::read(&report).unwrap();
    let json = simd_json::to_owned_value(&mut json).unwrap();
    let text = json.to_string();
    assert!(text.contains("one-final-answer") && text.contains("\"failed\""), "{text}");
}

#[test]
fn what_is_missing_is_said_in_one_line_before_anything_starts() {
    let cases: [(&[&str], &str); 5] = [
        (&["rehearse", "rehearsals/short/calm.toml", "--daemon", "/nowhere/proxy"], "cargo build --release"),
        (&["rehearse", "rehearsals/no-such.toml", "--daemon", "/bin/true"], "no-such.toml"),
        (&["rehearse", "docs", "--daemon", "/bin/true"], "no scenario (*.toml)"),
        (&["load", "--daemon", "/nowhere/proxy"], "--daemon PATH"),
        (&["compare", "/nowhere/a", "/nowhere/b", "--scenario", "rehearsals/calm.toml"], "/nowhere/a"),
    ];
    for (arguments, named) in cases {
        let output = kit().args(arguments).output().unwrap();
        let err = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {err}");
        assert!(err.contains(named) && err.trim().lines().count() == 1, "{arguments:?}: {err}");
    }
}

#[test]
fn a_low_limit_of_descriptors_is_said_with_what_to_do() {
    daemon();
    let line = format!(
        "ulimit -n 200; exec '{}' rehearse rehearsals/short/calm.toml",
        env!("CARGO_BIN_EXE_cottonnotch-kit")
    );
    let output = Command::new("/bin/sh").args(["-c", &line]).current_dir(root()).output().unwrap();
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("ulimit -n") && text.contains("200"), "{text}");
}

#[test]
fn a_proxy_that_never_serves_is_shown_with_its_log() {
    let program = env!("CARGO_BIN_EXE_cottonnotch-kit");
    let output = kit()
        .args([
            "rehearse",
            "rehearsals/short/calm.toml",
            "--daemon",
            program,
            "--daemon-arg",
            "no-such-command",
        ])
        .output()
        .unwrap();
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("did not answer the front's PING") && text.contains("no-such-command"), "{text}");
}

#[test]
fn an_interrupt_ends_every_process_and_prints_what_there_is() {
    let (child, proxies) = start_rehearsal();
    signal(child.id(), Signal::INT);
    let output = child.wait_with_output().unwrap();
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(130), "{text}");
    assert!(text.contains("ended early") && text.contains("requests "), "{text}");
    assert!(!proxies.into_iter().any(is_alive), "{text}");
}

#[test]
fn a_kit_that_is_killed_takes_its_proxies_along() {
    let (mut child, proxies) = start_rehearsal();
    signal(child.id(), Signal::KILL);
    child.wait().unwrap();
    wait_for("the proxies to be gone", || proxies.iter().all(|pid| !is_alive(*pid)).then_some(()));
    let mut rest = String::new();
    child.stdout.take().unwrap().read_to_string(&mut rest).unwrap();
    assert!(!rest.contains("PASSED"), "{rest}");
}

#[test]
fn the_same_seed_shows_the_same_plan() {
    let show = |seed: &str| {
        let output = kit().args(["show", "rehearsals", "--all", "--seed", seed]).output().unwrap();
        assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
        String::from_utf8(output.stdout).unwrap()
    };
    assert_eq!(show("7"), show("7"));
    assert_ne!(show("7"), show("8"));
}
