//! How a render node handles an attempt, from the first line to the answer.

use super::connection::{Connection, Refusal, State};
use super::{Event, NewAttempt, NodeModel, Output};
use crate::observation::NodeAnswer;
use crate::plan::{NodeId, SessionId};
use crate::time::Micros;
use rand::RngExt;

impl NodeModel {
    pub(super) fn open(&mut self, now: Micros, attempt: NewAttempt, out: &mut Vec<Output>) {
        if !self.running {
            return out.push(Output::Reset(attempt.serial));
        }
        self.budget.take_if(|budget| budget.is_expired(now));
        if let Some(budget) = &mut self.budget
            && budget.record_arrival(now, &self.plan.rules)
        {
            self.failed = true;
            out.push(Output::Reset(attempt.serial));
            self.stop(out);
            return out.push(Output::Failed);
        }
        let (round_trip, gives_up) = (2 * attempt.network_delay, now + attempt.wait);
        let (state, session, at) = match (self.refusal(&attempt), attempt.session) {
            (None, Some(session)) if attempt.open_before_run => {
                (State::SettingUp { gives_up }, session, now + round_trip)
            }
            (None, Some(session)) => {
                let work = self.node().setup_work;
                let wait = self.node().setup_wait as f64 * self.slowdown;
                let work_seconds =
                    self.backlog_seconds() + work / self.ramp.capacity(now).max(f64::MIN_POSITIVE);
                let ready = now + round_trip + (wait + work_seconds.min(1e6) * 1e6) as Micros;
                if ready > gives_up {
                    // The node finds this out only when the set-up's turn comes. The set-up waits until then, and
                    // adds no work to the backlog.
                    (State::Refused(Refusal::Busy), session, gives_up)
                } else {
                    self.backlog.add(work);
                    (State::SettingUp { gives_up }, session, ready)
                }
            }
            (refusal, session) => {
                let refusal = refusal.unwrap_or(Refusal::Error);
                (State::Refused(refusal), session.unwrap_or(SessionId(u32::MAX)), now + round_trip)
            }
        };
        let connection = Connection::new(attempt.request, session, attempt.network_delay, state, at);
        self.connections.insert(attempt.serial, connection);
        self.schedule(at, attempt.serial, Event::Answer);
    }

    fn refusal(&self, attempt: &NewAttempt) -> Option<Refusal> {
        let node = self.node();
        let full = self.connections.setups() + self.connections.up() >= node.connections_max
            || (!attempt.open_before_run && self.connections.setups() >= node.setups_max);
        if self.rubbish {
            Some(Refusal::Rubbish)
        } else if attempt.session.is_none() || self.connections.is_open(attempt.request) {
            Some(Refusal::Error)
        } else {
            (self.draining || full).then_some(Refusal::Busy)
        }
    }

    pub(super) fn answer(&mut self, now: Micros, serial: u32, out: &mut Vec<Output>) {
        let Some(connection) = self.connections.get(serial).filter(|c| c.answer_at <= now && !self.hung)
        else {
            return;
        };
        let refusal = match connection.state {
            State::Up { .. } => return,
            State::Refused(refusal) => Some(refusal),
            State::SettingUp { gives_up } => (now > gives_up).then_some(Refusal::Busy),
        };
        match refusal {
            None => {
                let receipt = receipt(self.id, serial, self.rng.random());
                out.push(Output::Answer(serial, NodeAnswer::Up(receipt)));
                let (load, next) = self.load_of(connection.session, now);
                self.connections.mark_up(serial, load, self.group_of(serial));
                next.into_iter().for_each(|at| self.schedule(at, serial, Event::ChangeLoad));
            }
            Some(refusal) => {
                self.connections.remove(serial);
                out.push(match refusal {
                    Refusal::Busy => Output::Answer(serial, NodeAnswer::Busy),
                    Refusal::Error => Output::Answer(serial, NodeAnswer::Error),
                    Refusal::Rubbish => Output::Rubbish(serial, self.rng.random()),
                });
            }
        }
    }

    fn group_of(&self, serial: u32) -> u64 {
        let session = self.connections.get(serial).and_then(|c| self.plan.sessions.get(c.session.0 as usize));
        session.map_or(0, |session| session.group)
    }

    /// The current load of a session, in billionths of a standard core, and the time of its next change.
    pub(super) fn load_of(&self, session: SessionId, now: Micros) -> (i64, Option<Micros>) {
        let Some(session) = self.plan.sessions.get(session.0 as usize) else { return (0, None) };
        let since = now - session.arrives;
        let next = session.next_load_change(since).map(|change| session.arrives + change);
        ((session.load_at(since) * 1e9).round() as i64, next)
    }

    pub(super) fn change_load(&mut self, now: Micros, serial: u32) {
        let Some(connection) = self.connections.get(serial).filter(|_| self.connections.is_up(serial)) else {
            return;
        };
        let (network_delay, previous) = (connection.network_delay, connection.load);
        let (load, next) = self.load_of(connection.session, now);
        self.connections.set_load(serial, load);
        next.into_iter().for_each(|at| self.schedule(at, serial, Event::ChangeLoad));
        if load != previous {
            self.schedule(now + network_delay, serial, Event::ReportLoad((load / 1000).max(0) as u64));
        }
    }
}

/// A receipt that is unique among all attempts of the run and that cannot be guessed: the node, the serial and a
/// random number, scrambled by a one-to-one function (the finalizer of SplitMix64, Steele et al. 2014).
pub(super) fn receipt(node: NodeId, serial: u32, random: u16) -> u64 {
    let mut x = u64::from(random) << 48 | u64::from(node.0) << 32 | u64::from(serial);
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}
