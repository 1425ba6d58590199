//! The proxies' processes: each start is an incarnation of its own, whose end may excuse broken requests.

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
    /// The kit sent SIGKILL, other than for an overrun shutdown.
    killed: Option<Micros>,
    terminated: Option<Micros>,
    reloaded: Option<Micros>,
    /// It still ran at the end of its shutdown deadline.
    overran_shutdown: Option<Micros>,
    exited: Option<Micros>,
    /// It exited without a signal to stop.
    crashed: Option<Micros>,
}

/// The processes of all proxies.
#[derive(Debug)]
pub(super) struct ProxyProcesses {
    incarnations: Vec<Vec<Incarnation>>,
    term_to_kill: Micros,
    grace: Micros,
}

impl ProxyProcesses {
    pub fn new(proxies: usize, rules: &Rules) -> Self {
        // A first incarnation, for observations that precede that of its start.
        let incarnations = vec![vec![Incarnation::default()]; proxies];
        ProxyProcesses { incarnations, term_to_kill: rules.term_to_kill, grace: rules.grace }
    }

    /// The incarnation that runs, or ran last.
    pub fn current(&self, proxy: ProxyId) -> IncarnationId {
        let incarnations = self.incarnations.get(usize::from(proxy.0)).map_or(1, Vec::len);
        IncarnationId { proxy, serial: (incarnations - 1) as u32 }
    }

    fn incarnation(&self, id: IncarnationId) -> Option<&Incarnation> {
        self.incarnations.get(usize::from(id.proxy.0))?.get(id.serial as usize)
    }

    /// Whether it still runs and was not sent SIGKILL.
    pub fn alive(&self, id: IncarnationId) -> bool {
        self.incarnation(id).is_some_and(|run| run.killed.is_none() && run.exited.is_none())
    }

    /// Whether the end of the process excuses a request submitted at `submitted` and broken at `broken` (its connection
    /// ended or its deadline passed): it was in flight when the kit sent SIGKILL, or when the process crashed or
    /// overran its shutdown, which is a violation of its own. After SIGTERM nothing else is excused.
    pub fn excuses(&self, id: IncarnationId, submitted: Micros, broken: Micros) -> bool {
        let Some(incarnation) = self.incarnation(id) else { return false };
        let (from, ended) = match (incarnation.killed.or(incarnation.overran_shutdown), incarnation.crashed) {
            (Some(killed), _) => {
                (killed, incarnation.exited.map_or(killed, |exited| exited.min(killed + EXIT_NOTICE_DELAY)))
            }
            (None, Some(crashed)) => (crashed - EXIT_NOTICE_DELAY, crashed),
            (None, None) => return false,
        };
        // A last byte can be written to a connection that the kernel accepted before the process ended, and be
        // observed after the end; `grace` is the margin for that.
        broken >= from && submitted <= ended + self.grace
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

    fn latest(&mut self, proxy: ProxyId) -> Option<&mut Incarnation> {
        self.incarnations.get_mut(usize::from(proxy.0))?.last_mut()
    }

    fn record_signal(&mut self, at: Micros, proxy: ProxyId, signal: Signal, output: &mut RuleOutput) {
        let (id, limit) = (self.current(proxy), self.term_to_kill);
        let Some(incarnation) = self.latest(proxy) else { return };
        match signal {
            Signal::Reload => incarnation.reloaded = Some(at),
            Signal::Terminate => {
                incarnation.terminated.get_or_insert(at);
                output.defer(at + limit, DeferredCheck::ShutdownDeadline(id));
            }
            Signal::Kill if incarnation.terminated.is_some_and(|t| at - t >= limit) => {
                self.check_shutdown(at, id, output)
            }
            Signal::Kill => incarnation.killed = Some(at),
        }
    }

    /// The shutdown deadline has passed.
    pub fn check_shutdown(&mut self, at: Micros, id: IncarnationId, output: &mut RuleOutput) {
        let limit = self.term_to_kill;
        let incarnation = self
            .incarnations
            .get_mut(usize::from(id.proxy.0))
            .and_then(|incarnations| incarnations.get_mut(id.serial as usize));
        let Some(incarnation) = incarnation
            .filter(|run| run.exited.is_none() && run.killed.is_none() && run.overran_shutdown.is_none())
        else {
            return;
        };
        incarnation.overran_shutdown = Some(at);
        let terminated = incarnation.terminated.unwrap_or(at);
        let description = format!(
            "told to stop at {}, still there {} later",
            format_seconds(terminated),
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
        if incarnation.exited.replace(at).is_some()
            || incarnation.killed.is_some()
            || incarnation.overran_shutdown.is_some()
        {
            return;
        }
        let how = code.map_or("by a signal".to_owned(), |code| format!("with code {code}"));
        let description = match incarnation.terminated {
            Some(_) if code == Some(0) => return,
            Some(terminated) => {
                format!("exited {how}, told to stop at {}; 0 was owed", format_seconds(terminated))
            }
            None => {
                incarnation.crashed = Some(at);
                let after = incarnation
                    .reloaded
                    .map(|r| format!("; reloaded at {}", format_seconds(r)))
                    .unwrap_or_default();
                format!("exited {how}, and nobody had told it to{after}")
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
