//! The proxies' processes: each start is a life of its own, and what a death forgives.

use super::deferred_checks::DeferredCheck;
use super::rule::Rule;
use super::rule_output::{RuleOutput, Subject};
use super::units::format_seconds;
use crate::observation::{Seen, Signal};
use crate::plan::{ProxyId, Rules};
use crate::time::{MS, Micros};

/// An exit is noted at most this long after the process ended: the runner looks after its children every few
/// milliseconds, and what a client sees of a crash (a reset) can be noted before the exit is.
pub(super) const EXIT_NOTICE_DELAY: Micros = 200 * MS;

/// One life of a proxy, from its start to its exit.
#[derive(Clone, Copy, Debug, Default)]
struct Incarnation {
    /// The kit killed it, not because it had stayed.
    killed: Option<Micros>,
    terminated: Option<Micros>,
    reloaded: Option<Micros>,
    /// It was still there when its time to leave was over.
    overran_shutdown: Option<Micros>,
    exited: Option<Micros>,
    /// It exited by itself, not having been told to stop.
    crashed: Option<Micros>,
}

/// Which life of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IncarnationId(pub ProxyId, u32);

/// All proxies.
#[derive(Debug)]
pub(super) struct ProxyProcesses {
    incarnations: Vec<Vec<Incarnation>>,
    term_to_kill: Micros,
    grace: Micros,
}

impl ProxyProcesses {
    pub fn new(proxies: usize, rules: &Rules) -> Self {
        // A first life, for what is seen before its start was noted.
        let incarnations = vec![vec![Incarnation::default()]; proxies];
        ProxyProcesses { incarnations, term_to_kill: rules.term_to_kill, grace: rules.grace }
    }

    /// The life that runs, or ran last.
    pub fn current(&self, proxy: ProxyId) -> IncarnationId {
        let incarnations = self.incarnations.get(usize::from(proxy.0)).map_or(1, Vec::len);
        IncarnationId(proxy, (incarnations - 1) as u32)
    }

    fn incarnation(&self, id: IncarnationId) -> Option<&Incarnation> {
        self.incarnations.get(usize::from(id.0.0))?.get(id.1 as usize)
    }

    /// Whether it still runs, and nobody has put it to death.
    pub fn alive(&self, id: IncarnationId) -> bool {
        self.incarnation(id).is_some_and(|run| run.killed.is_none() && run.exited.is_none())
    }

    /// Whether a request that was taken at `asked` and broken at `broken` (its connection ended, or its time was
    /// up) is down to the death of its proxy: it was held when the kit killed the process, or when the process
    /// crashed or stayed, which is a break of its own. Nothing else is forgiven after SIGTERM.
    pub fn excuses(&self, id: IncarnationId, submitted: Micros, broken: Micros) -> bool {
        let Some(incarnation) = self.incarnation(id) else { return false };
        let (from, ended) = match (incarnation.killed.or(incarnation.overran_shutdown), incarnation.crashed) {
            (Some(killed), _) => {
                (killed, incarnation.exited.map_or(killed, |exited| exited.min(killed + EXIT_NOTICE_DELAY)))
            }
            (None, Some(crashed)) => (crashed - EXIT_NOTICE_DELAY, crashed),
            (None, None) => return false,
        };
        // A last byte can be written to a connection that the machine took in before the process died, and be
        // noted after its death; `grace` is the margin for that.
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

    /// Its time to leave is over.
    pub fn check_shutdown(&mut self, at: Micros, id: IncarnationId, output: &mut RuleOutput) {
        let limit = self.term_to_kill;
        let incarnation = self
            .incarnations
            .get_mut(usize::from(id.0.0))
            .and_then(|incarnations| incarnations.get_mut(id.1 as usize));
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
            Subject { proxy: Some(id.0), ..Subject::default() },
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
