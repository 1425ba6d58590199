//! Whom a member reports to: the first of the epoch's order that answers, and how far the member has come in asking.

use crate::Micros;
use crate::aggregator_order::aggregator_order;

/// An answer that takes longer is lost: there and back at 38 ms each, three times over.
const ANSWER_TIMEOUT: Micros = 250_000;
/// Members asked at once while the aggregator is silent: the same one again, then 1, 2, 4 and so on of those next in order.
const MAX_ASKED_AT_ONCE: usize = 4;
/// Intervals without an answer of the first in order until its deputy is asked first. Guards against members that follow the
/// deputy after two lost datagrams: the sums would fall apart, half here and half there.
const SILENT_INTERVALS: u32 = 2;
/// Even then every third report goes to the first in order: it may be back.
const RETRY_FIRST_EVERY: u16 = 3;
/// Rounds of asking before a member waits for its next interval, and doubles that.
const MAX_ROUNDS: u32 = 6;
/// After all rounds, and half a second for the way, an answer is none: this process was stopped meanwhile, and what it finds in
/// its socket is as old as that.
pub(crate) const MAX_ANSWER_AGE: Micros = (MAX_ROUNDS as Micros + 2) * ANSWER_TIMEOUT;
/// Doublings of the report interval at most, while no report is answered.
const MAX_DOUBLINGS: u32 = 3;

/// How far the last report has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It was answered, or given up.
    Idle,
    /// Candidates were asked.
    Asking {
        /// The round, from 0.
        round: u32,
        /// Place in the order of the candidate to ask next.
        next: usize,
        /// When the next round begins.
        due: Micros,
    },
}

/// Whom to ask next.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum NextRound {
    /// These.
    Ask(Vec<u32>),
    /// Nobody answers: cut off, or all are dead. The next report begins at the first candidate again.
    GiveUp,
}

/// The candidates of an epoch, and the state of asking them.
#[derive(Debug)]
pub(crate) struct AggregatorSearch {
    epoch: u64,
    order: Vec<u32>,
    aggregator: Option<u32>,
    pub(crate) stage: Stage,
    /// Whom the last report went to, in the order of asking.
    asked: Vec<u32>,
    /// Intervals in which the first in order has not answered.
    first_silent_for: u32,
    /// Reports that stayed without any answer, one after another.
    unanswered_reports: u32,
    next_epoch_announced: bool,
}

impl AggregatorSearch {
    /// Begins in this epoch; `members` is the size of the fleet.
    pub(crate) fn new(epoch: u64, members: u32) -> Self {
        AggregatorSearch {
            epoch,
            order: aggregator_order(epoch, members),
            aggregator: None,
            stage: Stage::Idle,
            asked: Vec::new(),
            first_silent_for: 0,
            unanswered_reports: 0,
            next_epoch_announced: false,
        }
    }

    /// Computes the order anew if the epoch is another one; whether it is.
    pub(crate) fn enter_epoch(&mut self, epoch: u64, members: u32) -> bool {
        if epoch == self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.order = aggregator_order(epoch, members);
        self.next_epoch_announced = false;
        self.first_silent_for = 0;
        true
    }

    /// The first in order; `None` without members.
    pub(crate) fn first(&self) -> Option<u32> {
        self.order.first().copied()
    }

    /// The aggregator, as far as is known.
    pub(crate) fn aggregator(&self) -> Option<u32> {
        self.aggregator
    }

    /// Sets the aggregator; whether it is another one than before.
    pub(crate) fn set_aggregator(&mut self, aggregator: Option<u32>) -> bool {
        std::mem::replace(&mut self.aggregator, aggregator) != aggregator
    }

    /// Begins a report with this sequence number; whom it goes to first.
    pub(crate) fn begin_report(&mut self, sequence: u16) -> Option<u32> {
        self.asked.clear();
        let ask_first =
            self.first_silent_for < SILENT_INTERVALS || sequence.is_multiple_of(RETRY_FIRST_EVERY);
        if ask_first { self.first() } else { self.aggregator.or(self.first()) }
    }

    /// Waits for the answer of the one whom the report went to first.
    pub(crate) fn await_answer(&mut self, now: Micros, receiver: u32) {
        let next = self.place(receiver).map_or(0, |place| place + 1);
        self.stage = Stage::Asking { round: 0, next, due: now + ANSWER_TIMEOUT };
    }

    /// Notes whom the report went to.
    pub(crate) fn note_asked(&mut self, member: u32) {
        if !self.asked.contains(&member) {
            self.asked.push(member);
        }
    }

    /// Whether the last report went to this member.
    pub(crate) fn has_asked(&self, member: u32) -> bool {
        self.asked.contains(&member)
    }

    /// The answer is late: the same candidate is asked again, then those after it in the order.
    pub(crate) fn next_round(&mut self, now: Micros, round: u32, next: usize) -> NextRound {
        if round >= MAX_ROUNDS || self.order.len() <= 1 {
            self.stage = Stage::Idle;
            self.unanswered_reports += 1;
            return NextRound::GiveUp;
        }
        let due = now + ANSWER_TIMEOUT;
        if round == 0 {
            self.stage = Stage::Asking { round: 1, next, due };
            return NextRound::Ask(self.asked.first().copied().into_iter().collect());
        }
        if round == 1 && self.order.first() == self.asked.first() {
            self.first_silent_for += 1;
        }
        let many = (1_usize << (round - 1)).min(MAX_ASKED_AT_ONCE);
        self.stage = Stage::Asking { round: round + 1, next: next + many, due };
        NextRound::Ask((next..next + many).map(|place| self.order[place % self.order.len()]).collect())
    }

    /// Takes this member's answer for the aggregator's, unless a better one was taken before.
    pub(crate) fn accept_answer(&mut self, from: u32) -> bool {
        // The order may have changed since the report was sent.
        let rank = self.place(from).unwrap_or(usize::MAX);
        if rank == 0 {
            self.first_silent_for = 0;
        }
        // Of several that answer, the first in order is everybody's.
        let known_is_better =
            self.aggregator.and_then(|known| self.place(known)).is_some_and(|known| known < rank);
        if self.stage == Stage::Idle && known_is_better {
            return false;
        }
        self.end_report();
        true
    }

    /// The last report has its answer.
    pub(crate) fn end_report(&mut self) {
        self.stage = Stage::Idle;
        self.unanswered_reports = 0;
    }

    /// The aggregator of that epoch if it is a later one that was not announced yet; then it counts as announced.
    pub(crate) fn announce(&mut self, epoch: u64, members: u32) -> Option<u32> {
        if epoch <= self.epoch || self.next_epoch_announced {
            return None;
        }
        self.next_epoch_announced = true;
        aggregator_order(epoch, members).first().copied()
    }

    /// The interval until the next report, doubled for each report without an answer.
    pub(crate) fn back_off(&self, interval: Micros) -> Micros {
        interval << self.unanswered_reports.min(MAX_DOUBLINGS)
    }

    fn place(&self, member: u32) -> Option<usize> {
        self.order.iter().position(|candidate| *candidate == member)
    }
}
