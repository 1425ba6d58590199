//! The gossip member of one instance. On the simulator's wire, `post` sends a datagram and `inbox` delivers
//! one. The member sends only information that the simulator does not provide: which members are alive, and
//! the outcomes of attempts at servers. It does not send loads, because the simulator reports latencies.

use cottonnotch_decision::names::Names;
use cottonnotch_decision::{Event, Micros, Outcome, PeerVerdict, ServerId};
use cottonnotch_gossip::{
    EndpointDigest, Entry, Evidence, Gossip, GossipSection, Input, Keys, Observation, Observations, Output,
    Settings, Strength, To,
};
use std::collections::BTreeMap;

/// Maximum age of a peer's evidence, as stated by the peer, in tenths of a second. Older evidence is
/// inconclusive.
const MAX_EVIDENCE_AGE_TENTHS: u8 = 30;

/// A datagram to be sent.
pub struct Datagram {
    /// The number of the receiving peer; `None`: the datagram goes to every peer.
    pub to: Option<u32>,
    pub bytes: Vec<u8>,
}

/// A gossip member, with its observations of servers and its timer.
pub struct GossipMember {
    gossip: Gossip,
    /// Servers by the digest of their names; `None` if two names have the same digest.
    servers: BTreeMap<EndpointDigest, Option<ServerId>>,
    /// Number of names that were added to `servers`.
    digested_names: usize,
    observations: Observations<ServerId>,
    period: Micros,
    next_broadcast: Micros,
    /// When the timer that was set last fires; `None` if it has fired.
    timer_due: Option<Micros>,
}

impl GossipMember {
    /// Returns the member of instance `ordinal`, which broadcasts its state every `period_ms` milliseconds;
    /// `None` if the period is invalid.
    pub fn new(period_ms: u32, ordinal: u32, members: u32, seed: u64, now: Micros) -> Option<Self> {
        let section =
            GossipSection { strength: Some(Strength::Address), period_ms, ..GossipSection::default() };
        let settings = Settings { multicast: true, ..section.check().ok()?? };
        // The start time distinguishes the incarnations of an instance, because the wire's clock is
        // monotonic.
        let incarnation = u64::try_from(now / 1000).unwrap_or(0) + 1;
        let period = settings.period;
        let gossip = Gossip::new(settings, Keys::Address, ordinal, members, incarnation, seed, now);
        Some(GossipMember {
            gossip,
            servers: BTreeMap::new(),
            digested_names: 0,
            observations: Observations::default(),
            period,
            next_broadcast: now + period,
            timer_due: None,
        })
    }

    /// Records what an event shows about the health of a server.
    pub fn observe(&mut self, now: Micros, event: &Event) {
        let (server, observation) = match event {
            Event::Established { server, .. } => (*server, Observation::Served),
            Event::Ended { server, outcome, last, .. } => match (outcome, last) {
                (Outcome::Full, false) => (*server, Observation::Full),
                (Outcome::ConnectFailed, false) => (*server, Observation::Failed),
                (Outcome::TimedOut | Outcome::Error, false) => (*server, Observation::TimedOut),
                (Outcome::Reset, _) => (*server, Observation::Silent),
                _ => return,
            },
            _ => return,
        };
        self.observations.record(now, server, observation);
    }

    /// Handles a datagram from a peer.
    pub fn receive(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        self.gossip.handle(now, Input::Datagram { from: Some(from), bytes });
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Micros, names: &Names) {
        self.digest_new_names(names);
        if self.next_broadcast <= now {
            self.next_broadcast = now + self.period;
            self.broadcast(now, names);
        }
        if self.gossip.next_timeout() <= now {
            self.gossip.handle(now, Input::Tick);
        }
    }

    fn digest_new_names(&mut self, names: &Names) {
        for number in self.digested_names..names.len() {
            let digest = EndpointDigest::of(names.name(number as u32));
            let server = Some(ServerId(number as u32));
            self.servers.entry(digest).and_modify(|known| *known = None).or_insert(server);
        }
        self.digested_names = names.len();
    }

    /// Broadcasts the observations that are still recent.
    fn broadcast(&mut self, now: Micros, names: &Names) {
        self.observations.forget_old(now);
        let entry = |server: ServerId| {
            let empty = Entry::empty(EndpointDigest::of(names.name(server.0)));
            Entry { evidence: self.observations.evidence(now, server), ..empty }
        };
        let entries = self.observations.endpoints().map(entry).collect();
        self.gossip.handle(now, Input::LocalState(entries));
    }

    /// Returns the datagrams to be sent and the events for the decision module.
    pub fn drain(&mut self) -> (Vec<Datagram>, Vec<Event>) {
        let (mut datagrams, mut events) = (Vec::new(), Vec::new());
        while let Some(output) = self.gossip.poll() {
            match output {
                Output::Send { to: To::One(to), bytes } => datagrams.push(Datagram { to: Some(to), bytes }),
                Output::Send { to: To::All, bytes } => datagrams.push(Datagram { to: None, bytes }),
                Output::PeerReport { from, entries } => {
                    for entry in entries {
                        if let Some(Some(server)) = self.servers.get(&entry.endpoint).copied() {
                            events.push(Event::PeerReport {
                                from,
                                server,
                                verdict: verdict(&entry.evidence),
                            });
                        }
                    }
                }
                Output::Member { .. } => {}
            }
        }
        (datagrams, events)
    }

    /// Returns the delay after which a new timer must fire; `None` if the current timer fires early enough.
    pub fn next_timer(&mut self, now: Micros) -> Option<Micros> {
        self.timer_due.take_if(|at| *at <= now);
        let due = self.gossip.next_timeout().min(self.next_broadcast).max(now + 1);
        if self.timer_due.is_some_and(|set| set <= due) {
            return None;
        }
        self.timer_due = Some(due);
        Some(due - now)
    }
}

/// Returns the verdict on a server that follows from a peer's evidence.
fn verdict(evidence: &Evidence) -> PeerVerdict {
    let failures = u32::from(evidence.failed) + u32::from(evidence.timed_out) + u32::from(evidence.silent);
    match (evidence.age_tenths <= MAX_EVIDENCE_AGE_TENTHS, failures, evidence.served) {
        (true, 1.., 0) => PeerVerdict::Unhealthy,
        (true, 0, 1..) => PeerVerdict::Healthy,
        _ => PeerVerdict::Inconclusive,
    }
}
