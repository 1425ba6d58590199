//! Runs the adapter on transcripts of the simulator's wire, including malformed lines, and checks its output.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use std::io::Write;
use std::process::{Command, Stdio};

fn run(input: &[u8]) -> (String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cottonnotch-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let output = child.wait_with_output().unwrap();
    assert!(output.status.success(), "the adapter must exit successfully at the end of its input");
    (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap())
}

const START: &str = "batch\t1000000\ncreate\tnode-3\t77\tbalancers=1\tordinal=0\tzones=a,b\tzone=a\t\
    policyLimits.mostTries=3\trequestClasses.count=1\trequestClasses.0.name=look\t\
    requestClasses.0.effect=safe\trequestClasses.0.target=500000\tsome.new.key=x\n\
    peers_known\tnode-3\twarm_copy\t1\t2\n\
    row\t0\tRunning\ta\thost_one\t-\t1\tstd\nrow\t0\tRunning\tb\thost_two\t-\t1.5\tstd\nyour_turn\n";

fn run_after_start(lines: &str) -> (String, String) {
    let (out, err) = run(format!("{START}{lines}").as_bytes());
    (out.strip_prefix("yield\n").expect("the first reply must have no actions").to_owned(), err)
}

#[test]
fn empty_batches_are_answered() {
    assert_eq!(run(b"batch\t5\nyour_turn\nbatch\t5\nyour_turn\n").0, "yield\nyield\n");
}

#[test]
fn a_request_is_placed_retried_and_ended() {
    let (out, err) = run_after_start(
        "batch\t1000100\njob_in\tnode-3\t9\t-\t-\t800000\t-\t0\tlook\t-\nyour_turn\n\
         batch\t1000200\nresponse\tnode-3\t9\tFULL\t0\t0\thost_two\t90\t-\nyour_turn\n",
    );
    assert_eq!(err, "");
    let sends: Vec<&str> = out.lines().filter(|l| l.starts_with("place\tnode-3\t9\thost_")).collect();
    assert!(sends.len() >= 2, "{out}");
    assert!(sends[0].contains("host_one") != sends[1].contains("host_one"), "same server twice: {out}");
}

#[test]
fn killed_and_started_again_within_one_batch() {
    let restart = START.replace("batch\t1000000\n", "batch\t1000500\ndestroy\tnode-3\n");
    let (out, err) = run_after_start(&format!(
        "{restart}batch\t1000600\nresponse\tnode-3\t9\tGOOD\t0\t1\thost_one\t90\t-\nyour_turn\n"
    ));
    assert_eq!((out.as_str(), err.as_str()), ("yield\nyield\n", ""));
}

#[test]
fn open_connections_and_notes_are_taken() {
    let (_, err) = run_after_start(
        "batch\t1000100\nexisting\tnode-3\t5\t-\t1\t-\t-\tlook\thost_one\t12000\t-\n\
         heartbeat\tnode-3\t5\t0.5\t1\thost_one\t0\nheartbeat\tnode-3\t5\t700\t2\thost_one\t0\n\
         begun\tnode-3\t5\t0\thost_one\t9250\nsampled\tnode-3\thost_one\tGOOD\t1400\t0.5,2\n\
         inbox\tnode-3\t2\taGkgNw==\naborted\tnode-3\t5\npeers_known\tnode-3\tlost\t-\t-\nyour_turn\n",
    );
    assert_eq!(err, "");
}

#[test]
fn malformed_lines_get_one_plain_message_and_no_half_reply() {
    for (line, field) in [
        ("nonsense\tnode-3", "message"),
        ("job_in\tnode-3", "tid"),
        ("job_in\tnode-3\tx\t-\t-\t8\t-\t0\tlook\t-", "tid"),
        ("job_in\tnode-3\t9\t-\t-\t8\t-\t0\tother\t-", "qos"),
        ("job_in\tnode-8\t9\t-\t-\t8\t-\t0\tlook\t-", "node"),
        ("job_in\tnode-3\t9\t-\t-\t99999999999999999999\t-\t0\tlook\t-", "left"),
        ("job_in\tnode-3\t9\t-\t-\t8\t-\t0\tlook\t-\t-", "end of line"),
        ("response\tnode-3\t9\tWHAT\t0\t1\thost_one\t9\t-", "rc"),
        ("response\tnode-3\t9\tGOOD\t0\t7\thost_one\t9\t-", "last"),
        ("response\tnode-3\t9\tGOOD\t0\t1\thost_six\t9\t-", "host"),
        ("heartbeat\tnode-3\t9\tNaN\t1\thost_one\t0", "value"),
        ("sampled\tnode-3\thost_one\tGOOD\t9\t1,x", "feedback"),
        ("inbox\tnode-3\t2\t***", "raw"),
        ("peers_known\tnode-3\tsome\t1\t0", "how"),
        ("row\t0\tRunning\ta\thost_one\t-\t1\tstd", "message"),
        ("peers_known\tnode-3\tincr\t2\t1\nrow\t0\tDozing\ta\thost_one\t-\t1\tstd", "lifecycle"),
        ("peers_known\tnode-3\ttotal\t2\t3", "hosts"),
        ("create\tnode-4\t1\tnopair", "profileData"),
        ("ring\tnode-3\tnever-set", "name"),
        ("batch\t5", "clock"),
    ] {
        let (out, err) = run_after_start(&format!("batch\t1000100\n{line}\nyour_turn\n"));
        assert_eq!(out, "yield\n", "{line}");
        assert_eq!(err.lines().count(), 1, "{line} must cause one message: {err}");
        assert!(err.contains(&format!("field {field} ")) && err.starts_with("line "), "{line}: {err}");
    }
    let (out, err) = run(b"batch\t5\n\xff\xfe\nyour_turn\nbatch\t6");
    assert!(out == "yield\n" && err.contains("UTF-8"), "{err}");
}
