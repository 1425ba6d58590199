//! One instance of the decision module: its settings, the names that the wire uses, its timers and its gossip
//! member.

use crate::fields::{Fields, MalformedLine, excerpt, malformed};
use crate::gossip_member::GossipMember;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cottonnotch_decision::names::{Names, digest};
use cottonnotch_decision::settings::{self, Pairs, Profile};
use cottonnotch_decision::{
    Balancer, ClassId, Entry, Event, Micros, ServerId, ServerState, TenantId, ZoneId,
};
use std::collections::HashMap;
use std::io::{self, Write};

/// Name of the gossip member's timer. The names of the decision module's timers are `timer-` and a number.
pub const GOSSIP_TIMER: &str = "gossip";

/// One instance, and the state that translates between its interface and the wire.
pub struct Instance {
    pub balancer: Balancer,
    profile: Profile,
    pub servers: Names,
    /// The tokens of the decision module's timers, by the names of the timers.
    pub timers: HashMap<String, u32>,
    /// The gossip member; `None` if instances don't gossip.
    pub gossip_member: Option<GossipMember>,
}

impl Instance {
    /// Returns an instance with the settings in `profile`, which are `path=value` fields.
    pub fn new(seed: u64, profile: &str, gossip_ms: Option<u32>, now: Micros) -> Result<Self, MalformedLine> {
        let profile = read_profile(profile)?;
        let balancer = Balancer::new(profile.settings.clone(), seed, now);
        let (ordinal, nodes) = (profile.settings.ordinal, profile.settings.nodes);
        let gossip_member = gossip_ms.and_then(|ms| GossipMember::new(ms, ordinal, nodes, seed, now));
        let (servers, timers) = (Names::default(), HashMap::new());
        Ok(Instance { balancer, profile, servers, timers, gossip_member })
    }

    /// Reads a `row` of the server list.
    pub fn read_entry(&mut self, mut fields: Fields) -> Result<Entry, MalformedLine> {
        let cell = fields.optional("stripe")?.unwrap_or(0);
        let state = read_state(fields.text("lifecycle")?)?;
        let zone = fields.raw("rackZone")?;
        let host = fields.text("host")?;
        let started = fields.optional("upSince")?.filter(|at| *at != 0);
        let weight = fields.float("nominal")?.unwrap_or(1.0);
        fields.raw("classOfHost")?;
        fields.expect_end()?;
        let zone = ZoneId(self.profile.zones.intern(zone) as u16);
        let digest = digest(host);
        let server = ServerId(self.servers.intern(host));
        Ok(Entry { server, digest, state, zone, cell, started, weight })
    }

    /// Does the gossip work that is due, writes its lines, and returns the events for the decision module.
    pub fn drive_gossip(&mut self, node: u64, now: Micros, output: &mut Vec<u8>) -> io::Result<Vec<Event>> {
        let Some(member) = &mut self.gossip_member else { return Ok(Vec::new()) };
        member.tick(now, &self.servers);
        let (datagrams, events) = member.drain();
        for datagram in datagrams {
            let peer = datagram.to.map_or(-1, i64::from);
            let raw = STANDARD.encode(datagram.bytes);
            writeln!(output, "post\tnode-{node}\t{peer}\t{raw}")?;
        }
        if let Some(after) = member.next_timer(now) {
            writeln!(output, "arm\tnode-{node}\t{after}\t{GOSSIP_TIMER}")?;
        }
        Ok(events)
    }

    pub fn class(&self, name: &str) -> Result<ClassId, MalformedLine> {
        match self.profile.classes.find(name) {
            Some(number) => Ok(ClassId(number as u16)),
            None => malformed("qos", format!("is not a class of the settings: '{}'", excerpt(name))),
        }
    }

    pub fn tenant(&self, name: &str) -> Result<Option<TenantId>, MalformedLine> {
        if matches!(name, "" | "-" | "0") {
            return Ok(None);
        }
        match self.profile.tenants.find(name) {
            Some(number) => Ok(Some(TenantId(number as u16))),
            None => malformed("party", format!("is not a tenant of the settings: '{}'", excerpt(name))),
        }
    }

    pub fn server(&self, name: &str) -> Result<ServerId, MalformedLine> {
        match self.servers.find(name) {
            Some(number) => Ok(ServerId(number)),
            None => malformed("host", format!("is not in any server list: '{}'", excerpt(name))),
        }
    }
}

fn read_state(lifecycle: &str) -> Result<ServerState, MalformedLine> {
    Ok(match lifecycle {
        "Running" => ServerState::Ready,
        "Stopping" => ServerState::Draining,
        "Deleted" => ServerState::Removed,
        _ => return malformed("lifecycle", format!("is unknown: '{}'", excerpt(lifecycle))),
    })
}

/// Reads the settings of the `create` message, which are `path=value` fields.
fn read_profile(text: &str) -> Result<Profile, MalformedLine> {
    let mut pairs = Pairs::default();
    for pair in text.split('\t').filter(|p| !p.is_empty() && *p != "-") {
        match pair.split_once('=') {
            Some((key, value)) => pairs.values.insert(key.to_owned(), value.to_owned()),
            None => return malformed("profileData", format!("has no '=' in '{}'", excerpt(pair))),
        };
    }
    settings::read(&pairs).map_err(|error| MalformedLine::new("profileData", error.to_string()))
}
