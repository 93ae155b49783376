//! Recursive least squares with forgetting, on relative errors.

use super::Terms;
use super::basis::{Basis, Features, TERMS};

/// The weight that an observation keeps per later one: observations count for about 200 later ones.
/// The scheduler of a pool of 24 runners sees 40 or more a second, so five seconds.
pub(super) const MEMORY: f64 = 0.995;
/// The standard deviation of a term's prior, relative to its value. Terms of engines differ by a
/// factor of four, and some by more.
const PRIOR_DEVIATION: f64 = 3.0;
/// The assumed variance of the relative error of one observation.
const NOISE: f64 = 0.04;
/// The bounds of the relative error of one observation. A stall of a second is ten times as long as
/// predicted, and must not count as such.
const ERROR_RANGE: (f64, f64) = (-0.8, 1.0);
/// The bounds of a term relative to its prior.
const TERM_RANGE: (f64, f64) = (0.02, 25.0);

/// The standard deviation of an adopted term, relative to its value: as far as it can have changed
/// since it was sent.
const ADOPTED_DEVIATION: f64 = 0.25;
/// The smallest value of a term from which that deviation is derived, relative to its prior, so that
/// a term that was learned to be nothing can grow again.
const LEAST_KNOWN: f64 = 0.1;

type Matrix = [Features; TERMS];

/// The estimate of the terms, and its covariance.
#[derive(Clone, Debug)]
pub(super) struct Regression {
    prior: Features,
    terms: Features,
    covariance: Matrix,
}

fn dot(a: &Features, b: &Features) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

impl Regression {
    pub(super) fn new(prior: &Terms) -> Self {
        let prior = prior.0;
        let mut covariance = Matrix::default();
        for (i, row) in covariance.iter_mut().enumerate() {
            row[i] = (prior[i] * PRIOR_DEVIATION).powi(2);
        }
        Self { prior, terms: prior, covariance }
    }

    pub(super) fn terms(&self) -> Terms {
        Terms(self.terms)
    }

    /// Adopts terms that another node has learned.
    pub(super) fn adopt(&mut self, terms: &Terms) {
        self.covariance = Matrix::default();
        for (i, term) in terms.0.iter().enumerate() {
            let (low, high) = (self.prior[i] * TERM_RANGE.0, self.prior[i] * TERM_RANGE.1);
            self.terms[i] = term.clamp(low, high);
            let known = self.terms[i].max(self.prior[i] * LEAST_KNOWN);
            self.covariance[i][i] = (known * ADOPTED_DEVIATION).powi(2);
        }
    }

    /// Learns from work of `basis` that took `seen` seconds on a runner that takes `factor` times
    /// as long as its kind.
    pub(super) fn learn(&mut self, basis: &Basis, factor: f64, seen: f64) {
        let mut features = basis.features();
        for feature in &mut features[1..] {
            *feature *= factor;
        }
        let predicted = dot(&self.terms, &features).max(f64::MIN_POSITIVE);
        let error =
            ((seen - f64::from(basis.extra)) / predicted - 1.0).clamp(ERROR_RANGE.0, ERROR_RANGE.1);
        let relative = features.map(|feature| feature / predicted);
        let spread = self.covariance.map(|row| dot(&row, &relative));
        let gain = spread.map(|s| s / (MEMORY * NOISE + dot(&spread, &relative)));
        for (i, term) in self.terms.iter_mut().enumerate() {
            let (low, high) = (self.prior[i] * TERM_RANGE.0, self.prior[i] * TERM_RANGE.1);
            *term = (*term + gain[i] * error).clamp(low, high);
        }
        for (i, row) in self.covariance.iter_mut().enumerate() {
            for (j, value) in row.iter_mut().enumerate() {
                *value = (*value - gain[i] * spread[j]) / MEMORY;
            }
        }
        self.bound();
    }

    /// Bounds the variance of each term by that of its prior: forgetting raises that of terms on
    /// which no observation bears without end.
    fn bound(&mut self) {
        for i in 0..TERMS {
            let limit = (self.prior[i] * PRIOR_DEVIATION).powi(2);
            let variance = self.covariance[i][i];
            if variance > limit {
                let scale = (limit / variance).sqrt();
                for j in 0..TERMS {
                    self.covariance[i][j] *= scale;
                    self.covariance[j][i] *= scale;
                }
            }
        }
    }
}
