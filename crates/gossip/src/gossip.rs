//! One member: its inputs, its outputs, its clock. What it does with a datagram is in `receiving` and `hearsay`, how it asks
//! for signs of life in `probing`, what it sends in `telling`.

use crate::bandwidth_limit::{Bucket, Ceiling};
use crate::broadcast_queue::Broadcasts;
use crate::health::Health;
use crate::local_state::Own;
use crate::peer::{Peer, State};
use crate::probing::{Probes, Suspicion};
use crate::rotation::Rotation;
use crate::sending::Leaving;
use crate::{Counts, Entry, Incarnation, Keys, Micros, Settings, To};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Members at most; ordinals have 16 bits on the wire, and one value stands for all.
const MOST_MEMBERS: u32 = u16::MAX as u32;
/// Time-outs of probes fall on multiples of this, so that hundreds of suspects don't wake the loop one by one.
const GRAIN: Micros = 10_000;
/// Datagrams looked at from all peers, in multiples of what one may send: with the dearest proof (40 us, twice that
/// while keys change) 256 a second are 1% of a core.
const INBOUND: u32 = 8;

/// What happened.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A datagram came in.
    Datagram {
        /// The ordinal that has the sender's address; `None`: nobody's.
        from: Option<u32>,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// All that this proxy has to tell of its endpoints, in place of what it had before; about once a period. See
    /// [`crate::Directory`] for names. What is told next is told of this.
    LocalState(Vec<Entry>),
    /// This proxy leaves (SIGTERM): the others are told at once. See [`Gossip::gone`].
    Leave,
    /// Keys changed (reload). Of the same strength; another one takes a restart.
    Keys(Keys),
    /// How many members there are by configuration changed (reload). Ordinals keep their meaning; with a list in another
    /// order, begin anew.
    Members(u32),
    /// [`Gossip::next_timeout`] has come.
    Tick,
}

/// What is to be done, or to be known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram; never more than 256 bytes.
    Send {
        /// To whom.
        to: To,
        /// What.
        bytes: Vec<u8>,
    },
    /// What a member is believed to be has changed; also when a new life of it took the place of the old one.
    Member {
        /// Which one.
        ordinal: u32,
        /// Its state.
        state: State,
        /// Its incarnation, as known.
        incarnation: Incarnation,
    },
    /// A peer told something new of its endpoints. Each entry takes the place of what the same peer told of the same
    /// endpoint before; an empty one says that there is nothing any more. The whole is [`Gossip::digest_of`]. When a
    /// member is dead, has left or lives anew, all that it told is void.
    PeerReport {
        /// Who.
        from: u32,
        /// What is new.
        entries: Vec<Entry>,
    },
}

/// One member of the tier.
#[derive(Debug)]
pub struct Gossip {
    pub(crate) settings: Settings,
    pub(crate) keys: Keys,
    pub(crate) me: u16,
    pub(crate) chance: ChaCha8Rng,
    pub(crate) now: Micros,
    pub(crate) incarnation: Incarnation,
    /// When its own life was last said to be later than it is, and believed.
    pub(crate) jumped: Option<Micros>,
    /// Of the last datagram sent.
    pub(crate) counter: u64,
    /// By ordinal; the place of this member itself is unused.
    pub(crate) peers: Vec<Peer>,
    /// How many of the others take part.
    pub(crate) live: usize,
    pub(crate) suspicions: BTreeMap<u16, Suspicion>,
    pub(crate) probes: Probes,
    pub(crate) broadcasts: Broadcasts,
    pub(crate) own: Own,
    pub(crate) health: Health,
    pub(crate) ceiling: Ceiling,
    pub(crate) inbound: Bucket,
    pub(crate) receivers: Rotation,
    pub(crate) asked: Rotation,
    pub(crate) next_period: Micros,
    pub(crate) periods: u64,
    /// When it last contradicted word of its own end with a round of datagrams.
    pub(crate) contradicted: Option<Micros>,
    pub(crate) leaving: Option<Leaving>,
    pub(crate) counts: Counts,
    timeout: Micros,
    out: VecDeque<Output>,
}

impl Gossip {
    /// A member among so many, numbered from 0. `life` tells this process from earlier ones of the same ordinal: Unix time in
    /// milliseconds at its start. The keys must be of the settings' strength.
    pub fn new(
        settings: Settings,
        keys: Keys,
        me: u32,
        members: u32,
        life: u64,
        seed: u64,
        now: Micros,
    ) -> Self {
        debug_assert_eq!(settings.strength, keys.strength());
        let me = me.min(MOST_MEMBERS - 1) as u16;
        let mut gossip = Gossip {
            me,
            chance: ChaCha8Rng::seed_from_u64(seed),
            now,
            incarnation: Incarnation::first(life),
            jumped: None,
            counter: 0,
            peers: Vec::new(),
            live: 0,
            suspicions: BTreeMap::new(),
            probes: Probes::default(),
            broadcasts: Broadcasts::default(),
            own: Own::default(),
            health: Health::default(),
            ceiling: Ceiling::new(&settings),
            inbound: Bucket::new(settings.datagrams_per_s.saturating_mul(INBOUND), now),
            receivers: Rotation::default(),
            asked: Rotation::default(),
            next_period: now,
            periods: 0,
            contradicted: None,
            leaving: None,
            counts: Counts::default(),
            timeout: now,
            out: VecDeque::new(),
            settings,
            keys,
        };
        gossip.set_members(members);
        // At once, so that a process that comes back is known before anybody missed it; not all of a start in one instant.
        gossip.next_period = now + gossip.chance.random_range(0..=gossip.settings.period / 10);
        gossip.set_timeout();
        gossip
    }

    /// Takes an input; then [`Gossip::poll`] until it gives nothing. `now` never goes back (one that does counts as the
    /// latest).
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        self.now = self.now.max(now);
        self.allow_for_sleep();
        match input {
            Input::Datagram { from, bytes } => self.datagram(from, bytes),
            Input::LocalState(entries) => self.own.set(entries, self.rounds()),
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
        self.out.pop_front()
    }

    /// When [`Input::Tick`] is due, unless another input comes first. Late ones are taken for this proxy's own slowness.
    pub fn next_timeout(&self) -> Micros {
        self.timeout
    }

    /// How many members take part, this one included, as far as is known: suspects do. An unheard one does until it had
    /// its time to speak; so this errs upwards.
    pub fn alive(&self) -> u32 {
        1 + self.live as u32
    }

    /// The other members: ordinal, state, incarnation.
    pub fn members(&self) -> impl Iterator<Item = (u32, State, Incarnation)> {
        self.others().map(|other| {
            let peer = &self.peers[usize::from(other)];
            (u32::from(other), peer.state, peer.incarnation)
        })
    }

    /// What a peer told that stands: entries, and how long ago each was heard. Nothing of one that is dead or left.
    pub fn digest_of(&self, origin: u32) -> impl Iterator<Item = (&Entry, Micros)> {
        self.peer(origin)
            .into_iter()
            .flat_map(|peer| peer.told.entries())
            .map(|(entry, at)| (entry, self.now - at))
    }

    /// How long ago a peer last told of its endpoints, and how many it has; those not in [`Gossip::digest_of`] were not
    /// heard of yet.
    pub fn freshness(&self, origin: u32) -> Option<(Micros, usize)> {
        self.peer(origin)?.told.newest().map(|(at, of)| (self.now - at, of))
    }

    /// What went out and came in so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// This member's incarnation; its turn counts how often it had to contradict word of its end.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// After [`Input::Leave`]: everybody was told as often as is useful, the process may end.
    pub fn has_left(&self) -> bool {
        self.leaving.as_ref().is_some_and(|leaving| leaving.next().is_none())
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.out.push_back(output);
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = u16> + use<> {
        let me = self.me;
        (0..self.peers.len() as u16).filter(move |other| *other != me)
    }

    pub(crate) fn peer_mut(&mut self, ordinal: u16) -> &mut Peer {
        &mut self.peers[usize::from(ordinal)]
    }

    fn peer(&self, ordinal: u32) -> Option<&Peer> {
        self.peers.get(ordinal as usize).filter(|_| ordinal != u32::from(self.me))
    }

    /// Sets a peer's state and says so; what one that is gone told is void.
    pub(crate) fn set_state(&mut self, ordinal: u16, state: State) {
        let peer = self.peer_mut(ordinal);
        let incarnation = peer.incarnation;
        if peer.state == state {
            return;
        }
        let before = std::mem::replace(&mut peer.state, state);
        if !state.is_active() {
            peer.told = Default::default();
        }
        match (before.is_active(), state.is_active()) {
            (true, false) => self.live -= 1,
            (false, true) => self.live += 1,
            _ => {}
        }
        if state != State::Suspect {
            self.suspicions.remove(&ordinal);
        }
        self.output(Output::Member { ordinal: ordinal.into(), state, incarnation });
    }

    /// Others that take part.
    pub(crate) fn live_others(&self) -> usize {
        self.live
    }

    /// Whether all that take part hear from this member each period, and it from them.
    pub(crate) fn few(&self) -> bool {
        self.live_others() <= self.settings.fan_out
    }

    /// Rounds in which all that take part are told once.
    pub(crate) fn rounds(&self) -> u32 {
        self.live_others().div_ceil(self.settings.fan_out).max(1) as u32
    }

    fn set_members(&mut self, members: u32) {
        let members = members.clamp(u32::from(self.me) + 1, MOST_MEMBERS) as u16;
        let (now, per_s) = (self.now, self.settings.datagrams_per_s);
        self.suspicions.retain(|ordinal, _| *ordinal < members);
        self.probes.keep_below(members);
        self.peers.resize_with(members.into(), || Peer::new(now, per_s));
        self.live = self.others().filter(|other| self.peers[usize::from(*other)].state.is_active()).count();
        self.receivers = Rotation::new(members, self.me, &mut self.chance);
        self.asked = Rotation::new(members, self.me, &mut self.chance);
    }

    /// When this process slept, or its loop was late, others' silence in that time says nothing: all that waits for them
    /// waits for longer, and the member doubts itself.
    fn allow_for_sleep(&mut self) {
        let late = self.now.saturating_sub(self.timeout);
        if late <= self.settings.probe_timeout / 2 {
            return;
        }
        self.health.doubt();
        // What came in meanwhile is read in the next turns: nobody is judged before.
        let longer = late + self.settings.probe_timeout;
        for peer in &mut self.peers {
            peer.sign = peer.sign.saturating_add(longer).min(self.now);
        }
        self.suspicions.values_mut().for_each(|suspicion| suspicion.put_off(longer));
        self.probes.put_off(longer);
    }

    fn run_timers(&mut self) {
        if self.leaving.is_some() {
            return self.run_leaving();
        }
        self.run_probes();
        if self.now >= self.next_period {
            self.period();
        }
    }

    /// Never in the past: what became due by another's word was not due before, and nobody was late.
    fn set_timeout(&mut self) {
        let due = match &self.leaving {
            Some(leaving) => leaving.next().unwrap_or(Micros::MAX),
            None => {
                let asked = self.next_probe_timeout().unwrap_or(Micros::MAX);
                asked.saturating_add((-asked).rem_euclid(GRAIN)).min(self.next_period)
            }
        };
        self.timeout = due.max(self.now);
    }
}
