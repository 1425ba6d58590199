//! Tests that the encoding of messages and durable state is the same as in earlier builds.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_consensus::{
    DurableState, LeaseGrant, LeaseRequest, ListRevision, Message, Pending, Phase, ProposalId,
    ProposalOutcome, ProposalResult, State, StateRevision, Topic, TopicState, Version,
};
use cottonnotch_golden::{assert_bytes, golden_path};

const OUTCOMES: [(&str, ProposalOutcome); 5] = [
    ("in_force", ProposalOutcome::InForce),
    ("cannot_run", ProposalOutcome::Unsupported),
    ("refused", ProposalOutcome::Rejected),
    ("unfetched", ProposalOutcome::ContentMissing),
    ("superseded", ProposalOutcome::Superseded),
];

fn version(number: u64) -> Version {
    Version { number, hash: [number as u8; 32], size: 70_000, compatible_from: number - 1 }
}

fn proposal(member: u16) -> ProposalId {
    ProposalId { member, incarnation: 1_764_000_000_000_000, serial: 3 }
}

fn pending(number: u64, phase: Phase) -> Pending {
    Pending { version: version(number), phase, proposal: proposal(2) }
}

fn state() -> State {
    let results = OUTCOMES
        .iter()
        .zip(1..)
        .map(|((_, outcome), member)| ProposalResult { proposal: proposal(member), outcome: *outcome })
        .collect();
    let rules = TopicState {
        in_force: Some(version(11)),
        pending: Some(pending(12, Phase::Prepare)),
        last_number: 12,
        results,
    };
    let settings =
        TopicState { pending: Some(pending(4, Phase::Revoke)), last_number: 4, ..TopicState::default() };
    State { topics: [rules, settings] }
}

fn messages() -> Vec<(String, Message)> {
    let revision = StateRevision { term: 7, seq: 300 };
    let list = ListRevision { epoch: 2, revision: 91 };
    let pending = [Some(pending(12, Phase::Revoke)), None];
    let lease_request = LeaseRequest {
        incarnation: 1_764_000_000_000_000,
        sent_at: 5_000_000,
        active: [Some(11), None],
        revoked_below: [11, 0],
        ready: [Some(12), None],
        unsupported: [None, Some(4)],
        list,
    };
    let grant = LeaseGrant {
        incarnation: 1_764_000_000_000_000,
        echo: 5_000_000,
        revision,
        versions: [Some(version(11)), None],
        pending,
        list,
    };
    let propose = |topic| Message::Propose { id: proposal(2), topic, hash: [9; 32], size: 4_096 };
    let mut messages = vec![
        ("canvass", Message::VoteRequest { term: 8, pre_vote: true, revision }),
        ("vote", Message::VoteResponse { term: 8, pre_vote: false, granted: true }),
        ("beat", Message::Heartbeat { term: 7, round: -20, revision, state: None }),
        (
            "beat_with_state",
            Message::Heartbeat { term: 7, round: 9_000_000, revision, state: Some(Box::new(state())) },
        ),
        ("heard", Message::HeartbeatAck { term: 7, round: 9_000_000, revision }),
        ("recover", Message::RecoveryRequest { nonce: u64::MAX }),
        ("recovered", Message::RecoveryResponse { nonce: 5, term: 7, revision, state: Box::new(state()) }),
        ("renew", Message::LeaseRequest(Box::new(lease_request))),
        ("grant", Message::LeaseGrant(Box::new(grant))),
        ("hint", Message::LeaderHint { echo: 5_000_000, leader: Some(1) }),
        ("hint_nobody", Message::LeaderHint { echo: 5_000_000, leader: None }),
        ("announce", Message::Announce { revision, pending }),
        ("propose_rules", propose(Topic::Rules)),
        ("propose_settings", propose(Topic::Settings)),
    ]
    .into_iter()
    .map(|(name, message)| (name.to_owned(), message))
    .collect::<Vec<_>>();
    messages.extend(OUTCOMES.map(|(name, outcome)| {
        (format!("over_{name}"), Message::ProposalFinished { id: proposal(2), outcome })
    }));
    messages
}

#[test]
fn messages_keep_their_bytes() {
    let messages = messages();
    let encode =
        |(name, message): &(String, Message)| (name.clone(), postcard::to_allocvec(message).unwrap());
    let encoded: Vec<_> = messages.iter().map(encode).collect();
    let named: Vec<_> = encoded.iter().map(|(name, bytes)| (name.as_str(), bytes.clone())).collect();
    let golden = assert_bytes(&golden_path!("messages.txt"), &named);
    for (bytes, (name, message)) in golden.iter().zip(&messages) {
        assert_eq!(&postcard::from_bytes::<Message>(bytes).unwrap(), message, "{name}");
        assert!(message.bounded(), "{name}");
    }
}

#[test]
fn durable_state_keeps_its_bytes() {
    let durable_states = [
        ("first", DurableState::initial()),
        (
            "voted",
            DurableState {
                term: 8,
                voted: Some(2),
                revision: StateRevision { term: 7, seq: 300 },
                state: state(),
            },
        ),
    ];
    let encoded = durable_states
        .clone()
        .map(|(name, durable_state)| (name, postcard::to_allocvec(&durable_state).unwrap()));
    let golden = assert_bytes(&golden_path!("durable_state.txt"), &encoded);
    for (bytes, (name, durable_state)) in golden.iter().zip(&durable_states) {
        assert_eq!(&postcard::from_bytes::<DurableState>(bytes).unwrap(), durable_state, "{name}");
    }
}
