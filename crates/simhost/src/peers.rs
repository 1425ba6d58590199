//! One instance's part in gossip, on the simulator's wire: datagrams are `post` and `inbox`. Only what the simulator does not
//! tell anyhow is told there: who is there, and what was met at servers. Loads are not, since it tells delays itself.

use cottonnotch_decision::names::Names;
use cottonnotch_decision::{Event, Micros, Outcome, PeerVerdict, ServerId};
use cottonnotch_gossip::{
    EndpointDigest, Entry, Evidence, Gossip, GossipSection, Input, Keys, Observation, Observations, Output,
    Settings, Strength, To,
};
use std::collections::BTreeMap;

/// Peers' words are as old as they say; older ones are no evidence.
const MOST_AGE_TENTHS: u8 = 30;

/// A datagram to be posted; `None`: to every peer.
pub type Post = (Option<u32>, Vec<u8>);

/// One member.
pub struct Peers {
    gossip: Gossip,
    numbers: BTreeMap<EndpointDigest, Option<ServerId>>,
    known: usize,
    met: Observations<ServerId>,
    period: Micros,
    next_own: Micros,
    armed: Option<Micros>,
}

impl Peers {
    /// The instance's member, which tells about itself once in `period_ms`. `None` if that is no period.
    pub fn new(period_ms: u32, me: u32, members: u32, seed: u64, now: Micros) -> Option<Self> {
        let section =
            GossipSection { strength: Some(Strength::Address), period_ms, ..GossipSection::default() };
        let settings = Settings { multicast: true, ..section.check().ok()?? };
        // A life is told from an earlier one of the same instance by its start; the wire's clock only moves forward.
        let life = u64::try_from(now / 1000).unwrap_or(0) + 1;
        let period = settings.period;
        let gossip = Gossip::new(settings, Keys::Address, me, members, life, seed, now);
        let (numbers, met) = (BTreeMap::new(), Observations::default());
        Some(Peers { gossip, numbers, known: 0, met, period, next_own: now + period, armed: None })
    }

    /// What the module is about to hear, as far as it shows something of a server.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        let (server, met) = match event {
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
        self.met.record(now, server, met);
    }

    /// A datagram has come.
    pub fn inbox(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        self.gossip.handle(now, Input::Datagram { from: Some(from), bytes });
    }

    /// The timer has rung, or anything else happened.
    pub fn tick(&mut self, now: Micros, servers: &Names) {
        for number in self.known..servers.len() {
            let digest = EndpointDigest::of(servers.name(number as u32));
            let server = Some(ServerId(number as u32));
            self.numbers.entry(digest).and_modify(|known| *known = None).or_insert(server);
        }
        self.known = servers.len();
        if self.next_own <= now {
            self.next_own = now + self.period;
            self.met.forget_old(now);
            let entry = |server: ServerId| {
                let empty = Entry::empty(EndpointDigest::of(servers.name(server.0)));
                Entry { evidence: self.met.evidence(now, server), ..empty }
            };
            let own = self.met.endpoints().map(entry).collect();
            self.gossip.handle(now, Input::LocalState(own));
        }
        if self.gossip.next_timeout() <= now {
            self.gossip.handle(now, Input::Tick);
        }
    }

    /// What is to be posted, and what the module is to hear.
    pub fn drain(&mut self) -> (Vec<Post>, Vec<Event>) {
        let (mut posts, mut events) = (Vec::new(), Vec::new());
        while let Some(output) = self.gossip.poll() {
            match output {
                Output::Send { to: To::One(to), bytes } => posts.push((Some(to), bytes)),
                Output::Send { to: To::All, bytes } => posts.push((None, bytes)),
                Output::PeerReport { from, entries } => {
                    for entry in entries {
                        if let Some(Some(server)) = self.numbers.get(&entry.endpoint).copied() {
                            events.push(Event::PeerReport { from, server, verdict: word(&entry.evidence) });
                        }
                    }
                }
                Output::Member { .. } => {}
            }
        }
        (posts, events)
    }

    /// When the next timer is to ring, if none is set that rings sooner.
    pub fn arm(&mut self, now: Micros) -> Option<Micros> {
        self.armed.take_if(|at| *at <= now);
        let due = self.gossip.next_timeout().min(self.next_own).max(now + 1);
        if self.armed.is_some_and(|armed| armed <= due) {
            return None;
        }
        self.armed = Some(due);
        Some(due - now)
    }
}

fn word(evidence: &Evidence) -> PeerVerdict {
    let unwell = u32::from(evidence.failed) + u32::from(evidence.timed_out) + u32::from(evidence.silent);
    match (evidence.age_tenths <= MOST_AGE_TENTHS, unwell, evidence.served) {
        (true, 1.., 0) => PeerVerdict::Unhealthy,
        (true, 0, 1..) => PeerVerdict::Healthy,
        _ => PeerVerdict::Inconclusive,
    }
}
