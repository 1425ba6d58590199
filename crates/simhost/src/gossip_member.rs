//! One instance's gossip member, on the simulator's wire: datagrams are `post` and `inbox`. Only what the simulator does
//! not report itself is sent: who is alive, and what was met at servers. Loads are left out, since it reports latencies.

use cottonnotch_decision::names::Names;
use cottonnotch_decision::{Event, Micros, Outcome, PeerVerdict, ServerId};
use cottonnotch_gossip::{
    EndpointDigest, Entry, Evidence, Gossip, GossipSection, Input, Keys, Observation, Observations, Output,
    Settings, Strength, To,
};
use std::collections::BTreeMap;

/// Evidence that is older, by its sender's account, counts for nothing; in tenths of a second.
const MAX_EVIDENCE_AGE_TENTHS: u8 = 30;

/// A datagram to be sent.
pub struct Datagram {
    /// The peer's number; `None`: to every peer.
    pub to: Option<u32>,
    pub bytes: Vec<u8>,
}

/// The member, its observations of servers, and its timer.
pub struct GossipMember {
    gossip: Gossip,
    /// Servers by the digest of their names; `None` where two names have the same.
    servers: BTreeMap<EndpointDigest, Option<ServerId>>,
    /// How many names have been digested.
    digested: usize,
    observations: Observations<ServerId>,
    period: Micros,
    next_broadcast: Micros,
    /// When the timer fires that was set last, if it is still to come.
    timer_due: Option<Micros>,
}

impl GossipMember {
    /// The instance's member, which broadcasts its state once in `period_ms`. `None` if that is no valid period.
    pub fn new(period_ms: u32, me: u32, members: u32, seed: u64, now: Micros) -> Option<Self> {
        let section =
            GossipSection { strength: Some(Strength::Address), period_ms, ..GossipSection::default() };
        let settings = Settings { multicast: true, ..section.check().ok()?? };
        // Incarnations of one instance are told apart by their start; the wire's clock only moves forward.
        let incarnation = u64::try_from(now / 1000).unwrap_or(0) + 1;
        let period = settings.period;
        let gossip = Gossip::new(settings, Keys::Address, me, members, incarnation, seed, now);
        Some(GossipMember {
            gossip,
            servers: BTreeMap::new(),
            digested: 0,
            observations: Observations::default(),
            period,
            next_broadcast: now + period,
            timer_due: None,
        })
    }

    /// Records what an event for the module shows of a server.
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

    /// A datagram has arrived.
    pub fn receive(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        self.gossip.handle(now, Input::Datagram { from: Some(from), bytes });
    }

    /// Does what is due by now.
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
        for number in self.digested..names.len() {
            let digest = EndpointDigest::of(names.name(number as u32));
            let server = Some(ServerId(number as u32));
            self.servers.entry(digest).and_modify(|known| *known = None).or_insert(server);
        }
        self.digested = names.len();
    }

    /// Hands gossip the observations that are still fresh.
    fn broadcast(&mut self, now: Micros, names: &Names) {
        self.observations.forget_old(now);
        let entry = |server: ServerId| {
            let empty = Entry::empty(EndpointDigest::of(names.name(server.0)));
            Entry { evidence: self.observations.evidence(now, server), ..empty }
        };
        let entries = self.observations.endpoints().map(entry).collect();
        self.gossip.handle(now, Input::LocalState(entries));
    }

    /// The datagrams that are to be sent, and the events for the module.
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

    /// After how long a timer is to fire, if none is set that fires sooner.
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

/// What a peer's evidence says of a server.
fn verdict(evidence: &Evidence) -> PeerVerdict {
    let failures = u32::from(evidence.failed) + u32::from(evidence.timed_out) + u32::from(evidence.silent);
    match (evidence.age_tenths <= MAX_EVIDENCE_AGE_TENTHS, failures, evidence.served) {
        (true, 1.., 0) => PeerVerdict::Unhealthy,
        (true, 0, 1..) => PeerVerdict::Healthy,
        _ => PeerVerdict::Inconclusive,
    }
}
