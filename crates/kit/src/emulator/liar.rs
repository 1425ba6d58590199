//! A member of the tier that lies: it keeps the protocol, or its lies would be dropped unheard, and says what isn't so.
//!
//! It speaks by the gossip crate, which is the protocol's; what proxies make of its words is theirs.

use crate::plan::{FalseReport, Plan, ProxyId};
use crate::time::{MS, Micros, S};
use cottonnotch_gossip::{
    EndpointDigest, Entry, Evidence, Gossip, GossipSection, Input, Keys, Load, Output, Settings, Strength, To,
};

/// Between two rounds of lies: as often as proxies tell theirs.
const EVERY: Micros = S;
/// Load claimed for each render node, in multiples of what it can do.
const CROWDED: f64 = 5.0;
/// Connections that it claims there.
const CLAIMED: u32 = 100;
/// What it says of its latest failure: fresh.
const AGE_TENTHS: u8 = 2;
/// Failures that it claims.
const FAILURES: u8 = 50;

/// One liar.
#[derive(Debug)]
pub(super) struct Liar {
    gossip: Gossip,
    lie: FalseReport,
    next: Micros,
    members: u16,
}

impl Liar {
    /// A member with that number; `unix_ms` is its start.
    pub fn new(plan: &Plan, ordinal: ProxyId, lie: FalseReport, unix_ms: u64, now: Micros) -> Self {
        let section = GossipSection { strength: Some(Strength::Address), ..GossipSection::default() };
        let settings = section.check().ok().flatten();
        let Some(settings) = settings else { unreachable!("the section's own defaults are sound") };
        let settings = Settings { multicast: false, ..settings };
        let members = plan.member_count();
        let (me, seed) = (u32::from(ordinal.0), plan.seed ^ u64::from(ordinal.0) << 40);
        let gossip = Gossip::new(settings, Keys::Address, me, members.into(), unix_ms, seed, now);
        Liar { gossip, lie, next: now + 500 * MS, members }
    }

    /// A datagram of a proxy's has come.
    pub fn hear(&mut self, now: Micros, from: ProxyId, bytes: &[u8]) -> Vec<(ProxyId, Vec<u8>)> {
        self.gossip.handle(now, Input::Datagram { from: Some(from.0.into()), bytes });
        self.say()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, plan: &Plan) -> Vec<(ProxyId, Vec<u8>)> {
        if self.next <= now {
            self.next = now + EVERY;
            self.gossip.handle(now, Input::LocalState(self.lies(plan)));
        }
        if self.gossip.next_timeout() <= now {
            self.gossip.handle(now, Input::Tick);
        }
        self.say()
    }

    fn lies(&self, plan: &Plan) -> Vec<Entry> {
        let entry = |node: &crate::plan::Node| {
            let empty = Entry::empty(EndpointDigest::of(&node.name));
            match self.lie {
                FalseReport::Nothing => empty,
                FalseReport::AllUnwell => {
                    let evidence =
                        Evidence { failed: FAILURES, age_tenths: AGE_TENTHS, ..Evidence::default() };
                    Entry { evidence, ..empty }
                }
                FalseReport::AllCrowded => {
                    let load = Load::from_micros_per_s((CROWDED * node.capacity * 1e6) as u64);
                    Entry { connections: CLAIMED, load, ..empty }
                }
            }
        };
        plan.nodes.iter().map(entry).filter(|entry| !entry.is_empty()).collect()
    }

    fn say(&mut self) -> Vec<(ProxyId, Vec<u8>)> {
        let mut said = Vec::new();
        while let Some(output) = self.gossip.poll() {
            let Output::Send { to, bytes } = output else { continue };
            match to {
                To::One(to) => said.push((ProxyId(to as u16), bytes)),
                To::All => said.extend((0..self.members).map(|to| (ProxyId(to), bytes.clone()))),
            }
        }
        said
    }
}
