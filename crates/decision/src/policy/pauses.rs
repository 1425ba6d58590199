//! What an outcome, a delay or another node's word shows of a server, and the pauses that follow.

use super::*;

/// Each further strike doubles the pause, up to 2^5 s: a dead server is tried about twice a minute.
const MOST_DOUBLINGS: u32 = 5;
/// One strike is forgotten for each such time without another.
const FORGET: Micros = 20 * SECOND;
/// Quota of its own connections that a node moves off a server for each note of messages over the aim: more
/// where more has piled up, so that the pile is gone within about CLEAR_WITHIN.
const MOVED_PER_NOTE: f64 = 0.1;
const CLEAR_WITHIN: f64 = 2.0 * SECOND as f64;
const MOST_MOVED: f64 = 0.25;
/// Another node's word counts for this long, and own good experience outweighs any for as long.
const WORD: Micros = 3 * SECOND;
/// So many nodes must agree, or one and own experience: one alone may itself be cut off.
const AGREED: usize = 2;
/// Words alone keep no more than this part of the servers paused at a time: as many as are known to die
/// together (24%). However many nodes lie, the rest is used, and what is paused is tried at the next mark.
const MOST_ACCUSED: f64 = 0.25;

impl Balancer {
    /// What an outcome shows of the server.
    pub(super) fn judge(
        &mut self,
        now: Micros,
        at: ServerId,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Full => self.pause(now, at, id, false, out),
            // A reset of an established connection too: the server is lost, or sheds what it cannot carry.
            Outcome::Error | Outcome::ConnectFailed | Outcome::TimedOut | Outcome::Reset => {
                let unwell = matches!(outcome, Outcome::Error | Outcome::TimedOut);
                self.quick = self.quick.filter(|_| !unwell);
                self.failing += if unwell { (1.0 - self.failing) / 8.0 } else { 0.0 };
                self.pause(now, at, id, true, out);
            }
            Outcome::Served => self.went_well(now, at, id, out),
            // Shows nothing: a trial leaves the server half-open. A set-up that was not used is for others.
            Outcome::Cancelled | Outcome::NotSent => {
                self.setups.give_back(outcome == Outcome::NotSent);
                self.server_mut(at).into_iter().for_each(|s| s.trial = s.trial.filter(|trial| *trial != id));
            }
        }
    }

    /// Pauses a server until the next second mark; after failures and failed trials, longer each time.
    pub(super) fn pause(
        &mut self,
        now: Micros,
        at: ServerId,
        by: RequestId,
        failed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(s) = self.server_mut(at) else { return };
        let trial = s.trial == Some(by);
        if !trial && s.paused_until.is_some_and(|until| until > now) {
            // Sent before the pause, or broken by the same blow: no news.
            return;
        }
        let mut until = (now / SECOND + 1) * SECOND;
        let quiet = s.strained.map_or(0, |since| (now - since) / FORGET);
        s.strikes = s.strikes.saturating_sub(quiet.clamp(0, 64) as u32);
        if failed || trial {
            until += ((1 << s.strikes.min(MOST_DOUBLINGS)) - 1) * SECOND;
            s.strikes += 1;
            if s.strikes == 2 {
                out.push(Action::Log { notification: Notification::PausedFailing, server: Some(at) });
            }
        }
        (s.trial, s.accused) = (None, None);
        s.strained = Some(now);
        s.paused_until = s.paused_until.max(Some(until));
        s.believe(now, at, out);
    }

    pub(super) fn went_well(&mut self, now: Micros, at: ServerId, by: RequestId, out: &mut Vec<Action>) {
        let Some(s) = self.server_mut(at).filter(|s| s.trial == Some(by)) else { return };
        (s.trial, s.half_open) = (None, false);
        if s.strikes > 1 {
            out.push(Action::Log { notification: Notification::Recovered, server: Some(at) });
        }
        // Half is forgiven, not all: a server that fails most requests passes a trial now and then.
        s.strikes /= 2;
        s.believe(now, at, out);
        self.release_held(now, out);
    }

    /// Messages at a server take long: work has piled up there, though it refuses nothing. A note comes
    /// once a second while that lasts, so the pause reaches to the mark after the next note.
    pub(super) fn latency_changed(
        &mut self,
        now: Micros,
        at: ServerId,
        delay: Micros,
        out: &mut Vec<Action>,
    ) {
        let shortest = self.settings.shortest_message_objective();
        let chance = self.random();
        let (jobs, settings) = (&self.jobs, &self.settings);
        let Some(s) = self.servers.get_mut(at.0 as usize) else { return };
        let falling = std::mem::replace(&mut s.delay, delay) / 5 * 4 > delay;
        let Some(aim) = shortest.filter(|aim| delay > aim / 3) else { return };
        s.slow = Some(now);
        s.strained = Some(now);
        s.paused_until = s.paused_until.max(Some(((now + SECOND) / SECOND + 1) * SECOND));
        s.believe(now, at, out);
        if delay < aim / 2 || falling {
            return;
        }
        // Load lasts: what is there would earn nothing for minutes. Each node moves a part of its own
        // connections, least worth for their load first. A pile that drains is left to (ie5ddb3).
        let value = |id: &RequestId| jobs.get(id).map_or(0.0, |job| job.value(settings));
        let mut stays = BTreeMap::new();
        if let Some(rules) = &mut self.rules {
            let stay = |id: &RequestId| Some((*id, rules.stickiness(now, &jobs.get(id)?.request, at)?));
            stays.extend(s.open.iter().filter_map(stay));
        }
        let order = |a: &RequestId, b: &RequestId| {
            stays.get(a).cmp(&stays.get(b)).then(value(a).total_cmp(&value(b)))
        };
        let part = (MOVED_PER_NOTE + delay as f64 / CLEAR_WITHIN).min(MOST_MOVED);
        for _ in 0..(s.open.len() as f64 * part + chance) as usize {
            let least = s.open.iter().enumerate().min_by(|a, b| order(a.1, b.1));
            let may = least.filter(|(_, id)| stays.get(id) != Some(&Stickiness::UntilDrained));
            let Some((index, _)) = may else { break };
            out.push(Action::Migrate(s.open.swap_remove(index)));
        }
    }

    /// Another node's word is evidence, no order: it brings a pause or a trial forward where it is confirmed.
    pub(super) fn peer_reported(
        &mut self,
        now: Micros,
        from: u32,
        at: ServerId,
        word: PeerVerdict,
        out: &mut Vec<Action>,
    ) {
        let fresh = |at: Micros| now - at <= WORD;
        let accused = self.servers.iter().filter(|s| s.accused.is_some_and(|until| until > now)).count();
        let room = accused as f64 + 1.0 <= self.ready.len() as f64 * MOST_ACCUSED;
        let mark = (now / SECOND + 1) * SECOND;
        let Some(s) = self.server_mut(at).filter(|s| s.ready) else { return };
        s.words.retain(|(node, _, said)| *node != from && fresh(*said));
        s.words.push((from, word, now));
        let agree = |word| s.words.iter().filter(|(_, said, _)| *said == word).count();
        let (well, unwell) = (agree(PeerVerdict::Healthy), agree(PeerVerdict::Unhealthy));
        let paused = s.paused_until.is_some_and(|until| until > now);
        let strained = s.strained.is_some_and(fresh);
        let agreed = unwell > well && unwell + usize::from(strained) >= AGREED;
        match word {
            // Once only: whoever repeats it, this node looks for itself before it believes it again.
            PeerVerdict::Unhealthy
                if agreed && !paused && room && s.accused.is_none() && !s.well.is_some_and(fresh) =>
            {
                (s.paused_until, s.accused) = (Some(mark), Some(mark));
            }
            // Others serve there: the trial need not wait for a pause that grew with each failure.
            PeerVerdict::Healthy if paused && unwell == 0 && well >= AGREED => {
                s.paused_until = s.paused_until.min(Some(mark));
            }
            _ => {}
        }
        s.believe(now, at, out);
    }
}
