//! Selection of the next server: the rotation over the servers that may take a request.

use super::balancer::Balancer;
use super::server::{Server, Servers};
use super::turns::Rotation;
use crate::affinity;
use crate::budget::{SetupLimit, UsualRates};
use crate::interface::*;
use crate::pending_request::DedupGroup;
use crate::rules::RoutingVerdict;

/// Set-ups per second that all nodes together may send while most set-ups fail. A node keeps to its share
/// of this, or to its usual rate if that is more.
const LEAST_PACE: f64 = 2.0;
/// Limit on the rate of new connections to servers that this node has no news of, while most others are
/// overloaded; as a fraction of the usual rate.
const UNOBSERVED_RATE_FACTOR: f64 = 0.1;
/// How long a server counts as overloaded after a report of slow messages.
const SLOW_REPORT_VALID_FOR: Micros = 3 * SECOND;

/// The conditions under which a server may take a request.
struct Constraints<'a> {
    verdict: &'a RoutingVerdict,
    /// The servers that drop repeats of the request; `None` if any server may get it.
    dedup_group: Option<DedupGroup>,
    affinity: Option<Affinity>,
    /// Servers that the request was sent to before. They come last.
    tried: &'a [ServerId],
}

/// The servers over which the connections of one group rotate: those with the highest scores.
struct Affinity {
    group: u64,
    min_score: f64,
}

impl Affinity {
    fn contains(&self, s: &Server) -> bool {
        affinity::score(self.group, s.listing.digest, s.listing.size()) >= self.min_score
    }
}

/// Sort key of the candidates, lowest first: tried before, not preferred, virtual time of the next turn.
type TurnKey = (bool, bool, f64);

/// The candidate whose turn is due first, and what the search for it found out about the other servers.
struct Selection {
    best: Option<(TurnKey, ServerId)>,
    /// The earliest turn of all servers that may take the request, tried or not: whether the server is
    /// second choice, and when its turn is due. Preferred servers, if any, come first, so that virtual time
    /// follows their turns. If it followed the turns of the other servers, these would fall behind and
    /// later get all requests.
    first_due: (bool, f64),
    /// Number of servers that this node has recent news of, and number of those that are overloaded.
    observed: u32,
    overloaded: u32,
}

impl Selection {
    fn new() -> Self {
        Selection { best: None, first_due: (true, f64::INFINITY), observed: 0, overloaded: 0 }
    }

    fn count(&mut self, s: &Server, now: Micros) {
        let is_slow = s.latency.slow_at.is_some_and(|at| now - at < SLOW_REPORT_VALID_FOR);
        self.observed += u32::from(is_slow || !s.connections.open.is_empty());
        self.overloaded += u32::from(is_slow);
    }

    fn offer(&mut self, id: ServerId, s: &Server, constraints: &Constraints) {
        let is_second_choice = constraints.verdict.is_second_choice(id);
        let due = (is_second_choice, s.turn.next_due);
        if due < self.first_due {
            self.first_due = due;
        }
        let key = (constraints.tried.contains(&id), is_second_choice, s.turn.next_due);
        if self.best.is_none_or(|(best, _)| key < best) {
            self.best = Some((key, id));
        }
    }
}

impl Balancer {
    /// Returns the unpaused server whose turn is due first, and takes that turn; `None` if no server may
    /// take the request now.
    pub(super) fn pick(&mut self, now: Micros, id: RequestId, verdict: &RoutingVerdict) -> Option<ServerId> {
        if !self.may_set_up(now) {
            return None;
        }
        let pending = self.requests.pending.get(&id)?;
        let dedup_group = pending.dedup_group(&self.settings);
        // Connections of a group share work on a server. If they were spread over the fleet, they would
        // multiply that work (incident ie5ddb3), and under overload none of them would be rejected. The
        // connections therefore rotate over the group's affinity subset, which is the same on all nodes.
        // While all servers of the subset are paused, the request is queued.
        let group = pending.request.group.filter(|_| self.settings.groups && dedup_group.is_none());
        let affinity = group.map(|group| self.affinity(group, verdict));
        let constraints = Constraints { verdict, dedup_group, affinity, tried: &pending.tried };
        let usual = self.usual_rates(now);
        let selection =
            select_candidate(&mut self.servers, &self.settings, &self.rotation, now, usual, &constraints);
        self.rotation.mostly_overloaded =
            2 * selection.overloaded > selection.observed && self.quota.fleet_status(now).is_none();
        let (_, server) = selection.best?;
        self.pace_setups(now, usual);
        self.take_turn(id, server, selection.first_due.1)
    }

    /// Whether this node may set up a connection now. Failures on many servers point to a shared
    /// dependency, which further attempts would keep down (incident ic7944d).
    fn may_set_up(&mut self, now: Micros) -> bool {
        let mostly_failing = self.quota.failure_ratio(now, self.setups.failure_ratio) > 0.5;
        if mostly_failing && now < self.setups.next_send_at {
            return false;
        }
        let per_s = self.setups_per_s(now);
        self.setups.tokens.refill(now, per_s)
    }

    fn affinity(&self, group: u64, verdict: &RoutingVerdict) -> Affinity {
        let score = |s: &Server| affinity::score(group, s.listing.digest, s.listing.size());
        let min_score = self.affinity_subsets.min_score(group, self.allowed(verdict).map(score));
        Affinity { group, min_score }
    }

    /// Counts the set-up that is about to be sent, and sets when the next one may be sent if most set-ups
    /// fail.
    fn pace_setups(&mut self, now: Micros, usual: UsualRates) {
        let own_rate = usual.per_size * self.servers.ready_size;
        let rate = own_rate.max(self.quota.share_of(now, LEAST_PACE));
        self.setups.tokens.take();
        self.setups.next_send_at = now + (SECOND as f64 / rate) as Micros;
    }

    /// Advances virtual time to the turn that was due first, and schedules the next turn of the selected
    /// server.
    fn take_turn(&mut self, id: RequestId, server: ServerId, first_due: f64) -> Option<ServerId> {
        let virtual_time = self.rotation.virtual_time.max(first_due);
        self.rotation.virtual_time = virtual_time;
        let s = self.servers.get_mut(server)?;
        let step = 1.0 / s.listing.turn_weight();
        s.turn.next_due = s.turn.next_due.max(virtual_time - step) + step;
        s.breaker.trial = s.breaker.half_open.then_some(id);
        s.budget.spend();
        Some(server)
    }

    /// Returns the servers that may take new connections according to the list and the routing rules.
    pub(super) fn allowed<'a>(&'a self, verdict: &'a RoutingVerdict) -> impl Iterator<Item = &'a Server> {
        let ready = self.servers.ready.iter();
        ready.filter(|id| verdict.allows(**id)).filter_map(|id| self.servers.get(*id))
    }
}

/// Examines each ready server: makes it half-open if its pause has ended, refills its budget, and compares
/// its turn with the earliest so far.
fn select_candidate(
    servers: &mut Servers,
    settings: &Settings,
    rotation: &Rotation,
    now: Micros,
    usual: UsualRates,
    constraints: &Constraints,
) -> Selection {
    let mut selection = Selection::new();
    for position in 0..servers.ready.len() {
        let id = servers.ready[position];
        let Some(s) = servers.get_mut(id) else { continue };
        selection.count(s, now);
        if s.breaker.is_paused(now) {
            continue;
        }
        schedule_trial_if_lapsed(s, rotation);
        let limit = setup_limit(s, settings, rotation, now, usual, constraints);
        s.budget.refill(limit, now);
        if may_take_request(id, s, limit, constraints) {
            selection.offer(id, s, constraints);
        }
    }
    selection
}

/// Makes a server half-open if its pause has ended. The trial comes at this node's own position in the
/// rotation order, so that the nodes do not all try the server at the same full second.
fn schedule_trial_if_lapsed(s: &mut Server, rotation: &Rotation) {
    if s.breaker.half_open_if_lapsed() {
        let trial_due = rotation.virtual_time + s.turn.ring_position / s.listing.turn_weight();
        s.turn.next_due = s.turn.next_due.max(trial_due);
    }
}

fn setup_limit(
    s: &Server,
    settings: &Settings,
    rotation: &Rotation,
    now: Micros,
    usual: UsualRates,
    constraints: &Constraints,
) -> Option<SetupLimit> {
    let limit = s.setup_limit(settings, now, usual);
    // Most servers that hold connections of this node are overloaded, so servers without news are likely to
    // be overloaded as well. If each request tried one such server after another, no request would be
    // rejected (incident i118c6b).
    let is_unobserved = constraints.affinity.is_none() && s.connections.open.is_empty();
    if rotation.mostly_overloaded && limit.is_none() && is_unobserved {
        return Some(SetupLimit::at_rate(usual.per_size * s.listing.size() * UNOBSERVED_RATE_FACTOR));
    }
    limit
}

fn may_take_request(id: ServerId, s: &Server, limit: Option<SetupLimit>, constraints: &Constraints) -> bool {
    constraints.dedup_group.is_none_or(|group| group.contains(s.listing.locality))
        && constraints.verdict.allows(id)
        && !s.breaker.is_on_trial()
        && (limit.is_none() || s.budget.has_token())
        && constraints.affinity.as_ref().is_none_or(|affinity| affinity.contains(s))
}
