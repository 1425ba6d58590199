//! Tests the checks of the configured durations and voters.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_consensus::{Config, ConfigError, Timing};

fn config(ordinal: u16, members: u16, voters: &[u16]) -> Config {
    Config { ordinal, members, voters: voters.to_vec(), timing: Timing::default(), incarnation: 1 }
}

#[test]
fn accepts_defaults() {
    assert_eq!(Timing::default().check(), Ok(()));
    assert_eq!(config(4, 5, &[0, 1, 2]).check(), Ok(()));
    assert_eq!(config(0, 1, &[0]).check(), Ok(()));
}

#[test]
fn rejects_spans_beyond_the_contradiction_with_their_sum() {
    let timing = Timing { lease: 1_700_000, drift_ppm: 10_000, ..Timing::default() };
    let text = timing.check().unwrap_err().to_string();
    // The lease of 1.7 s, 1 % more for a slow clock, and the action.
    assert!(text.contains("the sum is 2017001 us"), "{text}");
    assert!(text.contains("contradiction 2000000 us"), "{text}");
    let exact = Timing { contradiction: 2_017_001, ..timing };
    assert_eq!(exact.check(), Ok(()));
}

#[test]
fn rejects_spans_without_room_for_elections() {
    for timing in [
        Timing { heartbeat: 200_000, ..Timing::default() },
        Timing { election_timeout_max: 520_000, ..Timing::default() },
        // A voter with a slow clock keeps its promise for longer than the longest wait.
        Timing {
            election_timeout_max: 560_000,
            drift_ppm: 100_000,
            contradiction: 9_000_000,
            ..Timing::default()
        },
    ] {
        assert!(matches!(timing.check(), Err(ConfigError::Election { .. })), "{timing:?}");
    }
    let zero = Timing { heartbeat: 0, ..Timing::default() };
    assert!(matches!(zero.check(), Err(ConfigError::OutOfRange { name: "heartbeat", .. })));
    let too_much_drift = Timing { drift_ppm: 200_000, ..Timing::default() };
    assert_eq!(too_much_drift.check(), Err(ConfigError::Drift(200_000)));
}

#[test]
fn rejects_voters_without_a_proper_majority() {
    for voters in [&[][..], &[0, 1], &[0, 1, 1], &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10]] {
        let error = config(0, 9, voters).check().unwrap_err();
        assert_eq!(error, ConfigError::Voters(voters.to_vec()), "{voters:?}");
    }
    let text = config(0, 9, &[0, 1]).check().unwrap_err().to_string();
    assert_eq!(
        text,
        "voters [0, 1]: the number of voters must be odd and at most 9, and no voter may be listed twice"
    );
}

#[test]
fn rejects_ordinals_beyond_the_members() {
    let unknown = ConfigError::UnknownMember { ordinal: 9, members: 9 };
    let error = config(0, 9, &[0, 1, 9]).check().unwrap_err();
    assert_eq!(error, unknown);
    assert_eq!(config(9, 9, &[0, 1, 2]).check(), Err(unknown));
    assert_eq!(error.to_string(), "member 9 does not exist: the cluster has 9 members, with ordinals from 0");
}
