//! One member: reports to the aggregator, asks others when that is silent, and is aggregator when it is asked.

use crate::affinity_subsets::{AffinitySubsets, LEAST_HOMES, Nodes, needed, room};
use crate::aggregation::Aggregation;
use crate::aggregator_order::{EPOCH, aggregator_order};
use crate::group_sums::{FleetTotals, GroupSums};
use crate::groups::{GroupLoad, heaviest};
use crate::report_interval;
use crate::snapshot::Snapshot;
use crate::wire::{
    self, Datagram, EndpointDigest, Entry, FleetSummary, GroupReport, Report, SubsetSizes, Totals,
};
use crate::{AffinitySettings, Micros, Settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// An answer that took longer is lost: there and back at 38 ms each, three times over.
const ANSWER: Micros = 250_000;
/// Members asked at once when the aggregator is silent: 1 again, then 1, 2, 4 and so on of those next in order.
const MOST_AT_ONCE: usize = 4;
/// Periods without an answer of the first in order until its deputy is asked first. Guards against members that follow the
/// deputy after two lost datagrams: the sums would fall apart, half here and half there.
const SILENT: u32 = 2;
/// ... and even then it is asked every so many periods: it may be back.
const LOOK_AGAIN: u16 = 3;
/// Rounds of asking before a member waits for its next period, and doubles that.
const ROUNDS: u32 = 6;
/// A snapshot is replaced by one of fewer members than this part only once it is old: a aggregator that has just begun has not heard
/// all.
const LEAST_OF_BEFORE: f64 = 0.6;
/// An answer that comes later than all rounds of asking take, and half a second for the way, is none: this process was stopped
/// meanwhile, and what it finds in its socket is as old as that.
const LATE: Micros = (ROUNDS as Micros + 2) * ANSWER;
/// A group that needs five homes has so many times this at each member on the mean; who has less has nothing to report of it.
const WORTH_REPORTING: f64 = 4.0;
/// From so many connections of its own a member that is told nothing works out a group's size: off by a fifth or so.
const SAMPLE: u32 = 30;
/// However little of all it had when it was told, it takes its part to be this much of an even one.
const LEAST_OF_EVEN: f64 = 0.5;

/// What this proxy has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// Its sums.
    pub totals: Totals,
    /// Each endpoint where it has connections or met something.
    pub entries: Vec<Entry>,
}

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
    /// What this proxy has now, in place of what it had before.
    LocalLoad(LocalLoad),
    /// The listed endpoints' capacities, microseconds of work a second, for the time when this one is aggregator.
    Capacities(BTreeMap<EndpointDigest, f64>),
    /// What this proxy has of each group, in place of what it had before. Only where homes follow from a group's size.
    GroupLoads(Vec<GroupLoad>),
    /// This proxy leaves: what it had counts no more.
    Leave,
    /// [`Member::next_timeout`] has come.
    Tick,
}

/// What is to be done, or to be known.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram, 256 bytes at most.
    Send {
        /// To whom.
        to: u32,
        /// What.
        bytes: Vec<u8>,
    },
    /// There is a new [`Member::snapshot`].
    Snapshot,
    /// Another member is aggregator, as far as this one knows; `None`: none answers.
    Aggregator(Option<u32>),
    /// [`Member::homes`] have changed.
    AffinitySubsets,
}

/// Sums since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were nothing of ours, from no member, or answers to no question.
    pub dropped: u64,
    /// Questions without an answer.
    pub unanswered: u64,
    /// Answers that came after their time.
    pub late: u64,
    /// Tables of homes that were taken.
    pub subset_tables_received: u64,
    /// Times that a group found no room: in this proxy's report, in a table of its own, or among those that it acts on.
    pub groups_cut: u64,
}

/// Where a member stands with its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The last one was answered, or given up.
    Quiet,
    /// Asked in this round, from that place of the order on; the answer is due then.
    Asking { round: u32, next: usize, due: Micros },
}

/// One member of the tier.
#[derive(Debug)]
pub struct Member {
    settings: Settings,
    me: u32,
    members: u32,
    chance: ChaCha8Rng,
    now: Micros,
    /// Unix time at the time 0 of the clock, microseconds: epochs are the same for all.
    unix: Micros,
    epoch: u64,
    order: Vec<u32>,
    aggregator: Option<u32>,
    /// Whom the last report went to, the first of them first; periods in which the first in order has not answered.
    asked: Vec<u32>,
    first_silent: u32,
    stage: Stage,
    next_report: Micros,
    /// Reports that stayed without any answer, one after another.
    unheard: u32,
    generation: u16,
    own: LocalLoad,
    sizes: BTreeMap<EndpointDigest, f64>,
    aggregation: Aggregation,
    own_groups: Vec<GroupLoad>,
    sums: GroupSums,
    homes: AffinitySubsets,
    /// When a table of homes came last, or this member began.
    homes_at: Micros,
    snapshot: Option<Snapshot>,
    announced: bool,
    left: bool,
    /// When the last report went out.
    reported: Micros,
    counts: Counts,
    out: VecDeque<Output>,
}

impl Member {
    /// A member among so many, numbered from 0; `unix` is Unix time in microseconds at `now`.
    pub fn new(settings: Settings, me: u32, members: u32, seed: u64, now: Micros, unix: Micros) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let next_report = now + chance.random_range(0..=settings.period / 4);
        let generation = chance.random();
        let homes = settings.affinity.as_ref().map_or_else(AffinitySubsets::default, AffinitySubsets::new);
        let mut member = Member {
            settings,
            me,
            members,
            chance,
            now,
            unix: unix - now,
            epoch: 0,
            order: Vec::new(),
            aggregator: None,
            asked: Vec::new(),
            first_silent: 0,
            stage: Stage::Quiet,
            next_report,
            unheard: 0,
            generation,
            own: LocalLoad::default(),
            sizes: BTreeMap::new(),
            aggregation: Aggregation::default(),
            own_groups: Vec::new(),
            sums: GroupSums::default(),
            homes,
            homes_at: now,
            snapshot: None,
            announced: false,
            left: false,
            reported: now,
            counts: Counts::default(),
            out: VecDeque::new(),
        };
        member.epoch = member.epoch_at(now);
        member.order = aggregator_order(member.epoch, members);
        member
    }

    /// Takes an input; then [`Member::poll`] until it gives nothing. `now` never goes back.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        self.now = self.now.max(now);
        match input {
            Input::Datagram { from, bytes } => self.datagram(from, bytes),
            Input::LocalLoad(own) => self.own = own,
            Input::Capacities(sizes) => self.sizes = sizes,
            // A report that is due waits for what this proxy has beside groups.
            Input::GroupLoads(groups) => return self.has_groups(groups),
            Input::Leave => self.leave(),
            Input::Tick => {}
        }
        if !self.left {
            self.run();
        }
    }

    /// What the wall clock shows now, in Unix time: it may have been stepped, and epochs follow it, as they do at all members whose
    /// machines read the same clock. No other time does.
    pub fn set_wall_clock(&mut self, now: Micros, unix: Micros) {
        self.unix = unix - now;
    }

    /// The next thing to do, if any.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// When [`Input::Tick`] is due, unless another input comes first.
    pub fn next_timeout(&self) -> Micros {
        match self.stage {
            _ if self.left => Micros::MAX,
            Stage::Asking { due, .. } => due,
            Stage::Quiet => self.next_report,
        }
    }

    /// What was told last, if anything ever was. It may be old.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Between two reports, as the aggregator wants it; within this member's own bounds, whatever that says.
    pub fn report_interval(&self) -> Micros {
        let told = self
            .snapshot
            .as_ref()
            .filter(|snapshot| self.now - snapshot.received_at < 4 * self.settings.longest_period);
        let period = told.map_or(report_interval::UNKNOWN, |snapshot| snapshot.report_interval);
        period.clamp(self.settings.period, self.settings.longest_period)
    }

    /// Who is aggregator, as far as this member knows.
    pub fn aggregator(&self) -> Option<u32> {
        self.aggregator
    }

    /// Whether homes follow from groups' sizes, and [`Input::GroupLoads`] is of use.
    pub fn wants_groups(&self) -> bool {
        self.settings.affinity.is_some() && !self.left
    }

    /// The groups that have more than five homes, and how many.
    pub fn affinity_subsets(&self) -> impl Iterator<Item = (u64, u32)> {
        self.homes.all()
    }

    /// What went out and came in so far.
    pub fn counts(&self) -> Counts {
        let groups_cut = self.counts.groups_cut + self.sums.cut + self.homes.dropped;
        Counts { groups_cut, ..self.counts }
    }

    fn epoch_at(&self, now: Micros) -> u64 {
        ((now + self.unix).max(0) / EPOCH) as u64
    }

    fn run(&mut self) {
        let epoch = self.epoch_at(self.now);
        if epoch != self.epoch {
            self.epoch = epoch;
            self.order = aggregator_order(epoch, self.members);
            self.announced = false;
            self.first_silent = 0;
            self.sums.forget_old(self.now);
            self.set_aggregator(self.order.first().copied());
        }
        match self.stage {
            // It was stopped, or very late: what comes now may be as old as that, so it asks anew.
            Stage::Asking { .. } if self.now - self.reported > LATE => {
                self.stage = Stage::Quiet;
                self.report();
            }
            Stage::Asking { round, next, due } if due <= self.now => self.ask_on(round, next),
            Stage::Quiet if self.next_report <= self.now => self.report(),
            _ => {}
        }
    }

    fn report(&mut self) {
        self.generation = self.generation.wrapping_add(1);
        let first = self.order.first().copied();
        let look = self.first_silent < SILENT || self.generation.is_multiple_of(LOOK_AGAIN);
        let aggregator = if look { first } else { self.aggregator.or(first) };
        let spread = self.report_interval() / 10;
        let period = (self.report_interval() << self.unheard.min(3)).min(2 * self.settings.longest_period);
        let jitter = self.chance.random_range(-spread..=spread);
        (self.reported, self.next_report) = (self.now, self.now + period + jitter);
        self.asked.clear();
        let Some(aggregator) = aggregator else { return };
        self.announce(period);
        self.tell(aggregator, false);
        if aggregator == self.me {
            self.answer_self();
        } else {
            let next = self.order.iter().position(|other| *other == aggregator).map_or(0, |place| place + 1);
            self.stage = Stage::Asking { round: 0, next, due: self.now + ANSWER };
        }
    }

    /// Shortly before another aggregator's time it is told what it will need.
    fn announce(&mut self, period: Micros) {
        let soon = self.epoch_at(self.now + period + period / 10);
        if soon > self.epoch && !self.announced {
            self.announced = true;
            if let Some(next) = aggregator_order(soon, self.members).first().copied() {
                self.tell(next, true);
            }
        }
    }

    /// The answer is late: the same one is asked again, then those after it in the order.
    fn ask_on(&mut self, round: u32, next: usize) {
        self.counts.unanswered += 1;
        if round >= ROUNDS || self.order.len() <= 1 {
            // Nobody answers: cut off, or all are gone. It begins at the first one again.
            self.stage = Stage::Quiet;
            self.unheard += 1;
            return self.set_aggregator(None);
        }
        let due = self.now + ANSWER;
        if round == 0 {
            if let Some(first) = self.asked.first().copied() {
                self.tell(first, false);
            }
            self.stage = Stage::Asking { round: 1, next, due };
            return;
        }
        if round == 1 && self.order.first() == self.asked.first() {
            self.first_silent += 1;
        }
        let many = (1_usize << (round - 1)).min(MOST_AT_ONCE);
        let mut alone = false;
        for step in 0..many {
            let Some(other) = self.order.get((next + step) % self.order.len()).copied() else { continue };
            alone |= other == self.me;
            if other != self.me {
                self.tell(other, false);
            }
        }
        self.stage = Stage::Asking { round: round + 1, next: next + many, due };
        if alone {
            // Its own turn: all before it are silent.
            self.tell(self.me, false);
            self.set_aggregator(Some(self.me));
            self.answer_self();
        }
    }

    fn tell(&mut self, to: u32, no_answer: bool) {
        let entries = if self.left { Vec::new() } else { self.own.entries.clone() };
        let (totals, generation) = (self.own.totals, self.generation);
        // Asking round may have taken longer than to the next report.
        let next = (self.next_report - self.now).max(self.report_interval());
        let leaving = self.left;
        let report = Report { generation, part: (0, 1), leaving, no_answer, next, totals, entries };
        if !no_answer && !self.asked.contains(&to) {
            self.asked.push(to);
        }
        let groups = self.settings.affinity.filter(|_| !leaving).map(|_| {
            let groups = self.own_groups.iter().map(|own| (own.group, own.load)).collect();
            GroupReport { generation, part: (0, 1), no_answer, next, groups }
        });
        if to == self.me {
            // What costs nothing has no bytes.
            groups.into_iter().for_each(|groups| {
                self.sums.take(&self.settings, self.now, to, 0, groups);
            });
            return self.aggregation.take(self.now, to, 0, report);
        }
        let mut parts = wire::write_report(&report);
        parts.extend(groups.iter().flat_map(wire::write_group_report));
        parts.into_iter().for_each(|bytes| self.send(to, bytes));
    }

    fn send(&mut self, to: u32, bytes: Vec<u8>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push_back(Output::Send { to, bytes });
    }

    fn datagram(&mut self, from: Option<u32>, bytes: &[u8]) {
        let from = from.filter(|from| *from != self.me && *from < self.members);
        match (from, wire::read(bytes)) {
            (Some(from), Some(Datagram::Report(report))) if !self.left => {
                self.reported(from, report, bytes.len())
            }
            (Some(from), Some(Datagram::Summary(table))) if !self.left => self.answered(from, table),
            (Some(from), Some(Datagram::GroupReport(groups))) if !self.left => {
                self.groups_reported(from, groups, bytes.len())
            }
            (Some(from), Some(Datagram::SubsetSizes(homes))) if !self.left => {
                self.homes_answered(from, homes)
            }
            _ => self.counts.dropped += 1,
        }
    }

    fn reported(&mut self, from: u32, report: Report, bytes: usize) {
        let (generation, last) = (report.generation, report.part.0 + 1 == report.part.1);
        let wanted = last && !report.no_answer && !report.leaving;
        if report.leaving {
            self.sums.forget(from);
        }
        self.aggregation.take(self.now, from, bytes, report);
        if wanted {
            let table = self.table();
            let parts = wire::write_summary(&FleetSummary { generation, ..table });
            parts.into_iter().for_each(|bytes| self.send(from, bytes));
        }
    }

    fn table(&mut self) -> FleetSummary {
        let sizes = &self.sizes;
        self.aggregation.set_beside(self.sums.bytes());
        self.aggregation.table(&self.settings, self.now, |node| sizes.get(&node).copied())
    }

    /// Only from whom it was asked for, and only to the last report: an earlier aggregator could guess the next number. And in time.
    fn is_answer(&mut self, from: u32, generation: u16) -> bool {
        let asked = generation == self.generation && self.asked.contains(&from);
        let late = self.now - self.reported > LATE;
        self.counts.dropped += u64::from(!asked);
        self.counts.late += u64::from(asked && late);
        asked && !late
    }

    fn answered(&mut self, from: u32, table: FleetSummary) {
        if !self.is_answer(from, table.generation) {
            return;
        }
        let place = |ordinal: u32| self.order.iter().position(|other| *other == ordinal);
        // The order may have changed since it was asked.
        let rank = place(from).unwrap_or(usize::MAX);
        if rank == 0 {
            self.first_silent = 0;
        }
        // Of several that answered, the first in order is everybody's.
        let better = self.aggregator.and_then(place).is_some_and(|known| known < rank);
        if matches!(self.stage, Stage::Quiet) && better {
            return;
        }
        self.stage = Stage::Quiet;
        self.unheard = 0;
        self.set_aggregator(Some(from));
        self.take_table(table);
    }

    fn answer_self(&mut self) {
        self.stage = Stage::Quiet;
        self.unheard = 0;
        let table = self.table();
        let young = table.young;
        self.take_table(table);
        if let Some(settings) = self.settings.affinity
            && !young
        {
            let homes = self.homes_table(&settings);
            self.take_homes(homes, true);
        }
    }

    // ---- homes by a group's size ----

    fn nodes(&self) -> Nodes {
        let all: f64 = self.sizes.values().sum();
        Nodes { count: self.sizes.len() as u32, size: all / self.sizes.len().max(1) as f64 }
    }

    fn mean_load(&self) -> f64 {
        self.snapshot.as_ref().map_or(0.0, |snapshot| snapshot.mean_load)
    }

    /// This member's part of all connections, as far as it knows.
    fn part(&self) -> f64 {
        let even = 1.0 / f64::from(self.members.max(1));
        let told = self
            .snapshot
            .as_ref()
            .filter(|snapshot| self.now - snapshot.received_at < 4 * self.settings.longest_period);
        told.map_or(even, |snapshot| snapshot.connection_share().max(LEAST_OF_EVEN * even))
    }

    fn has_groups(&mut self, groups: Vec<GroupLoad>) {
        let Some(settings) = self.settings.affinity else { return };
        let (nodes, mean_load) = (self.nodes(), self.mean_load());
        let five = f64::from(LEAST_HOMES) * room(nodes, settings.home_use, mean_load);
        let least = five / f64::from(self.members.max(1)) / WORTH_REPORTING;
        let (groups, cut) = heaviest(groups, settings.groups, least);
        self.own_groups = groups;
        self.counts.groups_cut += cut as u64;
        // What is here needs its homes, whatever others have.
        let untold = self.now - self.homes_at > settings.keep;
        let part = self.part();
        let mut changed = false;
        for own in &self.own_groups {
            let guess = untold && own.connections >= SAMPLE;
            let load = if guess { own.load / part } else { own.load };
            let homes = needed(load, mean_load, nodes, settings.home_use);
            changed |= self.homes.told(self.now, own.group, homes);
        }
        changed |= untold && self.homes.settle(self.now);
        self.out.extend(changed.then_some(Output::AffinitySubsets));
    }

    fn groups_reported(&mut self, from: u32, groups: GroupReport, bytes: usize) {
        let Some(settings) = self.settings.affinity else {
            self.counts.dropped += 1;
            return;
        };
        let (generation, last) = (groups.generation, groups.part.0 + 1 == groups.part.1);
        let wanted = last && !groups.no_answer;
        let is_sound = self.sums.take(&self.settings, self.now, from, bytes, groups);
        self.counts.dropped += u64::from(!is_sound);
        if wanted {
            let young = self.table().young;
            let homes = if young { Vec::new() } else { self.homes_table(&settings) };
            let table = SubsetSizes { generation, part: (0, 1), young, homes };
            wire::write_subset_sizes(&table).into_iter().for_each(|bytes| self.send(from, bytes));
        }
    }

    fn homes_table(&mut self, settings: &AffinitySettings) -> Vec<(u64, u32)> {
        // Each of all members asks in a period, and what follows looks at all.
        if let Some(table) = self.sums.fresh(self.now) {
            return table;
        }
        let nodes = self.nodes();
        let table = self.table();
        // Whose report was lost has its groups counted with the others that aren't heard.
        self.sums.keep(|member| self.aggregation.has(member));
        let (connections, with_groups) = self.aggregation.connections(|member| self.sums.has(member));
        let (members, mean_load) = (table.members, table.mean_load);
        let heard = FleetTotals { tier: self.members, members, connections, with_groups, mean_load, nodes };
        self.sums.table(settings, self.now, &heard)
    }

    fn homes_answered(&mut self, from: u32, homes: SubsetSizes) {
        if self.is_answer(from, homes.generation) && !homes.young {
            let last = homes.part.0 + 1 == homes.part.1;
            self.take_homes(homes.homes, last);
        }
    }

    fn take_homes(&mut self, homes: Vec<(u64, u32)>, last: bool) {
        self.homes_at = self.now;
        self.counts.subset_tables_received += 1;
        let most = self.sizes.len() as u32;
        let mut changed = false;
        for (group, homes) in homes {
            changed |= self.homes.told(self.now, group, homes.min(most));
        }
        changed |= last && self.homes.settle(self.now);
        self.out.extend(changed.then_some(Output::AffinitySubsets));
    }

    fn take_table(&mut self, table: FleetSummary) {
        let fewer = self.snapshot.as_ref().is_some_and(|snapshot| {
            f64::from(table.members) < LEAST_OF_BEFORE * f64::from(snapshot.members)
                && self.now - snapshot.received_at < 3 * self.report_interval()
        });
        if table.young || fewer {
            return;
        }
        let own = self.own.totals.connections;
        self.snapshot.get_or_insert_default().take(self.now, own, table);
        // Where more come than before, not only from the next report on.
        self.next_report = self.next_report.min(self.reported + self.report_interval() * 11 / 10);
        self.out.push_back(Output::Snapshot);
    }

    fn set_aggregator(&mut self, aggregator: Option<u32>) {
        if std::mem::replace(&mut self.aggregator, aggregator) != aggregator {
            self.out.push_back(Output::Aggregator(aggregator));
        }
    }

    fn leave(&mut self) {
        if !self.left {
            self.left = true;
            self.generation = self.generation.wrapping_add(1);
            if let Some(aggregator) = self.aggregator.filter(|aggregator| *aggregator != self.me) {
                self.tell(aggregator, false);
            }
        }
    }
}
