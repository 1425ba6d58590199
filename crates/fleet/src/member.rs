//! One member: reports to the keeper, asks others when that is silent, and is keeper when it is asked.

use crate::gathering::Gathering;
use crate::order::{EPOCH, keepers};
use crate::pace;
use crate::view::View;
use crate::wire::{self, Datagram, Entry, Report, Subchannel, Table, Totals};
use crate::{Micros, Settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// An answer that took longer is lost: there and back at 38 ms each, three times over.
const ANSWER: Micros = 250_000;
/// Members asked at once when the keeper is silent: 1 again, then 1, 2, 4 and so on of those next in order.
const MOST_AT_ONCE: usize = 4;
/// Periods without an answer of the first in order until its deputy is asked first. Guards against members that follow the
/// deputy after two lost datagrams: the sums would fall apart, half here and half there.
const SILENT: u32 = 2;
/// ... and even then it is asked every so many periods: it may be back.
const LOOK_AGAIN: u16 = 3;
/// Rounds of asking before a member waits for its next period, and doubles that.
const ROUNDS: u32 = 6;
/// A view is replaced by one of fewer members than this part only once it is old: a keeper that has just begun has not heard
/// all.
const LEAST_OF_BEFORE: f64 = 0.6;

/// What this proxy has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Own {
    /// Its sums.
    pub totals: Totals,
    /// Each subchannel where it has connections or met something.
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
    Own(Own),
    /// The listed subchannels' capacities, microseconds of work a second, for the time when this one is keeper.
    Sizes(BTreeMap<Subchannel, f64>),
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
    /// There is a new [`Member::view`].
    View,
    /// Another member is keeper, as far as this one knows; `None`: none answers.
    Keeper(Option<u32>),
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
    keeper: Option<u32>,
    /// Whom the last report went to, the first of them first; periods in which the first in order has not answered.
    asked: Vec<u32>,
    first_silent: u32,
    stage: Stage,
    next_report: Micros,
    /// Reports that stayed without any answer, one after another.
    unheard: u32,
    generation: u16,
    own: Own,
    sizes: BTreeMap<Subchannel, f64>,
    gathering: Gathering,
    view: Option<View>,
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
        let mut member = Member {
            settings,
            me,
            members,
            chance,
            now,
            unix: unix - now,
            epoch: 0,
            order: Vec::new(),
            keeper: None,
            asked: Vec::new(),
            first_silent: 0,
            stage: Stage::Quiet,
            next_report,
            unheard: 0,
            generation,
            own: Own::default(),
            sizes: BTreeMap::new(),
            gathering: Gathering::default(),
            view: None,
            announced: false,
            left: false,
            reported: now,
            counts: Counts::default(),
            out: VecDeque::new(),
        };
        member.epoch = member.epoch_at(now);
        member.order = keepers(member.epoch, members);
        member
    }

    /// Takes an input; then [`Member::poll`] until it gives nothing. `now` never goes back.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        self.now = self.now.max(now);
        match input {
            Input::Datagram { from, bytes } => self.datagram(from, bytes),
            Input::Own(own) => self.own = own,
            Input::Sizes(sizes) => self.sizes = sizes,
            Input::Leave => self.leave(),
            Input::Tick => {}
        }
        if !self.left {
            self.run();
        }
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
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Between two reports, as the keeper wants it; within this member's own bounds, whatever that says.
    pub fn period(&self) -> Micros {
        let told = self.view.as_ref().filter(|view| self.now - view.at < 4 * self.settings.longest_period);
        let period = told.map_or(pace::UNKNOWN, |view| view.period);
        period.clamp(self.settings.period, self.settings.longest_period)
    }

    /// Who is keeper, as far as this member knows.
    pub fn keeper(&self) -> Option<u32> {
        self.keeper
    }

    /// What went out and came in so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn epoch_at(&self, now: Micros) -> u64 {
        ((now + self.unix).max(0) / EPOCH) as u64
    }

    fn run(&mut self) {
        let epoch = self.epoch_at(self.now);
        if epoch != self.epoch {
            self.epoch = epoch;
            self.order = keepers(epoch, self.members);
            self.announced = false;
            self.first_silent = 0;
            self.set_keeper(self.order.first().copied());
        }
        match self.stage {
            Stage::Asking { round, next, due } if due <= self.now => self.ask_on(round, next),
            Stage::Quiet if self.next_report <= self.now => self.report(),
            _ => {}
        }
    }

    fn report(&mut self) {
        self.generation = self.generation.wrapping_add(1);
        let first = self.order.first().copied();
        let look = self.first_silent < SILENT || self.generation.is_multiple_of(LOOK_AGAIN);
        let keeper = if look { first } else { self.keeper.or(first) };
        let spread = self.period() / 10;
        let period = (self.period() << self.unheard.min(3)).min(2 * self.settings.longest_period);
        let jitter = self.chance.random_range(-spread..=spread);
        (self.reported, self.next_report) = (self.now, self.now + period + jitter);
        self.asked.clear();
        let Some(keeper) = keeper else { return };
        self.announce(period);
        self.tell(keeper, false);
        if keeper == self.me {
            self.answer_self();
        } else {
            let next = self.order.iter().position(|other| *other == keeper).map_or(0, |place| place + 1);
            self.stage = Stage::Asking { round: 0, next, due: self.now + ANSWER };
        }
    }

    /// Shortly before another keeper's time it is told what it will need.
    fn announce(&mut self, period: Micros) {
        let soon = self.epoch_at(self.now + period + period / 10);
        if soon > self.epoch && !self.announced {
            self.announced = true;
            if let Some(next) = keepers(soon, self.members).first().copied() {
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
            return self.set_keeper(None);
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
            self.set_keeper(Some(self.me));
            self.answer_self();
        }
    }

    fn tell(&mut self, to: u32, no_answer: bool) {
        let entries = if self.left { Vec::new() } else { self.own.entries.clone() };
        let (totals, generation) = (self.own.totals, self.generation);
        // Asking round may have taken longer than to the next report.
        let next = (self.next_report - self.now).max(self.period());
        let leaving = self.left;
        let report = Report { generation, part: (0, 1), leaving, no_answer, next, totals, entries };
        if !no_answer && !self.asked.contains(&to) {
            self.asked.push(to);
        }
        if to == self.me {
            // What costs nothing has no bytes.
            return self.gathering.take(self.now, to, 0, report);
        }
        let parts = wire::write_report(&report);
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
            (Some(from), Some(Datagram::Table(table))) if !self.left => self.answered(from, table),
            _ => self.counts.dropped += 1,
        }
    }

    fn reported(&mut self, from: u32, report: Report, bytes: usize) {
        let (generation, last) = (report.generation, report.part.0 + 1 == report.part.1);
        let wanted = last && !report.no_answer && !report.leaving;
        self.gathering.take(self.now, from, bytes, report);
        if wanted {
            let table = self.table();
            let parts = wire::write_table(&Table { generation, ..table });
            parts.into_iter().for_each(|bytes| self.send(from, bytes));
        }
    }

    fn table(&mut self) -> Table {
        let sizes = &self.sizes;
        self.gathering.table(&self.settings, self.now, |node| sizes.get(&node).copied())
    }

    fn answered(&mut self, from: u32, table: Table) {
        // Only from whom it was asked for, and only to the last report: an earlier keeper could guess the next number.
        if table.generation != self.generation || !self.asked.contains(&from) {
            self.counts.dropped += 1;
            return;
        }
        let place = |ordinal: u32| self.order.iter().position(|other| *other == ordinal);
        // The order may have changed since it was asked.
        let rank = place(from).unwrap_or(usize::MAX);
        if rank == 0 {
            self.first_silent = 0;
        }
        // Of several that answered, the first in order is everybody's.
        let better = self.keeper.and_then(place).is_some_and(|known| known < rank);
        if matches!(self.stage, Stage::Quiet) && better {
            return;
        }
        self.stage = Stage::Quiet;
        self.unheard = 0;
        self.set_keeper(Some(from));
        self.take_table(table);
    }

    fn answer_self(&mut self) {
        self.stage = Stage::Quiet;
        self.unheard = 0;
        let table = self.table();
        self.take_table(table);
    }

    fn take_table(&mut self, table: Table) {
        let fewer = self.view.as_ref().is_some_and(|view| {
            f64::from(table.members) < LEAST_OF_BEFORE * f64::from(view.members)
                && self.now - view.at < 3 * self.period()
        });
        if table.young || fewer {
            return;
        }
        let own = self.own.totals.connections;
        self.view.get_or_insert_default().take(self.now, own, table);
        // Where more come than before, not only from the next report on.
        self.next_report = self.next_report.min(self.reported + self.period() * 11 / 10);
        self.out.push_back(Output::View);
    }

    fn set_keeper(&mut self, keeper: Option<u32>) {
        if std::mem::replace(&mut self.keeper, keeper) != keeper {
            self.out.push_back(Output::Keeper(keeper));
        }
    }

    fn leave(&mut self) {
        if !self.left {
            self.left = true;
            self.generation = self.generation.wrapping_add(1);
            if let Some(keeper) = self.keeper.filter(|keeper| *keeper != self.me) {
                self.tell(keeper, false);
            }
        }
    }
}
