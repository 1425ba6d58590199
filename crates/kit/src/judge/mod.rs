//! The judge of a run: sans-io and deterministic. It is fed what the stand-ins saw, in the order of their times, and
//! the plan; never a proxy's own words, and no clock. See `docs/design/judge.md`.

mod answers;
mod attempts;
mod connections;
mod deferred_checks;
mod figures;
mod latency;
mod lateness;
mod lines_in_transit;
mod list_knowledge;
mod misbehaving_clients;
mod node_states;
mod processes;
mod request_table;
mod rule;
mod rule_output;
mod service;
mod slow_start;
mod verdict;

pub use figures::{Answers, Figures, ProxyFigures, Second};
pub use latency::{Latencies, Latency};
pub use lateness::Lateness;
pub use rule::Rule;
pub use service::{Ratios, Service};
pub use verdict::{Finding, Outcome, Unreached, Verdict};

use crate::observation::{Observation, Seen};
use crate::plan::Plan;
use crate::time::Micros;
use attempts::Arrival;
use deferred_checks::Check;
use figures::Counts;
use list_knowledge::Told;
use misbehaving_clients::RudeClients;
use node_states::{Fleet, Turned};
use processes::Processes;
use request_table::{Asked, Ledger, Room};
use rule_output::{Desk, Subject};
use slow_start::ColdNodes;
use std::sync::Arc;

/// The longest datagram, in bytes (PROTOCOL, "Between proxies").
const DATAGRAM_MAX: u32 = 256;

/// Judges one run.
#[derive(Debug)]
pub struct Judge {
    plan: Arc<Plan>,
    fleet: Fleet,
    processes: Processes,
    told: Told,
    cold: ColdNodes,
    rude: RudeClients,
    ledger: Ledger,
    counts: Counts,
    lateness: Lateness,
    desk: Desk,
    now: Micros,
}

impl Judge {
    /// A judge for a run of this plan that begins at 0.
    pub fn new(plan: Arc<Plan>) -> Self {
        let (nodes, proxies) = (plan.nodes.len(), plan.proxies.len());
        Judge {
            fleet: Fleet::new(nodes),
            processes: Processes::new(proxies, &plan.rules),
            told: Told::new(nodes, proxies, &plan.rules),
            cold: ColdNodes::new(nodes, &plan.rules),
            rude: RudeClients::new(&plan),
            ledger: Ledger::new(nodes),
            counts: Counts::new(&plan),
            lateness: Lateness::default(),
            desk: Desk::default(),
            now: 0,
            plan,
        }
    }

    /// Takes in the next observation. Their times never fall; one that does counts as seen now. What comes after
    /// the plan's end is not judged.
    pub fn see(&mut self, observation: &Observation) {
        if observation.at > self.plan.ends {
            return;
        }
        if let Seen::Lag { late } = observation.seen {
            return self.lateness.see(late);
        }
        let at = observation.at.max(self.now);
        self.advance(at);
        self.desk.remember(observation);
        self.counts.see(at, &observation.seen);
        self.told.see(at, &observation.seen);
        self.processes.see(at, &observation.seen, &mut self.desk);
        self.rude.see(at, &observation.seen, &mut self.desk);
        self.cold.see(at, &observation.seen, &mut self.told, &mut self.desk);
        if let Seen::Answered { request, answer } = &observation.seen
            && let Some(asked) = self.ledger.unanswered(*request)
        {
            self.counts.answered(asked.session, answer);
        }
        let turned = self.fleet.see(at, &observation.seen);
        self.requests(at, &observation.seen, turned);
    }

    /// The run is over at `now`, as planned or before. What was owed by then is judged, and nothing else.
    pub fn finish(mut self, now: Micros) -> Verdict {
        let end = now.min(self.plan.ends).max(self.now);
        self.advance(end);
        let (ledger, mut room, _) = self.parts();
        ledger.finish(end, &mut room);
        let figures = self.counts.finish(end);
        Verdict::new(&self.plan, end, self.lateness, self.desk, figures)
    }

    fn advance(&mut self, to: Micros) {
        self.now = to;
        while let Some((due, check)) = self.desk.checks.next_before(to) {
            self.check(due, check);
        }
    }

    fn parts(&mut self) -> (&mut Ledger, Room<'_>, &mut Told) {
        let room = Room {
            rules: &self.plan.rules,
            fleet: &self.fleet,
            processes: &self.processes,
            rude: &mut self.rude,
            desk: &mut self.desk,
        };
        (&mut self.ledger, room, &mut self.told)
    }

    fn requests(&mut self, at: Micros, seen: &Seen, turned: Option<Turned>) {
        let (ledger, mut room, told) = self.parts();
        let room = &mut room;
        if let Some(Turned(node)) = turned {
            ledger.turned(at, node, room);
        }
        match seen {
            Seen::Asked { request, session, proxy, deadline } => {
                let life = room.processes.current(*proxy);
                ledger.asked(*request, Asked { at, session: *session, life, deadline: *deadline });
            }
            Seen::Answered { request, answer } => ledger.answered(at, *request, answer, room),
            Seen::Moved { request } => ledger.moved(at, *request, room),
            Seen::Ended { request, how } => ledger.ended(at, *request, *how, room),
            Seen::Left { request, why } => ledger.left(at, *request, *why, room),
            Seen::LineSent { request, line } => ledger.line_sent(at, *request, *line, room),
            Seen::LineBack { request, line } => ledger.line_back(*request, *line),
            Seen::Attempt { attempt, request, session, proxy, first_byte } => {
                let (attempt, request, session) = (*attempt, *request, *session);
                let (proxy, first_byte) = (*proxy, *first_byte);
                ledger.attempted(at, Arrival { attempt, request, session, proxy, first_byte }, told, room);
            }
            Seen::AttemptAnswered { attempt, answer } => ledger.attempt_answered(at, *attempt, *answer, room),
            Seen::AttemptOver { attempt, over } => ledger.attempt_over(at, *attempt, *over, room),
            Seen::LineAtNode { attempt, line } => ledger.line_at_node(*attempt, *line),
            Seen::LineReturned { attempt, line } => ledger.line_returned(at, *attempt, *line, room),
            Seen::BadFirstLine { node, proxy, line } => {
                let line: String = line.chars().take(120).collect();
                let subject = Subject { node: Some(*node), proxy: Some(*proxy), ..Subject::default() };
                let what = format!("'{}' is no line of a client's", line.escape_debug());
                room.desk.accuse(at, Rule::BadFirstLine, subject, what);
            }
            Seen::Garbled { request, line } => {
                let subject = Subject { request: Some(*request), ..Subject::default() };
                let line: String = line.chars().take(120).collect();
                let what = format!("the client read '{}', which no render node sent", line.escape_debug());
                room.desk.accuse(at, Rule::LineChanged, subject, what);
            }
            Seen::Datagram { from, to, bytes } if *bytes > DATAGRAM_MAX => {
                let subject = Subject { proxy: Some(*from), ..Subject::default() };
                let what = format!("{bytes} bytes to proxy {}, at most {DATAGRAM_MAX} are allowed", to.0);
                room.desk.accuse(at, Rule::OversizedDatagram, subject, what);
            }
            _ => {}
        }
    }

    fn check(&mut self, at: Micros, check: Check) {
        match check {
            Check::Rude(rude) => return self.rude.due(at, rude, &mut self.desk),
            Check::Stayed(life) => return self.processes.stays(at, life, &mut self.desk),
            _ => {}
        }
        let (ledger, mut room, _) = self.parts();
        let room = &mut room;
        match check {
            Check::Receipt(id) => ledger.receipt_due(at, id, room),
            Check::Late(id) => ledger.late_due(at, id, room),
            Check::Lost(id) => ledger.lost_due(at, id, room),
            Check::Overlap(id, place) => ledger.overlap_due(at, id, place, room),
            Check::Unknown(id, attempt, proxy, since) => {
                ledger.unknown_due(at, (id, attempt, proxy, since), room);
            }
            Check::Cut(id) => ledger.cut_due(at, id, room),
            Check::LineUp(id, line) => ledger.line_up_due(at, id, line, room),
            Check::LineDown(id, line) => ledger.line_down_due(at, id, line, room),
            Check::Ended(id) => ledger.ended_due(at, id, room),
            Check::Silent(id, line) => ledger.silent_due(at, id, line, room),
            Check::LetGo(id) => ledger.let_go(id),
            Check::Rude(_) | Check::Stayed(_) => {}
        }
    }
}

/// A time of the run, for a person.
fn seconds(time: Micros) -> String {
    format!("{:.3} s", time as f64 / 1e6)
}

/// A span in milliseconds, for a person.
fn millis(span: Micros) -> String {
    format!("{:.0}", span as f64 / 1e3)
}
