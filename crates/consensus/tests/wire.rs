//! Messages: how large they get, and that nothing from outside, however wrong, stops a member.

use cottonnotch_consensus::{
    Answered, Config, Grant, Input, ListMark, Member, Memory, Message, Pending, Phase, ProposalId, Renew,
    Stamp, State, Timing, Topic, TopicState, Verdict, Version, Why,
};
use proptest::collection::vec;
use proptest::prelude::*;

const MOST: u64 = (1 << 60) - 1;

fn largest_state() -> State {
    let id = ProposalId { member: u16::MAX, incarnation: u64::MAX, serial: u32::MAX };
    let version = Version { number: MOST, hash: [255; 32], size: u32::MAX, agrees_from: MOST };
    let topic = TopicState {
        in_force: Some(version),
        pending: Some(Pending { version, phase: Phase::Release, proposal: id }),
        last_number: MOST,
        answered: vec![Answered { proposal: id, why: Why::Superseded }; 6],
    };
    State { topics: [topic.clone(), topic] }
}

#[test]
fn no_message_is_larger_than_a_datagram_holds() {
    let state = largest_state();
    let stamp = Stamp { term: MOST, seq: MOST };
    let list = ListMark { epoch: MOST, revision: u64::MAX };
    let (versions, pending) =
        ([0, 1].map(|at| state.topics[at].in_force), [0, 1].map(|at| state.topics[at].pending));
    let many = [Some(u64::MAX); 2];
    let all = [
        Message::Beat { term: MOST, round: -(MOST as i64), stamp, state: Some(Box::new(state.clone())) },
        Message::Recovered { nonce: u64::MAX, term: MOST, stamp, state: Box::new(state) },
        Message::Renew(Box::new(Renew {
            incarnation: u64::MAX,
            sent_at: -(MOST as i64),
            holds: many,
            released_below: [u64::MAX; 2],
            ready: many,
            cannot: many,
            list,
        })),
        Message::Grant(Box::new(Grant {
            incarnation: u64::MAX,
            echo: -(MOST as i64),
            stamp,
            versions,
            pending,
            list,
        })),
        Message::Announce { stamp, pending },
    ];
    for message in all {
        let bytes = postcard::to_allocvec(&message).unwrap();
        assert!(message.bounded());
        assert!(bytes.len() < 700, "{} bytes: {message:?}", bytes.len());
        assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
    }
}

#[test]
fn a_state_that_remembers_too_much_is_out_of_bounds() {
    let mut state = largest_state();
    let one = state.topics[0].answered[0];
    state.topics[0].answered.push(one);
    let stamp = Stamp::default();
    assert!(!Message::Recovered { nonce: 1, term: 1, stamp, state: Box::new(state) }.bounded());
    assert!(!Message::Canvass { term: u64::MAX, only_asked: false, stamp }.bounded());
}

/// Small numbers meet what is there; large ones meet the edges.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..6u64, 1 => any::<u64>(), 1 => Just(MOST), 1 => Just(u64::MAX)]
}

fn time() -> impl Strategy<Value = i64> {
    prop_oneof![4 => 0..10_000_000i64, 1 => any::<i64>(), 1 => Just(i64::MIN), 1 => Just(i64::MAX)]
}

fn hash() -> impl Strategy<Value = [u8; 32]> {
    (0..3u8).prop_map(|byte| [byte; 32])
}

fn stamp() -> impl Strategy<Value = Stamp> {
    (number(), number()).prop_map(|(term, seq)| Stamp { term, seq })
}

fn version() -> impl Strategy<Value = Version> {
    (number(), hash(), number()).prop_map(|(number, hash, agrees_from)| Version {
        number,
        hash,
        size: 1,
        agrees_from,
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
    (version(), any::<bool>(), id()).prop_map(|(version, late, proposal)| {
        let phase = if late { Phase::Release } else { Phase::Prepare };
        Pending { version, phase, proposal }
    })
}

fn pair<T: std::fmt::Debug + Clone>(
    of: impl Strategy<Value = T> + Clone,
) -> impl Strategy<Value = [Option<T>; 2]> {
    let one = proptest::option::of(of);
    (one.clone(), one).prop_map(|(one, other)| [one, other])
}

fn state() -> impl Strategy<Value = Box<State>> {
    let topic = || {
        (proptest::option::of(version()), proptest::option::of(pending()), number(), vec(id(), 0..8))
            .prop_map(|(in_force, pending, last_number, ids)| {
                let answered =
                    ids.into_iter().map(|proposal| Answered { proposal, why: Why::InForce }).collect();
                TopicState { in_force, pending, last_number, answered }
            })
    };
    (topic(), topic()).prop_map(|(one, other)| Box::new(State { topics: [one, other] }))
}

fn message() -> impl Strategy<Value = Message> {
    let list = || (number(), number()).prop_map(|(epoch, revision)| ListMark { epoch, revision });
    let numbers = || pair(number().boxed());
    let renew = (number(), time(), numbers(), (number(), number()), numbers(), numbers(), list()).prop_map(
        |(incarnation, sent_at, holds, released, ready, cannot, list)| {
            let released_below = [released.0, released.1];
            Message::Renew(Box::new(Renew {
                incarnation,
                sent_at,
                holds,
                released_below,
                ready,
                cannot,
                list,
            }))
        },
    );
    let grant = (time(), stamp(), pair(version().boxed()), pair(pending().boxed()), list()).prop_map(
        |(echo, stamp, versions, pending, list)| {
            Message::Grant(Box::new(Grant { incarnation: 1, echo, stamp, versions, pending, list }))
        },
    );
    prop_oneof![
        (number(), any::<bool>(), stamp()).prop_map(|(term, only_asked, stamp)| Message::Canvass {
            term,
            only_asked,
            stamp
        }),
        (number(), any::<bool>(), any::<bool>()).prop_map(|(term, only_asked, granted)| Message::Vote {
            term,
            only_asked,
            granted
        }),
        (number(), time(), stamp(), proptest::option::of(state()))
            .prop_map(|(term, round, stamp, state)| Message::Beat { term, round, stamp, state }),
        (number(), time(), stamp()).prop_map(|(term, round, stamp)| Message::Heard { term, round, stamp }),
        number().prop_map(|nonce| Message::Recover { nonce }),
        (number(), number(), stamp(), state()).prop_map(|(nonce, term, stamp, state)| Message::Recovered {
            nonce,
            term,
            stamp,
            state
        }),
        renew,
        grant,
        (time(), proptest::option::of(0..9u16)).prop_map(|(echo, leader)| Message::Hint { echo, leader }),
        (stamp(), pair(pending().boxed())).prop_map(|(stamp, pending)| Message::Announce { stamp, pending }),
        (id(), any::<bool>(), hash()).prop_map(|(id, rules, hash)| {
            let topic = if rules { Topic::Rules } else { Topic::Settings };
            Message::Propose { id, topic, hash, size: 1 }
        }),
        id().prop_map(|id| Message::Over { id, why: Why::InForce }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, from whomever, at whatever time: no panic, no work without end, and time goes on.
    #[test]
    fn nothing_from_outside_stops_a_member(
        inputs in vec((0..300_000i64, 0..7u16, message(), hash(), 0..8u8), 1..60),
        me in 0..5u16,
        remembers in any::<bool>(),
    ) {
        let config =
            Config { me, members: 5, voters: vec![0, 1, 2], timing: Timing::default(), incarnation: 1 };
        let mut member = Member::new(config, 0, remembers.then(Memory::first), 7);
        let mut now = 0;
        for (step, from, message, hash, kind) in inputs {
            now += step;
            let input = match kind {
                0 => Input::Have { hash },
                1 => Input::CannotRun { hash },
                2 => Input::Propose { topic: Topic::Rules, hash, size: 1 },
                3 => Input::Checked { topic: Topic::Rules, hash, verdict: Verdict::Agrees { from: step as u64 } },
                4 => Input::ListSeen { revision: step as u64 },
                _ => Input::Message { from, message },
            };
            // Forged ones may say what no leader does; what is broken then is counted, and stops tests of the crate only.
            let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| member.handle(now, input)))
                .map_err(|panic| {
                    let text = panic.downcast_ref::<String>().cloned().or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_string()));
                    let text = text.unwrap_or_default();
                    assert!(text.contains("two leaders in one term") || text.contains("went back") || text.contains("go back"), "{text}");
                });
            let mut outputs = 0;
            while member.poll().is_some() {
                outputs += 1;
            }
            prop_assert!(outputs < 200, "{outputs} outputs of one input");
            prop_assert!(member.next_timeout() > now - 1);
        }
    }
}
