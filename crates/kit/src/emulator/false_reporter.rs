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
const REFRESH_INTERVAL: Micros = S;
/// Load reported for each render node, as a multiple of the node's capacity.
const CLAIMED_LOAD_FACTOR: f64 = 5.0;
/// Connections reported for each render node.
const CLAIMED_CONNECTIONS: u32 = 100;
/// Reported age of the latest failure, in tenths of a second: recent enough to count.
const CLAIMED_FAILURE_AGE_TENTHS: u8 = 2;
/// Failures reported for each render node.
const CLAIMED_FAILURES: u8 = 50;

/// One member that sends false reports.
#[derive(Debug)]
pub(super) struct FalseReporter {
    gossip: Gossip,
    false_report: FalseReport,
    refresh_due: Micros,
    members: u16,
}

impl FalseReporter {
    /// A member with the given number. `unix_ms` is the wall-clock time at which it starts.
    pub fn new(plan: &Plan, ordinal: ProxyId, false_report: FalseReport, unix_ms: u64, now: Micros) -> Self {
        let section = GossipSection { strength: Some(Strength::Address), ..GossipSection::default() };
        let settings = section.check().ok().flatten();
        let Some(settings) = settings else { unreachable!("the default settings of the section are valid") };
        let settings = Settings { multicast: false, ..settings };
        let members = plan.member_count();
        let (own_ordinal, seed) = (u32::from(ordinal.0), plan.seed ^ u64::from(ordinal.0) << 40);
        let gossip = Gossip::new(settings, Keys::Address, own_ordinal, members.into(), unix_ms, seed, now);
        FalseReporter { gossip, false_report, refresh_due: now + 500 * MS, members }
    }

    /// Handles a datagram of a proxy, and returns the datagrams to send.
    pub fn handle_datagram(&mut self, now: Micros, from: ProxyId, bytes: &[u8]) -> Vec<(ProxyId, Vec<u8>)> {
        self.gossip.handle(now, Input::Datagram { from: Some(from.0.into()), bytes });
        self.take_datagrams()
    }

    /// Refreshes the false state if that is due, and returns the datagrams to send.
    pub fn tick(&mut self, now: Micros, plan: &Plan) -> Vec<(ProxyId, Vec<u8>)> {
        if self.refresh_due <= now {
            self.refresh_due = now + REFRESH_INTERVAL;
            self.gossip.handle(now, Input::LocalState(self.false_entries(plan)));
        }
        if self.gossip.next_timeout() <= now {
            self.gossip.handle(now, Input::Tick);
        }
        self.take_datagrams()
    }

    fn false_entries(&self, plan: &Plan) -> Vec<Entry> {
        let entry = |node: &crate::plan::Node| {
            let empty = Entry::empty(EndpointDigest::of(&node.name));
            match self.false_report {
                FalseReport::Nothing => empty,
                FalseReport::AllUnwell => {
                    let evidence = Evidence {
                        failed: CLAIMED_FAILURES,
                        age_tenths: CLAIMED_FAILURE_AGE_TENTHS,
                        ..Evidence::default()
                    };
                    Entry { evidence, ..empty }
                }
                FalseReport::AllCrowded => {
                    let load = Load::from_micros_per_s((CLAIMED_LOAD_FACTOR * node.capacity * 1e6) as u64);
                    Entry { connections: CLAIMED_CONNECTIONS, load, ..empty }
                }
            }
        };
        plan.nodes.iter().map(entry).filter(|entry| !entry.is_empty()).collect()
    }

    fn take_datagrams(&mut self) -> Vec<(ProxyId, Vec<u8>)> {
        let mut datagrams = Vec::new();
        while let Some(output) = self.gossip.poll() {
            let Output::Send { to, bytes } = output else { continue };
            match to {
                To::One(to) => datagrams.push((ProxyId(to as u16), bytes)),
                To::All => datagrams.extend((0..self.members).map(|to| (ProxyId(to), bytes.clone()))),
            }
        }
        datagrams
    }
}
