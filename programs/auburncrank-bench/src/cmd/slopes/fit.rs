//! Least-squares lines.

use serde::Serialize;

use crate::cmd::StudyError;

/// Line through measured points.
#[derive(Debug, Serialize)]
pub(super) struct Slope {
    /// What was measured, with its unit.
    pub(super) quantity: &'static str,
    /// What it grows with.
    pub(super) against: &'static str,
    /// The points: size and measured value.
    pub(super) points: Vec<(f64, f64)>,
    /// Growth of the value for one more.
    pub(super) slope: f64,
    /// Value at zero.
    pub(super) intercept: f64,
    /// Root of the mean squared distance of the points from the line, in the unit of the
    /// quantity.
    pub(super) residual: f64,
}

impl Slope {
    /// Fits a line.
    ///
    /// # Errors
    /// Where the points are too few or all of one size.
    pub(super) fn fit(
        quantity: &'static str,
        against: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Result<Slope, StudyError> {
        let line: Result<(f64, f64), _> = linreg::linear_regression_of(&points);
        let (slope, intercept) = line.map_err(|error| StudyError(error.to_string()))?;
        let squares = points.iter().map(|(x, y)| (y - slope * x - intercept).powi(2));
        let residual = (squares.sum::<f64>() / points.len() as f64).sqrt();
        Ok(Slope { quantity, against, points, slope, intercept, residual })
    }
}
