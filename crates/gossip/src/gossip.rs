//! One member of the fleet: its inputs, outputs and timers. The handling of received datagrams is in `receiving` and
//! `indirect_reports`, probes and suspicions are in `probing`, and the sending of datagrams is in `sending`.

use crate::bandwidth_limit::BandwidthLimit;
use crate::broadcast_queue::BroadcastQueue;
use crate::farewell::Farewell;
use crate::identity::Identity;
use crate::interface::{Input, Output};
use crate::local_health::LocalHealth;
use crate::local_state::LocalState;
use crate::peer::State;
use crate::peers::Peers;
use crate::probes::Probes;
use crate::rotation::Rotation;
use crate::suspicion::Suspicion;
use crate::token_bucket::TokenBucket;
use crate::{Counts, Entry, Incarnation, Keys, Micros, Settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of members. Ordinals have 16 bits on the wire, and one value is reserved for "all members".
const MAX_MEMBERS: u32 = u16::MAX as u32;
/// Time-outs of probes are rounded up to multiples of this, so that hundreds of suspects don't each wake the event loop.
const TIMER_GRANULARITY: Micros = 10_000;
/// Limit on datagrams processed from all peers together, in multiples of the limit for one peer. With the most expensive
/// proof (40 us, or twice that during a key change), the resulting 256 datagrams per second take 1% of a core.
const INBOUND_MULTIPLIER: u32 = 8;
/// Divisor of the period: the first period begins after a random delay of up to 1/10 of a period.
const START_SPREAD: Micros = 10;

/// Detects members that are dead.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    pub(crate) probes: Probes,
    pub(crate) suspicions: BTreeMap<u16, Suspicion>,
    /// The order in which silent members are probed.
    pub(crate) rotation: Rotation,
    pub(crate) health: LocalHealth,
}

/// The information that this member sends to others.
#[derive(Debug, Default)]
pub(crate) struct Dissemination {
    pub(crate) broadcasts: BroadcastQueue,
    pub(crate) local_state: LocalState,
    /// The order in which members receive digests.
    pub(crate) rotation: Rotation,
}

/// Rate limits on sent and received datagrams.
#[derive(Debug)]
pub(crate) struct Limits {
    pub(crate) bandwidth: BandwidthLimit,
    /// Limits the datagrams processed from all peers together.
    pub(crate) inbound: TokenBucket,
}

/// The timers of this member.
#[derive(Debug)]
pub(crate) struct Schedule {
    pub(crate) next_period: Micros,
    /// Number of periods since the start.
    pub(crate) periods: u64,
    /// The time that [`Gossip::next_timeout`] returns.
    timeout: Micros,
}

/// One member of the fleet.
#[derive(Debug)]
pub struct Gossip {
    pub(crate) settings: Settings,
    pub(crate) keys: Keys,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Micros,
    pub(crate) identity: Identity,
    pub(crate) peers: Peers,
    pub(crate) detector: FailureDetector,
    pub(crate) dissemination: Dissemination,
    pub(crate) limits: Limits,
    pub(crate) schedule: Schedule,
    pub(crate) farewell: Option<Farewell>,
    pub(crate) counts: Counts,
    outputs: VecDeque<Output>,
}

impl Gossip {
    /// Creates the member with the ordinal `me` of a fleet of `members`, which are numbered from 0. `generation` distinguishes
    /// this process from earlier ones with the same ordinal: it is the Unix time in milliseconds when the process started.
    /// The keys must be of the settings' strength.
    pub fn new(
        settings: Settings,
        keys: Keys,
        me: u32,
        members: u32,
        generation: u64,
        seed: u64,
        now: Micros,
    ) -> Self {
        debug_assert_eq!(settings.strength, keys.strength());
        let me = me.min(MAX_MEMBERS - 1) as u16;
        let inbound = settings.datagrams_per_s.saturating_mul(INBOUND_MULTIPLIER);
        let mut gossip = Gossip {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            identity: Identity::new(me, generation),
            peers: Peers::new(me),
            detector: FailureDetector::default(),
            dissemination: Dissemination::default(),
            limits: Limits {
                bandwidth: BandwidthLimit::new(&settings),
                inbound: TokenBucket::new(inbound, now),
            },
            schedule: Schedule { next_period: now, periods: 0, timeout: now },
            farewell: None,
            counts: Counts::default(),
            outputs: VecDeque::new(),
            settings,
            keys,
        };
        gossip.set_members(members);
        // The first period begins soon, so that other members hear a restarted process before they miss it. The delay is
        // random, so that members that start together don't all send at the same instant.
        let spread = gossip.settings.period / START_SPREAD;
        gossip.schedule.next_period = now + gossip.rng.random_range(0..=spread);
        gossip.set_timeout();
        gossip
    }

    /// Handles an input. Afterwards the embedder calls [`Gossip::poll`] until it returns `None`. A `now` before the latest one
    /// is replaced by the latest one.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        self.now = self.now.max(now);
        self.compensate_for_lateness();
        match input {
            Input::Datagram { from, bytes } => self.receive(from, bytes),
            Input::LocalState(entries) => {
                let rounds = self.rounds_to_reach_all();
                self.dissemination.local_state.replace(entries, rounds);
            }
            Input::Leave => self.leave(),
            Input::Keys(keys) if keys.strength() == self.settings.strength => self.keys = keys,
            Input::Keys(_) => debug_assert!(false, "another strength takes a restart"),
            Input::Members(members) => self.set_members(members),
            Input::Tick => {}
        }
        self.run_timers();
        self.set_timeout();
    }

    /// Returns the next output, if there is one.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns when [`Input::Tick`] is due, unless another input comes first. A late input counts as slowness of this proxy.
    pub fn next_timeout(&self) -> Micros {
        self.schedule.timeout
    }

    /// Returns the number of members known as active, including this one and suspects. A member that was never heard counts as
    /// active until its time to send a first datagram is over, so the number may be too high.
    pub fn alive(&self) -> u32 {
        1 + self.peers.active() as u32
    }

    /// Returns the ordinal, state and incarnation of each other member.
    pub fn members(&self) -> impl Iterator<Item = (u32, State, Incarnation)> {
        self.peers.iter().map(|(ordinal, peer)| (u32::from(ordinal), peer.state, peer.incarnation))
    }

    /// Returns the current entries of a peer and how long ago each was received. A peer that is dead or has left has none.
    pub fn digest_of(&self, origin: u32) -> impl Iterator<Item = (&Entry, Micros)> {
        let entries = self.peers.get(origin).into_iter().flat_map(|peer| peer.reported_state.entries());
        entries.map(|(entry, received_at)| (entry, self.now - received_at))
    }

    /// Returns how long ago the newest digest of a peer was received, and how many entries the peer has. Entries missing from
    /// [`Gossip::digest_of`] were not received yet.
    pub fn freshness(&self, origin: u32) -> Option<(Micros, usize)> {
        let (received_at, total) = self.peers.get(origin)?.reported_state.newest_digest()?;
        Some((self.now - received_at, total))
    }

    /// Returns the counters of datagrams sent, received, dropped and withheld.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns this member's incarnation, which counts the refutations of reports that it is suspect or has left.
    pub fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    /// Returns whether sending farewells after [`Input::Leave`] is complete, so that the process may end.
    pub fn has_left(&self) -> bool {
        self.farewell.as_ref().is_some_and(|farewell| farewell.next_at().is_none())
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.outputs.push_back(output);
    }

    /// Sets a peer's state and outputs the change. The entries of a peer that is no longer active are discarded.
    pub(crate) fn set_state(&mut self, ordinal: u16, state: State) {
        let incarnation = self.peers[ordinal].incarnation;
        if !self.peers.set_state(ordinal, state) {
            return;
        }
        if state != State::Suspect {
            self.detector.suspicions.remove(&ordinal);
        }
        self.output(Output::Member { ordinal: ordinal.into(), state, incarnation });
    }

    /// Returns whether all active members receive a digest from this member in each period, and it from them.
    pub(crate) fn reaches_all_each_period(&self) -> bool {
        self.peers.active() <= self.settings.fan_out
    }

    /// Returns the number of rounds in which every active member receives a digest once.
    pub(crate) fn rounds_to_reach_all(&self) -> u32 {
        self.peers.active().div_ceil(self.settings.fan_out).max(1) as u32
    }

    fn set_members(&mut self, members: u32) {
        let me = self.identity.ordinal;
        let members = members.clamp(u32::from(me) + 1, MAX_MEMBERS) as u16;
        self.detector.suspicions.retain(|ordinal, _| *ordinal < members);
        self.detector.probes.retain_below(members);
        self.peers.resize(members, self.now, self.settings.datagrams_per_s);
        self.dissemination.rotation = Rotation::new(members, me, &mut self.rng);
        self.detector.rotation = Rotation::new(members, me, &mut self.rng);
    }

    /// Compensates for a process that was stopped or an event loop that was late: the silence of other members in that time
    /// proves nothing. All of them get more time, and this member's local health degrades.
    fn compensate_for_lateness(&mut self) {
        let late = self.now.saturating_sub(self.schedule.timeout);
        if late <= self.settings.probe_timeout / 2 {
            return;
        }
        self.detector.health.degrade();
        // The datagrams that arrived meanwhile are read in the next iterations of the event loop; no member is suspected or
        // declared dead before that.
        let extra = late + self.settings.probe_timeout;
        for peer in self.peers.iter_mut() {
            peer.last_alive_at = peer.last_alive_at.saturating_add(extra).min(self.now);
        }
        self.detector.suspicions.values_mut().for_each(|suspicion| suspicion.postpone(extra));
        self.detector.probes.postpone(extra);
    }

    fn run_timers(&mut self) {
        if self.farewell.is_some() {
            return self.run_farewell();
        }
        self.run_probes();
        if self.now >= self.schedule.next_period {
            self.begin_period();
        }
    }

    /// Sets the next time-out, never in the past: a report may make a step due at once, and that must not count as lateness of
    /// this member.
    fn set_timeout(&mut self) {
        let due = match &self.farewell {
            Some(farewell) => farewell.next_at().unwrap_or(Micros::MAX),
            None => {
                let probe = self.next_probe_timeout().unwrap_or(Micros::MAX);
                let rounded = probe.saturating_add((-probe).rem_euclid(TIMER_GRANULARITY));
                rounded.min(self.schedule.next_period)
            }
        };
        self.schedule.timeout = due.max(self.now);
    }
}
