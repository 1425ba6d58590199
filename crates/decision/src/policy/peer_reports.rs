//! Other nodes' reports of a server, and how long they count.

use crate::interface::{Micros, PeerVerdict, SECOND};

/// How long another node's report counts. A success of this node's own outweighs all reports for the same
/// time.
const REPORT_VALID_FOR: Micros = 3 * SECOND;

/// Other nodes' reports of a server, and this node's own successes, which outweigh them.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerReports {
    /// When an attempt of this node last succeeded.
    last_success: Option<Micros>,
    /// The latest report of each node.
    reports: Vec<Report>,
    /// End of a pause that rests on reports alone; reset by this node's next own experience with the
    /// server.
    pub(super) paused_until: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Report {
    from: u32,
    verdict: PeerVerdict,
    at: Micros,
}

/// Whether an observation made at `at` still counts at `now`.
pub(super) fn is_valid(at: Micros, now: Micros) -> bool {
    now - at <= REPORT_VALID_FOR
}

impl PeerReports {
    /// Records that an attempt of this node succeeded.
    pub(super) fn record_own_success(&mut self, now: Micros) {
        (self.last_success, self.paused_until) = (Some(now), None);
    }

    /// Records that this node has paused the server from its own experience, so the pause no longer rests
    /// on reports alone.
    pub(super) fn forget_pause(&mut self) {
        self.paused_until = None;
    }

    pub(super) fn is_paused(&self, now: Micros) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Stores a report in place of the sender's earlier one, and drops all reports that are too old to
    /// count.
    pub(super) fn record(&mut self, now: Micros, from: u32, verdict: PeerVerdict) {
        self.reports.retain(|report| report.from != from && is_valid(report.at, now));
        self.reports.push(Report { from, verdict, at: now });
    }

    pub(super) fn count(&self, verdict: PeerVerdict) -> usize {
        self.reports.iter().filter(|report| report.verdict == verdict).count()
    }

    /// Whether reports may pause the server. They may not if this node has recently had a success itself.
    /// They also may not if they paused the server before and this node has made no attempt since.
    pub(super) fn may_pause(&self, now: Micros) -> bool {
        self.paused_until.is_none() && !self.last_success.is_some_and(|at| is_valid(at, now))
    }
}
