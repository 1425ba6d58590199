//! Tracks the processes of the proxies. Each start is a new incarnation; its end can excuse the requests that were
//! broken by it.

use super::deferred_checks::DeferredCheck;
use super::incarnation::IncarnationId;
use super::rule::Rule;
use super::rule_output::RuleOutput;
use super::subject::Subject;
use super::units::format_seconds;
use crate::observation::{Seen, Signal};
use crate::plan::{ProxyId, Rules};
use crate::time::{MS, Micros};

/// The longest delay between the end of a process and the observation of its exit: the runner polls its children every
/// few milliseconds, so a client's observation of a crash (a reset) can precede it.
pub(super) const EXIT_NOTICE_DELAY: Micros = 200 * MS;

/// One process of a proxy, from its start to its exit.
#[derive(Clone, Copy, Debug, Default)]
struct Incarnation {
    /// When the kit sent SIGKILL, except for SIGKILL after an overrun shutdown.
    killed_at: Option<Micros>,
    /// When the kit first sent SIGTERM.
    terminated_at: Option<Micros>,
    /// When the kit last sent SIGHUP.
    reloaded_at: Option<Micros>,
    /// When the process was found to run after its shutdown deadline.
    overran_shutdown_at: Option<Micros>,
    /// When the exit was observed.
    exited_at: Option<Micros>,
    /// When the process exited, if the kit had sent it neither SIGTERM nor SIGKILL.
    crashed_at: Option<Micros>,
}

/// The processes of all proxies.
#[derive(Debug)]
pub(super) struct ProxyProcesses {
    /// For each proxy, its processes in the order of their starts.
    incarnations: Vec<Vec<Incarnation>>,
    shutdown_limit: Micros,
    grace: Micros,
}

impl ProxyProcesses {
    pub fn new(proxies: usize, rules: &Rules) -> Self {
        // Incarnation 0 of each proxy takes the observations that precede the first start.
        let incarnations = vec![vec![Incarnation::default()]; proxies];
        ProxyProcesses { incarnations, shutdown_limit: rules.term_to_kill, grace: rules.grace }
    }

    /// The latest incarnation of the proxy, whether it still runs or not.
    pub fn current(&self, proxy: ProxyId) -> IncarnationId {
        let incarnations = self.incarnations.get(usize::from(proxy.0)).map_or(1, Vec::len);
        IncarnationId { proxy, serial: (incarnations - 1) as u32 }
    }

    fn incarnation(&self, id: IncarnationId) -> Option<&Incarnation> {
        self.incarnations.get(usize::from(id.proxy.0))?.get(id.serial as usize)
    }

    /// Whether the process still runs and the kit has not sent it SIGKILL.
    pub fn is_running(&self, id: IncarnationId) -> bool {
        self.incarnation(id)
            .is_some_and(|incarnation| incarnation.killed_at.is_none() && incarnation.exited_at.is_none())
    }

    /// Whether the end of the process excuses a request that was submitted at `submitted_at` and broken at `broken_at`
    /// (its connection ended or its deadline passed). A request is excused if it was in flight when the kit sent
    /// SIGKILL, or when the process crashed or overran its shutdown, which are violations of their own. SIGTERM excuses
    /// nothing.
    pub fn excuses_request(&self, id: IncarnationId, submitted_at: Micros, broken_at: Micros) -> bool {
        let Some(incarnation) = self.incarnation(id) else { return false };
        let (earliest_break, ended_at) =
            match (incarnation.killed_at.or(incarnation.overran_shutdown_at), incarnation.crashed_at) {
                (Some(killed_at), _) => (
                    killed_at,
                    incarnation
                        .exited_at
                        .map_or(killed_at, |exited_at| exited_at.min(killed_at + EXIT_NOTICE_DELAY)),
                ),
                (None, Some(crashed_at)) => (crashed_at - EXIT_NOTICE_DELAY, crashed_at),
                (None, None) => return false,
            };
        // A client can write to a connection that the kernel accepted before the process ended, and the write can be
        // observed after the end. The grace time covers this delay.
        broken_at >= earliest_break && submitted_at <= ended_at + self.grace
    }

    pub fn observe(&mut self, at: Micros, seen: &Seen, output: &mut RuleOutput) {
        match *seen {
            Seen::ProxyStarted { proxy, .. } => {
                if let Some(incarnations) = self.incarnations.get_mut(usize::from(proxy.0)) {
                    incarnations.push(Incarnation::default());
                }
            }
            Seen::ProxySignalled { proxy, signal } => self.record_signal(at, proxy, signal, output),
            Seen::ProxyExited { proxy, code } => self.record_exit(at, proxy, code, output),
            _ => {}
        }
    }

    /// The latest incarnation of the proxy.
    fn latest(&mut self, proxy: ProxyId) -> Option<&mut Incarnation> {
        self.incarnations.get_mut(usize::from(proxy.0))?.last_mut()
    }

    fn record_signal(&mut self, at: Micros, proxy: ProxyId, signal: Signal, output: &mut RuleOutput) {
        let (id, limit) = (self.current(proxy), self.shutdown_limit);
        let Some(incarnation) = self.latest(proxy) else { return };
        match signal {
            Signal::Reload => incarnation.reloaded_at = Some(at),
            Signal::Terminate => {
                incarnation.terminated_at.get_or_insert(at);
                output.defer(at + limit, DeferredCheck::ShutdownDeadline(id));
            }
            Signal::Kill
                if incarnation.terminated_at.is_some_and(|terminated_at| at - terminated_at >= limit) =>
            {
                self.check_shutdown(at, id, output)
            }
            Signal::Kill => incarnation.killed_at = Some(at),
        }
    }

    /// Reports a process that still runs at its shutdown deadline.
    pub fn check_shutdown(&mut self, at: Micros, id: IncarnationId, output: &mut RuleOutput) {
        let limit = self.shutdown_limit;
        let incarnation = self
            .incarnations
            .get_mut(usize::from(id.proxy.0))
            .and_then(|incarnations| incarnations.get_mut(id.serial as usize));
        let Some(incarnation) = incarnation.filter(|incarnation| {
            incarnation.exited_at.is_none()
                && incarnation.killed_at.is_none()
                && incarnation.overran_shutdown_at.is_none()
        }) else {
            return;
        };
        incarnation.overran_shutdown_at = Some(at);
        let terminated_at = incarnation.terminated_at.unwrap_or(at);
        let description = format!(
            "SIGTERM was sent at {}; the process still ran {} later",
            format_seconds(terminated_at),
            format_seconds(limit)
        );
        output.report_violation(
            at,
            Rule::ShutdownOverrun,
            Subject { proxy: Some(id.proxy), ..Subject::default() },
            description,
        );
    }

    fn record_exit(&mut self, at: Micros, proxy: ProxyId, code: Option<i32>, output: &mut RuleOutput) {
        let Some(incarnation) = self.latest(proxy) else { return };
        if incarnation.exited_at.replace(at).is_some()
            || incarnation.killed_at.is_some()
            || incarnation.overran_shutdown_at.is_some()
        {
            return;
        }
        let how = code.map_or("by a signal".to_owned(), |code| format!("with code {code}"));
        let description = match incarnation.terminated_at {
            Some(_) if code == Some(0) => return,
            Some(terminated_at) => {
                format!(
                    "exited {how} after SIGTERM at {}; exit code 0 was required",
                    format_seconds(terminated_at)
                )
            }
            None => {
                incarnation.crashed_at = Some(at);
                let reload_note = incarnation
                    .reloaded_at
                    .map(|reloaded_at| format!("; SIGHUP was sent at {}", format_seconds(reloaded_at)))
                    .unwrap_or_default();
                format!("exited {how} without SIGTERM or SIGKILL from the kit{reload_note}")
            }
        };
        output.report_violation(
            at,
            Rule::ProxyCrashed,
            Subject { proxy: Some(proxy), ..Subject::default() },
            description,
        );
    }
}
