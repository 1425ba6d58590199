//! The state of a client's request: which attempt comes next, how long it may take, and how a fault changes it.
//! This module uses neither sockets nor a clock.

use super::fault::Fault;
use super::first_line::FirstLine;
use super::relay::AttemptSpec;
use super::roster::{NodeIndex, Roster};
use crate::time::{MS, Micros, S};

/// The final answer is given this long before the client's deadline, or a quarter of the client's wait before it if
/// that is less.
const ANSWER_RESERVE: Micros = 80 * MS;
/// No attempt is made with less time left.
const MIN_ATTEMPT_TIME: Micros = 10 * MS;
/// The wait that is assumed for a client that gives none.
const DEFAULT_WAIT: Micros = 2 * S;
/// [`Fault::TooManyAttempts`] gives up all attempts but the last after this time, which leaves time for the
/// additional one. By then, even a distant render node has read the first line.
const SURPLUS_ATTEMPT_TIME: Micros = 50 * MS;

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No attempt is pending.
    Placing,
    /// An attempt at this render node is pending.
    Attempting(NodeIndex),
    /// The connection is up at this render node.
    Up(NodeIndex),
    /// The request was answered, moved, or taken over by a fault.
    Done,
}

/// A request with its deadline and its attempts.
#[derive(Debug)]
pub(super) struct Request {
    pub line: FirstLine,
    pub fault: Option<Fault>,
    pub stage: Stage,
    /// The time at which the client gives up.
    pub deadline: Micros,
    tried: Vec<NodeIndex>,
}

/// The configured limits of attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    pub max_attempts: u32,
    pub connect_timeout: Micros,
}

impl Request {
    /// Creates a request that was received now.
    pub fn new(now: Micros, line: FirstLine, fault: Option<Fault>) -> Self {
        let deadline = now + line.wait.unwrap_or(DEFAULT_WAIT);
        Request { line, fault, stage: Stage::Placing, deadline, tried: Vec::new() }
    }

    fn attempts_left(&self, limits: AttemptLimits) -> u32 {
        let max_attempts = limits.max_attempts + u32::from(self.fault == Some(Fault::TooManyAttempts));
        max_attempts.saturating_sub(self.tried.len() as u32)
    }

    /// Returns the next attempt, or `None` if no attempt, no time or no render node is left.
    pub fn next_attempt(
        &mut self,
        now: Micros,
        roster: &mut Roster,
        limits: AttemptLimits,
    ) -> Option<AttemptSpec> {
        let attempts_left = self.attempts_left(limits);
        let wait = self.line.wait.unwrap_or(DEFAULT_WAIT);
        let time_left = self.deadline - now - ANSWER_RESERVE.min(wait / 4);
        if attempts_left == 0 || time_left < MIN_ATTEMPT_TIME {
            return None;
        }
        let node = self.choose_node(now, roster)?;
        let address = roster.address(node)?;
        let discard_answer = self.fault == Some(Fault::TooManyAttempts) && attempts_left > 1;
        // The time that is left is split evenly over the attempts that are left.
        let duration = if discard_answer {
            SURPLUS_ATTEMPT_TIME.min(time_left)
        } else {
            time_left / Micros::from(attempts_left)
        };
        let is_wrong_key_due = self.fault == Some(Fault::BadFirstLine) && self.tried.is_empty();
        let line =
            if is_wrong_key_due { self.line.with_wrong_key(duration) } else { self.line.forwarded(duration) };
        self.tried.push(node);
        self.stage = Stage::Attempting(node);
        let connect_deadline = now + limits.connect_timeout;
        Some(AttemptSpec { address, line, connect_deadline, deadline: now + duration, discard_answer })
    }

    fn choose_node(&self, now: Micros, roster: &mut Roster) -> Option<NodeIndex> {
        if let Some(at) = &self.line.at {
            return roster.find(at);
        }
        let chosen_by_fault = match self.fault {
            Some(Fault::FloodsCold) => roster.find_cold(now, &self.tried),
            Some(Fault::SendsToDrained) if self.tried.is_empty() => roster.find_drained(now),
            // All render nodes may have been tried; then one is tried again.
            Some(Fault::TooManyAttempts) => roster.pick(now, &self.tried).or_else(|| roster.pick(now, &[])),
            _ => None,
        };
        chosen_by_fault.or_else(|| roster.pick(now, &self.tried))
    }

    /// Returns the parallel attempt of [`Fault::SecondAttempt`], which goes with the first attempt. It counts as an
    /// attempt.
    pub fn parallel_attempt(
        &mut self,
        now: Micros,
        roster: &mut Roster,
        spec: &AttemptSpec,
    ) -> Option<AttemptSpec> {
        if self.fault != Some(Fault::SecondAttempt) || self.tried.len() != 1 {
            return None;
        }
        let node = roster.pick(now, &self.tried)?;
        self.tried.push(node);
        let line = spec.line.clone();
        roster.address(node).map(|address| AttemptSpec { address, line, ..*spec })
    }

    /// Records that the pending attempt failed. Returns its render node, unless the fault caused the failure.
    pub fn attempt_failed(&mut self) -> Option<NodeIndex> {
        let caused_by_fault = self.fault == Some(Fault::TooManyAttempts)
            || (self.fault == Some(Fault::BadFirstLine) && self.tried.len() == 1);
        match std::mem::replace(&mut self.stage, Stage::Placing) {
            Stage::Attempting(node) if !caused_by_fault => Some(node),
            _ => None,
        }
    }
}
