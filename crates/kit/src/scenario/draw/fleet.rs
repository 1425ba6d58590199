//! Draws the render nodes of a run.

use super::Draw;
use crate::plan::Node;
use crate::scenario::Pool;
use crate::scenario::format::Kind;
use crate::time::{MS, Micros};
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};

/// Values that all render nodes of a kind share in a run.
struct Drawn {
    cores: f64,
    speed: f64,
    spread: f64,
    setups_per_core: f64,
    cold_from: f64,
    warm_up: Micros,
}

/// Returns all render nodes, the spare ones last, and the number of connections whose mean load uses one unit of
/// capacity.
pub(super) fn nodes(draw: &Draw<'_>) -> (Vec<Node>, f64) {
    let fleet = &draw.body.fleet;
    let mut chance = draw.chance.of("fleet");
    let connections_per_unit = fleet.connections_per_core.draw(&mut chance);
    let cap = fleet.connections_cap.draw(&mut chance) * connections_per_unit;
    let setup_work = fleet.setup_work_ms.draw(&mut chance) / 1e3;
    let setup_wait = fleet.setup_wait_ms.draw_ms(&mut chance);
    let message = fleet.message_ms.draw_ms(&mut chance).max(MS / 10);
    let bursty = fleet.bursty.draw(&mut chance);
    let buffer = fleet.buffer_s.draw_s(&mut chance);
    let group_cost = draw.body.groups.cost.draw(&mut chance);
    let shares: Vec<f64> = fleet.kind.iter().map(|kind| kind.share.draw(&mut chance)).collect();
    let drawn: Vec<Drawn> = fleet.kind.iter().map(|kind| figures(draw, kind, &mut chance)).collect();
    let mut places = kinds(&shares, usize::from(fleet.nodes), &mut chance);
    places.extend(kinds(&shares, usize::from(fleet.spare), &mut chance));

    let zones = draw.body.zones().len();
    let cell_size = f64::from(fleet.cell_size.draw_count(&mut chance).max(1));
    let nodes = places.into_iter().enumerate().map(|(i, place)| {
        let (kind, figures) = (&fleet.kind[place], &drawn[place]);
        let mut own = draw.chance.of_each("node", i as u64);
        let size = figures.cores * figures.speed;
        Node {
            name: draw.body.name_of(Pool::Nodes, i as u16),
            zone: (i % zones) as u16,
            cell: (i as f64 / cell_size) as u32,
            kind: kind.name.clone(),
            size,
            capacity: size * true_speed(figures.spread, &mut own),
            connections_per_unit,
            connections_max: (cap * size).round().max(1.0) as u32,
            setups_max: (figures.setups_per_core * figures.cores).round().max(1.0) as u32,
            setup_work,
            setup_wait,
            group_cost,
            message,
            bursty,
            buffer,
            cold_from: figures.cold_from,
            warm_up: figures.warm_up,
            from_start: i < usize::from(fleet.nodes),
            seed: own.random(),
        }
    });
    (nodes.collect(), connections_per_unit)
}

fn figures(draw: &Draw<'_>, kind: &Kind, chance: &mut ChaCha8Rng) -> Drawn {
    let fleet = &draw.body.fleet;
    Drawn {
        cores: kind.cores.draw(chance),
        speed: kind.speed.draw(chance),
        spread: kind.speed_spread.draw(chance),
        setups_per_core: fleet.setups_per_core.draw(chance),
        cold_from: fleet.cold_from.draw(chance),
        warm_up: fleet.warm_up_s.at(draw.body.scale).draw_s(chance),
    }
}

/// Draws the ratio of a machine's actual speed to its registered speed. The distribution is lognormal with mean 1,
/// clamped to three standard deviations, so that no render node has nearly no capacity and the number of sessions is
/// bounded.
fn true_speed(spread: f64, chance: &mut ChaCha8Rng) -> f64 {
    let sigma = (1.0 + spread * spread).ln().sqrt();
    let normal: f64 = StandardNormal.sample(chance);
    (sigma * normal - sigma * sigma / 2.0).exp().clamp(1.0 - 3.0 * spread, 1.0 + 3.0 * spread)
}

/// Returns the kind of each of `count` render nodes, in random order. The numbers per kind follow the shares by the
/// largest remainder method.
fn kinds(shares: &[f64], count: usize, chance: &mut ChaCha8Rng) -> Vec<usize> {
    let sum: f64 = shares.iter().sum();
    let exact: Vec<f64> = shares.iter().map(|share| share / sum * count as f64).collect();
    let mut places: Vec<usize> =
        exact.iter().enumerate().flat_map(|(kind, n)| std::iter::repeat_n(kind, *n as usize)).collect();
    let mut by_remainder: Vec<usize> = (0..shares.len()).collect();
    by_remainder.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let missing = count.saturating_sub(places.len());
    places.extend(by_remainder.into_iter().cycle().take(missing));
    places.shuffle(chance);
    places
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_chacha::rand_core::SeedableRng;

    #[test]
    fn kinds_get_their_shares() {
        let mut places = kinds(&[0.5, 0.3, 0.1], 16, &mut ChaCha8Rng::seed_from_u64(3));
        places.sort();
        let count = |kind| places.iter().filter(|place| **place == kind).count();
        assert_eq!([count(0), count(1), count(2)], [9, 5, 2]);
    }
}
