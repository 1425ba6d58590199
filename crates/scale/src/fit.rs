//! Linear regression of figures over a size (least squares), with the error of the slope and the residuals.

use crate::run_result::RunResult;
use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};
use serde::{Deserialize, Serialize};

/// A size that a sweep varies while all others stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Axis {
    /// Proxies.
    Members,
    /// Render nodes.
    Nodes,
    /// Pairs of group and node.
    Pairs,
    /// Connections of each proxy.
    Connections,
}

/// A line fitted through runs. It is printed as a line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Name of the figure.
    pub figure: String,
    /// The axis.
    pub axis: String,
    /// Sizes that were swept.
    pub sizes: Vec<f64>,
    /// The figure at each size.
    pub measured: Vec<f64>,
    /// The figure at size 0.
    pub intercept: f64,
    /// Growth of the figure for one more of the axis.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Part of the variance that the line explains.
    pub r_squared: f64,
    /// The largest residual, as a part of the largest value.
    pub largest_residual: f64,
    /// Share that grows with the square of the size (coherency): of the figure at the largest size, by a fit with a square.
    pub square_share: f64,
}

/// The size of a run along an axis.
pub fn size(line: &RunResult, axis: Axis) -> f64 {
    match axis {
        Axis::Members => f64::from(line.shape.members),
        Axis::Nodes => f64::from(line.shape.nodes),
        Axis::Pairs => f64::from(line.shape.pairs),
        Axis::Connections => f64::from(line.shape.connections),
    }
}

/// A figure by its name, such as `bytes_out.mean`; `None`: there is none of this name.
pub fn figure(line: &RunResult, name: &str) -> Option<f64> {
    let value = serde_json::to_value(line).ok()?;
    name.split('.').try_fold(&value, |value, key| value.get(key))?.as_f64()
}

/// Fits a figure along an axis; `None` with fewer than three sizes.
pub fn fit(lines: &[RunResult], name: &str, axis: Axis) -> Option<Fit> {
    let sizes: Vec<f64> = lines.iter().map(|line| size(line, axis)).collect();
    let measured: Vec<f64> = lines.iter().map(|line| figure(line, name)).collect::<Option<_>>()?;
    if sizes.len() < 3 {
        return None;
    }
    let largest = measured.iter().copied().fold(0.0, |a: f64, b| a.max(b.abs()));
    let top = sizes.iter().copied().fold(0.0, f64::max);
    let squares: Vec<f64> = sizes.iter().map(|size| size * size / top).collect();
    let data = vec![("y", measured.clone()), ("x", sizes.clone()), ("s", squares)];
    let data = RegressionDataBuilder::new().build_from(data).ok()?;
    let model = FormulaRegressionBuilder::new().data(&data).formula("y ~ x").fit().ok()?;
    let (parameters, errors) = (model.parameters(), model.se());
    let square_share = match FormulaRegressionBuilder::new().data(&data).formula("y ~ x + s").fit() {
        Ok(model) if sizes.len() > 3 => {
            model.parameters().get(2).map_or(0.0, |c| c * top / largest.max(1e-12))
        }
        _ => 0.0,
    };
    let residual = model.residuals().iter().copied().fold(0.0, |a: f64, b| a.max(b.abs()));
    Some(Fit {
        figure: name.to_owned(),
        axis: format!("{axis:?}").to_lowercase(),
        intercept: *parameters.first()?,
        slope: *parameters.get(1)?,
        slope_error: *errors.get(1)?,
        r_squared: model.rsquared(),
        largest_residual: residual / largest.max(1e-12),
        square_share,
        sizes,
        measured,
    })
}
