//! What figures may grow with, and how fast at most: the one table that the tests hold and that `docs/CAPACITY.md` quotes.

use crate::fit::{Axis, fit};
use crate::run_result::RunResult;

/// A bound on a slope: one more of the axis may add so much to the figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The figure, by its name in a run's line.
    pub figure: &'static str,
    /// Along this axis.
    pub axis: Axis,
    /// At most, in the figure's unit for one more.
    pub slope: f64,
}

/// The bounds, of the tests' small tiers (30 to 120 members, 100 connections and a set-up a second each; a keeper's reports are larger
/// with more: the sweep's has 502 bytes out and 872 in for a member). Units: messages and bytes a second; heap bytes a member. Each is a sixth to a third over what
/// small tiers and the sweep showed, or a small figure where they showed next to nothing.
pub const BOUNDS: &[Bound] = &[
    // One member more adds nothing to what another one sends and hears, but by the keeper's and the leader's turns.
    Bound { figure: "messages_out.mean", axis: Axis::Members, slope: 0.01 },
    Bound { figure: "messages_in.mean", axis: Axis::Members, slope: 0.01 },
    Bound { figure: "bytes_out.mean", axis: Axis::Members, slope: 1.0 },
    Bound { figure: "bytes_in.mean", axis: Axis::Members, slope: 1.0 },
    // The keeper hears all and answers all; the leader grants to all.
    Bound { figure: "bytes_out.max", axis: Axis::Members, slope: 500.0 },
    Bound { figure: "bytes_in.max", axis: Axis::Members, slope: 600.0 },
    Bound { figure: "leader_messages", axis: Axis::Members, slope: 7.0 },
    Bound { figure: "leader_bytes", axis: Axis::Members, slope: 620.0 },
    Bound { figure: "heap_bytes", axis: Axis::Members, slope: 400.0 },
    // A node more is four bytes of each table, and its entry in each report that has connections there.
    Bound { figure: "bytes_out.mean", axis: Axis::Nodes, slope: 1.0 },
    Bound { figure: "bytes_in.mean", axis: Axis::Nodes, slope: 1.0 },
    Bound { figure: "heap_bytes", axis: Axis::Nodes, slope: 1_000.0 },
    // A group more is a byte in the reports of those who have connections of it.
    Bound { figure: "bytes_out.mean", axis: Axis::Pairs, slope: 0.5 },
    Bound { figure: "heap_bytes", axis: Axis::Pairs, slope: 20.0 },
];

/// Which bounds are broken along this axis, in words; [`None`] where a figure can't be fitted.
pub fn broken(lines: &[RunResult], axis: Axis) -> Option<Vec<String>> {
    let bounds = BOUNDS.iter().filter(|bound| bound.axis == axis);
    let fits = bounds.map(|bound| Some((bound, fit(lines, bound.figure, axis)?)));
    let fits: Vec<_> = fits.collect::<Option<_>>()?;
    let over = fits.into_iter().filter(|(bound, fit)| fit.slope > bound.slope);
    let said = over.map(|(Bound { figure, slope, .. }, fit)| {
        format!("{figure} along {axis:?}: {} for one more is over {slope}; {:?}", fit.slope, fit.measured)
    });
    Some(said.collect())
}
