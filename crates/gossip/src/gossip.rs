//! One member: its inputs, its outputs, its clock. What it does with a datagram is in `receiving` and `indirect_reports`, how it
//! probes and suspects others in `probing`, what it sends in `sending`.

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

/// Members at most; ordinals have 16 bits on the wire, and one value stands for all.
const MAX_MEMBERS: u32 = u16::MAX as u32;
/// Time-outs of probes fall on multiples of this, so that hundreds of suspects don't wake the loop one by one.
const TIMER_GRANULARITY: Micros = 10_000;
/// Datagrams looked at from all peers, in multiples of what one may send: with the dearest proof (40 us, twice that
/// while keys change) 256 a second are 1% of a core.
const INBOUND_MULTIPLIER: u32 = 8;
/// The first period begins within this fraction of a period.
const START_SPREAD: Micros = 10;

/// How this member finds out who is dead.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    pub(crate) probes: Probes,
    pub(crate) suspicions: BTreeMap<u16, Suspicion>,
    /// In whose order silent members are probed.
    pub(crate) rotation: Rotation,
    pub(crate) health: LocalHealth,
}

/// What this member passes on.
#[derive(Debug, Default)]
pub(crate) struct Dissemination {
    pub(crate) broadcasts: BroadcastQueue,
    pub(crate) local_state: LocalState,
    /// In whose order members get digests.
    pub(crate) rotation: Rotation,
}

/// What this member sends and handles at most.
#[derive(Debug)]
pub(crate) struct Limits {
    pub(crate) bandwidth: BandwidthLimit,
    /// Datagrams of all peers together.
    pub(crate) inbound: TokenBucket,
}

/// When this member acts of its own.
#[derive(Debug)]
pub(crate) struct Schedule {
    pub(crate) next_period: Micros,
    /// Periods so far.
    pub(crate) periods: u64,
    /// The time-out that the embedder was given last.
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
    /// A member with the ordinal `me`, of a fleet of `members`, numbered from 0. `generation` distinguishes this process from earlier ones of the same ordinal:
    /// Unix time in milliseconds at its start. The keys must be of the settings' strength.
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
        // At once, so that a process that restarts is known before anybody missed it; not all of a start in one instant.
        let spread = gossip.settings.period / START_SPREAD;
        gossip.schedule.next_period = now + gossip.rng.random_range(0..=spread);
        gossip.set_timeout();
        gossip
    }

    /// Takes an input; then [`Gossip::poll`] until it gives nothing. `now` never goes back (one that does counts as the
    /// latest).
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

    /// The next thing to do, if any.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Input::Tick`] is due, unless another input comes first. Late ones count as this proxy's own slowness.
    pub fn next_timeout(&self) -> Micros {
        self.schedule.timeout
    }

    /// How many members are active, this one included, as far as is known: suspects are. A member that was not heard yet is
    /// until it had its time to speak; so this errs upwards.
    pub fn alive(&self) -> u32 {
        1 + self.peers.active() as u32
    }

    /// The other members: ordinal, state, incarnation.
    pub fn members(&self) -> impl Iterator<Item = (u32, State, Incarnation)> {
        self.peers.iter().map(|(ordinal, peer)| (u32::from(ordinal), peer.state, peer.incarnation))
    }

    /// What a peer reported that is in force: entries, and how long ago each was received. Nothing of one that is dead or left.
    pub fn digest_of(&self, origin: u32) -> impl Iterator<Item = (&Entry, Micros)> {
        let entries = self.peers.get(origin).into_iter().flat_map(|peer| peer.reported_state.entries());
        entries.map(|(entry, received_at)| (entry, self.now - received_at))
    }

    /// How long ago a peer last reported of its endpoints, and how many it has; those not in [`Gossip::digest_of`] were not
    /// received yet.
    pub fn freshness(&self, origin: u32) -> Option<(Micros, usize)> {
        let (received_at, total) = self.peers.get(origin)?.reported_state.newest_digest()?;
        Some((self.now - received_at, total))
    }

    /// What was sent and received so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// This member's incarnation; it counts how often this member had to refute reports of its end.
    pub fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    /// After [`Input::Leave`]: all members were sent a farewell as often as is useful, the process may end.
    pub fn has_left(&self) -> bool {
        self.farewell.as_ref().is_some_and(|farewell| farewell.next_at().is_none())
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.outputs.push_back(output);
    }

    /// Sets a peer's state and reports it; what a member that is gone reported is void.
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

    /// Whether all active members hear from this one each period, and it from them.
    pub(crate) fn reaches_all_each_period(&self) -> bool {
        self.peers.active() <= self.settings.fan_out
    }

    /// Rounds in which all active members get a digest once.
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

    /// When this process was stopped, or its loop was late, others' silence in that time proves nothing: they all get more time,
    /// and the member trusts its own timing less.
    fn compensate_for_lateness(&mut self) {
        let late = self.now.saturating_sub(self.schedule.timeout);
        if late <= self.settings.probe_timeout / 2 {
            return;
        }
        self.detector.health.degrade();
        // What arrived meanwhile is read in the next turns: nobody is judged before.
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

    /// Never in the past: what became due by another member's report was not due before, and nobody was late.
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
