//! Draws the sessions and the misbehaving clients of a run.

use super::Draw;
use super::faults::LoadCourse;
use crate::plan::{MisbehavingClient, Misbehavior, Session};
use crate::scenario::Scenario;
use crate::scenario::fault::Kind;
use crate::scenario::format::Shape;
use crate::scenario::range::micros;
use crate::time::{MS, Micros, S};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};
use std::collections::BTreeSet;

/// Keys and groups have 53 bits, so that a parser that stores numbers as floating point keeps them exact.
const KEY_BITS: u32 = 53;
/// Minimum life of a session, so that every session requests a connection.
const SHORTEST: Micros = 100 * MS;
/// Maximum life of a session, so that sums of times do not overflow.
const LONGEST: Micros = 1_000_000 * S;
/// Minimum time in seconds between two changes of a session's load, so that the list of its loads is bounded.
const SHORTEST_STEP: f64 = 0.1;
/// Minimum share of the deadline after which an impatient client gives up.
const LEAST_PATIENCE: f64 = 0.2;

/// The drawn values of a class.
struct ClassFigures {
    /// Mean load of a session, in work per second.
    load: f64,
    load_sigma: f64,
    swing_sigma: f64,
    change_s: f64,
    idle: f64,
    /// Mean life of a session, in seconds.
    life: f64,
}

/// The distributions from which all sessions are drawn.
pub(super) struct Crowd<'a> {
    draw: &'a Draw<'a>,
    classes: Vec<ClassFigures>,
    /// Cumulative shares of the classes among arriving sessions.
    arriving: Vec<f64>,
    /// Cumulative shares of the classes among standing sessions. A class with longer lives has a larger share than
    /// among the arriving sessions.
    standing: Vec<f64>,
    /// Weights of the tenants, before `usage_over_time` is applied.
    usage: Vec<f64>,
    zones: Vec<f64>,
    groups: Vec<(f64, u64)>,
    life_sigma: f64,
    mean_life: f64,
    /// Mean number of standing sessions while the factor of the load shape is 1.
    stand: f64,
    wave: (f64, f64),
    burst: (f64, f64, f64),
}

impl<'a> Crowd<'a> {
    pub fn new(draw: &'a Draw<'a>, capacity: f64, connections_per_unit: f64) -> Self {
        let (body, load) = (draw.body, &draw.body.load);
        let mut chance = draw.chance.of("classes");
        let shares: Vec<f64> = body.class.iter().map(|class| class.share.draw(&mut chance)).collect();
        let lives: Vec<f64> = body.class.iter().map(|class| class.life.draw(&mut chance)).collect();
        let mut classes: Vec<ClassFigures> = (body.class.iter().zip(&lives))
            .map(|(class, life)| ClassFigures {
                load: class.load.draw(&mut chance),
                load_sigma: class.load_sigma.draw(&mut chance),
                swing_sigma: class.swing_sigma.draw(&mut chance),
                change_s: class.change_s.at(body.scale).draw(&mut chance),
                idle: class.idle.draw(&mut chance),
                life: *life,
            })
            .collect();

        let mut chance = draw.chance.of("load");
        let life = load.life_s.at(body.scale).draw(&mut chance);
        let life_sigma = load.life_sigma.draw(&mut chance);
        let asked = load.share().draw(&mut chance);
        let wave = (load.period_s.draw(&mut chance), load.swing.draw(&mut chance));
        let burst = [load.every_s, load.burst_s, load.burst].map(|range| range.draw(&mut chance));
        let skew = load.zone_skew.draw(&mut chance);
        let sum: f64 = shares.iter().sum();
        let mean_life: f64 = shares.iter().zip(&lives).map(|(share, of)| share / sum * of * life).sum();
        let stand = match (load.arrivals_per_s, load.standing) {
            (Some(per_s), _) => per_s.draw(&mut chance) * mean_life,
            (None, Some(standing)) => standing.draw(&mut chance),
            (None, None) => asked * capacity * connections_per_unit,
        };

        // The loads are normalized so that, for any classes, `connections_per_unit` standing sessions use one unit of
        // capacity on average.
        let weights: Vec<f64> = shares.iter().zip(&lives).map(|(share, of)| share * of).collect();
        let all: f64 = weights.iter().sum();
        let mean: f64 = weights.iter().zip(&classes).map(|(weight, class)| weight / all * class.load).sum();
        for class in &mut classes {
            class.load /= mean * connections_per_unit;
            class.life *= life;
        }
        let mut chance = draw.chance.of("tenants");
        let usage = body.tenant.iter().map(|tenant| tenant.share * tenant.usage.draw(&mut chance)).collect();
        let mut chance = draw.chance.of("zones");
        let zones: Vec<f64> =
            body.zones().iter().map(|_| 1.0 + skew * (2.0 * chance.random::<f64>() - 1.0)).collect();
        Crowd {
            draw,
            classes,
            arriving: added_up(&shares),
            standing: added_up(&weights),
            usage,
            zones: added_up(&zones),
            groups: groups(draw, stand),
            life_sigma,
            mean_life,
            stand,
            wave,
            burst: (burst[0], burst[1], burst[2]),
        }
    }

    /// Mean life of an arriving session, in seconds.
    pub fn mean_life(&self) -> f64 {
        self.mean_life
    }

    /// Draws all sessions, in the order of their arrival.
    pub fn sessions(&self, course: &LoadCourse) -> Vec<Session> {
        let (draw, chance) = (self.draw, &self.draw.chance);
        let mut keys = BTreeSet::new();
        let fill = micros(draw.body.load.fill_s);
        let stand = (self.stand * self.factor(0.0)).round() as u64;
        let mut sessions: Vec<Session> = (0..stand)
            .map(|i| {
                let mut own = chance.of_each("standing", i);
                let class = pick(&self.standing, &mut own);
                let arrives = (fill as f64 * own.random::<f64>()) as Micros;
                // Sessions that stand at a given moment have length-biased lives, and the elapsed share of a life is
                // uniformly distributed.
                let whole = self.life(class, true, &mut own);
                let left = (whole as f64 * own.random::<f64>()) as Micros;
                self.session(arrives, class, draw.from - arrives + left, &mut keys, own)
            })
            .collect();
        for (i, at) in
            self.arrivals("arrivals", |s| self.factor(s), self.top(), 0.0, draw.body.seconds).enumerate()
        {
            let kept = chance.of_each("kept", i as u64).random::<f64>() < course.kept(at);
            let session = self.arrival(at, chance.of_each("arrival", i as u64), &mut keys);
            if kept {
                sessions.push(session);
            }
        }
        for (name, surge) in &course.surges {
            let more = |s: f64| self.factor(s) * (surge.load - 1.0);
            let (from, until) = (surge.from, surge.until.min(draw.body.seconds));
            let times = self.arrivals(name, more, self.top() * (surge.load - 1.0), from, until);
            for (i, at) in times.enumerate() {
                sessions.push(self.arrival(
                    at,
                    chance.of_each(&format!("{name} sessions"), i as u64),
                    &mut keys,
                ));
            }
        }
        sessions.sort_by_key(|session| (session.arrives, session.key));
        sessions
    }

    /// Draws the times of a Poisson process, in seconds of the measured part. Its rate is `factor` times the usual
    /// arrival rate; `top` is the maximum of `factor`.
    fn arrivals(
        &self,
        concern: &str,
        factor: impl Fn(f64) -> f64,
        top: f64,
        from: f64,
        until: f64,
    ) -> impl Iterator<Item = f64> {
        let mut chance = self.draw.chance.of(concern);
        let most = self.stand / self.mean_life * top;
        let mut at = from;
        std::iter::from_fn(move || {
            // If the rate is 0, the first gap is infinite and there are no arrivals.
            loop {
                let gap: f64 = Exp1.sample(&mut chance);
                at += gap / most;
                if at >= until || !at.is_finite() {
                    return None;
                }
                if chance.random::<f64>() * top < factor(at) {
                    return Some(at);
                }
            }
        })
    }

    fn arrival(&self, at: f64, mut own: ChaCha8Rng, keys: &mut BTreeSet<u64>) -> Session {
        let class = pick(&self.arriving, &mut own);
        let life = self.life(class, false, &mut own);
        self.session(self.draw.from + micros(at), class, life, keys, own)
    }

    fn life(&self, class: usize, by_length: bool, own: &mut ChaCha8Rng) -> Micros {
        let (mean, sigma) = (self.classes[class].life, self.life_sigma);
        let normal: f64 = StandardNormal.sample(own);
        // The length-biased form of a lognormal distribution is the same distribution with its mu increased by sigma
        // squared.
        let middle = if by_length { sigma * sigma / 2.0 } else { -sigma * sigma / 2.0 };
        micros(mean * (middle + sigma * normal).exp()).clamp(SHORTEST, LONGEST)
    }

    fn session(
        &self,
        arrives: Micros,
        class: usize,
        life: Micros,
        keys: &mut BTreeSet<u64>,
        mut own: ChaCha8Rng,
    ) -> Session {
        let key =
            std::iter::repeat_with(|| own.random::<u64>() >> (64 - KEY_BITS)).find(|key| keys.insert(*key));
        let at = (arrives - self.draw.from).max(0) as f64 / S as f64;
        let usage: Vec<f64> = (self.usage.iter().zip(&self.draw.body.tenant))
            .map(|(usage, tenant)| usage * tenant.usage_over_time.at(at))
            .collect();
        let of_groups: f64 = own.random();
        let group = self.groups.partition_point(|(up_to, _)| *up_to <= of_groups);
        let impatient = own.random::<f64>() < self.draw.impatient();
        let patience = LEAST_PATIENCE + (1.0 - LEAST_PATIENCE) * own.random::<f64>();
        Session {
            arrives,
            life,
            class: class as u8,
            tenant: pick(&added_up(&usage), &mut own) as u8,
            zone: pick(&self.zones, &mut own) as u16,
            key: key.unwrap_or_default(),
            group: self.groups[group.min(self.groups.len() - 1)].1,
            patience: if impatient { patience } else { 1.0 },
            seed: own.random(),
            loads: self.loads(class, life.min(self.draw.ends - arrives), &mut own),
        }
    }

    /// Draws the steps of a session's load: variations around the session's own level, and idle steps with a load of
    /// 0. The mean over the sessions is the load of the class.
    fn loads(&self, class: usize, until: Micros, own: &mut ChaCha8Rng) -> Vec<(Micros, f64)> {
        let class = &self.classes[class];
        let level = class.load / (1.0 - class.idle) * around_one(class.load_sigma, own);
        let (mut loads, mut at): (Vec<(Micros, f64)>, f64) = (Vec::new(), 0.0);
        while loads.is_empty() || micros(at) < until {
            let swing = around_one(class.swing_sigma, own);
            let load = if own.random::<f64>() < class.idle { 0.0 } else { level * swing };
            if loads.last().is_none_or(|(_, last)| *last != load) {
                loads.push((micros(at), load));
            }
            let gap: f64 = Exp1.sample(own);
            at += (gap * class.change_s).max(SHORTEST_STEP);
        }
        loads
    }

    /// Factor of the load shape on the usual arrival rate at time `s`.
    fn factor(&self, s: f64) -> f64 {
        match self.draw.body.load.shape {
            Shape::Steady => 1.0,
            Shape::Wave => 1.0 + self.wave.1 * (std::f64::consts::TAU * s / self.wave.0).sin(),
            Shape::Bursts => {
                let (every, length, height) = self.burst;
                if s % every >= every - length { height } else { 1.0 }
            }
            Shape::Trace => self.draw.body.load.trace.at(s),
        }
    }

    fn top(&self) -> f64 {
        match self.draw.body.load.shape {
            Shape::Steady => 1.0,
            Shape::Wave => 1.0 + self.wave.1,
            Shape::Bursts => self.burst.2.max(1.0),
            Shape::Trace => self.draw.body.load.trace.top(),
        }
    }
}

impl Draw<'_> {
    /// Draws the share of the clients that are impatient.
    fn impatient(&self) -> f64 {
        self.body.clients.impatient.draw(&mut self.chance.of("impatient"))
    }
}

/// Draws the misbehaving clients, in the order of their arrival.
pub(super) fn rude(draw: &Draw<'_>, scenario: &Scenario) -> Vec<MisbehavingClient> {
    let mut all = Vec::new();
    let end = draw.body.seconds;
    if let Some(rude) = &draw.body.rude {
        wave(draw, "rude", rude.per_s, &rude.kinds, rude.from_s..rude.until_s.unwrap_or(end), &mut all);
    }
    for (fault, name) in super::faults::named(scenario) {
        if let Kind::Rude(rude) = &fault.kind {
            wave(draw, &name, rude.per_s, &rude.kinds, fault.at_s..fault.at_s + rude.for_s, &mut all);
        }
    }
    all.sort_by_key(|rude| rude.arrives);
    all
}

fn wave(
    draw: &Draw<'_>,
    name: &str,
    per_s: f64,
    kinds: &[Misbehavior],
    span: std::ops::Range<f64>,
    all: &mut Vec<MisbehavingClient>,
) {
    let mut chance = draw.chance.of(name);
    let mut at = span.start;
    loop {
        let gap: f64 = Exp1.sample(&mut chance);
        at += gap / per_s;
        if at >= span.end.min(draw.body.seconds) {
            return;
        }
        let kind = kinds[chance.random_range(0..kinds.len())];
        all.push(MisbehavingClient { arrives: draw.from + micros(at), kind, seed: chance.random() });
    }
}

/// Draws the groups, each with its cumulative share of the sessions. The sizes follow Zipf's law.
fn groups(draw: &Draw<'_>, stand: f64) -> Vec<(f64, u64)> {
    let mut chance = draw.chance.of("groups");
    let size = draw.body.groups.mean_size.draw(&mut chance);
    let zipf = draw.body.groups.zipf.draw(&mut chance);
    let count = (stand / size).round().max(1.0) as u32;
    let weights: Vec<f64> = (1..=count).map(|rank| f64::from(rank).powf(-zipf)).collect();
    added_up(&weights).into_iter().map(|up_to| (up_to, chance.random::<u64>() >> (64 - KEY_BITS))).collect()
}

/// Draws from a lognormal distribution with mean 1.
fn around_one(sigma: f64, chance: &mut ChaCha8Rng) -> f64 {
    let normal: f64 = StandardNormal.sample(chance);
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// Returns the cumulative sums of the weights, normalized to a total of 1.
fn added_up(weights: &[f64]) -> Vec<f64> {
    let sum: f64 = weights.iter().sum();
    let mut so_far = 0.0;
    let parts = weights.iter().map(|weight| {
        so_far += weight / sum;
        so_far
    });
    parts.collect()
}

fn pick(parts: &[f64], chance: &mut ChaCha8Rng) -> usize {
    let drawn: f64 = chance.random();
    parts.partition_point(|up_to| *up_to <= drawn).min(parts.len() - 1)
}
