//! An established connection: the lines that the client sends, the lines that were returned, and the time spans
//! that were well served.
//!
//! Line n is due at `up + phase + n * line_interval`, independently of earlier lines (open loop). The span of a
//! line starts when the previous line was due (at `up`, for the first line) and ends when the line itself is due.
//! The span is well served if the line returns within the message aim after it was due. If the line has not
//! returned by then, its span is badly served, even if the line returns later. When the connection ends, the time
//! since the last span with a known result counts like that span, or as well served if there is none, because the
//! connection was up and nothing was late. The spans are therefore disjoint, cover the whole time up, and end with
//! the session at the latest.

use super::lines::client_line;
use super::{Outputs, record};
use crate::observation::{RequestId, Seen};
use crate::plan::{ProxyId, SessionId};
use crate::time::Micros;
use std::collections::VecDeque;

/// The classification of a line that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReturnedLine {
    /// The oldest line that the client sent and that was not returned.
    InOrder,
    /// A line of the client, but an earlier line was not returned.
    OutOfOrder,
    /// Not a line that the client sent and that was not returned.
    Unknown,
}

/// The session, request and proxy of a connection, with the limits that apply to its spans.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionInfo {
    pub session: SessionId,
    pub request: RequestId,
    pub proxy: ProxyId,
    pub class: u8,
    pub message_aim: Micros,
    /// No span extends beyond this time.
    pub until: Micros,
}

#[derive(Debug)]
pub(crate) struct EstablishedConnection {
    pub info: ConnectionInfo,
    line_interval: Micros,
    next_line: u32,
    next_due: Micros,
    /// Lines that were sent and not returned: their numbers and the times at which they were due.
    unreturned: VecDeque<(u32, Micros)>,
    /// Number of these lines, counted from the oldest, that are known to be late.
    late_lines: usize,
    /// The end of the last span that was recorded.
    recorded_until: Micros,
    /// Whether that span was well served.
    last_span_well: bool,
}

impl EstablishedConnection {
    /// Creates a connection that is up since `now`. Its first line is due after `phase`.
    pub fn new(now: Micros, phase: Micros, line_interval: Micros, info: ConnectionInfo) -> Self {
        let (next_due, unreturned) = (now + phase, VecDeque::new());
        EstablishedConnection {
            info,
            line_interval,
            next_line: 0,
            next_due,
            unreturned,
            late_lines: 0,
            recorded_until: now,
            last_span_well: true,
        }
    }

    /// The time at which the next line is due, or at which the next unreturned line becomes late.
    pub fn next_timeout(&self) -> Micros {
        let late = self.unreturned.get(self.late_lines).map(|(_, due)| due + self.info.message_aim + 1);
        late.map_or(self.next_due, |late| late.min(self.next_due))
    }

    fn record_span(&mut self, end: Micros, well: bool, out: Outputs) {
        let end = end.min(self.info.until);
        if end > self.recorded_until {
            let seen = Seen::Served { session: self.info.session, from: self.recorded_until, well };
            record(out, end, seen);
            self.recorded_until = end;
        }
        self.last_span_well = well;
    }

    /// Records the lines that have become late.
    pub fn record_late_lines(&mut self, now: Micros, out: Outputs) {
        while let Some((_, due)) = self.unreturned.get(self.late_lines).copied() {
            if due + self.info.message_aim >= now {
                break;
            }
            self.late_lines += 1;
            self.record_span(due, false, out);
        }
    }

    /// Returns the next line, if it is due.
    pub fn take_due_line(&mut self, now: Micros, out: Outputs) -> Option<String> {
        if self.next_due > now || self.next_due >= self.info.until {
            return None;
        }
        let (line, request) = (self.next_line, self.info.request);
        record(out, now, Seen::LineSent { request, line });
        self.unreturned.push_back((line, self.next_due));
        self.next_line += 1;
        self.next_due += self.line_interval;
        Some(client_line(request, line))
    }

    /// Handles a line that was read, without its line end, if it is one that the client sent.
    pub fn match_returned_line(&mut self, now: Micros, text: &[u8], out: Outputs) -> ReturnedLine {
        let ConnectionInfo { request, class, .. } = self.info;
        let is = |number: u32| client_line(request, number).trim_end().as_bytes() == text;
        let Some(position) = self.unreturned.iter().position(|(number, _)| is(*number)) else {
            return ReturnedLine::Unknown;
        };
        self.record_late_lines(now, out);
        for skipped in (0..=position).rev() {
            let Some((line, due)) = self.unreturned.pop_front() else { break };
            match self.late_lines.checked_sub(1) {
                Some(late) => self.late_lines = late,
                None => self.record_span(due, skipped == 0, out),
            }
            if skipped == 0 {
                record(out, now, Seen::LineBack { request, line });
                record(out, now, Seen::MessageTook { class, took: now - due });
            }
        }
        if position == 0 { ReturnedLine::InOrder } else { ReturnedLine::OutOfOrder }
    }

    /// Records the last span when the connection ends.
    pub fn end(&mut self, now: Micros, out: Outputs) {
        self.record_late_lines(now, out);
        self.record_span(now, self.last_span_well, out);
    }
}
