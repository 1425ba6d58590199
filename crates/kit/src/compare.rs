//! Comparison of two builds, or two settings, on the same seeds: paired differences of the service ratio, with a
//! confidence interval.
//!
//! Both arms of a pair run the same plan at the same time, so that disturbances of the machine affect both, and the
//! difference within a pair does not depend on the seed's draw. The interval is a percentile bootstrap of the mean
//! difference (Efron 1979): the differences are resampled with replacement many times.

use crate::plan::Plan;
use crate::processes::Daemon;
use crate::rehearse::{self, CannotRun, Run, Setup};
use crate::scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Number of bootstrap resamples. With it, the bounds of a 95% interval are stable to two digits.
const RESAMPLES: usize = 10_000;
/// Maximum number of repetitions of a pair in which a run was void.
const MAX_RERUNS: u32 = 2;

/// One of the two proxies that are compared.
#[derive(Clone, Debug)]
pub struct Arm {
    /// Name of the arm in the report.
    pub name: String,
    /// The proxy's program and its arguments.
    pub daemon: Daemon,
}

/// The result of both arms for one scenario and one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Pair {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the plan.
    pub seed: u64,
    /// Service ratio of each arm.
    pub service: [f64; 2],
    /// Names of the rules that each arm broke.
    pub broken: [Vec<String>; 2],
}

/// The result of a comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Names of the arms.
    pub arms: [String; 2],
    /// All pairs without a void run.
    pub pairs: Vec<Pair>,
    /// Number of pairs left out because the machine was too busy in each repetition.
    pub void: usize,
    /// Mean service ratio of each arm.
    pub means: [f64; 2],
    /// Standard deviation of each arm's service ratio over the pairs.
    pub spread: [f64; 2],
    /// Mean difference: the second arm's service ratio minus the first arm's.
    pub difference: f64,
    /// 95% confidence interval of `difference`.
    pub interval: (f64, f64),
}

impl Comparison {
    /// Returns the name of the better arm; `None` if the interval contains zero.
    pub fn better(&self) -> Option<&str> {
        match self.interval {
            (lower, _) if lower > 0.0 => Some(&self.arms[1]),
            (_, upper) if upper < 0.0 => Some(&self.arms[0]),
            _ => None,
        }
    }
}

/// Returns a 95% confidence interval of the mean, by percentile bootstrap. With a single value, both bounds equal
/// it.
pub fn bootstrap(values: &[f64], seed: u64) -> (f64, f64) {
    if values.is_empty() {
        return (0.0, 0.0);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| (0..values.len()).map(|_| values[rng.random_range(0..values.len())]).sum::<f64>())
        .map(|sum| sum / values.len() as f64)
        .collect();
    means.sort_unstable_by(f64::total_cmp);
    let at = |quantile: f64| means[((RESAMPLES - 1) as f64 * quantile).round() as usize];
    (at(0.025), at(0.975))
}

/// Returns the mean and the sample standard deviation.
pub fn mean_and_spread(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    if values.is_empty() {
        return (0.0, 0.0);
    }
    let mean = values.iter().sum::<f64>() / n;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (mean, if values.len() > 1 { (squares / (n - 1.0)).sqrt() } else { 0.0 })
}

/// Runs all pairs: each scenario with each seed. `say` is called with each pair when it ends.
pub fn compare(
    arms: [&Arm; 2],
    scenarios: &[Scenario],
    seeds: &[u64],
    interrupted: &Arc<AtomicBool>,
    mut say: impl FnMut(&Pair),
) -> Result<Comparison, CannotRun> {
    let (mut pairs, mut void) = (Vec::new(), 0);
    'all: for seed in seeds {
        for scenario in scenarios {
            let mut tries = 0;
            let pair = loop {
                let runs = play_pair(arms, &scenario.draw(*seed), interrupted)?;
                if interrupted.load(Ordering::Acquire) {
                    break 'all;
                }
                if !runs.iter().any(|run| run.verdict.is_void()) {
                    break Some(runs);
                }
                tries += 1;
                if tries > MAX_RERUNS {
                    break None;
                }
            };
            let Some([one, other]) = pair else {
                void += 1;
                continue;
            };
            let broken =
                |run: &Run| run.verdict.violated_rules().map(|rule| rule.name().to_owned()).collect();
            let pair = Pair {
                scenario: scenario.body.name.clone(),
                seed: *seed,
                service: [one.verdict.service(), other.verdict.service()],
                broken: [broken(&one), broken(&other)],
            };
            say(&pair);
            pairs.push(pair);
        }
    }
    Ok(conclude(arms.map(|arm| arm.name.clone()), pairs, void))
}

fn conclude(arms: [String; 2], pairs: Vec<Pair>, void: usize) -> Comparison {
    let of = |arm: usize| -> Vec<f64> { pairs.iter().map(|pair| pair.service[arm]).collect() };
    let (one, other) = (mean_and_spread(&of(0)), mean_and_spread(&of(1)));
    // Pairs with the same seed share its random draws and are not independent, so they are resampled together.
    let mut by_seed: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for pair in &pairs {
        by_seed.entry(pair.seed).or_default().push(pair.service[1] - pair.service[0]);
    }
    let differences: Vec<f64> = by_seed.values().map(|all| mean_and_spread(all).0).collect();
    let (difference, _) = mean_and_spread(&differences);
    Comparison {
        arms,
        void,
        means: [one.0, other.0],
        spread: [one.1, other.1],
        difference,
        interval: bootstrap(&differences, 1),
        pairs,
    }
}

fn play_pair(arms: [&Arm; 2], plan: &Plan, interrupted: &Arc<AtomicBool>) -> Result<[Run; 2], CannotRun> {
    let setup =
        |arm: &Arm| Setup { daemon: arm.daemon.clone(), keep: None, interrupted: Arc::clone(interrupted) };
    thread::scope(|scope| {
        let threads = arms.map(|arm| {
            let (plan, setup) = (plan.clone(), setup(arm));
            scope.spawn(move || rehearse::run(plan, &setup, |_, _| {}))
        });
        let [one, other] = threads.map(|thread| match thread.join() {
            Ok(run) => run,
            Err(_) => Err(CannotRun::Panicked("a run")),
        });
        Ok([one?, other?])
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pair(seed: u64, one: f64, other: f64) -> Pair {
        Pair { scenario: "s".into(), seed, service: [one, other], broken: [Vec::new(), Vec::new()] }
    }

    #[test]
    fn a_steady_difference_is_seen_through_a_spread_of_seeds() {
        let pairs = (0..8).map(|i| pair(i, 0.5 + 0.05 * i as f64, 0.53 + 0.05 * i as f64)).collect();
        let seen = conclude(["a".into(), "b".into()], pairs, 0);
        assert!((seen.difference - 0.03).abs() < 1e-9 && seen.spread[0] > 0.1);
        assert_eq!(seen.better(), Some("b"));
    }

    #[test]
    fn noise_names_no_better_arm() {
        let pairs = (0..10).map(|i| pair(i, 0.8, if i % 2 == 0 { 0.83 } else { 0.77 })).collect();
        assert_eq!(conclude(["a".into(), "b".into()], pairs, 0).better(), None);
    }

    #[test]
    fn scenarios_of_one_seed_are_one_draw() {
        let twice: Vec<Pair> = (0..12).map(|i| i / 2).map(|i| pair(i, 0.8, 0.9 - 0.03 * i as f64)).collect();
        let once: Vec<Pair> = twice.iter().step_by(2).cloned().collect();
        let arms = || ["a".to_owned(), "b".to_owned()];
        assert_eq!(conclude(arms(), twice, 0).interval, conclude(arms(), once, 0).interval);
    }

    #[test]
    fn the_interval_of_a_normal_sample_has_the_textbook_width() {
        // The standard deviation of the 400 values is 1, so that of their mean is 0.05; the interval is 3.92 times
        // that.
        let values: Vec<f64> = (0..400).map(|i| if i % 2 == 0 { 1.0 } else { -1.0 }).collect();
        let (lower, upper) = bootstrap(&values, 7);
        assert!((0.17..0.23).contains(&(upper - lower)), "{lower} to {upper}");
    }
}
