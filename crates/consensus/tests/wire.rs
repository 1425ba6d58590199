//! Tests that messages are small, and that no received message makes a member panic.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_consensus::{
    Config, DurableState, Input, LeaseGrant, LeaseRequest, ListRevision, Member, Message, Pending, Phase,
    ProposalId, ProposalOutcome, ProposalResult, State, StateRevision, Timing, Topic, TopicState, Verdict,
    Version,
};
use proptest::collection::vec;
use proptest::prelude::*;

/// The greatest number, term or time that a received message may contain.
const MAX_VALUE: u64 = (1 << 60) - 1;

fn largest_state() -> State {
    let id = ProposalId { member: u16::MAX, incarnation: u64::MAX, serial: u32::MAX };
    let version = Version { number: MAX_VALUE, hash: [255; 32], size: u32::MAX, compatible_from: MAX_VALUE };
    let topic = TopicState {
        in_force: Some(version),
        pending: Some(Pending { version, phase: Phase::Revoke, proposal: id }),
        last_number: MAX_VALUE,
        results: vec![ProposalResult { proposal: id, outcome: ProposalOutcome::Superseded }; 6],
    };
    State { topics: [topic.clone(), topic] }
}

#[test]
fn bounds_encoded_messages() {
    let state = largest_state();
    let revision = StateRevision { term: MAX_VALUE, seq: MAX_VALUE };
    let list = ListRevision { epoch: MAX_VALUE, revision: u64::MAX };
    let (versions, pending) =
        ([0, 1].map(|at| state.topics[at].in_force), [0, 1].map(|at| state.topics[at].pending));
    let numbers = [Some(u64::MAX); 2];
    let all = [
        Message::Heartbeat {
            term: MAX_VALUE,
            round: -(MAX_VALUE as i64),
            revision,
            state: Some(Box::new(state.clone())),
        },
        Message::RecoveryResponse { nonce: u64::MAX, term: MAX_VALUE, revision, state: Box::new(state) },
        Message::LeaseRequest(Box::new(LeaseRequest {
            incarnation: u64::MAX,
            sent_at: -(MAX_VALUE as i64),
            active: numbers,
            revoked_below: [u64::MAX; 2],
            ready: numbers,
            unsupported: numbers,
            list,
        })),
        Message::LeaseGrant(Box::new(LeaseGrant {
            incarnation: u64::MAX,
            echo: -(MAX_VALUE as i64),
            revision,
            versions,
            pending,
            list,
        })),
        Message::Announce { revision, pending },
    ];
    for message in all {
        let bytes = postcard::to_allocvec(&message).unwrap();
        assert!(message.bounded());
        assert!(bytes.len() < 700, "{} bytes: {message:?}", bytes.len());
        assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
    }
}

#[test]
fn rejects_state_with_too_many_results() {
    let mut state = largest_state();
    let one = state.topics[0].results[0];
    state.topics[0].results.push(one);
    let revision = StateRevision::default();
    assert!(!Message::RecoveryResponse { nonce: 1, term: 1, revision, state: Box::new(state) }.bounded());
    assert!(!Message::VoteRequest { term: u64::MAX, pre_vote: false, revision }.bounded());
}

/// Small numbers coincide with numbers of the state; large numbers test the bounds.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..6u64, 1 => any::<u64>(), 1 => Just(MAX_VALUE), 1 => Just(u64::MAX)]
}

fn time() -> impl Strategy<Value = i64> {
    prop_oneof![4 => 0..10_000_000i64, 1 => any::<i64>(), 1 => Just(i64::MIN), 1 => Just(i64::MAX)]
}

fn hash() -> impl Strategy<Value = [u8; 32]> {
    (0..3u8).prop_map(|byte| [byte; 32])
}

fn revision() -> impl Strategy<Value = StateRevision> {
    (number(), number()).prop_map(|(term, seq)| StateRevision { term, seq })
}

fn version() -> impl Strategy<Value = Version> {
    (number(), hash(), number()).prop_map(|(number, hash, compatible_from)| Version {
        number,
        hash,
        size: 1,
        compatible_from,
    })
}

fn id() -> impl Strategy<Value = ProposalId> {
    (0..5u16, number(), 0..4u32).prop_map(|(member, incarnation, serial)| ProposalId {
        member,
        incarnation,
        serial,
    })
}

fn pending() -> impl Strategy<Value = Pending> {
    (version(), any::<bool>(), id()).prop_map(|(version, is_revoke, proposal)| {
        let phase = if is_revoke { Phase::Revoke } else { Phase::Prepare };
        Pending { version, phase, proposal }
    })
}

fn option_pair<T: std::fmt::Debug + Clone>(
    element: impl Strategy<Value = T> + Clone,
) -> impl Strategy<Value = [Option<T>; 2]> {
    let one = proptest::option::of(element);
    (one.clone(), one).prop_map(|(one, other)| [one, other])
}

fn state() -> impl Strategy<Value = Box<State>> {
    let topic = || {
        (proptest::option::of(version()), proptest::option::of(pending()), number(), vec(id(), 0..8))
            .prop_map(|(in_force, pending, last_number, ids)| {
                let results = ids
                    .into_iter()
                    .map(|proposal| ProposalResult { proposal, outcome: ProposalOutcome::InForce })
                    .collect();
                TopicState { in_force, pending, last_number, results }
            })
    };
    (topic(), topic()).prop_map(|(one, other)| Box::new(State { topics: [one, other] }))
}

fn message() -> impl Strategy<Value = Message> {
    let list = || (number(), number()).prop_map(|(epoch, revision)| ListRevision { epoch, revision });
    let numbers = || option_pair(number().boxed());
    let lease_request = (number(), time(), numbers(), (number(), number()), numbers(), numbers(), list())
        .prop_map(|(incarnation, sent_at, active, revoked_below, ready, unsupported, list)| {
            let revoked_below = [revoked_below.0, revoked_below.1];
            Message::LeaseRequest(Box::new(LeaseRequest {
                incarnation,
                sent_at,
                active,
                revoked_below,
                ready,
                unsupported,
                list,
            }))
        });
    let grant = (time(), revision(), option_pair(version().boxed()), option_pair(pending().boxed()), list())
        .prop_map(|(echo, revision, versions, pending, list)| {
            Message::LeaseGrant(Box::new(LeaseGrant {
                incarnation: 1,
                echo,
                revision,
                versions,
                pending,
                list,
            }))
        });
    prop_oneof![
        (number(), any::<bool>(), revision()).prop_map(|(term, pre_vote, revision)| Message::VoteRequest {
            term,
            pre_vote,
            revision
        }),
        (number(), any::<bool>(), any::<bool>())
            .prop_map(|(term, pre_vote, granted)| Message::VoteResponse { term, pre_vote, granted }),
        (number(), time(), revision(), proptest::option::of(state()))
            .prop_map(|(term, round, revision, state)| Message::Heartbeat { term, round, revision, state }),
        (number(), time(), revision()).prop_map(|(term, round, revision)| Message::HeartbeatAck {
            term,
            round,
            revision
        }),
        number().prop_map(|nonce| Message::RecoveryRequest { nonce }),
        (number(), number(), revision(), state()).prop_map(|(nonce, term, revision, state)| {
            Message::RecoveryResponse { nonce, term, revision, state }
        }),
        lease_request,
        grant,
        (time(), proptest::option::of(0..9u16))
            .prop_map(|(echo, leader)| Message::LeaderHint { echo, leader }),
        (revision(), option_pair(pending().boxed()))
            .prop_map(|(revision, pending)| Message::Announce { revision, pending }),
        (id(), any::<bool>(), hash()).prop_map(|(id, rules, hash)| {
            let topic = if rules { Topic::Rules } else { Topic::Settings };
            Message::Propose { id, topic, hash, size: 1 }
        }),
        id().prop_map(|id| Message::ProposalFinished { id, outcome: ProposalOutcome::InForce }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any message from any sender at any time causes no unexpected panic and a bounded number of outputs, and
    /// time-outs don't lie in the past.
    #[test]
    fn survives_arbitrary_messages(
        inputs in vec((0..300_000i64, 0..7u16, message(), hash(), 0..8u8), 1..60),
        ordinal in 0..5u16,
        has_durable_state in any::<bool>(),
    ) {
        let config =
            Config { ordinal, members: 5, voters: vec![0, 1, 2], timing: Timing::default(), incarnation: 1 };
        let mut member = Member::new(config, 0, has_durable_state.then(DurableState::initial), 7);
        let mut now = 0;
        for (step, from, message, hash, kind) in inputs {
            now += step;
            let input = match kind {
                0 => Input::ContentReady { hash },
                1 => Input::ContentUnsupported { hash },
                2 => Input::Propose { topic: Topic::Rules, hash, size: 1 },
                3 => Input::Checked { topic: Topic::Rules, hash, verdict: Verdict::Compatible { from: step as u64 } },
                4 => Input::ListReceived { revision: step as u64 },
                _ => Input::Message { from, message },
            };
            // Forged messages may contradict every leader. The resulting violations are counted, and panic only in
            // builds with debug assertions.
            let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| member.handle(now, input)))
                .map_err(|panic| {
                    let text = panic.downcast_ref::<String>().cloned().or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_string()));
                    let text = text.unwrap_or_default();
                    assert!(text.contains("two leaders in one term") || text.contains("must not decrease") || text.contains("must not be replaced by an older one"), "{text}");
                });
            let mut outputs = 0;
            while member.poll().is_some() {
                outputs += 1;
            }
            prop_assert!(outputs < 200, "one input caused {outputs} outputs");
            prop_assert!(member.next_timeout() > now - 1);
        }
    }
}
