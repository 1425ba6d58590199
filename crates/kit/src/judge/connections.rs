//! Rules on connections that stand: not cut, lines passed on, the end passed on, silence noticed.

use super::deferred_checks::Check;
use super::request_table::{Gone, Ledger, Request, Room};
use super::rule::Rule;
use super::{millis, seconds};
use crate::observation::{Answer, Attempt, End, Over, RequestId};
use crate::plan::NodeId;
use crate::time::Micros;

impl Ledger {
    pub fn moved(&mut self, at: Micros, id: RequestId, room: &mut Room) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.moved.get_or_insert(at);
        self.client_done(at, id, room.desk);
    }

    /// All that stood at a render node was ended there.
    pub fn turned(&mut self, at: Micros, node: NodeId, room: &mut Room) {
        for id in self.standing_at(node) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let Some(this) = request.up.and_then(|up| request.tries.get_mut(up)) else { continue };
            if this.over.is_none() && room.fleet.heard(this.proxy, node) {
                this.over = Some((at, Over::Cut));
                room.desk.checks.add(at + room.rules.ended_within + room.rules.grace, Check::Ended(id));
            }
        }
    }

    /// The proxy ended the client's connection a little ago, and whoever saw the cause has noted it.
    pub fn cut_due(&mut self, at: Micros, id: RequestId, room: &mut Room) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stands() {
            return self.half_cut(at, id, room);
        }
        if request.moved.is_some() {
            return;
        }
        let Some((ended, Gone::Ended(how))) = request.gone else { return };
        let (Some(asked), Some(up)) = (request.asked, request.connection()) else { return };
        let by = ended + room.rules.grace;
        let by_node = up.over.is_some_and(|(over, who)| who != Over::ByProxy && over <= by);
        let turned = room.fleet.generation(up.attempt.node) != up.generation
            && room.fleet.turned(up.attempt.node).is_some_and(|turned| turned <= by);
        if by_node || turned || !request.steady_at_end || room.processes.forgives(asked.life, asked.at, ended)
        {
            return;
        }
        let read = request.answer.as_ref().map_or(asked.at, |(read, _)| *read);
        let how = if how == End::Closed { "closed" } else { "reset" };
        let side = match up.over {
            Some((over, _)) => format!("ended its side at {}", seconds(over)),
            None => "kept its side".to_owned(),
        };
        let what = format!(
            "up since {}, {how} at {} without MOVE; the proxy {side}, and the render node still answered",
            seconds(read),
            seconds(ended)
        );
        self.accuse(at, Rule::CutWithoutMove, id, what, room.desk);
    }

    /// The proxy ended the render node's side, and the client still has its own.
    fn half_cut(&mut self, at: Micros, id: RequestId, room: &mut Room) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(asked), Some(up)) = (request.asked, request.connection()) else { return };
        let Some((over, Over::ByProxy)) = up.over else { return };
        let steady = room.fleet.steady_since(up.proxy, up.attempt.node).is_some_and(|since| since <= over);
        if steady && room.processes.alive(asked.life) {
            let what = format!(
                "the proxy ended the render node's side at {} and keeps the client's {} ms later, without MOVE",
                seconds(over),
                millis(at - over)
            );
            self.accuse(at, Rule::CutWithoutMove, id, what, room.desk);
        }
    }

    /// The client sent a line.
    pub fn line_sent(&mut self, at: Micros, id: RequestId, line: u32, room: &mut Room) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.stands()) else { return };
        if request.to_node.leaves(line, at) {
            room.desk.checks.add(at + room.rules.line_held + room.rules.grace, Check::LineUp(id, line));
        }
        if request.unreturned.leaves(line, at) {
            room.desk.checks.add(at + room.rules.silent_within + room.rules.grace, Check::Silent(id, line));
        }
    }

    pub fn line_at_node(&mut self, attempt: Attempt, line: u32) {
        if let Some((_, request, _)) = self.of_attempt(attempt) {
            request.to_node.arrives(line);
        }
    }

    pub fn line_returned(&mut self, at: Micros, attempt: Attempt, line: u32, room: &mut Room) {
        let Some((id, request, _)) = self.of_attempt(attempt) else { return };
        request.unreturned.arrives(line);
        if request.to_client.leaves(line, at) {
            room.desk.checks.add(at + room.rules.line_held + room.rules.grace, Check::LineDown(id, line));
        }
    }

    pub fn line_back(&mut self, id: RequestId, line: u32) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.to_client.arrives(line);
        }
    }

    pub fn line_up_due(&mut self, at: Micros, id: RequestId, line: u32, room: &mut Room) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(sent) = request.to_node.since(line)
            && passes(request, sent, room)
        {
            self.held(at, id, format!("line {line}, sent by the client at {}, ", seconds(sent)), room);
        }
    }

    pub fn line_down_due(&mut self, at: Micros, id: RequestId, line: u32, room: &mut Room) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(sent) = request.to_client.since(line)
            && passes(request, sent, room)
        {
            self.held(
                at,
                id,
                format!("line {line}, returned by the render node at {}, ", seconds(sent)),
                room,
            );
        }
    }

    fn held(&mut self, at: Micros, id: RequestId, line: String, room: &mut Room) {
        let limit = millis(room.rules.line_held + room.rules.grace);
        let what = format!("{line}has not reached the other end {limit} ms later; both ends stand");
        self.accuse(at, Rule::LineHeld, id, what, room.desk);
    }

    /// Its render node ended it.
    pub fn ended_due(&mut self, at: Micros, id: RequestId, room: &mut Room) {
        let Some(request) = self.requests.get(&id).filter(|r| r.stands()) else { return };
        let (Some(asked), Some(up)) = (request.asked, request.connection()) else { return };
        let Some((over, how)) = up.over else { return };
        if !room.processes.alive(asked.life) || !room.fleet.heard(up.proxy, up.attempt.node) {
            return;
        }
        let how = match how {
            Over::Bye => "with BYE",
            Over::Move => "with MOVE",
            Over::Cut | Over::ByProxy => "without a word",
        };
        let what = format!(
            "the render node ended it at {} {how}; the client's side still stands {} ms later, unmoved",
            seconds(over),
            millis(at - over)
        );
        self.accuse(at, Rule::EndedKept, id, what, room.desk);
    }

    /// A line was sent `silent_within` ago.
    pub fn silent_due(&mut self, at: Micros, id: RequestId, line: u32, room: &mut Room) {
        let Some(request) = self.requests.get(&id).filter(|r| r.stands()) else { return };
        let Some(sent) = request.unreturned.since(line) else { return };
        let (Some(asked), Some(up)) = (request.asked, request.connection()) else { return };
        if up.over.is_some() || !room.processes.alive(asked.life) {
            return;
        }
        let Some(silent) = room.fleet.silent_since(up.proxy, up.attempt.node) else { return };
        // The line may have been late for another cause before the silence began.
        let due = silent.max(sent) + room.rules.silent_within + room.rules.grace;
        if due > at {
            return room.desk.checks.add(due, Check::Silent(id, line));
        }
        let what = format!(
            "line {line}, sent at {}, was not returned by a render node that is silent since {}; the client's side \
             still stands {} ms later, unmoved",
            seconds(sent),
            seconds(silent),
            millis(at - sent)
        );
        self.accuse(at, Rule::SilentKept, id, what, room.desk);
    }
}

/// Whether all that a line needed was there since it was sent: both ends, and a proxy that runs.
fn passes(request: &Request, sent: Micros, room: &Room) -> bool {
    let (Some(asked), Some(up)) = (request.asked, request.connection()) else { return false };
    request.stands()
        && matches!(request.answer, Some((_, Answer::Up(_))))
        && up.over.is_none()
        && room.fleet.generation(up.attempt.node) == up.generation
        && room.processes.alive(asked.life)
        && room.fleet.steady_since(up.proxy, up.attempt.node).is_some_and(|since| since <= sent)
}
