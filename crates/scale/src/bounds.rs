//! Bounds on the growth of figures: the one table that the tests enforce and that `docs/CAPACITY.md` quotes.

use crate::fit::{Axis, fit};
use crate::run_result::RunResult;

/// A bound on a slope: the most that one more of the axis may add to the figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Name of the figure, as in a run's line.
    pub figure: &'static str,
    /// The axis that grows.
    pub axis: Axis,
    /// The largest slope, in the figure's unit for one more of the axis.
    pub slope: f64,
}

/// The bounds for the tests' small fleets (30 to 120 members, 100 connections and a set-up a second each; an aggregator's reports
/// are larger with more: the sweep's sends 502 bytes and receives 872 for a member). Units: messages and bytes a second; heap bytes
/// a member. Each is a sixth to a third over the slopes of small fleets and of the sweep, or a small figure where these are near 0.
pub const BOUNDS: &[Bound] = &[
    // One more member adds nothing to the traffic of another, except while that one is the aggregator or the leader.
    Bound { figure: "messages_out.mean", axis: Axis::Members, slope: 0.01 },
    Bound { figure: "messages_in.mean", axis: Axis::Members, slope: 0.01 },
    Bound { figure: "bytes_out.mean", axis: Axis::Members, slope: 1.0 },
    Bound { figure: "bytes_in.mean", axis: Axis::Members, slope: 1.0 },
    // The aggregator receives from all and answers all; the leader grants leases to all.
    Bound { figure: "bytes_out.max", axis: Axis::Members, slope: 500.0 },
    Bound { figure: "bytes_in.max", axis: Axis::Members, slope: 600.0 },
    Bound { figure: "leader_messages", axis: Axis::Members, slope: 7.0 },
    Bound { figure: "leader_bytes", axis: Axis::Members, slope: 620.0 },
    Bound { figure: "heap_bytes", axis: Axis::Members, slope: 400.0 },
    // One more node is four bytes of each table, and an entry in each report of a member with connections there.
    Bound { figure: "bytes_out.mean", axis: Axis::Nodes, slope: 1.0 },
    Bound { figure: "bytes_in.mean", axis: Axis::Nodes, slope: 1.0 },
    Bound { figure: "heap_bytes", axis: Axis::Nodes, slope: 1_000.0 },
    // One more group is a byte in the reports of members with connections of it.
    Bound { figure: "bytes_out.mean", axis: Axis::Pairs, slope: 0.5 },
    Bound { figure: "heap_bytes", axis: Axis::Pairs, slope: 20.0 },
];

/// The bounds that are exceeded along this axis, as text; [`None`] if a figure cannot be fitted.
pub fn exceeded_bounds(lines: &[RunResult], axis: Axis) -> Option<Vec<String>> {
    let bounds = BOUNDS.iter().filter(|bound| bound.axis == axis);
    let fits = bounds.map(|bound| Some((bound, fit(lines, bound.figure, axis)?)));
    let fits: Vec<_> = fits.collect::<Option<_>>()?;
    let exceeded = fits.into_iter().filter(|(bound, fit)| fit.slope > bound.slope);
    let texts = exceeded.map(|(Bound { figure, slope, .. }, fit)| {
        format!("{figure} along {axis:?}: {} for one more is over {slope}; {:?}", fit.slope, fit.measured)
    });
    Some(texts.collect())
}
