//! The proxies' processes: each start is a life of its own, and what a death forgives.

use super::deferred_checks::Check;
use super::rule::Rule;
use super::rule_output::{Desk, Subject};
use super::seconds;
use crate::observation::{Seen, Signal};
use crate::plan::{ProxyId, Rules};
use crate::time::{MS, Micros};

/// An exit is noted at most this long after the process ended: the runner looks after its children every few
/// milliseconds, and what a client sees of a crash (a reset) can be noted before the exit is.
pub(super) const EXIT_NOTICE: Micros = 200 * MS;

/// One life of a proxy, from its start to its exit.
#[derive(Clone, Copy, Debug, Default)]
struct Life {
    /// The kit killed it, not because it had stayed.
    killed: Option<Micros>,
    terminated: Option<Micros>,
    reloaded: Option<Micros>,
    /// It was still there when its time to leave was over.
    stayed: Option<Micros>,
    exited: Option<Micros>,
    /// It exited by itself, not having been told to stop.
    crashed: Option<Micros>,
}

/// Which life of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LifeId(pub ProxyId, u32);

/// All proxies.
#[derive(Debug)]
pub(super) struct Processes {
    lives: Vec<Vec<Life>>,
    term_to_kill: Micros,
    grace: Micros,
}

impl Processes {
    pub fn new(proxies: usize, rules: &Rules) -> Self {
        // A first life, for what is seen before its start was noted.
        let lives = vec![vec![Life::default()]; proxies];
        Processes { lives, term_to_kill: rules.term_to_kill, grace: rules.grace }
    }

    /// The life that runs, or ran last.
    pub fn current(&self, proxy: ProxyId) -> LifeId {
        let lives = self.lives.get(usize::from(proxy.0)).map_or(1, Vec::len);
        LifeId(proxy, (lives - 1) as u32)
    }

    fn life(&self, id: LifeId) -> Option<&Life> {
        self.lives.get(usize::from(id.0.0))?.get(id.1 as usize)
    }

    /// Whether it still runs, and nobody has put it to death.
    pub fn alive(&self, id: LifeId) -> bool {
        self.life(id).is_some_and(|l| l.killed.is_none() && l.exited.is_none())
    }

    /// Whether a request that was taken at `asked` and broken at `broken` (its connection ended, or its time was
    /// up) is down to the death of its proxy: it was held when the kit killed the process, or when the process
    /// crashed or stayed, which is a break of its own. Nothing else is forgiven after SIGTERM.
    pub fn forgives(&self, id: LifeId, asked: Micros, broken: Micros) -> bool {
        let Some(life) = self.life(id) else { return false };
        let (from, death) = match (life.killed.or(life.stayed), life.crashed) {
            (Some(killed), _) => (killed, life.exited.map_or(killed, |x| x.min(killed + EXIT_NOTICE))),
            (None, Some(crashed)) => (crashed - EXIT_NOTICE, crashed),
            (None, None) => return false,
        };
        // A last byte can be written to a connection that the machine took in before the process died, and be
        // noted after its death; `grace` is the margin for that.
        broken >= from && asked <= death + self.grace
    }

    pub fn see(&mut self, at: Micros, seen: &Seen, desk: &mut Desk) {
        match *seen {
            Seen::ProxyStarted { proxy, .. } => {
                if let Some(lives) = self.lives.get_mut(usize::from(proxy.0)) {
                    lives.push(Life::default());
                }
            }
            Seen::ProxySignalled { proxy, signal } => self.signalled(at, proxy, signal, desk),
            Seen::ProxyExited { proxy, code } => self.exited(at, proxy, code, desk),
            _ => {}
        }
    }

    fn latest(&mut self, proxy: ProxyId) -> Option<&mut Life> {
        self.lives.get_mut(usize::from(proxy.0))?.last_mut()
    }

    fn signalled(&mut self, at: Micros, proxy: ProxyId, signal: Signal, desk: &mut Desk) {
        let (id, limit) = (self.current(proxy), self.term_to_kill);
        let Some(life) = self.latest(proxy) else { return };
        match signal {
            Signal::Reload => life.reloaded = Some(at),
            Signal::Terminate => {
                life.terminated.get_or_insert(at);
                desk.checks.add(at + limit, Check::Stayed(id));
            }
            Signal::Kill if life.terminated.is_some_and(|t| at - t >= limit) => self.stays(at, id, desk),
            Signal::Kill => life.killed = Some(at),
        }
    }

    /// Its time to leave is over.
    pub fn stays(&mut self, at: Micros, id: LifeId, desk: &mut Desk) {
        let limit = self.term_to_kill;
        let life = self.lives.get_mut(usize::from(id.0.0)).and_then(|lives| lives.get_mut(id.1 as usize));
        let Some(life) = life.filter(|l| l.exited.is_none() && l.killed.is_none() && l.stayed.is_none())
        else {
            return;
        };
        life.stayed = Some(at);
        let told = life.terminated.unwrap_or(at);
        let what = format!("told to stop at {}, still there {} later", seconds(told), seconds(limit));
        desk.accuse(at, Rule::ProxyStayed, Subject { proxy: Some(id.0), ..Subject::default() }, what);
    }

    fn exited(&mut self, at: Micros, proxy: ProxyId, code: Option<i32>, desk: &mut Desk) {
        let Some(life) = self.latest(proxy) else { return };
        if life.exited.replace(at).is_some() || life.killed.is_some() || life.stayed.is_some() {
            return;
        }
        let how = code.map_or("by a signal".to_owned(), |code| format!("with code {code}"));
        let what = match life.terminated {
            Some(_) if code == Some(0) => return,
            Some(told) => format!("exited {how}, told to stop at {}; 0 was owed", seconds(told)),
            None => {
                life.crashed = Some(at);
                let after =
                    life.reloaded.map(|r| format!("; reloaded at {}", seconds(r))).unwrap_or_default();
                format!("exited {how}, and nobody had told it to{after}")
            }
        };
        desk.accuse(at, Rule::ProxyCrashed, Subject { proxy: Some(proxy), ..Subject::default() }, what);
    }
}
