//! One member by hand, the others played: what a tier of honest members hides, because several guards hold at once.

mod common;
use common::*;
use cottonnotch_gossip::wire::{Header, ReportedState, Section, read_sections};
use cottonnotch_gossip::*;
use std::collections::BTreeSet;

/// Member 0 of 24, and the counters of those that are played.
struct Played {
    gossip: Gossip,
    now: Micros,
    counter: u64,
    /// Pings that member 3 got.
    pings: usize,
    /// Members that got one.
    asked: BTreeSet<u32>,
    /// Member 3 answers.
    answers: bool,
    beliefs: Vec<(u32, State)>,
}

impl Played {
    fn new() -> Self {
        let gossip = Gossip::new(settings(), Keys::Address, 0, 24, EPOCH, 1, 0);
        Played {
            gossip,
            now: 0,
            counter: 0,
            pings: 0,
            asked: BTreeSet::new(),
            answers: true,
            beliefs: Vec::new(),
        }
    }

    fn says(&mut self, member: u32, counter: u64, parts: &[Section]) {
        let bytes = write(&Keys::Address, member, Incarnation::first(EPOCH), counter, To::One(0), parts);
        self.gossip.handle(self.now, Input::Datagram { from: Some(member), bytes: &bytes });
        self.listen();
    }

    fn says_next(&mut self, member: u32, parts: &[Section]) {
        self.counter += 1;
        self.says(member, self.counter, parts);
    }

    fn listen(&mut self) {
        while let Some(output) = self.gossip.poll() {
            match output {
                Output::Member { ordinal, state, .. } => self.beliefs.push((ordinal, state)),
                Output::Send { to: To::One(to), bytes } => {
                    let length = Header::read(&bytes).unwrap().1;
                    for part in read_sections(&bytes[length..]).unwrap() {
                        let Section::Ping { nonce } = part else { continue };
                        self.asked.insert(to);
                        self.pings += usize::from(to == 3);
                        if to == 3 && self.answers {
                            self.says_next(3, &[Section::Ack { nonce }]);
                        }
                    }
                }
                _ => {}
            }
        }
    }

    /// Lets time pass, on time.
    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.gossip.next_timeout() <= until {
            self.now = self.gossip.next_timeout();
            self.gossip.handle(self.now, Input::Tick);
            self.listen();
        }
        self.now = until;
    }

    fn accuse(&mut self, state: ReportedState) {
        for teller in [1, 2, 5] {
            let broadcast = broadcast(3, Incarnation::first(EPOCH), state);
            self.says_next(teller, &[Section::Broadcasts(vec![broadcast])]);
        }
    }

    fn believed(&self, member: u32) -> Vec<State> {
        self.beliefs.iter().filter(|belief| belief.0 == member).map(|belief| belief.1).collect()
    }
}

#[test]
fn who_is_heard_is_not_asked_whatever_is_said() {
    let mut played = Played::new();
    for _ in 0..40 {
        played.says_next(3, &[Section::Digest { total: 0, entries: vec![] }]);
        played.accuse(ReportedState::Suspect);
        played.pass(250 * MS);
    }
    assert_eq!((played.pings, played.believed(3)), (0, vec![State::Alive]));
}

#[test]
fn who_answers_is_not_suspected_whatever_is_said() {
    let mut played = Played::new();
    played.says_next(3, &[]);
    for _ in 0..240 {
        for word in [ReportedState::Suspect, ReportedState::Left] {
            played.accuse(word);
            played.pass(125 * MS);
        }
    }
    assert_eq!(played.believed(3), [State::Alive]);
    assert!(
        (5..=30).contains(&played.pings),
        "{} questions in a minute because of 1,440 words",
        played.pings
    );
}

#[test]
fn one_that_accuses_all_moves_to_few_questions() {
    let mut played = Played::new();
    played.pass(3 * S);
    played.asked.clear();
    for subject in 3..24 {
        let broadcast = broadcast(subject, Incarnation::first(EPOCH), ReportedState::Suspect);
        played.says_next(1, &[Section::Broadcasts(vec![broadcast])]);
    }
    played.pass(700 * MS);
    // Two, and one in its turn.
    assert!((2..=3).contains(&played.asked.len()), "{:?}", played.asked);
}

#[test]
fn what_was_contradicted_moves_to_none() {
    for contradicted in [false, true] {
        let mut played = Played::new();
        played.pass(3 * S);
        played.says_next(3, &[]);
        played.accuse(ReportedState::Suspect);
        if contradicted {
            let broadcast =
                broadcast(3, Incarnation { generation: EPOCH, refutations: 1 }, ReportedState::Alive);
            played.says_next(6, &[Section::Broadcasts(vec![broadcast])]);
        }
        played.pass(4_500 * MS);
        assert_eq!(played.pings, usize::from(!contradicted));
    }
}

#[test]
fn who_asks_much_leaves_answers_for_others_and_all_leave_room_for_beats() {
    let mut played = Played::new();
    played.pass(10 * S);
    let sent = |played: &Played| played.gossip.counts().sent;
    let ping = [Section::Ping { nonce: 9 }];
    let before = sent(&played);
    (0..30).for_each(|_| played.says_next(1, &ping));
    assert_eq!(sent(&played) - before, 4, "the questions of one");
    played.says_next(2, &ping);
    assert_eq!(sent(&played) - before, 5, "and one of another");
    (0..3).flat_map(|_| 4..24).for_each(|member| played.says_next(member, &ping));
    let answered = sent(&played) - before;
    assert!((10..=16).contains(&answered), "{answered} of 91 answered");
    let withheld = played.gossip.counts().withheld(Purpose::Digest);
    played.pass(1_100 * MS);
    assert_eq!(played.gossip.counts().withheld(Purpose::Digest), withheld);
    assert!(sent(&played) - before >= answered + 4, "the beats of the same second");
}

#[test]
fn one_check_that_fails_proves_nothing_whoever_says_farewell_for_it() {
    let mut played = Played::new();
    played.says_next(3, &[]);
    played.answers = false;
    played.accuse(ReportedState::Left);
    played.pass(1_500 * MS);
    assert_eq!(played.believed(3), [State::Alive, State::Suspect]);
    played.answers = true;
    played.pass(20 * S);
    assert_eq!(played.believed(3), [State::Alive, State::Suspect, State::Alive]);
    played.answers = false;
    played.pass(20 * S);
    played.accuse(ReportedState::Left);
    played.pass(6 * S);
    assert_eq!(played.believed(3).last(), Some(&State::Left), "and if it fails again, it is believed");
}

#[test]
fn one_that_slept_reads_what_came_before_it_judges() {
    let mut played = Played::new();
    played.says_next(3, &[]);
    played.answers = false;
    while played.pings < 2 {
        played.pass(50 * MS);
    }
    // Asked directly and through others; the answer comes while this one sleeps, and its timer is seen first.
    played.now += 2 * S;
    played.gossip.handle(played.now, Input::Tick);
    played.listen();
    played.says_next(3, &[]);
    assert_eq!(played.believed(3), [State::Alive]);
}

#[test]
fn what_was_said_before_a_farewell_does_not_bring_back() {
    let mut played = Played::new();
    played.says(3, 10, &[]);
    played.says(3, 12, &[Section::Leave]);
    played.says(3, 11, &[Section::Digest { total: 0, entries: vec![] }]);
    assert_eq!(played.believed(3), [State::Alive, State::Left]);
    played.says(3, 13, &[]);
    assert_eq!(played.believed(3), [State::Alive, State::Left, State::Alive], "what it says after does");
}
