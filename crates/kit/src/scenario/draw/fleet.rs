//! Draws the render nodes of a run.

use super::DrawContext;
use crate::plan::Node;
use crate::scenario::TargetKind;
use crate::scenario::format::MachineKind;
use crate::time::{MS, Micros};
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};

/// Values that all render nodes of a kind share in a run.
struct KindValues {
    cores: f64,
    speed: f64,
    spread: f64,
    setups_per_core: f64,
    cold_from: f64,
    warm_up: Micros,
}

/// Returns all render nodes, the spare ones last, and the number of connections whose mean load uses one unit of
/// capacity.
pub(super) fn nodes(context: &DrawContext<'_>) -> (Vec<Node>, f64) {
    let fleet = &context.body.fleet;
    let mut rng = context.streams.stream("fleet");
    let connections_per_unit = fleet.connections_per_core.draw(&mut rng);
    let cap = fleet.connections_cap.draw(&mut rng) * connections_per_unit;
    let setup_work = fleet.setup_work_ms.draw(&mut rng) / 1e3;
    let setup_wait = fleet.setup_wait_ms.draw_ms(&mut rng);
    let message = fleet.message_ms.draw_ms(&mut rng).max(MS / 10);
    let bursty = fleet.bursty.draw(&mut rng);
    let buffer = fleet.buffer_s.draw_s(&mut rng);
    let group_cost = context.body.groups.cost.draw(&mut rng);
    let shares: Vec<f64> = fleet.kind.iter().map(|kind| kind.share.draw(&mut rng)).collect();
    let kind_values: Vec<KindValues> =
        fleet.kind.iter().map(|kind| draw_kind(context, kind, &mut rng)).collect();
    let mut kind_indices = assign_kinds(&shares, usize::from(fleet.nodes), &mut rng);
    kind_indices.extend(assign_kinds(&shares, usize::from(fleet.spare), &mut rng));

    let zones = context.body.zones().len();
    let cell_size = f64::from(fleet.cell_size.draw_count(&mut rng).max(1));
    let nodes = kind_indices.into_iter().enumerate().map(|(i, kind_index)| {
        let (kind, values) = (&fleet.kind[kind_index], &kind_values[kind_index]);
        let mut node_rng = context.streams.item_stream("node", i as u64);
        let size = values.cores * values.speed;
        Node {
            name: context.body.target_name(TargetKind::Nodes, i as u16),
            zone: (i % zones) as u16,
            cell: (i as f64 / cell_size) as u32,
            kind: kind.name.clone(),
            size,
            capacity: size * actual_speed_ratio(values.spread, &mut node_rng),
            connections_per_unit,
            connections_max: (cap * size).round().max(1.0) as u32,
            setups_max: (values.setups_per_core * values.cores).round().max(1.0) as u32,
            setup_work,
            setup_wait,
            group_cost,
            message,
            bursty,
            buffer,
            cold_from: values.cold_from,
            warm_up: values.warm_up,
            from_start: i < usize::from(fleet.nodes),
            seed: node_rng.random(),
        }
    });
    (nodes.collect(), connections_per_unit)
}

fn draw_kind(context: &DrawContext<'_>, kind: &MachineKind, rng: &mut ChaCha8Rng) -> KindValues {
    let fleet = &context.body.fleet;
    KindValues {
        cores: kind.cores.draw(rng),
        speed: kind.speed.draw(rng),
        spread: kind.speed_spread.draw(rng),
        setups_per_core: fleet.setups_per_core.draw(rng),
        cold_from: fleet.cold_from.draw(rng),
        warm_up: fleet.warm_up_s.scaled(context.body.scale).draw_s(rng),
    }
}

/// Draws the ratio of a machine's actual speed to its registered speed. The distribution is lognormal with mean 1,
/// clamped to three standard deviations, so that no render node has nearly no capacity and the number of sessions is
/// bounded.
fn actual_speed_ratio(spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    let sigma = (1.0 + spread * spread).ln().sqrt();
    let normal: f64 = StandardNormal.sample(rng);
    (sigma * normal - sigma * sigma / 2.0).exp().clamp(1.0 - 3.0 * spread, 1.0 + 3.0 * spread)
}

/// Returns the kind of each of `count` render nodes, in random order. The numbers per kind follow the shares by the
/// largest remainder method.
fn assign_kinds(shares: &[f64], count: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let sum: f64 = shares.iter().sum();
    let exact: Vec<f64> = shares.iter().map(|share| share / sum * count as f64).collect();
    let mut kind_indices: Vec<usize> =
        exact.iter().enumerate().flat_map(|(kind, n)| std::iter::repeat_n(kind, *n as usize)).collect();
    let mut by_remainder: Vec<usize> = (0..shares.len()).collect();
    by_remainder.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let missing = count.saturating_sub(kind_indices.len());
    kind_indices.extend(by_remainder.into_iter().cycle().take(missing));
    kind_indices.shuffle(rng);
    kind_indices
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_chacha::rand_core::SeedableRng;

    #[test]
    fn each_kind_gets_its_share_of_the_nodes() {
        let mut kind_indices = assign_kinds(&[0.5, 0.3, 0.1], 16, &mut ChaCha8Rng::seed_from_u64(3));
        kind_indices.sort();
        let count = |kind| kind_indices.iter().filter(|index| **index == kind).count();
        assert_eq!([count(0), count(1), count(2)], [9, 5, 2]);
    }
}
