//! Which server is next: turns, budgets of cold and strained servers, the rate of set-ups.

use super::*;

/// While most set-ups fail, a node keeps to its usual rate, or to its part of so many for all, if more.
const LEAST_PACE: f64 = 2.0;
/// All nodes together set up at most this multiple of what tenants are allowed a second, but for nodes whose
/// last set-up was quick: the store that all share goes down under all that come again after a break.
const SETUPS: f64 = 3.0;
/// Multiple of the usual rate for servers not heard of while most others are piled up.
const UNHEARD: f64 = 0.1;

impl Balancer {
    /// The unpaused server whose turn is due first, if any; takes its turn.
    pub(super) fn pick(&mut self, now: Micros, id: RequestId, ruling: &RoutingVerdict) -> Option<ServerId> {
        // Failures wherever one turns point at something shared: more tries keep it down (ic7944d).
        let down = self.part.failure_ratio(now, self.failing) > 0.5;
        if down && now < self.next_send || !self.setups.refill(now, self.setups_per_s(now)) {
            return None;
        }
        let job = self.jobs.get(&id)?;
        let repeats = job.bound_to(&self.settings);
        let group = job.request.group.filter(|_| self.settings.groups && repeats.is_none());
        // Connections of a group share work: spread over the fleet they would multiply it (ie5ddb3), and in
        // overload none would be held out. A group's turns rotate over the servers that come first in an
        // order of its own, common to all nodes; while these are paused it is held.
        let at_home = |s: &Server| group.map_or(1.0, |g| affinity::score(g, s.digest, s.weight));
        let least_home = group.map_or(0.0, |g| self.homes.least(g, self.allowed(ruling).map(at_home)));
        let (usual, rotation) = (self.usual_rates(now), self.rotation);
        let mut best: Option<((bool, bool, f64), ServerId)> = None;
        let (mut due, mut heard, mut bad) = ((true, f64::INFINITY), 0, 0);
        for &candidate in &self.ready {
            let Some(s) = self.servers.get_mut(candidate.0 as usize) else { continue };
            let lately = s.slow.is_some_and(|at| now - at < 3 * SECOND);
            heard += u32::from(lately || !s.open.is_empty());
            bad += u32::from(lately);
            if s.paused_until.is_some_and(|until| until > now) {
                continue;
            }
            if s.paused_until.take().is_some() {
                // The pause has lapsed. The trial comes at this node's own place in the order, so that
                // the nodes do not all reopen the server at one second mark.
                s.half_open = true;
                s.turn = s.turn.max(rotation + s.place / s.weight);
            }
            let mut bound = Bound::of(&self.settings, now, usual, s.weight, s.started, s.strained);
            // Most servers with connections of this node are piled up: those of which it hears nothing are
            // likely so too; tried at server after server, nobody would be held out (i118c6b).
            if self.crowded && bound.is_none() && group.is_none() && s.open.is_empty() {
                bound = Some(Bound::warm(usual.0 * s.weight * UNHEARD));
            }
            s.budget = bound.map_or(s.budget, |bound| bound.filled(s.budget, now - s.filled));
            s.filled = now;
            if repeats.is_some_and(|group| !group.holds(s.spot))
                || !ruling.allows(candidate)
                || s.half_open && s.trial.is_some()
                || bound.is_some() && s.budget < 1.0
                || at_home(s) < least_home
            {
                continue;
            }
            // What is wished for takes turns of its own: the rest would else fall behind, and then get all.
            let second = ruling.is_second_choice(candidate);
            due = if (second, s.turn) < due { (second, s.turn) } else { due };
            let key = (job.tried.contains(&candidate), second, s.turn);
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, candidate));
            }
        }
        self.crowded = 2 * bad > heard && self.part.fleet(now).is_none();
        let server = best?.1;
        let rate = (usual.0 * self.total_weight).max(self.part.share_of(now, LEAST_PACE));
        self.setups.take();
        self.next_send = now + (SECOND as f64 / rate) as Micros;
        let rotation = rotation.max(due.1);
        self.rotation = rotation;
        let s = self.server_mut(server)?;
        s.turn = s.turn.max(rotation - 1.0 / s.weight) + 1.0 / s.weight;
        s.trial = s.half_open.then_some(id);
        s.budget = (s.budget - 1.0).max(0.0);
        Some(server)
    }

    /// New connections a second that a server of weight 1 usually gets from this node, and that would fill it
    /// to the others' level, or to what tenants may hold, within its warm-up: a fleet a third full has room.
    pub(super) fn usual_rates(&self, now: Micros) -> (f64, f64) {
        let age = (now - self.started_at).max(SECOND) as f64 / SECOND as f64;
        let rate = self.arrivals / (RATE_MEMORY * (1.0 - (-age / RATE_MEMORY).exp()));
        // What waits shows no room, and servers that are out leave the rest no more.
        let allowed = self.settings.allowance_open();
        let open: usize = self.servers.iter().map(|s| s.open.len()).sum();
        let own = if allowed > 0.0 { open } else { self.jobs.len() } as f64;
        let full = self.part.conservative_share_of(now, allowed, own) * self.part.idle_factor(now);
        let fill = full * SECOND as f64 / self.settings.slow_start_window.max(SECOND) as f64;
        let fill = if allowed > 0.0 { fill } else { fill.max(rate) };
        (rate / self.total_weight.max(1e-9), fill / self.whole.weight(now).max(1e-9))
    }

    /// What has passed by now brought to budgets what the old part was.
    pub(super) fn told(&mut self, now: Micros, tier: FleetStatus) {
        let usual = self.usual_rates(now);
        for s in &mut self.servers {
            let bound = Bound::of(&self.settings, now, usual, s.weight, s.started, s.strained);
            s.budget = bound.map_or(s.budget, |bound| bound.filled(s.budget, now - s.filled));
            s.filled = now;
        }
        self.part.update(now, tier);
    }

    /// Set-ups that this node may send. In a large tier, which is told of, its own last one says little.
    pub(super) fn setups_per_s(&self, now: Micros) -> f64 {
        let quick = self.part.fleet(now).is_none() && self.quick.is_some_and(|at| now - at < SECOND);
        let allowed = self.settings.allowance_per_s().filter(|_| !quick);
        allowed.map_or(f64::INFINITY, |allowed| self.part.share_of(now, SETUPS * allowed))
    }

    /// When some server may next be tried: its pause has lapsed and its budget is there.
    pub(super) fn next_chance(&self, now: Micros, ruling: &RoutingVerdict, repeats: Option<Group>) -> Micros {
        let usual = self.usual_rates(now);
        let chance = |s: &Server| {
            let bound = Bound::of(&self.settings, now, usual, s.weight, s.started, s.strained);
            let short = bound.map_or(0, |bound| bound.short(s.budget));
            s.paused_until.unwrap_or(now).max(s.filled.saturating_add(short))
        };
        let within = |s: &&Server| repeats.is_none_or(|group| group.holds(s.spot));
        let soonest = self.allowed(ruling).filter(within).map(chance).min();
        let setups = self.setups.next_token_at(self.setups_per_s(now));
        soonest.unwrap_or(now + SECOND).max(setups).clamp(now + SECOND / 20, now + SECOND)
    }
}
