//! The bench's adapter: puts the wire's lines into the module's events and its actions into lines.
//! It decides nothing.

mod peers;
mod wire;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cottonnotch_decision::names::{Names, digest};
use cottonnotch_decision::settings::{self, Pairs, Profile};
use cottonnotch_decision::{
    Action, Balancer, ClassId, Entry, Event, Micros, Notification, Outcome, Request, RequestId, ServerId,
    ServerState, TenantId, ZoneId,
};
use peers::Peers;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use wire::{Bad, Parts, bad};

struct Instance {
    balancer: Balancer,
    profile: Profile,
    servers: Names,
    timers: HashMap<String, u32>,
    /// Its part in gossip, if there is any.
    peers: Option<Peers>,
}

/// A list whose rows are still coming in.
struct OpenList {
    node: u64,
    full: bool,
    copy: bool,
    failed: bool,
    rows_left: usize,
    entries: Vec<Entry>,
    spoilt: bool,
}

#[derive(Default)]
struct Host {
    now: Micros,
    instances: HashMap<u64, Instance>,
    list: Option<OpenList>,
    actions: Vec<Action>,
    /// Number of the line in hand.
    number: u64,
    reply: Vec<u8>,
    /// Instances gossip once in so many milliseconds; `None`: not at all.
    gossip_ms: Option<u32>,
}

/// The timer of gossip. The module's are `timer-` and a number.
const GOSSIP: &str = "gossip";

fn node_number(text: &str) -> Result<u64, Bad> {
    match text.strip_prefix("node-").and_then(|n| n.parse().ok()) {
        Some(number) => Ok(number),
        None => bad("node", format!("is not an instance: '{}'", wire::short(text))),
    }
}

impl Host {
    fn instance(&mut self, node: u64) -> Result<&mut Instance, Bad> {
        match self.instances.get_mut(&node) {
            Some(instance) => Ok(instance),
            None => bad("node", format!("names an instance that does not run: 'node-{node}'")),
        }
    }

    /// One line; true when a batch is complete and the reply is due.
    fn line(&mut self, line: &str) -> Result<bool, Bad> {
        let mut parts = Parts::new(line);
        let name = parts.raw("message")?;
        if name == "row" {
            return self.row(parts).map(|()| false);
        }
        if let Err(late) = self.close_list() {
            // The list is short of rows; this line itself is sound.
            report_bad(self.number, &late);
        }
        match name {
            "batch" => {
                let now = parts.number("clock")?;
                parts.end()?;
                if now < self.now {
                    return bad("clock", "runs backwards");
                }
                self.now = now;
            }
            "your_turn" => {
                parts.end()?;
                return Ok(true);
            }
            _ => self.event(name, parts)?,
        }
        Ok(false)
    }

    fn event(&mut self, name: &str, mut parts: Parts) -> Result<(), Bad> {
        if !EVENTS.contains(&name) {
            return bad("message", format!("is unknown: '{}'", wire::short(name)));
        }
        let node = node_number(parts.text("node")?)?;
        match name {
            "create" => {
                let seed: u64 = parts.number("nonce64")?;
                let profile = profile(parts.remainder())?;
                let balancer = Balancer::new(profile.settings.clone(), seed, self.now);
                let (servers, timers) = (Names::default(), HashMap::new());
                let (me, nodes) = (profile.settings.ordinal, profile.settings.nodes);
                let now = self.now;
                let peers = self.gossip_ms.and_then(|ms| Peers::new(ms, me, nodes, seed, now));
                let mut instance = Instance { balancer, profile, servers, timers, peers };
                // Writing to memory cannot fail.
                let _ = instance.gossip(node, now, &mut self.reply);
                self.instances.insert(node, instance);
                return Ok(());
            }
            "destroy" => {
                self.instance(node)?;
                self.instances.remove(&node);
                return parts.end();
            }
            "peers_known" => {
                self.instance(node)?;
                let how = parts.text("how")?;
                let (full, copy, failed) = match how {
                    "incr" => (false, false, false),
                    "total" => (true, false, false),
                    "warm_copy" => (true, true, false),
                    "lost" => (false, false, true),
                    _ => return bad("how", format!("is unknown: '{}'", wire::short(how))),
                };
                parts.optional::<u64>("stamp")?;
                let rows_left = parts.optional("hosts")?.unwrap_or(0);
                parts.end()?;
                let entries = Vec::new();
                self.list = Some(OpenList { node, full, copy, failed, rows_left, entries, spoilt: false });
                if rows_left == 0 {
                    return self.close_list();
                }
                return Ok(());
            }
            _ => {}
        }
        let now = self.now;
        let event = self.instance(node)?.read(name, parts, now)?;
        if let Some(event) = event {
            self.handle(node, event);
        }
        let Some(instance) = self.instances.get_mut(&node) else { return Ok(()) };
        // Writing to memory cannot fail.
        for event in instance.gossip(node, now, &mut self.reply).unwrap_or_default() {
            self.handle(node, event);
        }
        Ok(())
    }

    fn row(&mut self, parts: Parts) -> Result<(), Bad> {
        let Some(mut list) = self.list.take() else { return bad("message", "is a row outside a list") };
        list.rows_left = list.rows_left.saturating_sub(1);
        let done = list.rows_left == 0;
        let result = match self.instance(list.node).and_then(|instance| instance.entry(parts)) {
            Ok(entry) => {
                list.entries.push(entry);
                Ok(())
            }
            Err(error) => {
                list.spoilt = true;
                Err(error)
            }
        };
        self.list = Some(list);
        if done {
            self.close_list()?;
        }
        result
    }

    /// Hands over a list whose rows are all in, or as far as they came.
    fn close_list(&mut self) -> Result<(), Bad> {
        let Some(list) = self.list.take() else { return Ok(()) };
        let event = if list.failed {
            Event::ListFailed
        } else {
            // A list with a row lost must not drop servers: it counts as changes only.
            let full = list.full && !list.spoilt && list.rows_left == 0;
            Event::List { full, copy: list.copy, entries: list.entries }
        };
        self.handle(list.node, event);
        if list.rows_left > 0 {
            return bad("hosts", format!("counts {} rows that did not come", list.rows_left));
        }
        Ok(())
    }

    fn handle(&mut self, node: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&node) else { return };
        self.actions.clear();
        if let Some(peers) = &mut instance.peers {
            peers.witness(self.now, &event);
        }
        instance.balancer.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            // Writing to memory cannot fail.
            let _ = instance.write(node, action, &mut self.reply);
        }
    }
}

const EVENTS: [&str; 12] = [
    "create",
    "destroy",
    "peers_known",
    "job_in",
    "existing",
    "begun",
    "response",
    "heartbeat",
    "aborted",
    "sampled",
    "inbox",
    "ring",
];

impl Instance {
    fn entry(&mut self, mut parts: Parts) -> Result<Entry, Bad> {
        let cell = parts.optional("stripe")?.unwrap_or(0);
        let lifecycle = parts.text("lifecycle")?;
        let state = match lifecycle {
            "Running" => ServerState::Ready,
            "Stopping" => ServerState::Draining,
            "Deleted" => ServerState::Removed,
            _ => return bad("lifecycle", format!("is unknown: '{}'", wire::short(lifecycle))),
        };
        let zone = parts.raw("rackZone")?;
        let host = parts.text("host")?;
        let started = parts.optional("upSince")?.filter(|at| *at != 0);
        let weight = parts.figure("nominal")?.unwrap_or(1.0);
        parts.raw("classOfHost")?;
        parts.end()?;
        let zone = ZoneId(self.profile.zones.intern(zone) as u16);
        let digest = digest(host);
        let server = ServerId(self.servers.intern(host));
        Ok(Entry { server, digest, state, zone, cell, started, weight })
    }

    /// What is due of gossip; what the module is to hear of it.
    fn gossip(&mut self, node: u64, now: Micros, to: &mut Vec<u8>) -> io::Result<Vec<Event>> {
        let Some(peers) = &mut self.peers else { return Ok(Vec::new()) };
        peers.tick(now, &self.servers);
        let (posts, events) = peers.drain();
        for (peer, bytes) in posts {
            let raw = STANDARD.encode(bytes);
            match peer {
                Some(peer) => writeln!(to, "post\tnode-{node}\t{peer}\t{raw}")?,
                None => writeln!(to, "post\tnode-{node}\t-1\t{raw}")?,
            }
        }
        if let Some(after) = peers.arm(now) {
            writeln!(to, "arm\tnode-{node}\t{after}\t{GOSSIP}")?;
        }
        Ok(events)
    }

    fn read(&mut self, name: &str, mut p: Parts, now: Micros) -> Result<Option<Event>, Bad> {
        let event = match name {
            "job_in" => {
                let id = RequestId(p.number("tid")?);
                let hint = p.figure("hint")?;
                let party = p.raw("party")?;
                let left = p.optional("left")?;
                let group = p.optional("group")?;
                let bits = p.optional("bitmap")?.unwrap_or(0);
                let class = self.class(p.text("qos")?)?;
                p.optional::<u64>("pathKey")?;
                let tenant = self.tenant(party)?;
                Event::Request(request(id, class, tenant, left, hint, group, bits))
            }
            "existing" => {
                let id = RequestId(p.number("tid")?);
                p.optional::<u64>("pathKey")?;
                let bits = p.optional("bitmap")?.unwrap_or(0);
                let group = p.optional("group")?;
                let party = p.raw("party")?;
                let tenant = self.tenant(party)?;
                let class = self.class(p.text("qos")?)?;
                let server = self.server(p.text("host")?)?;
                let hint = p.figure("hint")?;
                let left = p.optional("left")?;
                Event::Open { request: request(id, class, tenant, left, hint, group, bits), server }
            }
            "begun" => Event::Established {
                request: RequestId(p.number("tid")?),
                attempt: p.number("copy")?,
                server: self.server(p.text("host")?)?,
                elapsed: p.optional("spent")?.unwrap_or(0),
            },
            "response" => {
                let request = RequestId(p.number("tid")?);
                let outcome = outcome(p.text("rc")?)?;
                let attempt = p.number("copy")?;
                let last = p.flag("last")?;
                let server = self.server(p.text("host")?)?;
                p.optional::<Micros>("spent")?;
                report(p.raw("feedback")?)?;
                Event::Ended { request, attempt, server, outcome, last }
            }
            "heartbeat" => {
                let request = RequestId(p.number("tid")?);
                let value = p.figure("value")?.unwrap_or(0.0);
                let sort: u32 = p.number("sort")?;
                let server = self.server(p.text("host")?)?;
                p.optional::<u32>("copy")?;
                match sort {
                    1 => Event::LoadUpdate { request, load: value },
                    2 => {
                        let delay = (value * 1000.0).clamp(0.0, 4e15) as Micros;
                        Event::LatencyUpdate { server, latency: delay }
                    }
                    _ => {
                        p.end()?;
                        return Ok(None);
                    }
                }
            }
            "aborted" => Event::ClientClosed(RequestId(p.number("tid")?)),
            "sampled" => {
                let server = self.server(p.text("host")?)?;
                let good = outcome(p.text("rc")?)? == Outcome::Served;
                p.optional::<Micros>("spent")?;
                let values = report(p.raw("feedback")?)?;
                Event::Probed { server, report: good.then(|| values.unwrap_or_default()) }
            }
            "inbox" => {
                let from = p.number("originPeer")?;
                let raw = p.raw("raw")?;
                // An empty payload is written as for any other absent value.
                let bytes = if raw == "-" { Ok(Vec::new()) } else { STANDARD.decode(raw) };
                let Ok(bytes) = bytes else { return bad("raw", "is not base64") };
                p.end()?;
                if let Some(peers) = &mut self.peers {
                    peers.inbox(now, from, &bytes);
                }
                return Ok(None);
            }
            "ring" => {
                let name = p.text("name")?;
                if name == GOSSIP && self.peers.is_some() {
                    p.end()?;
                    return Ok(None);
                }
                match self.timers.get(name) {
                    Some(token) => Event::Timer(*token),
                    None => return bad("name", format!("is no timer set here: '{}'", wire::short(name))),
                }
            }
            _ => return bad("message", format!("is unknown: '{}'", wire::short(name))),
        };
        p.end()?;
        Ok(Some(event))
    }

    fn class(&self, name: &str) -> Result<ClassId, Bad> {
        match self.profile.classes.find(name) {
            Some(number) => Ok(ClassId(number as u16)),
            None => bad("qos", format!("is no class of the settings: '{}'", wire::short(name))),
        }
    }

    fn tenant(&self, name: &str) -> Result<Option<TenantId>, Bad> {
        match name {
            "" | "-" | "0" => Ok(None),
            _ => match self.profile.tenants.find(name) {
                Some(number) => Ok(Some(TenantId(number as u16))),
                None => bad("party", format!("is no tenant of the settings: '{}'", wire::short(name))),
            },
        }
    }

    fn server(&self, name: &str) -> Result<ServerId, Bad> {
        match self.servers.find(name) {
            Some(number) => Ok(ServerId(number)),
            None => bad("host", format!("was in no list: '{}'", wire::short(name))),
        }
    }

    fn write(&mut self, node: u64, action: &Action, to: &mut Vec<u8>) -> io::Result<()> {
        match action {
            Action::Send { request, server, timeout, .. } => {
                let host = self.servers.name(server.0);
                writeln!(to, "place\tnode-{node}\t{}\t{host}\t{timeout}", request.0)
            }
            Action::Reject { request, retry_after, .. } => {
                writeln!(to, "say_no\tnode-{node}\t{}\t{retry_after}", request.0)
            }
            Action::Fail { request, .. } => writeln!(to, "report_failure\tnode-{node}\t{}", request.0),
            Action::Migrate(request) => writeln!(to, "rebalance\tnode-{node}\t{}", request.0),
            Action::WatchList => writeln!(to, "stream_changes\tnode-{node}\t1"),
            Action::Probe(server) => writeln!(to, "sample\tnode-{node}\t{}", self.servers.name(server.0)),
            Action::Timer { after, token } => {
                let name = format!("timer-{token}");
                writeln!(to, "arm\tnode-{node}\t{after}\t{name}")?;
                self.timers.insert(name, *token);
                Ok(())
            }
            // The wire has no line for it.
            Action::HealthChanged { .. } => Ok(()),
            Action::Log { notification, server } => {
                let text = match notification {
                    Notification::PausedFailing => "server paused, keeps failing",
                    Notification::Recovered => "server back after a good trial",
                    Notification::Queueing => "no server can be used now, holding connections",
                    Notification::ListUnreachable => "server list cannot be had, going on with the last one",
                };
                match server {
                    Some(server) => {
                        writeln!(to, "record\tnode-{node}\t{text}: {}", self.servers.name(server.0))
                    }
                    None => writeln!(to, "record\tnode-{node}\t{text}"),
                }
            }
        }
    }
}

fn request(
    id: RequestId,
    class: ClassId,
    tenant: Option<TenantId>,
    left: Option<Micros>,
    hint: Option<f64>,
    group: Option<u64>,
    bits: u32,
) -> Request {
    let load_hint = hint.filter(|_| bits & 1 != 0);
    Request { id, class, tenant, left, load_hint, group, again: bits & 18 != 0 }
}

fn outcome(code: &str) -> Result<Outcome, Bad> {
    Ok(match code {
        "GOOD" => Outcome::Served,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Full,
        "LATE" => Outcome::TimedOut,
        "NOCONN" => Outcome::ConnectFailed,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::NotSent,
        _ => return bad("rc", format!("is unknown: '{}'", wire::short(code))),
    })
}

fn report(text: &str) -> Result<Option<Vec<f64>>, Bad> {
    if text.is_empty() || text == "-" {
        return Ok(None);
    }
    let values: Result<Vec<f64>, _> = text.split(',').map(|v| v.parse::<f64>()).collect();
    match values {
        Ok(values) if values.iter().all(|v| v.is_finite()) => Ok(Some(values)),
        _ => bad("feedback", format!("is not a row of numbers: '{}'", wire::short(text))),
    }
}

/// The settings as the first message carries them: `path=value` parts.
fn profile(text: &str) -> Result<Profile, Bad> {
    let mut pairs = Pairs::default();
    for pair in text.split('\t').filter(|p| !p.is_empty() && *p != "-") {
        match pair.split_once('=') {
            Some((key, value)) => pairs.0.insert(key.to_owned(), value.to_owned()),
            None => return bad("profileData", format!("has no '=' in '{}'", wire::short(pair))),
        };
    }
    match settings::read(&pairs) {
        Ok(profile) => Ok(profile),
        Err(error) => bad("profileData", format!("{} {}", error.key, error.problem)),
    }
}

fn report_bad(number: u64, Bad { field, trouble }: &Bad) {
    eprintln!("line {number}: field {field} {trouble}; ignored");
}

/// `--gossip MS`: instances gossip once in so many milliseconds. Off unless said: the platform's line says nothing.
fn gossip_ms() -> io::Result<Option<u32>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => Ok(None),
        ["--gossip", ms] if ms.parse::<u32>().is_ok_and(|ms| (100..=60_000).contains(&ms)) => {
            Ok(ms.parse().ok())
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "usage: cottonnotch-simhost [--gossip 100..60000]",
        )),
    }
}

fn main() -> io::Result<()> {
    let (input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut input = io::BufReader::with_capacity(1 << 16, input);
    let mut host = Host { gossip_ms: gossip_ms()?, ..Host::default() };
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        host.number += 1;
        while matches!(bytes.last(), Some(b'\n' | b'\r')) {
            bytes.pop();
        }
        if bytes.is_empty() {
            continue;
        }
        let result = match std::str::from_utf8(&bytes) {
            Ok(line) => host.line(line),
            Err(_) => bad("line", "is not UTF-8"),
        };
        match result {
            Ok(false) => {}
            Ok(true) => {
                host.reply.extend_from_slice(b"yield\n");
                output.write_all(&host.reply)?;
                output.flush()?;
                host.reply.clear();
            }
            Err(bad) => report_bad(host.number, &bad),
        }
    }
}
