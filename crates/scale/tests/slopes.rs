//! A member's traffic and memory grow no faster than their bounds with members, nodes and pairs. On virtual time, from one seed:
//! counts are compared, not times.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cap::Cap;
use cottonnotch_scale::Shape;
use cottonnotch_scale::bounds::{BOUNDS, exceeded_bounds};
use cottonnotch_scale::fault::S;
use cottonnotch_scale::fit::{Axis, figure};
use cottonnotch_scale::run_result::{RunResult, Spread};
use cottonnotch_scale::virtual_time::measure;
use std::alloc::System;

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

fn shapes(axis: Axis) -> Vec<Shape> {
    let base =
        Shape { members: 30, nodes: 90, pairs: 500, connections: 100, setups: 1.0, ..Shape::default() };
    match axis {
        Axis::Members => [30, 60, 120].map(|members| Shape { members, ..base.clone() }).to_vec(),
        Axis::Nodes => [90, 180, 360].map(|nodes| Shape { nodes, ..base.clone() }).to_vec(),
        Axis::Pairs => [500, 2_000, 8_000].map(|pairs| Shape { pairs, ..base.clone() }).to_vec(),
        Axis::Connections => unreachable!("bounded by the memory of a connection, on sockets"),
    }
}

/// One test alone measures: the heap is the whole process's.
#[test]
fn slopes_do_not_exceed_bounds() {
    for axis in [Axis::Members, Axis::Nodes, Axis::Pairs] {
        let play = |shape: &Shape| measure(shape, 12 * S, 20 * S, || HEAP.allocated());
        let lines: Vec<RunResult> = shapes(axis).iter().map(play).collect();
        for bound in BOUNDS.iter().filter(|bound| bound.axis == axis) {
            let measured: Vec<f64> = lines.iter().filter_map(|line| figure(line, bound.figure)).collect();
            println!("{} along {axis:?}: {measured:?}", bound.figure);
        }
        assert_eq!(exceeded_bounds(&lines, axis), Some(Vec::new()), "seed {}", lines[0].shape.seed);
    }
}

/// Each member sends to each other one, which the bounds exclude.
#[test]
fn rejects_all_to_all_traffic() {
    let line = |members: u32| {
        let messages = Spread { mean: f64::from(members), max: f64::from(members) };
        RunResult {
            shape: Shape { members, ..Shape::default() },
            messages_out: messages,
            ..RunResult::default()
        }
    };
    let found = exceeded_bounds(&[30, 60, 120].map(line), Axis::Members).expect("lines that can be fitted");
    assert!(matches!(&found[..], [one] if one.starts_with("messages_out.mean along Members")), "{found:?}");
}
