//! Messages and durable state keep the bytes that earlier builds gave them.

use cottonnotch_consensus::{
    Answered, Grant, ListMark, Memory, Message, Pending, Phase, ProposalId, Renew, Stamp, State, Topic,
    TopicState, Version, Why,
};
use cottonnotch_golden::{assert_bytes, golden_path};

const WHYS: [(&str, Why); 5] = [
    ("in_force", Why::InForce),
    ("cannot_run", Why::CannotRun),
    ("refused", Why::Refused),
    ("unfetched", Why::Unfetched),
    ("superseded", Why::Superseded),
];

fn version(number: u64) -> Version {
    Version { number, hash: [number as u8; 32], size: 70_000, agrees_from: number - 1 }
}

fn proposal(member: u16) -> ProposalId {
    ProposalId { member, incarnation: 1_764_000_000_000_000, serial: 3 }
}

fn pending(number: u64, phase: Phase) -> Pending {
    Pending { version: version(number), phase, proposal: proposal(2) }
}

fn state() -> State {
    let answered = WHYS
        .iter()
        .zip(1..)
        .map(|((_, why), member)| Answered { proposal: proposal(member), why: *why })
        .collect();
    let rules = TopicState {
        in_force: Some(version(11)),
        pending: Some(pending(12, Phase::Prepare)),
        last_number: 12,
        answered,
    };
    let settings =
        TopicState { pending: Some(pending(4, Phase::Release)), last_number: 4, ..TopicState::default() };
    State { topics: [rules, settings] }
}

fn messages() -> Vec<(String, Message)> {
    let stamp = Stamp { term: 7, seq: 300 };
    let list = ListMark { epoch: 2, revision: 91 };
    let pending = [Some(pending(12, Phase::Release)), None];
    let renew = Renew {
        incarnation: 1_764_000_000_000_000,
        sent_at: 5_000_000,
        holds: [Some(11), None],
        released_below: [11, 0],
        ready: [Some(12), None],
        cannot: [None, Some(4)],
        list,
    };
    let grant = Grant {
        incarnation: 1_764_000_000_000_000,
        echo: 5_000_000,
        stamp,
        versions: [Some(version(11)), None],
        pending,
        list,
    };
    let propose = |topic| Message::Propose { id: proposal(2), topic, hash: [9; 32], size: 4_096 };
    let mut messages = vec![
        ("canvass", Message::Canvass { term: 8, only_asked: true, stamp }),
        ("vote", Message::Vote { term: 8, only_asked: false, granted: true }),
        ("beat", Message::Beat { term: 7, round: -20, stamp, state: None }),
        (
            "beat_with_state",
            Message::Beat { term: 7, round: 9_000_000, stamp, state: Some(Box::new(state())) },
        ),
        ("heard", Message::Heard { term: 7, round: 9_000_000, stamp }),
        ("recover", Message::Recover { nonce: u64::MAX }),
        ("recovered", Message::Recovered { nonce: 5, term: 7, stamp, state: Box::new(state()) }),
        ("renew", Message::Renew(Box::new(renew))),
        ("grant", Message::Grant(Box::new(grant))),
        ("hint", Message::Hint { echo: 5_000_000, leader: Some(1) }),
        ("hint_nobody", Message::Hint { echo: 5_000_000, leader: None }),
        ("announce", Message::Announce { stamp, pending }),
        ("propose_rules", propose(Topic::Rules)),
        ("propose_settings", propose(Topic::Settings)),
    ]
    .into_iter()
    .map(|(name, message)| (name.to_owned(), message))
    .collect::<Vec<_>>();
    messages.extend(WHYS.map(|(name, why)| (format!("over_{name}"), Message::Over { id: proposal(2), why })));
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
    let memories = [
        ("first", Memory::first()),
        ("voted", Memory { term: 8, voted: Some(2), stamp: Stamp { term: 7, seq: 300 }, state: state() }),
    ];
    let encoded = memories.clone().map(|(name, memory)| (name, postcard::to_allocvec(&memory).unwrap()));
    let golden = assert_bytes(&golden_path!("durable_state.txt"), &encoded);
    for (bytes, (name, memory)) in golden.iter().zip(&memories) {
        assert_eq!(&postcard::from_bytes::<Memory>(bytes).unwrap(), memory, "{name}");
    }
}
