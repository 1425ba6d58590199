//! Draws the sessions and the misbehaving clients of a run.

use super::DrawContext;
use super::faults::ArrivalChanges;
use crate::plan::{MisbehavingClient, Misbehavior, Session};
use crate::scenario::Scenario;
use crate::scenario::fault::FaultKind;
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
const MIN_LIFE: Micros = 100 * MS;
/// Maximum life of a session, so that sums of times do not overflow.
const MAX_LIFE: Micros = 1_000_000 * S;
/// Minimum time in seconds between two changes of a session's load, so that the list of its loads is bounded.
const MIN_LOAD_STEP_S: f64 = 0.1;
/// Minimum share of the deadline after which an impatient client gives up.
const MIN_PATIENCE: f64 = 0.2;

/// The drawn values of a class.
struct DrawnClass {
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
pub(super) struct SessionSampler<'a> {
    context: &'a DrawContext<'a>,
    classes: Vec<DrawnClass>,
    /// Cumulative shares of the classes among arriving sessions.
    arrival_shares: Vec<f64>,
    /// Cumulative shares of the classes among standing sessions. A class with longer lives has a larger share than
    /// among the arriving sessions.
    standing_shares: Vec<f64>,
    /// Weights of the tenants, before `usage_over_time` is applied.
    tenant_weights: Vec<f64>,
    zone_shares: Vec<f64>,
    groups: Vec<(f64, u64)>,
    life_sigma: f64,
    mean_life: f64,
    /// Mean number of standing sessions while the factor of the load shape is 1.
    mean_standing: f64,
    /// Period and amplitude of the shape `wave`.
    wave: (f64, f64),
    /// Interval, duration and factor of the shape `bursts`.
    burst: (f64, f64, f64),
}

impl<'a> SessionSampler<'a> {
    pub fn new(context: &'a DrawContext<'a>, capacity: f64, connections_per_unit: f64) -> Self {
        let (body, load) = (context.body, &context.body.load);
        let mut rng = context.streams.stream("classes");
        let shares: Vec<f64> = body.class.iter().map(|class| class.share.draw(&mut rng)).collect();
        let lives: Vec<f64> = body.class.iter().map(|class| class.life.draw(&mut rng)).collect();
        let mut classes: Vec<DrawnClass> = (body.class.iter().zip(&lives))
            .map(|(class, life)| DrawnClass {
                load: class.load.draw(&mut rng),
                load_sigma: class.load_sigma.draw(&mut rng),
                swing_sigma: class.swing_sigma.draw(&mut rng),
                change_s: class.change_s.scaled(body.scale).draw(&mut rng),
                idle: class.idle.draw(&mut rng),
                life: *life,
            })
            .collect();

        let mut rng = context.streams.stream("load");
        let life = load.life_s.scaled(body.scale).draw(&mut rng);
        let life_sigma = load.life_sigma.draw(&mut rng);
        let load_share = load.share().draw(&mut rng);
        let wave = (load.period_s.draw(&mut rng), load.swing.draw(&mut rng));
        let burst = [load.every_s, load.burst_s, load.burst].map(|range| range.draw(&mut rng));
        let skew = load.zone_skew.draw(&mut rng);
        let sum: f64 = shares.iter().sum();
        let mean_life: f64 =
            shares.iter().zip(&lives).map(|(share, factor)| share / sum * factor * life).sum();
        let mean_standing = match (load.arrivals_per_s, load.standing) {
            (Some(per_s), _) => per_s.draw(&mut rng) * mean_life,
            (None, Some(standing)) => standing.draw(&mut rng),
            (None, None) => load_share * capacity * connections_per_unit,
        };

        // The loads are normalized so that, for any classes, `connections_per_unit` standing sessions use one unit of
        // capacity on average.
        let weights: Vec<f64> = shares.iter().zip(&lives).map(|(share, factor)| share * factor).collect();
        let total: f64 = weights.iter().sum();
        let mean_load: f64 =
            weights.iter().zip(&classes).map(|(weight, class)| weight / total * class.load).sum();
        for class in &mut classes {
            class.load /= mean_load * connections_per_unit;
            class.life *= life;
        }
        let mut rng = context.streams.stream("tenants");
        let tenant_weights =
            body.tenant.iter().map(|tenant| tenant.share * tenant.usage.draw(&mut rng)).collect();
        let mut rng = context.streams.stream("zones");
        let zone_weights: Vec<f64> =
            body.zones().iter().map(|_| 1.0 + skew * (2.0 * rng.random::<f64>() - 1.0)).collect();
        SessionSampler {
            context,
            classes,
            arrival_shares: cumulative_shares(&shares),
            standing_shares: cumulative_shares(&weights),
            tenant_weights,
            zone_shares: cumulative_shares(&zone_weights),
            groups: groups(context, mean_standing),
            life_sigma,
            mean_life,
            mean_standing,
            wave,
            burst: (burst[0], burst[1], burst[2]),
        }
    }

    /// Mean life of an arriving session, in seconds.
    pub fn mean_life(&self) -> f64 {
        self.mean_life
    }

    /// Draws all sessions, in the order of their arrival.
    pub fn sessions(&self, changes: &ArrivalChanges) -> Vec<Session> {
        let (context, streams) = (self.context, &self.context.streams);
        let mut keys = BTreeSet::new();
        let fill = micros(context.body.load.fill_s);
        let initial_count = (self.mean_standing * self.factor(0.0)).round() as u64;
        let mut sessions: Vec<Session> = (0..initial_count)
            .map(|i| {
                let mut rng = streams.item_stream("standing", i);
                let class = pick_weighted(&self.standing_shares, &mut rng);
                let arrives = (fill as f64 * rng.random::<f64>()) as Micros;
                // Sessions that stand at a given moment have length-biased lives, and the elapsed share of a life is
                // uniformly distributed.
                let life = self.life(class, true, &mut rng);
                let remaining = (life as f64 * rng.random::<f64>()) as Micros;
                self.session(arrives, class, context.from - arrives + remaining, &mut keys, rng)
            })
            .collect();
        for (i, at) in self
            .arrivals("arrivals", |s| self.factor(s), self.max_factor(), 0.0, context.body.seconds)
            .enumerate()
        {
            let kept = streams.item_stream("kept", i as u64).random::<f64>() < changes.kept_share(at);
            let session = self.arrival(at, streams.item_stream("arrival", i as u64), &mut keys);
            if kept {
                sessions.push(session);
            }
        }
        for (name, surge) in &changes.surges {
            let added_factor = |s: f64| self.factor(s) * (surge.factor - 1.0);
            let (from, until) = (surge.from, surge.until.min(context.body.seconds));
            let times =
                self.arrivals(name, added_factor, self.max_factor() * (surge.factor - 1.0), from, until);
            for (i, at) in times.enumerate() {
                sessions.push(self.arrival(
                    at,
                    streams.item_stream(&format!("{name} sessions"), i as u64),
                    &mut keys,
                ));
            }
        }
        sessions.sort_by_key(|session| (session.arrives, session.key));
        sessions
    }

    /// Draws the times of a Poisson process, in seconds of the measured part. Its rate is `factor` times the usual
    /// arrival rate; `max_factor` is the maximum of `factor`.
    fn arrivals(
        &self,
        stream: &str,
        factor: impl Fn(f64) -> f64,
        max_factor: f64,
        from: f64,
        until: f64,
    ) -> impl Iterator<Item = f64> {
        let mut rng = self.context.streams.stream(stream);
        let max_rate = self.mean_standing / self.mean_life * max_factor;
        let mut at = from;
        std::iter::from_fn(move || {
            // If the rate is 0, the first gap is infinite and there are no arrivals.
            loop {
                let gap: f64 = Exp1.sample(&mut rng);
                at += gap / max_rate;
                if at >= until || !at.is_finite() {
                    return None;
                }
                if rng.random::<f64>() * max_factor < factor(at) {
                    return Some(at);
                }
            }
        })
    }

    fn arrival(&self, at: f64, mut rng: ChaCha8Rng, keys: &mut BTreeSet<u64>) -> Session {
        let class = pick_weighted(&self.arrival_shares, &mut rng);
        let life = self.life(class, false, &mut rng);
        self.session(self.context.from + micros(at), class, life, keys, rng)
    }

    fn life(&self, class: usize, length_biased: bool, rng: &mut ChaCha8Rng) -> Micros {
        let (mean, sigma) = (self.classes[class].life, self.life_sigma);
        let normal: f64 = StandardNormal.sample(rng);
        // The length-biased form of a lognormal distribution is the same distribution with its mu increased by sigma
        // squared.
        let mu_shift = if length_biased { sigma * sigma / 2.0 } else { -sigma * sigma / 2.0 };
        micros(mean * (mu_shift + sigma * normal).exp()).clamp(MIN_LIFE, MAX_LIFE)
    }

    fn session(
        &self,
        arrives: Micros,
        class: usize,
        life: Micros,
        keys: &mut BTreeSet<u64>,
        mut rng: ChaCha8Rng,
    ) -> Session {
        let key =
            std::iter::repeat_with(|| rng.random::<u64>() >> (64 - KEY_BITS)).find(|key| keys.insert(*key));
        let arrival_s = (arrives - self.context.from).max(0) as f64 / S as f64;
        let weights: Vec<f64> = (self.tenant_weights.iter().zip(&self.context.body.tenant))
            .map(|(weight, tenant)| weight * tenant.usage_over_time.at(arrival_s))
            .collect();
        let group_draw: f64 = rng.random();
        let group = self.groups.partition_point(|(up_to, _)| *up_to <= group_draw);
        let impatient = rng.random::<f64>() < self.context.impatient();
        let patience = MIN_PATIENCE + (1.0 - MIN_PATIENCE) * rng.random::<f64>();
        Session {
            arrives,
            life,
            class: class as u8,
            tenant: pick_weighted(&cumulative_shares(&weights), &mut rng) as u8,
            zone: pick_weighted(&self.zone_shares, &mut rng) as u16,
            key: key.unwrap_or_default(),
            group: self.groups[group.min(self.groups.len() - 1)].1,
            patience: if impatient { patience } else { 1.0 },
            seed: rng.random(),
            loads: self.loads(class, life.min(self.context.ends - arrives), &mut rng),
        }
    }

    /// Draws the steps of a session's load: variations around the session's own level, and idle steps with a load of
    /// 0. The mean over the sessions is the load of the class.
    fn loads(&self, class: usize, until: Micros, rng: &mut ChaCha8Rng) -> Vec<(Micros, f64)> {
        let class = &self.classes[class];
        let level = class.load / (1.0 - class.idle) * lognormal_mean_one(class.load_sigma, rng);
        let (mut loads, mut at): (Vec<(Micros, f64)>, f64) = (Vec::new(), 0.0);
        while loads.is_empty() || micros(at) < until {
            let swing = lognormal_mean_one(class.swing_sigma, rng);
            let load = if rng.random::<f64>() < class.idle { 0.0 } else { level * swing };
            if loads.last().is_none_or(|(_, last)| *last != load) {
                loads.push((micros(at), load));
            }
            let gap: f64 = Exp1.sample(rng);
            at += (gap * class.change_s).max(MIN_LOAD_STEP_S);
        }
        loads
    }

    /// Factor of the load shape on the usual arrival rate at time `s`.
    fn factor(&self, s: f64) -> f64 {
        match self.context.body.load.shape {
            Shape::Steady => 1.0,
            Shape::Wave => 1.0 + self.wave.1 * (std::f64::consts::TAU * s / self.wave.0).sin(),
            Shape::Bursts => {
                let (interval, duration, factor) = self.burst;
                if s % interval >= interval - duration { factor } else { 1.0 }
            }
            Shape::Trace => self.context.body.load.trace.at(s),
        }
    }

    fn max_factor(&self) -> f64 {
        match self.context.body.load.shape {
            Shape::Steady => 1.0,
            Shape::Wave => 1.0 + self.wave.1,
            Shape::Bursts => self.burst.2.max(1.0),
            Shape::Trace => self.context.body.load.trace.max_factor(),
        }
    }
}

impl DrawContext<'_> {
    /// Draws the share of the clients that are impatient.
    fn impatient(&self) -> f64 {
        self.body.clients.impatient.draw(&mut self.streams.stream("impatient"))
    }
}

/// Draws the misbehaving clients, in the order of their arrival.
pub(super) fn misbehaving_clients(context: &DrawContext<'_>, scenario: &Scenario) -> Vec<MisbehavingClient> {
    let mut clients = Vec::new();
    let end = context.body.seconds;
    if let Some(rude) = &context.body.rude {
        add_wave(
            context,
            "rude",
            rude.per_s,
            &rude.kinds,
            rude.from_s..rude.until_s.unwrap_or(end),
            &mut clients,
        );
    }
    for (fault, name) in super::faults::named_faults(scenario) {
        if let FaultKind::MisbehaviorWave(rude) = &fault.kind {
            add_wave(
                context,
                &name,
                rude.per_s,
                &rude.kinds,
                fault.at_s..fault.at_s + rude.for_s,
                &mut clients,
            );
        }
    }
    clients.sort_by_key(|client| client.arrives);
    clients
}

fn add_wave(
    context: &DrawContext<'_>,
    name: &str,
    per_s: f64,
    kinds: &[Misbehavior],
    span: std::ops::Range<f64>,
    clients: &mut Vec<MisbehavingClient>,
) {
    let mut rng = context.streams.stream(name);
    let mut at = span.start;
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        at += gap / per_s;
        if at >= span.end.min(context.body.seconds) {
            return;
        }
        let kind = kinds[rng.random_range(0..kinds.len())];
        clients.push(MisbehavingClient { arrives: context.from + micros(at), kind, seed: rng.random() });
    }
}

/// Draws the groups, each with its cumulative share of the sessions. The sizes follow Zipf's law.
fn groups(context: &DrawContext<'_>, mean_standing: f64) -> Vec<(f64, u64)> {
    let mut rng = context.streams.stream("groups");
    let size = context.body.groups.mean_size.draw(&mut rng);
    let zipf = context.body.groups.zipf.draw(&mut rng);
    let count = (mean_standing / size).round().max(1.0) as u32;
    let weights: Vec<f64> = (1..=count).map(|rank| f64::from(rank).powf(-zipf)).collect();
    cumulative_shares(&weights)
        .into_iter()
        .map(|up_to| (up_to, rng.random::<u64>() >> (64 - KEY_BITS)))
        .collect()
}

/// Draws from a lognormal distribution with mean 1.
fn lognormal_mean_one(sigma: f64, rng: &mut ChaCha8Rng) -> f64 {
    let normal: f64 = StandardNormal.sample(rng);
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// Returns the cumulative sums of the weights, normalized to a total of 1.
fn cumulative_shares(weights: &[f64]) -> Vec<f64> {
    let sum: f64 = weights.iter().sum();
    let mut so_far = 0.0;
    let shares = weights.iter().map(|weight| {
        so_far += weight / sum;
        so_far
    });
    shares.collect()
}

fn pick_weighted(shares: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let draw: f64 = rng.random();
    shares.partition_point(|up_to| *up_to <= draw).min(shares.len() - 1)
}
