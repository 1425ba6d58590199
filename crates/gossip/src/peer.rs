//! What is known of one other member.

use crate::peer_state::PeerState;
use crate::replay_window::ReplayWindow;
use crate::token_bucket::TokenBucket;
use crate::{Incarnation, Micros};

/// Members that are remembered for a report: more don't shorten a suspicion (Lifeguard's K), and two faulty peers are
/// tolerated: of three, one heard it from the member, or checked for itself.
pub(crate) const MAX_REPORTERS: usize = 3;

/// Requests of one peer that are answered a second. A peer that suspects asks twice in half a second, on its own behalf and on
/// each of a few others'; one that asks more wants to use up this member's bandwidth.
const REQUESTS_PER_S: u32 = 4;

/// Probes that one peer's reports prompt a second. Deaths are rarer, and of many at once, many report.
const PROMPTED_PROBES_PER_S: u32 = 2;

/// What a member is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Alive, or not heard yet and still in its time to speak.
    Alive,
    /// May be dead. Counts as alive until that is certain.
    Suspect,
    /// Dead: does not answer, directly or through others.
    Dead,
    /// Announced that it leaves, and does not answer.
    Left,
}

impl State {
    /// Whether it is a member of the fleet, as far as is known.
    pub fn is_active(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// The process whose datagrams were received from the member itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Session {
    pub(crate) incarnation: Incarnation,
    pub(crate) window: ReplayWindow,
}

/// What other members report of this one since it was last known to be alive. Each reporter counts once, whatever it repeats.
#[derive(Debug, Default)]
pub(crate) struct ReportsOnPeer {
    /// Members that report it alive though it was believed gone.
    alive: Vec<u16>,
    /// Members that report that it left.
    left: Vec<u16>,
    /// Members that could not reach it themselves, and those that report that it left.
    accusers: Vec<u16>,
    /// It was accused: to be probed once it is silent.
    pub(crate) probe_when_silent: bool,
}

impl ReportsOnPeer {
    /// Notes that this member could not reach the peer.
    pub(crate) fn add_accuser(&mut self, reporter: u16) {
        add_reporter(&mut self.accusers, reporter);
    }

    /// Notes that this member reports the peer alive; whether more do than there may be faulty peers.
    pub(crate) fn add_alive(&mut self, reporter: u16) -> bool {
        add_reporter(&mut self.alive, reporter);
        self.alive.len() == MAX_REPORTERS
    }

    /// Forgets who reported it alive: those reports were of an older incarnation.
    pub(crate) fn clear_alive(&mut self) {
        self.alive.clear();
    }

    /// Notes that this member reports that the peer left.
    pub(crate) fn add_left(&mut self, reporter: u16) {
        add_reporter(&mut self.accusers, reporter);
        add_reporter(&mut self.left, reporter);
    }

    pub(crate) fn accusers(&self) -> usize {
        self.accusers.len()
    }

    /// Whether any member reports that it left.
    pub(crate) fn any_left(&self) -> bool {
        !self.left.is_empty()
    }

    /// Whether enough members report that it left to stop waiting.
    pub(crate) fn left_is_certain(&self) -> bool {
        self.left.len() >= MAX_REPORTERS
    }
}

fn add_reporter(reporters: &mut Vec<u16>, reporter: u16) {
    if reporters.len() < MAX_REPORTERS && !reporters.contains(&reporter) {
        reporters.push(reporter);
    }
}

/// Limits on what a peer can make this member do.
#[derive(Debug)]
pub(crate) struct PeerLimits {
    /// Datagrams of it that are looked at.
    pub(crate) inbound: TokenBucket,
    /// Requests of it that are answered.
    pub(crate) requests: TokenBucket,
    /// Probes of others that its reports prompt.
    pub(crate) prompted_probes: TokenBucket,
}

/// One other member.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) state: State,
    /// The newest incarnation known, from itself or by reports: orders reports. What it says itself is ordered by `session`
    /// alone, or a faulty peer could make it look old.
    pub(crate) incarnation: Incarnation,
    /// `None` before anything was received from itself.
    pub(crate) session: Option<Session>,
    /// When it last was known to be alive: it spoke here, answered another on our behalf, or got its time to speak.
    pub(crate) last_alive_at: Micros,
    /// The counter of its farewell: what it sent before does not bring it back.
    pub(crate) farewell: Option<u64>,
    pub(crate) reports: ReportsOnPeer,
    pub(crate) reported_state: PeerState,
    pub(crate) limits: PeerLimits,
    /// When others' reports last prompted this member to probe it.
    pub(crate) prompted_at: Option<Micros>,
    /// When it last was sent a correction: that it is known by a newer incarnation.
    pub(crate) corrected_at: Option<Micros>,
}

impl Peer {
    /// A member that was not heard yet; `datagrams_per_s` of its datagrams are processed.
    pub(crate) fn new(now: Micros, datagrams_per_s: u32) -> Self {
        Peer {
            state: State::Alive,
            incarnation: Incarnation::default(),
            session: None,
            last_alive_at: now,
            farewell: None,
            reports: ReportsOnPeer::default(),
            reported_state: PeerState::default(),
            limits: PeerLimits {
                inbound: TokenBucket::new(datagrams_per_s, now),
                requests: TokenBucket::new(REQUESTS_PER_S, now),
                prompted_probes: TokenBucket::new(PROMPTED_PROBES_PER_S, now),
            },
            prompted_at: None,
            corrected_at: None,
        }
    }

    /// It is known to be alive: what others reported is void.
    pub(crate) fn mark_alive(&mut self, now: Micros) {
        self.last_alive_at = now;
        self.discard_reports();
    }

    /// What others reported was of an older incarnation.
    pub(crate) fn discard_reports(&mut self) {
        self.reports = ReportsOnPeer::default();
    }
}
