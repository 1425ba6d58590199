//! The search for an aggregator that answers: a member reports to the first candidate of the epoch's order and, without an
//! answer, to the next ones.

use crate::Micros;
use crate::aggregator_order::aggregator_order;

/// Time after which an answer counts as lost: about three round trips of 2 * 38 ms.
const ANSWER_TIMEOUT: Micros = 250_000;
/// Maximum number of members asked in one round while the aggregator does not answer. The first retry goes to the same member
/// again, and the following ones go to the next 1, 2, 4, 4, ... candidates in the order.
const MAX_ASKED_AT_ONCE: usize = 4;
/// Number of report intervals without an answer from the first candidate, after which reports go to the member that answered
/// last instead. If members switched after only two lost datagrams, the reports would be split between two aggregators, and
/// neither would have complete sums.
const MAX_SILENT_INTERVALS: u32 = 2;
/// While reports go to another member, every third one still goes to the first candidate, which may have recovered.
const RETRY_FIRST_EVERY: u16 = 3;
/// Rounds of asking after which a member gives up until its next report, whose interval is doubled.
const MAX_ROUNDS: u32 = 6;
/// Maximum age of the report that an answer belongs to: all rounds, plus half a second of transit time. An answer to an older
/// report is dropped, because it may have waited in the socket while this process was stopped.
pub(crate) const MAX_ANSWER_AGE: Micros = (MAX_ROUNDS as Micros + 2) * ANSWER_TIMEOUT;
/// Maximum number of times that the report interval is doubled while no report is answered.
const MAX_DOUBLINGS: u32 = 3;

/// The state of the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The report was answered, or the member gave up.
    Idle,
    /// The report was sent, and the member waits for an answer.
    Asking {
        /// The current round, counted from 0.
        round: u32,
        /// Position in the order of the candidate to ask next.
        next: usize,
        /// When the next round begins.
        due: Micros,
    },
}

/// The decision about the next round.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum NextRound {
    /// The report goes to these members.
    Ask(Vec<u32>),
    /// No candidate answers: this member is partitioned off, or all candidates are dead. The next report starts with the first
    /// candidate again.
    GiveUp,
}

/// The candidates of an epoch, and the state of the search among them.
#[derive(Debug)]
pub(crate) struct AggregatorSearch {
    epoch: u64,
    order: Vec<u32>,
    aggregator: Option<u32>,
    pub(crate) stage: Stage,
    /// The members that the last report was sent to, in order of sending.
    asked: Vec<u32>,
    /// Number of consecutive intervals in which the first candidate has not answered.
    first_candidate_silent_for: u32,
    /// Number of consecutive reports without any answer.
    unanswered_reports: u32,
    next_epoch_notified: bool,
}

impl AggregatorSearch {
    /// Creates the search for an epoch; `members` is the size of the fleet.
    pub(crate) fn new(epoch: u64, members: u32) -> Self {
        AggregatorSearch {
            epoch,
            order: aggregator_order(epoch, members),
            aggregator: None,
            stage: Stage::Idle,
            asked: Vec::new(),
            first_candidate_silent_for: 0,
            unanswered_reports: 0,
            next_epoch_notified: false,
        }
    }

    /// Recomputes the order if the epoch has changed, and returns whether it has.
    pub(crate) fn enter_epoch(&mut self, epoch: u64, members: u32) -> bool {
        if epoch == self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.order = aggregator_order(epoch, members);
        self.next_epoch_notified = false;
        self.first_candidate_silent_for = 0;
        true
    }

    /// The first candidate; `None` if the fleet has no members.
    pub(crate) fn first_candidate(&self) -> Option<u32> {
        self.order.first().copied()
    }

    /// The aggregator known to this member; `None` if no candidate has answered.
    pub(crate) fn aggregator(&self) -> Option<u32> {
        self.aggregator
    }

    /// Sets the aggregator, and returns whether it has changed.
    pub(crate) fn set_aggregator(&mut self, aggregator: Option<u32>) -> bool {
        std::mem::replace(&mut self.aggregator, aggregator) != aggregator
    }

    /// Begins a report with this sequence number, and returns its first receiver.
    pub(crate) fn begin_report(&mut self, sequence: u16) -> Option<u32> {
        self.asked.clear();
        let ask_first = self.first_candidate_silent_for < MAX_SILENT_INTERVALS
            || sequence.is_multiple_of(RETRY_FIRST_EVERY);
        if ask_first { self.first_candidate() } else { self.aggregator.or(self.first_candidate()) }
    }

    /// Starts to wait for an answer from the first receiver of the report.
    pub(crate) fn await_answer(&mut self, now: Micros, receiver: u32) {
        let next = self.position(receiver).map_or(0, |position| position + 1);
        self.stage = Stage::Asking { round: 0, next, due: now + ANSWER_TIMEOUT };
    }

    /// Records that the report was sent to this member.
    pub(crate) fn record_asked(&mut self, member: u32) {
        if !self.asked.contains(&member) {
            self.asked.push(member);
        }
    }

    /// Whether the last report was sent to this member.
    pub(crate) fn has_asked(&self, member: u32) -> bool {
        self.asked.contains(&member)
    }

    /// Starts the next round after a timeout: the first receiver is asked once more, then the candidates after it in the order.
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
            self.first_candidate_silent_for += 1;
        }
        let count = (1_usize << (round - 1)).min(MAX_ASKED_AT_ONCE);
        self.stage = Stage::Asking { round: round + 1, next: next + count, due };
        NextRound::Ask((next..next + count).map(|position| self.order[position % self.order.len()]).collect())
    }

    /// Returns whether the sender of this answer becomes the aggregator. It does not if the report has already been answered by
    /// a member with a better rank.
    pub(crate) fn accept_answer(&mut self, from: u32) -> bool {
        // If a new epoch has begun since the report was sent, the sender may be missing in the order.
        let rank = self.position(from).unwrap_or(usize::MAX);
        if rank == 0 {
            self.first_candidate_silent_for = 0;
        }
        // If several candidates answer, all members must choose the same one: the first in the order.
        let known_is_better =
            self.aggregator.and_then(|known| self.position(known)).is_some_and(|known| known < rank);
        if self.stage == Stage::Idle && known_is_better {
            return false;
        }
        self.end_report();
        true
    }

    /// Marks the last report as answered.
    pub(crate) fn end_report(&mut self) {
        self.stage = Stage::Idle;
        self.unanswered_reports = 0;
    }

    /// Returns the first candidate of `epoch` once, if `epoch` is later than the current one; otherwise `None`.
    pub(crate) fn take_advance_notice_receiver(&mut self, epoch: u64, members: u32) -> Option<u32> {
        if epoch <= self.epoch || self.next_epoch_notified {
            return None;
        }
        self.next_epoch_notified = true;
        aggregator_order(epoch, members).first().copied()
    }

    /// The interval until the next report, doubled for each consecutive unanswered report.
    pub(crate) fn back_off(&self, interval: Micros) -> Micros {
        interval << self.unanswered_reports.min(MAX_DOUBLINGS)
    }

    fn position(&self, member: u32) -> Option<usize> {
        self.order.iter().position(|candidate| *candidate == member)
    }
}
