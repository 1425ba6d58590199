//! Tests of one member while the test writes the datagrams of all others. In a fleet of correct members, several guards hold at
//! once, so the failure of one of them would not show.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
use common::*;
use cottonnotch_gossip::wire::{Header, ReportedState, Section, read_sections};
use cottonnotch_gossip::*;
use std::collections::BTreeSet;

/// Member 0 of 24, and the state of the simulated members.
struct OneMember {
    gossip: Gossip,
    now: Micros,
    counter: u64,
    /// Number of pings sent to member 3.
    pings: usize,
    /// Members that were sent a ping.
    asked: BTreeSet<u32>,
    /// Whether member 3 answers pings.
    answers: bool,
    beliefs: Vec<(u32, State)>,
}

impl OneMember {
    fn new() -> Self {
        let gossip = Gossip::new(settings(), Keys::Address, 0, 24, EPOCH, 1, 0);
        OneMember {
            gossip,
            now: 0,
            counter: 0,
            pings: 0,
            asked: BTreeSet::new(),
            answers: true,
            beliefs: Vec::new(),
        }
    }

    fn send_as(&mut self, member: u32, counter: u64, sections: &[Section]) {
        let bytes = write(&Keys::Address, member, Incarnation::first(EPOCH), counter, To::One(0), sections);
        self.gossip.handle(self.now, Input::Datagram { from: Some(member), bytes: &bytes });
        self.drain();
    }

    fn send_next_as(&mut self, member: u32, sections: &[Section]) {
        self.counter += 1;
        self.send_as(member, self.counter, sections);
    }

    fn drain(&mut self) {
        while let Some(output) = self.gossip.poll() {
            match output {
                Output::Member { ordinal, state, .. } => self.beliefs.push((ordinal, state)),
                Output::Send { to: To::One(to), bytes } => {
                    let length = Header::read(&bytes).unwrap().1;
                    for section in read_sections(&bytes[length..]).unwrap() {
                        let Section::Ping { nonce } = section else { continue };
                        self.asked.insert(to);
                        self.pings += usize::from(to == 3);
                        if to == 3 && self.answers {
                            self.send_next_as(3, &[Section::Ack { nonce }]);
                        }
                    }
                }
                _ => {}
            }
        }
    }

    /// Advances the time and handles each time-out punctually.
    fn run_for(&mut self, span: Micros) {
        let until = self.now + span;
        while self.gossip.next_timeout() <= until {
            self.now = self.gossip.next_timeout();
            self.gossip.handle(self.now, Input::Tick);
            self.drain();
        }
        self.now = until;
    }

    fn accuse(&mut self, state: ReportedState) {
        for reporter in [1, 2, 5] {
            let broadcast = broadcast(3, Incarnation::first(EPOCH), state);
            self.send_next_as(reporter, &[Section::Broadcasts(vec![broadcast])]);
        }
    }

    fn believed(&self, member: u32) -> Vec<State> {
        self.beliefs.iter().filter(|belief| belief.0 == member).map(|belief| belief.1).collect()
    }
}

#[test]
fn fresh_member_is_not_probed_on_reports() {
    let mut sim = OneMember::new();
    for _ in 0..40 {
        sim.send_next_as(3, &[Section::Digest { total: 0, entries: vec![] }]);
        sim.accuse(ReportedState::Suspect);
        sim.run_for(250 * MS);
    }
    assert_eq!((sim.pings, sim.believed(3)), (0, vec![State::Alive]));
}

#[test]
fn answering_member_is_not_suspected_on_reports() {
    let mut sim = OneMember::new();
    sim.send_next_as(3, &[]);
    for _ in 0..240 {
        for state in [ReportedState::Suspect, ReportedState::Left] {
            sim.accuse(state);
            sim.run_for(125 * MS);
        }
    }
    assert_eq!(sim.believed(3), [State::Alive]);
    assert!((5..=30).contains(&sim.pings), "{} probes in a minute because of 1,440 reports", sim.pings);
}

#[test]
fn accuser_prompts_few_probes() {
    let mut sim = OneMember::new();
    sim.run_for(3 * SECOND);
    sim.asked.clear();
    for subject in 3..24 {
        let broadcast = broadcast(subject, Incarnation::first(EPOCH), ReportedState::Suspect);
        sim.send_next_as(1, &[Section::Broadcasts(vec![broadcast])]);
    }
    sim.run_for(700 * MS);
    // The limit allows two prompted probes; one more member is probed by the rotation of silent members.
    assert!((2..=3).contains(&sim.asked.len()), "{:?}", sim.asked);
}

#[test]
fn refuted_report_prompts_no_probe() {
    for refuted in [false, true] {
        let mut sim = OneMember::new();
        sim.run_for(3 * SECOND);
        sim.send_next_as(3, &[]);
        sim.accuse(ReportedState::Suspect);
        if refuted {
            let broadcast =
                broadcast(3, Incarnation { generation: EPOCH, refutations: 1 }, ReportedState::Alive);
            sim.send_next_as(6, &[Section::Broadcasts(vec![broadcast])]);
        }
        sim.run_for(4_500 * MS);
        assert_eq!(sim.pings, usize::from(!refuted));
    }
}

#[test]
fn requests_leave_bandwidth_for_others_and_heartbeats() {
    let mut sim = OneMember::new();
    sim.run_for(10 * SECOND);
    let sent = |sim: &OneMember| sim.gossip.counts().sent;
    let ping = [Section::Ping { nonce: 9 }];
    let before = sent(&sim);
    (0..30).for_each(|_| sim.send_next_as(1, &ping));
    assert_eq!(sent(&sim) - before, 4, "requests of one member are limited");
    sim.send_next_as(2, &ping);
    assert_eq!(sent(&sim) - before, 5, "a request of another member is answered");
    (0..3).flat_map(|_| 4..24).for_each(|member| sim.send_next_as(member, &ping));
    let answered = sent(&sim) - before;
    assert!((10..=16).contains(&answered), "{answered} of 91 answered");
    let withheld = sim.gossip.counts().withheld(Purpose::Digest);
    sim.run_for(1_100 * MS);
    assert_eq!(sim.gossip.counts().withheld(Purpose::Digest), withheld);
    assert!(sent(&sim) - before >= answered + 4, "heartbeats are sent in the same second");
}

#[test]
fn one_failed_check_confirms_no_farewell() {
    let mut sim = OneMember::new();
    sim.send_next_as(3, &[]);
    sim.answers = false;
    sim.accuse(ReportedState::Left);
    sim.run_for(1_500 * MS);
    assert_eq!(sim.believed(3), [State::Alive, State::Suspect]);
    sim.answers = true;
    sim.run_for(20 * SECOND);
    assert_eq!(sim.believed(3), [State::Alive, State::Suspect, State::Alive]);
    sim.answers = false;
    sim.run_for(20 * SECOND);
    sim.accuse(ReportedState::Left);
    sim.run_for(6 * SECOND);
    assert_eq!(sim.believed(3).last(), Some(&State::Left), "the report is believed once more checks fail");
}

#[test]
fn stopped_member_reads_before_it_judges() {
    let mut sim = OneMember::new();
    sim.send_next_as(3, &[]);
    sim.answers = false;
    while sim.pings < 2 {
        sim.run_for(50 * MS);
    }
    // Member 3 was probed directly and through others. Its answer arrives while this member is stopped, but the member handles
    // its expired timer first.
    sim.now += 2 * SECOND;
    sim.gossip.handle(sim.now, Input::Tick);
    sim.drain();
    sim.send_next_as(3, &[]);
    assert_eq!(sim.believed(3), [State::Alive]);
}

#[test]
fn datagram_older_than_farewell_revives_nobody() {
    let mut sim = OneMember::new();
    sim.send_as(3, 10, &[]);
    sim.send_as(3, 12, &[Section::Leave]);
    sim.send_as(3, 11, &[Section::Digest { total: 0, entries: vec![] }]);
    assert_eq!(sim.believed(3), [State::Alive, State::Left]);
    sim.send_as(3, 13, &[]);
    assert_eq!(
        sim.believed(3),
        [State::Alive, State::Left, State::Alive],
        "a datagram after the farewell revives the member"
    );
}
