//! What other nodes reported of a server, and for how long that counts.

use crate::interface::{Micros, PeerVerdict, SECOND};

/// Another node's report counts for this long, and own good experience outweighs any for as long.
const REPORT_VALID_FOR: Micros = 3 * SECOND;

/// What other nodes reported of a server, and what this node's own success says against it.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerReports {
    /// When an attempt of this node's last succeeded.
    last_success: Option<Micros>,
    /// Each node's latest report.
    reports: Vec<Report>,
    /// Paused on peer reports alone until then; forgotten with the next experience of this node's own.
    pub(super) paused_until: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Report {
    from: u32,
    verdict: PeerVerdict,
    at: Micros,
}

/// What was met then still counts.
pub(super) fn is_valid(at: Micros, now: Micros) -> bool {
    now - at <= REPORT_VALID_FOR
}

impl PeerReports {
    /// An attempt of this node's own succeeded.
    pub(super) fn own_success(&mut self, now: Micros) {
        (self.last_success, self.paused_until) = (Some(now), None);
    }

    /// This node has met trouble of its own: whatever pauses the server now is no peer's report.
    pub(super) fn forget_pause(&mut self) {
        self.paused_until = None;
    }

    pub(super) fn is_paused(&self, now: Micros) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Replaces the sender's earlier report; drops those that are too old to count.
    pub(super) fn record(&mut self, now: Micros, from: u32, verdict: PeerVerdict) {
        self.reports.retain(|report| report.from != from && is_valid(report.at, now));
        self.reports.push(Report { from, verdict, at: now });
    }

    pub(super) fn count(&self, verdict: PeerVerdict) -> usize {
        self.reports.iter().filter(|report| report.verdict == verdict).count()
    }

    /// No pause follows from reports where this node has just had success itself, or was paused on reports
    /// before: before they count again, this node makes an attempt of its own.
    pub(super) fn may_pause(&self, now: Micros) -> bool {
        self.paused_until.is_none() && !self.last_success.is_some_and(|at| is_valid(at, now))
    }
}
