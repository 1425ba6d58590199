//! What a client has asked, and how far it got: which attempt comes next, for how long, and what a fault makes of it.
//! No sockets, no clock.

use super::fault::Fault;
use super::first_line::FirstLine;
use super::relay::Order;
use super::roster::{Place, Roster};
use crate::time::{MS, Micros, S};

/// The final answer is given this long before the client's time is up, or a quarter of the time if that is less.
const RESERVE: Micros = 80 * MS;
/// Less time is not worth an attempt.
const LEAST: Micros = 10 * MS;
/// For a client that tells none.
const USUAL_WAIT: Micros = 2 * S;
/// For the fault: attempts that are there to be counted are given up after this; a render node far away has read
/// the first line by then.
const IN_VAIN: Micros = 50 * MS;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No attempt is out.
    Placing,
    /// One is out there.
    Out(Place),
    /// Served there.
    Up(Place),
    /// Answered, moved, or taken by a fault.
    Over,
}

/// One request.
#[derive(Debug)]
pub(super) struct Request {
    pub line: FirstLine,
    pub fault: Option<Fault>,
    pub stage: Stage,
    /// When the client gives up.
    pub deadline: Micros,
    tried: Vec<Place>,
}

/// The figures that bound attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub most_attempts: u32,
    pub connect_within: Micros,
}

impl Request {
    /// Taken now.
    pub fn new(now: Micros, line: FirstLine, fault: Option<Fault>) -> Self {
        let deadline = now + line.wait.unwrap_or(USUAL_WAIT);
        Request { line, fault, stage: Stage::Placing, deadline, tried: Vec::new() }
    }

    fn attempts_left(&self, bounds: Bounds) -> u32 {
        let most = bounds.most_attempts + u32::from(self.fault == Some(Fault::TooManyAttempts));
        most.saturating_sub(self.tried.len() as u32)
    }

    /// The next attempt; none if nothing is left.
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
        // Each attempt gets its part of the time that is left.
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
            // It may run out of others.
            Some(Fault::TooManyAttempts) => roster.pick(now, &self.tried).or_else(|| roster.pick(now, &[])),
            _ => None,
        };
        faulty.or_else(|| roster.pick(now, &self.tried))
    }

    /// For the fault: an attempt to be made beside the first one. It counts as one.
    pub fn beside(&mut self, now: Micros, roster: &mut Roster, order: &Order) -> Option<Order> {
        if self.fault != Some(Fault::SecondAttempt) || self.tried.len() != 1 {
            return None;
        }
        let place = roster.pick(now, &self.tried)?;
        self.tried.push(place);
        let line = order.line.clone();
        roster.address(place).map(|address| Order { address, line, ..*order })
    }

    /// The attempt that was out came to nothing; its render node, if that was its own doing.
    pub fn attempt_over(&mut self) -> Option<Place> {
        let provoked = self.fault == Some(Fault::TooManyAttempts)
            || (self.fault == Some(Fault::BadFirstLine) && self.tried.len() == 1);
        match std::mem::replace(&mut self.stage, Stage::Placing) {
            Stage::Out(place) if !provoked => Some(place),
            _ => None,
        }
    }
}
