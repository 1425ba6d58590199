//! Rules on what a render node gets: one attempt at a time, not too many, nothing after a drain, no line of the
//! proxy's own making.

use super::deferred_checks::Check;
use super::list_knowledge::Told;
use super::request_table::{Ledger, Room, Try};
use super::rule::Rule;
use super::rule_output::Subject;
use super::{millis, seconds};
use crate::observation::{Answer, Attempt, NodeAnswer, Over, RequestId};
use crate::plan::{ProxyId, SessionId};
use crate::time::Micros;

/// An attempt, as it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub attempt: Attempt,
    pub request: RequestId,
    pub session: Option<SessionId>,
    pub proxy: ProxyId,
    pub first_byte: Micros,
}

impl Ledger {
    pub fn attempted(&mut self, at: Micros, arrival: Arrival, told: &mut Told, room: &mut Room) {
        let Arrival { attempt, request: id, session, proxy, first_byte } = arrival;
        let request = self.requests.entry(id).or_default();
        let known = request.asked.map(|a| a.life.0 == proxy);
        if known == Some(true) && request.answer.is_some() && room.rude.thief_at(at, proxy) {
            return;
        }
        if known != Some(true) {
            room.desk.checks.add(at + room.rules.grace, Check::Unknown(id, attempt, proxy, at));
        }
        if known == Some(false) {
            // Another proxy's request has no part in it.
            return;
        }
        if request.asked.is_some_and(|asked| session != Some(asked.session)) {
            let what = format!("at {}, with a key that is not its session's", seconds(at));
            self.accuse(at, Rule::BadFirstLine, id, what, room.desk);
            return;
        }
        let generation = room.fleet.generation(attempt.node);
        let out = request.tries.iter().any(|t| t.out(room.fleet));
        let place = request.tries.len();
        request.tries.push(Try { attempt, proxy, at, generation, answer: None, refused: None, over: None });
        self.by_attempt.insert(attempt, id);
        if out {
            room.desk.checks.add(at + room.rules.grace, Check::Overlap(id, place as u32));
        } else if let Some((read, Answer::Busy(_) | Answer::Failed(_))) = request.answer
            && first_byte > read + room.rules.grace
        {
            let what =
                format!("sent on at {}, after its final answer at {}", seconds(first_byte), seconds(read));
            self.accuse(at, Rule::OneFinalAnswer, id, what, room.desk);
        }
        if place as u32 >= room.rules.attempts {
            let what = format!("attempt {}, at most {} are allowed", place + 1, room.rules.attempts);
            self.accuse(at, Rule::TooManyAttempts, id, what, room.desk);
        }
        let limit = room.rules.stop_within + room.rules.grace;
        if let Some(since) = told.away(at, proxy, attempt.node).filter(|since| first_byte > since + limit) {
            let what = format!(
                "first byte at {}, {} ms after the proxy was told at {} that the render node drains or is gone; {} ms \
                 are allowed",
                seconds(first_byte),
                millis(first_byte - since),
                seconds(since),
                millis(limit)
            );
            self.accuse(at, Rule::SendAfterDrain, id, what, room.desk);
        }
    }

    pub fn attempt_answered(&mut self, at: Micros, attempt: Attempt, answer: NodeAnswer, room: &mut Room) {
        let Some((id, request, place)) = self.of_attempt(attempt) else { return };
        let this = &mut request.tries[place];
        this.answer = Some(answer);
        match answer {
            NodeAnswer::Busy | NodeAnswer::Error => this.refused = Some(at),
            NodeAnswer::Up(receipt) => {
                let read = matches!(request.answer, Some((_, Answer::Up(r))) if r == receipt);
                let waiting = read && request.up.is_none();
                self.receipts.insert(receipt, attempt);
                if waiting {
                    self.connect(at, id, receipt, room);
                }
            }
        }
    }

    pub fn attempt_over(&mut self, at: Micros, attempt: Attempt, over: Over, room: &mut Room) {
        let Some((id, request, place)) = self.of_attempt(attempt) else { return };
        if request.tries[place].over.is_some() {
            return;
        }
        request.tries[place].over = Some((at, over));
        let proxy = request.tries[place].proxy;
        if request.up != Some(place) || !request.stands() || !room.fleet.heard(proxy, attempt.node) {
            return;
        }
        // The client's own end may be on its way, and passed on to the render node first.
        let check = if over == Over::ByProxy { Check::Cut(id) } else { Check::Ended(id) };
        room.desk.checks.add(at + room.rules.ended_within + room.rules.grace, check);
    }

    /// An attempt arrived while an earlier one was out; whoever ended one of them has noted it by now.
    pub fn overlap_due(&mut self, at: Micros, id: RequestId, place: u32, room: &mut Room) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(later) = request.tries.get(place as usize).filter(|t| t.out(room.fleet)) else { return };
        let Some(earlier) = request.tries[..place as usize].iter().find(|t| t.out(room.fleet)) else {
            return;
        };
        let what = format!(
            "an attempt at render node {} at {}, while that of {} at render node {} is out, for over {} ms (numbers as in \
             the plan)",
            later.attempt.node.0,
            seconds(later.at),
            seconds(earlier.at),
            earlier.attempt.node.0,
            millis(room.rules.grace)
        );
        self.accuse(at, Rule::TwoAttempts, id, what, room.desk);
    }

    /// A client's word on this request has been noted by now, if there was one.
    pub fn unknown_due(
        &mut self,
        at: Micros,
        (id, attempt, proxy, since): (RequestId, Attempt, ProxyId, Micros),
        room: &mut Room,
    ) {
        let asked = self.requests.get(&id).and_then(|r| r.asked);
        if asked.is_some_and(|a| a.life.0 == proxy) {
            return;
        }
        if !room.rude.has_asked(id, proxy) {
            let subject = Subject {
                request: Some(id),
                node: Some(attempt.node),
                proxy: Some(proxy),
                ..Subject::default()
            };
            let what = format!("at {}, with an id that no client has put to this proxy", seconds(since));
            room.desk.accuse(at, Rule::BadFirstLine, subject, what);
        }
        if asked.is_none() {
            self.let_go(id);
        }
    }
}
