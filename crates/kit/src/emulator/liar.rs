//! A gossip member that sends false reports on render nodes. The member keeps to the protocol, since proxies would drop
//! its reports unread otherwise.
//!
//! The member uses the same gossip crate as the proxies. How a proxy evaluates the reports is decided in the proxy.

use crate::plan::{FalseReport, Plan, ProxyId};
use crate::time::{MS, Micros, S};
use cottonnotch_gossip::{
    EndpointDigest, Entry, Evidence, Gossip, GossipSection, Input, Keys, Load, Output, Settings, Strength, To,
};

/// Interval at which the false state is refreshed: as often as proxies refresh theirs.
const EVERY: Micros = S;
/// Load reported for each render node, as a multiple of the node's capacity.
const CROWDED: f64 = 5.0;
/// Connections reported for each render node.
const CLAIMED: u32 = 100;
/// Reported age of the latest failure, in tenths of a second: recent enough to count.
const AGE_TENTHS: u8 = 2;
/// Failures reported for each render node.
const FAILURES: u8 = 50;

/// One member that sends false reports.
#[derive(Debug)]
pub(super) struct Liar {
    gossip: Gossip,
    lie: FalseReport,
    next: Micros,
    members: u16,
}

impl Liar {
    /// A member with the given number. `unix_ms` is the wall-clock time at which it starts.
    pub fn new(plan: &Plan, ordinal: ProxyId, lie: FalseReport, unix_ms: u64, now: Micros) -> Self {
        let section = GossipSection { strength: Some(Strength::Address), ..GossipSection::default() };
        let settings = section.check().ok().flatten();
        let Some(settings) = settings else { unreachable!("the default settings of the section are valid") };
        let settings = Settings { multicast: false, ..settings };
        let members = plan.members();
        let (me, seed) = (u32::from(ordinal.0), plan.seed ^ u64::from(ordinal.0) << 40);
        let gossip = Gossip::new(settings, Keys::Address, me, members.into(), unix_ms, seed, now);
        Liar { gossip, lie, next: now + 500 * MS, members }
    }

    /// Handles a datagram of a proxy, and returns the datagrams to send.
    pub fn hear(&mut self, now: Micros, from: ProxyId, bytes: &[u8]) -> Vec<(ProxyId, Vec<u8>)> {
        self.gossip.handle(now, Input::Datagram { from: Some(from.0.into()), bytes });
        self.say()
    }

    /// Refreshes the false state if that is due, and returns the datagrams to send.
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
