//! Least-squares line fits.

use serde::Serialize;

use crate::cmd::StudyError;

/// Line fitted to measured points.
#[derive(Debug, Serialize)]
pub(super) struct Slope {
    /// Measured quantity, with its unit.
    pub(super) quantity: &'static str,
    /// Variable that the quantity is measured against.
    pub(super) against: &'static str,
    /// Measured points: value of the variable and of the quantity.
    pub(super) points: Vec<(f64, f64)>,
    /// Increase of the quantity per unit of the variable.
    pub(super) slope: f64,
    /// Fitted quantity when the variable is zero.
    pub(super) intercept: f64,
    /// Root mean square error of the fit, in the unit of the quantity.
    pub(super) residual: f64,
}

impl Slope {
    /// Fits a line to `points`.
    ///
    /// # Errors
    /// Returns an error if there are too few points or all have the same value of the variable.
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
