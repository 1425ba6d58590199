//! A member that was stopped while it asked: what it finds in its socket is as old as that, and it asks anew at once.

use cottonnotch_aggregation::{FleetSection, Input, Member, Micros, Output, Settings, keepers};

const S: Micros = 1_000_000;
/// The same for all members: the clock shows Unix time.
const START: Micros = 1_000_000 * S;

fn settings() -> Settings {
    FleetSection { members_from: Some(4), ..FleetSection::default() }.check().unwrap().unwrap()
}

fn sent(member: &mut Member) -> Vec<(u32, Vec<u8>)> {
    let outputs = std::iter::from_fn(|| member.poll());
    outputs
        .filter_map(|output| if let Output::Send { to, bytes } = output { Some((to, bytes)) } else { None })
        .collect()
}

#[test]
fn one_that_was_stopped_while_it_asked_takes_the_next_prompt_answer_and_none_of_before() {
    let epoch = (START / cottonnotch_aggregation::EPOCH) as u64;
    let keeper_is = keepers(epoch, 4)[0];
    let me = (keeper_is + 1) % 4;
    let mut keeper = Member::new(settings(), keeper_is, 4, 1, START, START);
    let mut member = Member::new(settings(), me, 4, 2, START, START);
    let tell = |keeper: &mut Member, now, bytes: &[u8]| {
        keeper.handle(now, Input::Datagram { from: Some(me), bytes });
        sent(keeper).into_iter().filter(|(to, _)| *to == me).map(|(_, bytes)| bytes).collect::<Vec<_>>()
    };
    // The keeper hears it for long enough to be none that has just begun.
    while member.view().is_none() {
        let now = member.next_timeout();
        assert!(now < START + 15 * S, "no view before the epoch's end");
        member.handle(now, Input::Tick);
        for (to, bytes) in sent(&mut member) {
            for answer in if to == keeper_is { tell(&mut keeper, now, &bytes) } else { Vec::new() } {
                member.handle(now, Input::Datagram { from: Some(keeper_is), bytes: &answer });
            }
        }
    }
    // It asks, and is stopped for 3 s: within the epoch, so the keeper is the same.
    let at = member.view().unwrap().at;
    let mut now = member.next_timeout();
    member.handle(now, Input::Tick);
    let old: Vec<Vec<u8>> = sent(&mut member)
        .iter()
        .filter(|(to, _)| *to == keeper_is)
        .flat_map(|(_, bytes)| tell(&mut keeper, now, bytes))
        .collect();
    assert!(!old.is_empty());
    now += 3 * S;
    for answer in &old {
        member.handle(now, Input::Datagram { from: Some(keeper_is), bytes: answer });
    }
    assert!(member.counts().late > 0 && member.view().unwrap().at == at, "{:?}", member.counts());
    member.handle(now, Input::Tick);
    let asked = sent(&mut member);
    let asked: Vec<_> = asked.iter().filter(|(to, _)| *to == keeper_is).collect();
    assert!(!asked.is_empty(), "it asks at once");
    for (_, bytes) in asked {
        for answer in tell(&mut keeper, now, bytes) {
            member.handle(now, Input::Datagram { from: Some(keeper_is), bytes: &answer });
        }
    }
    assert_eq!(member.view().unwrap().at, now, "the answer to that is none of before: {:?}", member.counts());
}
