//! Delay notes, which the module needs: the time that a message takes at each subchannel, once a second while that is over a
//! third of the shortest aim, and once more when it is back under.
//!
//! Where render nodes tell it ([`crate::LoadLines`]), that is passed on at once, and one that tells nothing to a connection of
//! ours has no such delay. A subchannel without a connection of ours tells us nothing, and there are platforms where none does:
//! then the time is estimated from what a proxy does see, which is the loads of its own connections, the groups they belong to,
//! how long set-ups take, and what the fleet's keeper says. A client's line is timed to its reply as well, though render nodes
//! return one within 2 ms however much work has piled up (docs/design.md has the figures). The larger of the two is noted.

use crate::peer_loads::{EstablishedLoad, PeerLoads, groups_in, sketch};
use cottonnotch_aggregation::GroupLoad;
use cottonnotch_decision::{Micros, RequestId, ServerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Between two rounds of notes.
pub const REPORT_INTERVAL: Micros = 1_000_000;
/// A measured delay is believed for this long: clients send a line every 2 s.
const BELIEVED: Micros = 4_000_000;
/// What a core of standard speed, a listed size of 1, does: work in microseconds a second.
const WORK_OF_A_CORE: f64 = 1e6;
/// Load that each group adds to each subchannel which holds any of it, in mean connection loads: the
/// platform's figure, which no setting carries.
const GROUP_COST: f64 = 3.0;
/// How far the other proxies' connections are taken to be as heavy as this one's there, and not as the mean:
/// its few are a small sample.
const LIKE_OURS: f64 = 0.4;
/// A group's spread over its subchannels is taken from this many imagined connections by size, besides ours.
const IMAGINED: f64 = 5.0;
/// Weight of the past at each set-up of a subchannel, and of the whole fleet.
const SETUP_MEMORY: f64 = 0.85;
const FLEET_MEMORY: f64 = 0.98;
/// A subchannel tells its delay once a second, while there is one to tell.
const TOLD_WITHIN: Micros = 1_200_000;
/// So many usual set-ups are imagined beside those seen, since a single one tells little.
const USUAL_SETUPS: f64 = 3.0;
/// How much smaller a subchannel is taken to be for set-ups that are longer than usual: the power of their
/// ratio, found by play. A set-up also waits for the session store, which is the same everywhere.
const SETUP_POWER: f64 = 4.0;
/// Utilisation at which messages take a third and a half of the shortest aim: where the other proxies' part is guessed,
/// which is biased low, and where it is told.
const BUSY: (f64, f64) = (0.6, 0.85);
const CROWDED: (f64, f64) = (1.0, 1.15);
/// The same two where the fleet's keeper tells it: loads swing within seconds, and what is told is some seconds old. Render
/// nodes dropped connections at an estimate of 0.5 (calm day); of seven pairs played, this one.
const FLEET_MARKS: (f64, f64) = (0.4, 0.7);
/// A guess at the other proxies' part needs so many connections of ours for each subchannel. Guards against 300 proxies that
/// each take their one connection here for one of 300 alike, and move their clients all at once (calm day: 227 moves in
/// the first second of 1,169 clients).
const LEAST_SAMPLE: f64 = 1.0;
/// ... unless as large a part of it was told.
const ENOUGH_TOLD: f64 = 0.5;
/// Beyond, each such part of utilisation adds five aims: work piles up.
const PILE: f64 = 0.7;

/// A connection that is up.
#[derive(Debug)]
struct Open {
    server: ServerId,
    group: Option<u64>,
    load: Option<f64>,
    since: Micros,
}

/// A sum that forgets, and how much went into it.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    sum: f64,
    count: f64,
}

impl Average {
    fn add(&mut self, value: f64, memory: f64) {
        self.sum = self.sum * memory + value;
        self.count = self.count * memory + 1.0;
    }
}

/// What is known of one subchannel.
#[derive(Debug)]
struct Known {
    weight: f64,
    setups: Average,
    measured: Option<(Micros, Micros)>,
    /// What it told last, and when.
    told: Option<(Micros, Micros)>,
    over: bool,
}

/// A note that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyReport {
    /// Where.
    pub server: ServerId,
    /// Time that a message takes.
    pub delay: Micros,
}

/// Message delays of all subchannels, as far as this proxy can tell.
#[derive(Debug)]
pub struct MessageLatencies {
    nodes: f64,
    /// The shortest aim; none, and nothing is noted.
    aim: Option<f64>,
    /// Sizes are listed, so that loads can be compared with them.
    sized: bool,
    known: BTreeMap<u32, Known>,
    open: BTreeMap<RequestId, Open>,
    setups: Average,
    /// What the other proxies say.
    pub peers: PeerLoads,
    /// What all are said to have together.
    pub fleet: Option<FleetUtilisation>,
    /// Subchannels tell their delays: one that is silent to connections of ours has none.
    tells: bool,
}

/// What all proxies together have, as the fleet's keeper told.
#[derive(Debug)]
pub struct FleetUtilisation {
    until: Micros,
    mean_load: f64,
    used: BTreeMap<ServerId, f64>,
}

impl FleetUtilisation {
    /// Told at that time; the next is told after about a `period`. Load over size by subchannel (those that are not named
    /// have little), and the mean load of a connection.
    pub fn new(at: Micros, period: Micros, mean_load: f64, used: BTreeMap<ServerId, f64>) -> Self {
        FleetUtilisation { until: at + FLEET_FOR * period, mean_load, used }
    }
}

/// What was told of the fleet counts for so many of its periods: two of the next may be lost.
const FLEET_FOR: Micros = 3;

/// What is thought of a subchannel that holds connections of ours.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Load over capacity.
    used: f64,
    /// Part of the others' load that was told, 0 to 1.
    told: f64,
    /// Told by the fleet's keeper, for all proxies together.
    by_fleet: bool,
}

/// This proxy's connections on one subchannel.
#[derive(Debug, Default)]
struct Here {
    load: f64,
    count: f64,
    ungrouped: f64,
    groups: BTreeSet<u64>,
}

impl MessageLatencies {
    /// Nothing seen yet; by the settings there are so many proxies, `aim` is the shortest time wanted of a message, and sizes are
    /// listed or not.
    pub fn new(nodes: u32, aim: Option<Micros>, sized: bool) -> Self {
        MessageLatencies {
            nodes: f64::from(nodes.max(1)),
            aim: aim.map(|aim| aim as f64),
            sized,
            known: BTreeMap::new(),
            open: BTreeMap::new(),
            setups: Average::default(),
            peers: PeerLoads::default(),
            fleet: None,
            tells: false,
        }
    }

    /// The settings have changed.
    pub fn configure(&mut self, nodes: u32, aim: Option<Micros>, sized: bool) {
        (self.nodes, self.aim, self.sized) = (f64::from(nodes.max(1)), aim.map(|aim| aim as f64), sized);
    }

    /// A subchannel is listed; one that is a new life of its process is no longer known.
    pub fn listed(&mut self, server: ServerId, weight: f64, anew: bool) {
        let fresh = Known { weight, setups: Average::default(), measured: None, told: None, over: false };
        let known = self.known.entry(server.0).or_insert(fresh);
        known.weight = weight.max(0.01);
        if anew {
            (known.setups, known.told) = (Average::default(), None);
        }
    }

    /// A connection is up; `setup` is how long that took.
    pub fn connection_opened(
        &mut self,
        now: Micros,
        request: RequestId,
        server: ServerId,
        group: Option<u64>,
        setup: Option<Micros>,
    ) {
        self.open.insert(request, Open { server, group, load: None, since: now });
        if let (Some(setup), Some(known)) = (setup, self.known.get_mut(&server.0)) {
            let time = (setup.max(1000) as f64).ln();
            known.setups.add(time, SETUP_MEMORY);
            self.setups.add(time, FLEET_MEMORY);
        }
    }

    /// A connection's load has changed, work in microseconds a second.
    pub fn load_changed(&mut self, request: RequestId, load: f64) {
        if let Some(open) = self.open.get_mut(&request) {
            open.load = Some(load.max(0.0));
        }
    }

    /// A client's line was answered after this long, or has waited so long by now.
    pub fn round_trip_measured(&mut self, now: Micros, server: ServerId, delay: Micros) {
        if let Some(known) = self.known.get_mut(&server.0) {
            known.measured = Some((now, delay));
        }
    }

    /// A subchannel has told how long a message takes there. The note is the module's at once.
    pub fn latency_advertised(
        &mut self,
        now: Micros,
        server: ServerId,
        delay: Micros,
    ) -> Option<LatencyReport> {
        self.tells = true;
        let known = self.known.get_mut(&server.0)?;
        known.told = Some((now, delay));
        known.over = self.aim.is_some_and(|aim| delay as f64 > aim / 3.0);
        Some(LatencyReport { server, delay })
    }

    /// Subchannels with a connection of ours that is old enough to have been told a delay, if there were one.
    fn silent(&self, now: Micros) -> BTreeSet<u32> {
        let old = self.open.values().filter(|open| self.tells && now - open.since > TOLD_WITHIN);
        old.map(|open| open.server.0).collect()
    }

    /// A connection is over, if it was up.
    pub fn connection_closed(&mut self, request: RequestId) {
        self.open.remove(&request);
    }

    /// Once a second: the notes that are due.
    pub fn due_reports(&mut self, now: Micros) -> Vec<LatencyReport> {
        let Some(aim) = self.aim else { return Vec::new() };
        let mut notes = Vec::new();
        let silent = self.silent(now);
        for (number, of) in self.utilisations(now) {
            let Some(known) = self.known.get_mut(&number) else { continue };
            let measured = known.measured.filter(|(at, _)| now - at < BELIEVED).map_or(0, |(_, d)| d);
            if known.told.is_some_and(|(at, _)| now - at < TOLD_WITHIN) {
                continue;
            }
            let estimate = if silent.contains(&number) { 0 } else { delay_at(of, aim) };
            let delay = measured.max(estimate);
            let over = delay as f64 > aim / 3.0;
            if over || known.over {
                notes.push(LatencyReport { server: ServerId(number), delay });
            }
            known.over = over;
        }
        notes
    }

    /// This proxy's own sums, for the others to hear.
    pub fn established(&self) -> BTreeMap<ServerId, (u32, EstablishedLoad)> {
        let mean = self.mean();
        let mut all: BTreeMap<ServerId, (u32, EstablishedLoad)> = BTreeMap::new();
        for open in self.open.values() {
            let (count, standing) = all.entry(open.server).or_default();
            *count += 1;
            standing.load += open.load.unwrap_or(mean);
            standing.groups |= open.group.map_or(0, sketch);
        }
        all
    }

    /// The same with a byte of each group's digest in place of a sketch. A connection that has not told its load counts with
    /// the fleet's mean, if that is known: where a proxy has three, its own say nothing, and new ones would weigh nothing.
    pub fn established_by_group(&self, now: Micros) -> BTreeMap<ServerId, (f64, Vec<u8>)> {
        let mean = self.usual_load(now);
        let mut all: BTreeMap<ServerId, (f64, Vec<u8>)> = BTreeMap::new();
        for open in self.open.values() {
            let (load, groups) = all.entry(open.server).or_default();
            *load += open.load.unwrap_or(mean);
            let byte = open.group.map(|group| (group.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8);
            groups.extend(byte.filter(|byte| !groups.contains(byte)));
        }
        all
    }

    /// What this proxy has of each group; a connection that has not told its load counts with the mean. Takes as long as there
    /// are connections.
    pub fn load_by_group(&self, now: Micros) -> Vec<GroupLoad> {
        let mean = self.usual_load(now);
        let mut all: HashMap<u64, GroupLoad> = HashMap::new();
        for open in self.open.values() {
            let Some(group) = open.group else { continue };
            let of = all.entry(group).or_insert(GroupLoad { group, connections: 0, load: 0.0 });
            of.connections += 1;
            of.load += open.load.unwrap_or(mean);
        }
        all.into_values().collect()
    }

    /// The listed subchannels' capacities, microseconds of work a second; none where sizes are not listed.
    pub fn capacities(&self) -> impl Iterator<Item = (ServerId, f64)> + '_ {
        let sized = self.known.iter().filter(|_| self.sized);
        sized.map(|(number, known)| (ServerId(*number), known.weight * WORK_OF_A_CORE))
    }

    /// The fleet's mean load of a connection, or this proxy's where none is told.
    fn usual_load(&self, now: Micros) -> f64 {
        let told = self.fleet.as_ref().filter(|fleet| fleet.until > now && fleet.mean_load > 0.0);
        told.map_or_else(|| self.mean(), |fleet| fleet.mean_load)
    }

    /// Mean load of a connection, of those that told theirs.
    fn mean(&self) -> f64 {
        let loads = self.open.values().filter_map(|open| open.load);
        let (sum, count) = loads.fold((0.0, 0.0), |(sum, count), load| (sum + load, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Estimated load over capacity of each subchannel that holds a connection of ours.
    fn utilisations(&self, now: Micros) -> BTreeMap<u32, Use> {
        if let Some(fleet) = self.fleet.as_ref().filter(|fleet| fleet.until > now) {
            let told = |server: &u32| fleet.used.get(&ServerId(*server)).copied().unwrap_or(0.0);
            let uses = self
                .known
                .keys()
                .map(|server| (*server, Use { used: told(server), told: 1.0, by_fleet: true }));
            return uses.collect();
        }
        let mean = self.mean();
        let mut by_server: BTreeMap<u32, Here> = BTreeMap::new();
        let mut by_group: BTreeMap<u64, BTreeMap<u32, f64>> = BTreeMap::new();
        for open in self.open.values() {
            let here = by_server.entry(open.server.0).or_default();
            here.load += open.load.unwrap_or(mean);
            here.count += 1.0;
            match open.group {
                Some(group) => {
                    here.groups.insert(group);
                    *by_group.entry(group).or_default().entry(open.server.0).or_default() += 1.0;
                }
                None => here.ungrouped += 1.0,
            }
        }
        let enough = self.open.len() as f64 >= LEAST_SAMPLE * self.known.len() as f64;
        let estimate = |(number, here): (u32, Here)| {
            let shares = here.groups.iter().filter_map(|group| by_group.get(group));
            // Connections of ours that one would expect here: those of its groups, spread by size.
            let expected: f64 = shares.map(|on| self.expected(number, on)).sum::<f64>() + here.ungrouped;
            let guess = LIKE_OURS * here.load + (1.0 - LIKE_OURS) * expected * mean;
            let others = self.peers.others(now, ServerId(number), self.nodes - 1.0, guess);
            let ours = here.groups.iter().fold(0, |joined, group| joined | sketch(*group));
            // Groups that only the others hold there cost as much; the sketches tell how many, roughly.
            let only_theirs = (groups_in(ours | others.groups) - groups_in(ours)).max(0.0);
            let groups = GROUP_COST * mean * (here.groups.len() as f64 + only_theirs);
            let load = here.load + others.load + groups;
            let used = if self.sized && (enough || others.told >= ENOUGH_TOLD) {
                load / self.capacity(number)
            } else {
                0.0
            };
            (number, Use { used, told: others.told, by_fleet: false })
        };
        by_server.into_iter().map(estimate).collect()
    }

    fn expected(&self, number: u32, on: &BTreeMap<u32, f64>) -> f64 {
        let total: f64 = on.values().sum();
        let weight = |number: u32| self.known.get(&number).map_or(1.0, |known| known.weight);
        let weights: f64 = on.keys().map(|number| weight(*number)).sum();
        let ours = on.get(&number).copied().unwrap_or(0.0);
        total * (ours + IMAGINED * weight(number) / weights) / (total + IMAGINED)
    }

    /// What it can do: its listed size, less for set-ups that take longer than usual.
    fn capacity(&self, number: u32) -> f64 {
        let Some(known) = self.known.get(&number) else { return WORK_OF_A_CORE };
        let usual = self.setups.sum / self.setups.count.max(1e-9);
        let longer = (known.setups.sum - usual * known.setups.count) / (known.setups.count + USUAL_SETUPS);
        known.weight * WORK_OF_A_CORE / (longer.max(0.0) * SETUP_POWER).exp()
    }
}

/// Time of a message at a subchannel that is used so far.
fn delay_at(Use { used, told, by_fleet }: Use, aim: f64) -> Micros {
    let between = |(guessed, known): (f64, f64)| guessed + (known - guessed) * told;
    let (busy, crowded) = if by_fleet { FLEET_MARKS } else { (between(BUSY), between(CROWDED)) };
    let aims = if used < busy {
        used / busy / 3.0
    } else if used < crowded {
        0.34 + 0.16 * (used - busy) / (crowded - busy)
    } else {
        0.5 + 5.0 * ((used - crowded) / PILE).min(3.0)
    };
    (aims * aim) as Micros
}

#[cfg(test)]
#[path = "message_latency_tests.rs"]
mod tests;
