//! An established connection: the lines that the client sends, the lines that were returned, and the time spans
//! that were well served.
//!
//! Line n is due at `up + phase + n * every`, independently of earlier lines (open loop). The span of a line starts
//! when the previous line was due (at `up`, for the first line) and ends when the line itself is due. The span is
//! well served if the line returns within the message aim after it was due. If the line has not returned by then,
//! its span is badly served, even if the line returns later. When the connection ends, the time since the last span
//! with a known result counts like that span, or as well served if there is none, because the connection was up and
//! nothing was late. The spans are therefore disjoint, cover the whole time up, and end with the session at the
//! latest.

use super::words::own_line;
use super::{Out, note};
use crate::observation::{RequestId, Seen};
use crate::plan::{ProxyId, SessionId};
use crate::time::Micros;
use std::collections::VecDeque;

/// The classification of a line that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Returned {
    /// The oldest line that the client sent and that was not returned.
    Own,
    /// A line of the client, but an earlier line was not returned.
    Skipping,
    /// Not a line that the client sent and that was not returned.
    Not,
}

/// The session, request and proxy of a connection, with the limits that apply to its spans.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Whose {
    pub session: SessionId,
    pub request: RequestId,
    pub proxy: ProxyId,
    pub class: u8,
    pub message_aim: Micros,
    /// No span extends beyond this time.
    pub until: Micros,
}

#[derive(Debug)]
pub(crate) struct Standing {
    pub whose: Whose,
    every: Micros,
    next: u32,
    next_due: Micros,
    /// Lines that were sent and not returned: their numbers and the times at which they were due.
    away: VecDeque<(u32, Micros)>,
    /// Number of these lines, counted from the oldest, that are known to be late.
    late: usize,
    /// The end of the last span that was recorded.
    noted: Micros,
    /// Whether that span was well served.
    well: bool,
}

impl Standing {
    /// Creates a connection that is up since `now`. Its first line is due after `phase`.
    pub fn begin(now: Micros, phase: Micros, every: Micros, whose: Whose) -> Self {
        let (next_due, away) = (now + phase, VecDeque::new());
        Standing { whose, every, next: 0, next_due, away, late: 0, noted: now, well: true }
    }

    /// The time at which the next line is due, or at which the next unreturned line becomes late.
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

    /// Records the lines that have become late.
    pub fn note_late(&mut self, now: Micros, out: Out) {
        while let Some((_, due)) = self.away.get(self.late).copied() {
            if due + self.whose.message_aim >= now {
                break;
            }
            self.late += 1;
            self.note_span(due, false, out);
        }
    }

    /// Returns the next line, if it is due.
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

    /// Handles a line that was read, without its line end, if it is one that the client sent.
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

    /// Records the last span when the connection ends.
    pub fn end(&mut self, now: Micros, out: Out) {
        self.note_late(now, out);
        self.note_span(now, self.well, out);
    }
}
