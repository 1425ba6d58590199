//! What the spans and the voters must be.

use cottonnotch_consensus::{Config, ConfigError, Timing};

fn config(ordinal: u16, members: u16, voters: &[u16]) -> Config {
    Config { ordinal, members, voters: voters.to_vec(), timing: Timing::default(), incarnation: 1 }
}

#[test]
fn the_defaults_keep_the_promise() {
    assert_eq!(Timing::default().check(), Ok(()));
    assert_eq!(config(4, 5, &[0, 1, 2]).check(), Ok(()));
    assert_eq!(config(0, 1, &[0]).check(), Ok(()));
}

#[test]
fn spans_that_break_the_promise_are_refused_with_the_sum() {
    let timing = Timing { lease: 1_700_000, drift_ppm: 10_000, ..Timing::default() };
    let text = timing.check().unwrap_err().to_string();
    // 1.7 s, a hundredth more for a slow clock, and the act.
    assert!(text.contains("2017001 us in all"), "{text}");
    assert!(text.contains("contradiction 2000000 us"), "{text}");
    let exact = Timing { contradiction: 2_017_001, ..timing };
    assert_eq!(exact.check(), Ok(()));
}

#[test]
fn spans_without_room_for_elections_are_refused() {
    for timing in [
        Timing { heartbeat: 200_000, ..Timing::default() },
        Timing { election_timeout_max: 520_000, ..Timing::default() },
        // A slow voter keeps its word beyond the longest wait.
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
    assert!(matches!(zero.check(), Err(ConfigError::Span { name: "heartbeat", .. })));
    let wild = Timing { drift_ppm: 200_000, ..Timing::default() };
    assert_eq!(wild.check(), Err(ConfigError::Drift(200_000)));
}

#[test]
fn voters_must_be_odd_different_and_there() {
    for voters in [&[][..], &[0, 1], &[0, 1, 1], &[0, 1, 9], &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10]] {
        assert!(matches!(config(0, 9, voters).check(), Err(ConfigError::Voters(_))), "{voters:?}");
    }
    assert!(matches!(config(9, 9, &[0, 1, 2]).check(), Err(ConfigError::Voters(_))));
}
