//! Linear model of an answer's time against load, fitted to recent answers.

use std::time::Duration;

use types::Timestamp;

/// Time over which answers are weighted.
const FIT_TIME: Duration = Duration::from_secs(10);

/// Answers that each prior coefficient counts as.
const PRIOR_WEIGHT: f64 = 4.0;

/// Number of coefficients: of a constant, of the tokens and of the running requests.
const SIZE: usize = 3;

/// Exponentially weighted ridge regression. The coefficients are a base time, the time for a
/// thousand prompt tokens and the time for each running request, in milliseconds; none is negative.
#[derive(Debug, Clone)]
pub(super) struct LoadFit {
    /// Coefficients before the first answer.
    prior: [f64; SIZE],
    /// Weighted sums of the products of two inputs.
    products: [[f64; SIZE]; SIZE],
    /// Weighted sums of the products of an input and the time.
    targets: [f64; SIZE],
    /// When the sums were last decayed.
    at: Timestamp,
    /// Current coefficients.
    coefficients: [f64; SIZE],
}

impl LoadFit {
    pub(super) fn new(prior: [f64; SIZE]) -> LoadFit {
        LoadFit {
            prior,
            products: [[0.0; SIZE]; SIZE],
            targets: [0.0; SIZE],
            at: Timestamp::ZERO,
            coefficients: prior,
        }
    }

    /// Returns the expected time at a load, in milliseconds.
    pub(super) fn predict(&self, tokens: f64, running: f64) -> f64 {
        let inputs = inputs_of(tokens, running);
        inputs.iter().zip(&self.coefficients).map(|(a, b)| a * b).sum::<f64>().max(0.1)
    }

    /// Returns the weighted number of answers.
    pub(super) fn answers(&self) -> f64 {
        self.products[0][0]
    }

    /// Adds an answer. Call [`LoadFit::solve`] after the last one.
    pub(super) fn add(&mut self, tokens: f64, running: f64, millis: f64, weight: f64) {
        let inputs = inputs_of(tokens, running);
        for (row, a) in self.products.iter_mut().zip(&inputs) {
            for (sum, b) in row.iter_mut().zip(&inputs) {
                *sum += weight * a * b;
            }
        }
        for (sum, a) in self.targets.iter_mut().zip(&inputs) {
            *sum += weight * a * millis;
        }
    }

    /// Decays the sums to `now`.
    pub(super) fn decay(&mut self, now: Timestamp) {
        let factor = (-now.since(self.at).as_secs_f64() / FIT_TIME.as_secs_f64()).exp();
        self.at = self.at.max(now);
        self.products.iter_mut().flatten().chain(&mut self.targets).for_each(|it| *it *= factor);
    }

    /// Computes the coefficients. A negative one is set to zero before the others are computed again.
    pub(super) fn solve(&mut self) {
        let mut is_fixed = [false; SIZE];
        for _ in 0..SIZE {
            let solution = self.solve_free(is_fixed);
            let negative = solution.iter().position(|it| *it < 0.0);
            self.coefficients = solution.map(|it| it.max(0.0));
            match negative {
                Some(index) => is_fixed[index] = true,
                None => return,
            }
        }
    }

    /// Solves the normal equations by Gauss's method, with the coefficients in `is_fixed` at zero.
    fn solve_free(&self, is_fixed: [bool; SIZE]) -> [f64; SIZE] {
        let (mut rows, mut values) = (self.products, self.targets);
        for index in 0..SIZE {
            rows[index][index] += PRIOR_WEIGHT;
            values[index] += PRIOR_WEIGHT * self.prior[index];
            if is_fixed[index] {
                rows.iter_mut().for_each(|row| row[index] = 0.0);
                rows[index] = [0.0; SIZE];
                rows[index][index] = 1.0;
                values[index] = 0.0;
            }
        }
        // The prior makes the matrix positive definite, so that no pivot is zero.
        for pivot in 0..SIZE {
            let pivot_row = rows[pivot];
            for below in pivot + 1..SIZE {
                let factor = rows[below][pivot] / pivot_row[pivot];
                for (cell, above) in rows[below].iter_mut().zip(&pivot_row) {
                    *cell -= factor * above;
                }
                values[below] -= factor * values[pivot];
            }
        }
        let mut solution = [0.0; SIZE];
        for index in (0..SIZE).rev() {
            let known: f64 = (index + 1..SIZE).map(|it| rows[index][it] * solution[it]).sum();
            solution[index] = (values[index] - known) / rows[index][index];
        }
        solution
    }
}

fn inputs_of(tokens: f64, running: f64) -> [f64; SIZE] {
    [1.0, tokens / 1_000.0, running]
}
