//! Rules on what a client reads: one final answer, in time, and none invented.

use super::deferred_checks::Check;
use super::millis;
use super::processes::EXIT_NOTICE;
use super::request_table::{Asked, Gone, Ledger, Request, Room};
use super::rule::Rule;
use super::seconds;
use crate::observation::{Answer, End, Left, NodeAnswer, RequestId};
use crate::time::{MS, Micros};

/// What a client does and reads within this time of each other has no order: it gives up while the answer is on its
/// way, and reads what has come.
const SAME_MOMENT: Micros = MS;

impl Ledger {
    pub fn asked(&mut self, id: RequestId, asked: Asked) {
        // A render node may have noted its attempt first.
        self.requests.entry(id).or_default().asked.get_or_insert(asked);
    }

    pub fn answered(&mut self, at: Micros, id: RequestId, answer: &Answer, room: &mut Room) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some((first, kind)) = &request.answer {
            let what =
                format!("a second answer, {}, after {} at {}", words(answer), words(kind), seconds(*first));
            return self.accuse(at, Rule::OneFinalAnswer, id, what, room.desk);
        }
        request.answer = Some((at, answer.clone()));
        let overdue = request.asked.is_some_and(|a| at > limit(&a, room));
        if let Answer::Up(receipt) = answer {
            if !self.connect(at, id, *receipt, room) {
                room.desk.checks.add(at + room.rules.grace, Check::Receipt(id));
            }
        } else {
            self.client_done(at, id, room.desk);
        }
        if overdue {
            room.desk.checks.add(at + SAME_MOMENT, Check::Late(id));
        }
    }

    /// Puts together what the client read and what a render node gave; false if none gave it yet.
    pub fn connect(&mut self, at: Micros, id: RequestId, receipt: u64, room: &mut Room) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(up) = request.tries.iter().position(|t| t.answer == Some(NodeAnswer::Up(receipt))) else {
            return false;
        };
        request.up = Some(up);
        let (node, over) = (request.tries[up].attempt.node, request.tries[up].over);
        if request.gone.is_none() {
            self.stands_at(id, node);
            if over.is_some() {
                room.desk.checks.add(at + room.rules.ended_within + room.rules.grace, Check::Ended(id));
            }
        }
        true
    }

    /// The time in which the render node could have noted what it gave is over.
    pub fn receipt_due(&mut self, at: Micros, id: RequestId, room: &mut Room) {
        let Some(request) = self.requests.get(&id).filter(|r| r.up.is_none()) else { return };
        let Some((read, Answer::Up(receipt))) = request.answer else { return };
        let whose = match self.receipts.get(&receipt).and_then(|a| self.by_attempt.get(a)) {
            Some(other) => format!("a render node gave it for request {:016x}", other.0),
            None => "no render node gave it".to_owned(),
        };
        let what = format!("read UP {receipt:016x} at {}; {whose}", seconds(read));
        self.accuse(at, Rule::InventedAnswer, id, what, room.desk);
    }

    pub fn late_due(&mut self, at: Micros, id: RequestId, room: &mut Room) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(asked), Some((read, _))) = (request.asked, &request.answer) else { return };
        if matches!(request.gone, Some((left, Gone::Left(_))) if (left - read).abs() <= SAME_MOMENT) {
            return;
        }
        let what = format!(
            "answered at {}, {} ms after its last moment at {}",
            seconds(*read),
            millis(read - limit(&asked, room)),
            seconds(limit(&asked, room))
        );
        self.accuse(at, Rule::OneFinalAnswer, id, what, room.desk);
    }

    /// The proxy ended the client's connection.
    pub fn ended(&mut self, at: Micros, id: RequestId, how: End, room: &mut Room) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.gone.is_none()) else { return };
        request.gone = Some((at, Gone::Ended(how)));
        if let Some(up) = request.connection() {
            let steady = room.fleet.steady_since(up.proxy, up.attempt.node);
            request.steady_at_end = steady.is_some_and(|since| since <= at - room.rules.grace);
        }
        match &request.answer {
            None => room.desk.checks.add(at + EXIT_NOTICE, Check::Lost(id)),
            Some((_, Answer::Up(_))) if request.moved.is_none() => {
                room.desk.checks.add(at + EXIT_NOTICE, Check::Cut(id));
            }
            Some(_) => {}
        }
        self.client_done(at, id, room.desk);
    }

    /// The client ended it.
    pub fn left(&mut self, at: Micros, id: RequestId, why: Left, room: &mut Room) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some((ended, Gone::Ended(_))) = request.gone {
            // Its own end was on its way when the proxy's came.
            if why == Left::Done && at - ended <= room.rules.grace {
                request.gone = Some((ended, Gone::Left(why)));
            }
            return;
        }
        request.gone = Some((at, Gone::Left(why)));
        if request.answer.is_none() && request.asked.is_some_and(|a| at >= limit(&a, room)) {
            room.desk.checks.add(at + SAME_MOMENT, Check::Lost(id));
        }
        self.client_done(at, id, room.desk);
    }

    /// A request ended without an answer: by the proxy, or by a client that had waited its time.
    pub fn lost_due(&mut self, at: Micros, id: RequestId, room: &mut Room) {
        if let Some(request) = self.requests.get(&id).filter(|r| r.answer.is_none())
            && let Some(what) = loss(request, room)
        {
            self.accuse(at, Rule::OneFinalAnswer, id, what, room.desk);
        }
    }

    /// The run is over at `at`: judges what was owed by then.
    pub fn finish(&mut self, at: Micros, room: &mut Room) {
        let waiting = |r: &Request| {
            r.answer.is_none() && r.gone.is_none() && r.asked.is_some_and(|a| limit(&a, room) < at)
        };
        let mut waiting: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| waiting(r)).map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        waiting.into_iter().for_each(|id| self.lost_due(at, id, room));
    }
}

/// The last moment for an answer.
fn limit(asked: &Asked, room: &Room) -> Micros {
    asked.deadline + room.rules.answer_slack + room.rules.grace
}

/// What was lost, unless the death of the proxy forgives it.
fn loss(request: &Request, room: &Room) -> Option<String> {
    let asked = request.asked?;
    let last = limit(&asked, room);
    let (broken, what) = match request.gone {
        Some((at, Gone::Ended(how))) => {
            let how = if how == End::Closed { "closed" } else { "reset" };
            (at, format!("the proxy {how} the connection at {} without an answer", seconds(at)))
        }
        Some((at, Gone::Left(_))) => {
            (last, format!("the client gave up at {} without an answer", seconds(at)))
        }
        None => (last, "no answer came".to_owned()),
    };
    if room.processes.forgives(asked.life, asked.at, broken) {
        return None;
    }
    Some(format!("taken at {}, one answer was owed by {}: {what}", seconds(asked.at), seconds(last)))
}

/// An answer, for a person.
fn words(answer: &Answer) -> String {
    match answer {
        Answer::Up(receipt) => format!("UP {receipt:016x}"),
        Answer::Busy(0) => "BUSY".to_owned(),
        Answer::Busy(wait) => format!("BUSY {}", millis(*wait)),
        Answer::Failed(line) => format!("'{}'", line.chars().take(60).collect::<String>().escape_debug()),
    }
}
