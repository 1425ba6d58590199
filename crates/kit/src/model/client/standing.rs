//! A connection that is up: the lines that the client sends, those that came back, and which seconds were well served.
//!
//! Line n is due at `up + phase + n * every`, whatever became of the ones before it (open loop). Its span is the time
//! from when the line before it was due (from `up`, for the first) until it is due itself, and that span is well
//! served if the line is back no later than the message aim after it was due. A line that is not back by then makes
//! its span badly served, even if it comes later. When the connection ends, the time since the last span whose worth
//! is known counts as that one did, or as well served if there is none: the connection stood, and nothing was late.
//! So spans are disjoint, cover the whole time up, and end where the session does at the latest.

use super::words::own_line;
use super::{Out, note};
use crate::observation::{RequestId, Seen};
use crate::plan::{ProxyId, SessionId};
use crate::time::Micros;
use std::collections::VecDeque;

/// What a line that was read is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Returned {
    /// The client's own, in its turn.
    Own,
    /// The client's own, but one before it never came.
    Skipping,
    /// None of the client's that is out.
    Not,
}

/// Whose lines these are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Whose {
    pub session: SessionId,
    pub request: RequestId,
    pub proxy: ProxyId,
    pub class: u8,
    pub message_aim: Micros,
    /// No span reaches beyond this.
    pub until: Micros,
}

#[derive(Debug)]
pub(crate) struct Standing {
    pub whose: Whose,
    every: Micros,
    next: u32,
    next_due: Micros,
    /// Sent and not back: numbers and when they were due.
    away: VecDeque<(u32, Micros)>,
    /// So many of them, the oldest, are known to be late.
    late: usize,
    /// The end of the last span that was noted.
    noted: Micros,
    /// Its worth.
    well: bool,
}

impl Standing {
    /// Up now; the first line is due after `phase`.
    pub fn begin(now: Micros, phase: Micros, every: Micros, whose: Whose) -> Self {
        let (next_due, away) = (now + phase, VecDeque::new());
        Standing { whose, every, next: 0, next_due, away, late: 0, noted: now, well: true }
    }

    /// When the next line is due, or the next one that is out is late.
    pub fn next_timeout(&self) -> Micros {
        let late = self.away.get(self.late).map(|(_, due)| due + self.whose.message_aim + 1);
        late.map_or(self.next_due, |late| late.min(self.next_due))
    }

    fn note_span(&mut self, end: Micros, well: bool, out: Out) {
        let end = end.min(self.whose.until);
        if end > self.noted {
            let seen = Seen::Served { session: self.whose.session, from: self.noted, well };
            note(out, end, seen);
            self.noted = end;
        }
        self.well = well;
    }

    /// Finds lines that are late by now.
    pub fn note_late(&mut self, now: Micros, out: Out) {
        while let Some((_, due)) = self.away.get(self.late).copied() {
            if due + self.whose.message_aim >= now {
                break;
            }
            self.late += 1;
            self.note_span(due, false, out);
        }
    }

    /// The next line, if it is due.
    pub fn due_line(&mut self, now: Micros, out: Out) -> Option<String> {
        if self.next_due > now || self.next_due >= self.whose.until {
            return None;
        }
        let (line, request) = (self.next, self.whose.request);
        note(out, now, Seen::LineSent { request, line });
        self.away.push_back((line, self.next_due));
        self.next += 1;
        self.next_due += self.every;
        Some(own_line(request, line))
    }

    /// Takes a line that was read, without its end, if it is one of the client's own.
    pub fn returned(&mut self, now: Micros, text: &[u8], out: Out) -> Returned {
        let Whose { request, class, .. } = self.whose;
        let is = |number: u32| own_line(request, number).trim_end().as_bytes() == text;
        let Some(place) = self.away.iter().position(|(number, _)| is(*number)) else { return Returned::Not };
        self.note_late(now, out);
        for skipped in (0..=place).rev() {
            let Some((line, due)) = self.away.pop_front() else { break };
            match self.late.checked_sub(1) {
                Some(late) => self.late = late,
                None => self.note_span(due, skipped == 0, out),
            }
            if skipped == 0 {
                note(out, now, Seen::LineBack { request, line });
                note(out, now, Seen::MessageTook { class, took: now - due });
            }
        }
        if place == 0 { Returned::Own } else { Returned::Skipping }
    }

    /// The connection's time is over: the last span is noted.
    pub fn end(&mut self, now: Micros, out: Out) {
        self.note_late(now, out);
        self.note_span(now, self.well, out);
    }
}
