//! The knowledge of this member about one other member.

use crate::peer_state::PeerState;
use crate::replay_window::ReplayWindow;
use crate::token_bucket::TokenBucket;
use crate::{Incarnation, Micros};

/// Maximum reporters counted for a report. More of them don't shorten a suspicion (Lifeguard's K). Two faulty peers are
/// tolerated: of three reporters, at least one heard the member itself or made its own checks.
pub(crate) const MAX_REPORTERS: usize = 3;

/// Requests of one peer that are answered per second. A peer with a suspicion sends two requests in half a second for itself
/// and for each of a few others. A peer that sends more would use up this member's bandwidth.
const REQUESTS_PER_S: u32 = 4;

/// Probes per second that one peer's reports may prompt. Deaths are less frequent, and when many members die at once, many
/// others report them.
const PROMPTED_PROBES_PER_S: u32 = 2;

/// The state of a member, as this member believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Alive, or not heard yet and not silent for long enough to be probed.
    Alive,
    /// Possibly dead. A suspect counts as active until it is declared dead.
    Suspect,
    /// Dead: the member does not answer, directly or through others.
    Dead,
    /// The member announced that it leaves, or others reported so and it does not answer.
    Left,
}

impl State {
    /// Returns whether the member counts as part of the fleet.
    pub fn is_active(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// The process of the member from which datagrams were received directly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Session {
    pub(crate) incarnation: Incarnation,
    pub(crate) window: ReplayWindow,
}

/// The reports of other members on a peer since it was last known to be alive. Each reporter counts once, even if it repeats
/// a report.
#[derive(Debug, Default)]
pub(crate) struct ReportsOnPeer {
    /// Members that report the peer alive although this member believes that it is dead or has left.
    alive: Vec<u16>,
    /// Members that report that the peer left.
    left: Vec<u16>,
    /// Members that could not reach the peer themselves, and those that report that it left.
    accusers: Vec<u16>,
    /// Whether the peer was accused while it was heard, and must be probed once it is silent.
    pub(crate) probe_when_silent: bool,
}

impl ReportsOnPeer {
    /// Records that this reporter could not reach the peer.
    pub(crate) fn add_accuser(&mut self, reporter: u16) {
        add_reporter(&mut self.accusers, reporter);
    }

    /// Records that this reporter says the peer is alive. Returns whether there are more such reporters than tolerated faulty
    /// peers.
    pub(crate) fn add_alive(&mut self, reporter: u16) -> bool {
        add_reporter(&mut self.alive, reporter);
        self.alive.len() == MAX_REPORTERS
    }

    /// Clears the reports that the peer is alive, because they were about an older incarnation.
    pub(crate) fn clear_alive(&mut self) {
        self.alive.clear();
    }

    /// Records that this reporter says the peer left.
    pub(crate) fn add_left(&mut self, reporter: u16) {
        add_reporter(&mut self.accusers, reporter);
        add_reporter(&mut self.left, reporter);
    }

    pub(crate) fn accusers(&self) -> usize {
        self.accusers.len()
    }

    /// Returns whether any member reports that the peer left.
    pub(crate) fn any_left(&self) -> bool {
        !self.left.is_empty()
    }

    /// Returns whether enough members report that the peer left to end a suspicion without waiting for its time-out.
    pub(crate) fn left_is_certain(&self) -> bool {
        self.left.len() >= MAX_REPORTERS
    }
}

fn add_reporter(reporters: &mut Vec<u16>, reporter: u16) {
    if reporters.len() < MAX_REPORTERS && !reporters.contains(&reporter) {
        reporters.push(reporter);
    }
}

/// Limits on the work that a peer can cause for this member.
#[derive(Debug)]
pub(crate) struct PeerLimits {
    /// Limits the datagrams of the peer that are processed.
    pub(crate) inbound: TokenBucket,
    /// Limits the requests of the peer that are answered.
    pub(crate) requests: TokenBucket,
    /// Limits the probes of other members that reports of the peer prompt.
    pub(crate) prompted_probes: TokenBucket,
}

/// One other member.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) state: State,
    /// The newest known incarnation, from the peer itself or from reports. It orders reports. The peer's own datagrams are
    /// ordered by `session` alone; otherwise a faulty peer could make them appear superseded.
    pub(crate) incarnation: Incarnation,
    /// `None` until a datagram was received from the peer itself.
    pub(crate) session: Option<Session>,
    /// When the peer was last known to be alive: it sent a datagram, or answered an indirect ping. It also starts with the
    /// time when the peer was added, and moves forward when this process was late.
    pub(crate) last_alive_at: Micros,
    /// The counter of the peer's farewell. Datagrams sent before the farewell don't make the peer active again.
    pub(crate) farewell: Option<u64>,
    pub(crate) reports: ReportsOnPeer,
    pub(crate) reported_state: PeerState,
    pub(crate) limits: PeerLimits,
    /// When others' reports last prompted this member to probe it.
    pub(crate) prompted_at: Option<Micros>,
    /// When the peer was last sent a correction, which tells it that a newer incarnation of it is known.
    pub(crate) corrected_at: Option<Micros>,
}

impl Peer {
    /// Creates a peer that was not heard yet. Up to `datagrams_per_s` of its datagrams are processed per second.
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

    /// Records that the peer is alive, and discards the reports of others.
    pub(crate) fn mark_alive(&mut self, now: Micros) {
        self.last_alive_at = now;
        self.discard_reports();
    }

    /// Discards the reports of others, which no longer hold.
    pub(crate) fn discard_reports(&mut self) {
        self.reports = ReportsOnPeer::default();
    }
}
