//! What is known of one other member.

use crate::bandwidth_limit::Bucket;
use crate::peer_state::Told;
use crate::replay_window::Window;
use crate::{Incarnation, Micros};

/// Members that are remembered for having said so: more don't shorten a suspicion (Lifeguard's K), and two liars are
/// reckoned with: of three, one heard it from the member, or checked for itself.
pub(crate) const MOST_TELLERS: usize = 3;

/// Questions of one peer that are answered a second. In doubt one asks twice in half a second, on its own behalf and on each
/// of a few others'; one that asks more wants to use up this member's ceiling.
const QUESTIONS_PER_S: u32 = 4;

/// Members that this one asks a second because of one peer's words. Deaths are rarer, and of many at once, many tell.
const HEEDED_PER_S: u32 = 2;

/// What a member is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Lives, or was not heard yet and has its time to speak.
    Alive,
    /// May be gone. Counts as alive until it is certain.
    Suspect,
    /// Gone: does not answer, directly or through others.
    Dead,
    /// Said that it leaves, and does not answer.
    Left,
}

impl State {
    /// Whether it takes part, as far as is known.
    pub fn is_active(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What was heard from the member itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    pub(crate) incarnation: Incarnation,
    pub(crate) window: Window,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) state: State,
    /// The newest incarnation known, from itself or by hearsay: orders hearsay. What it says itself is ordered by `heard`
    /// alone, or a liar could make its words look old.
    pub(crate) incarnation: Incarnation,
    /// From itself; nothing yet: `None`.
    pub(crate) heard: Option<Heard>,
    /// When it last spoke here, answered another on our behalf, or got its time to speak.
    pub(crate) sign: Micros,
    /// The counter of its farewell: what it sent before does not bring it back.
    pub(crate) farewell: Option<u64>,
    /// Who says that it lives though it was believed gone.
    pub(crate) alive_tellers: Vec<u16>,
    /// Who says that it left, since the last sign.
    pub(crate) left_tellers: Vec<u16>,
    /// Somebody doubts it: to be asked once it is silent.
    pub(crate) to_ask: bool,
    /// Who says that it could not reach it itself, since the last sign.
    pub(crate) accusers: Vec<u16>,
    pub(crate) told: Told,
    pub(crate) inbound: Bucket,
    /// What it may ask.
    pub(crate) questions: Bucket,
    /// What its words on others move this member to ask.
    pub(crate) heeded: Bucket,
    /// When this member last asked it because of others' words.
    pub(crate) asked_by_word: Option<Micros>,
    /// When it was last told that it is known by a newer incarnation.
    pub(crate) corrected: Option<Micros>,
}

impl Peer {
    pub(crate) fn new(now: Micros, per_s: u32) -> Self {
        Peer {
            state: State::Alive,
            incarnation: Incarnation::default(),
            heard: None,
            sign: now,
            farewell: None,
            alive_tellers: Vec::new(),
            left_tellers: Vec::new(),
            to_ask: false,
            accusers: Vec::new(),
            told: Told::default(),
            inbound: Bucket::new(per_s, now),
            questions: Bucket::new(QUESTIONS_PER_S, now),
            heeded: Bucket::new(HEEDED_PER_S, now),
            asked_by_word: None,
            corrected: None,
        }
    }

    /// Notes that this member says it could not reach the peer. Each counts once, whatever it repeats.
    pub(crate) fn accused_by(&mut self, accuser: u16) {
        add(&mut self.accusers, accuser);
    }

    /// Notes that this member says the peer lives; whether more say so than liars are reckoned with.
    pub(crate) fn said_alive_by(&mut self, teller: u16) -> bool {
        add(&mut self.alive_tellers, teller);
        self.alive_tellers.len() == MOST_TELLERS
    }

    /// Notes that this member says the peer has left.
    pub(crate) fn said_left_by(&mut self, teller: u16) {
        add(&mut self.accusers, teller);
        add(&mut self.left_tellers, teller);
    }

    /// A sign of life: what was held against it is void.
    pub(crate) fn gave_sign(&mut self, now: Micros) {
        self.sign = now;
        self.contradicted();
    }

    /// What was held against it was of an older incarnation.
    pub(crate) fn contradicted(&mut self) {
        self.to_ask = false;
        self.alive_tellers.clear();
        self.left_tellers.clear();
        self.accusers.clear();
    }
}

fn add(tellers: &mut Vec<u16>, teller: u16) {
    if tellers.len() < MOST_TELLERS && !tellers.contains(&teller) {
        tellers.push(teller);
    }
}
