//! The state of a client's request: which attempt comes next, how long it may take, and how a fault changes it.
//! This module uses neither sockets nor a clock.

use super::fault::Fault;
use super::first_line::FirstLine;
use super::relay::Order;
use super::roster::{Place, Roster};
use crate::time::{MS, Micros, S};

/// The final answer is given this long before the client's deadline, or a quarter of the client's wait before it if
/// that is less.
const RESERVE: Micros = 80 * MS;
/// No attempt is made with less time left.
const LEAST: Micros = 10 * MS;
/// The wait that is assumed for a client that gives none.
const USUAL_WAIT: Micros = 2 * S;
/// [`Fault::TooManyAttempts`] gives up all attempts but the last after this time, which leaves time for the
/// additional one. By then, even a distant render node has read the first line.
const IN_VAIN: Micros = 50 * MS;

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No attempt is pending.
    Placing,
    /// An attempt at this render node is pending.
    Out(Place),
    /// The connection is up at this render node.
    Up(Place),
    /// The request was answered, moved, or taken over by a fault.
    Over,
}

/// A request with its deadline and its attempts.
#[derive(Debug)]
pub(super) struct Request {
    pub line: FirstLine,
    pub fault: Option<Fault>,
    pub stage: Stage,
    /// The time at which the client gives up.
    pub deadline: Micros,
    tried: Vec<Place>,
}

/// The configured limits of attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub most_attempts: u32,
    pub connect_within: Micros,
}

impl Request {
    /// Creates a request that was received now.
    pub fn new(now: Micros, line: FirstLine, fault: Option<Fault>) -> Self {
        let deadline = now + line.wait.unwrap_or(USUAL_WAIT);
        Request { line, fault, stage: Stage::Placing, deadline, tried: Vec::new() }
    }

    fn attempts_left(&self, bounds: Bounds) -> u32 {
        let most = bounds.most_attempts + u32::from(self.fault == Some(Fault::TooManyAttempts));
        most.saturating_sub(self.tried.len() as u32)
    }

    /// Returns the next attempt, or `None` if no attempt, no time or no render node is left.
    pub fn next(&mut self, now: Micros, roster: &mut Roster, bounds: Bounds) -> Option<Order> {
        let left = self.attempts_left(bounds);
        let wait = self.line.wait.unwrap_or(USUAL_WAIT);
        let time = self.deadline - now - RESERVE.min(wait / 4);
        if left == 0 || time < LEAST {
            return None;
        }
        let place = self.choose(now, roster)?;
        let address = roster.address(place)?;
        let in_vain = self.fault == Some(Fault::TooManyAttempts) && left > 1;
        // The time that is left is split evenly over the attempts that are left.
        let part = if in_vain { IN_VAIN.min(time) } else { time / Micros::from(left) };
        let falsified = self.fault == Some(Fault::BadFirstLine) && self.tried.is_empty();
        let line = if falsified { self.line.falsified(part) } else { self.line.forwarded(part) };
        self.tried.push(place);
        self.stage = Stage::Out(place);
        let connect_until = now + bounds.connect_within;
        Some(Order { address, line, connect_until, until: now + part, in_vain })
    }

    fn choose(&self, now: Micros, roster: &mut Roster) -> Option<Place> {
        if let Some(at) = &self.line.at {
            return roster.named(at);
        }
        let faulty = match self.fault {
            Some(Fault::FloodsCold) => roster.cold(now, &self.tried),
            Some(Fault::SendsToDrained) if self.tried.is_empty() => roster.drained(now),
            // All render nodes may have been tried; then one is tried again.
            Some(Fault::TooManyAttempts) => roster.pick(now, &self.tried).or_else(|| roster.pick(now, &[])),
            _ => None,
        };
        faulty.or_else(|| roster.pick(now, &self.tried))
    }

    /// Returns the parallel attempt of [`Fault::SecondAttempt`], which goes with the first attempt. It counts as an
    /// attempt.
    pub fn beside(&mut self, now: Micros, roster: &mut Roster, order: &Order) -> Option<Order> {
        if self.fault != Some(Fault::SecondAttempt) || self.tried.len() != 1 {
            return None;
        }
        let place = roster.pick(now, &self.tried)?;
        self.tried.push(place);
        let line = order.line.clone();
        roster.address(place).map(|address| Order { address, line, ..*order })
    }

    /// Records that the pending attempt failed. Returns its render node, unless the fault caused the failure.
    pub fn attempt_over(&mut self) -> Option<Place> {
        let provoked = self.fault == Some(Fault::TooManyAttempts)
            || (self.fault == Some(Fault::BadFirstLine) && self.tried.len() == 1);
        match std::mem::replace(&mut self.stage, Stage::Placing) {
            Stage::Out(place) if !provoked => Some(place),
            _ => None,
        }
    }
}
