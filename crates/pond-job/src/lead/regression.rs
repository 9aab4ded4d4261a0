//! Adaptive linear regression: a Kalman filter over the coefficients.
//!
//! Unlike separate estimates of each coefficient, it tracks how their errors are correlated.
//! Effects that always occur together are separated as soon as they occur once on their own.

use pond_proto::Span;

use super::image::{Image, Images};
use crate::estimates;

/// Growth of a coefficient's variance per second without measurements. Otherwise about ten
/// measurements arrive per second.
const VARIANCE_GROWTH_PER_S: f64 = 0.001;

/// Model of a measurement as a sum of coefficients times amounts.
#[derive(Clone, Debug)]
pub struct Regression {
    /// Index of each image's term, by index of the image; `None` for images without a term.
    term_indices: Vec<Option<u32>>,
    /// Image of each term.
    terms: Vec<Image>,
    means: Vec<f64>,
    /// Covariance matrix of the coefficients, row by row.
    covariances: Vec<Vec<f64>>,
    tuning: Tuning,
}

/// Prior assumptions about the coefficients and their rate of change.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Initial mean of a coefficient.
    pub mean: f64,
    /// Initial variance of a coefficient.
    pub variance: f64,
    /// Growth of a coefficient's variance with each measurement.
    pub growth: f64,
}

/// Difference between a measurement and its prediction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Innovation {
    /// Measured value minus predicted value.
    pub error: f64,
    /// Variance of that difference, including noise.
    pub variance: f64,
}

impl Regression {
    /// Creates a model without measurements.
    pub fn new(tuning: Tuning) -> Regression {
        Regression {
            term_indices: Vec::new(),
            terms: Vec::new(),
            means: Vec::new(),
            covariances: Vec::new(),
            tuning,
        }
    }

    /// Restores a model that was stored this long ago, in milliseconds.
    pub fn restore(
        image: &estimates::Image,
        age_ms: Span,
        tuning: Tuning,
        images: &mut Images,
    ) -> Regression {
        let mut covariances: Vec<Vec<f64>> = image
            .covariances
            .iter()
            .map(|row| row.iter().map(|x| f64::from(*x)).collect())
            .collect();
        let growth = VARIANCE_GROWTH_PER_S * age_ms as f64 / 1_000.0;
        for (i, row) in covariances.iter_mut().enumerate() {
            row[i] = (row[i] + growth).min(tuning.variance).max(row[i]);
        }
        let terms: Vec<Image> = image.best_effort.iter().map(|name| images.key(name)).collect();
        let mut term_indices = Vec::new();
        for (index, term) in terms.iter().enumerate() {
            set_index(&mut term_indices, *term, index);
        }
        Regression {
            term_indices,
            terms,
            means: image.means.iter().map(|mean| f64::from(*mean)).collect(),
            covariances,
            tuning,
        }
    }

    /// Returns the model as estimates to store.
    pub fn estimates(&self, idle_ms: f64, images: &Images) -> estimates::Image {
        let row = |row: &Vec<f64>| row.iter().map(|x| *x as f32).collect();
        estimates::Image {
            idle_ms: idle_ms as f32,
            best_effort: self.terms.iter().map(|term| images.name(*term).to_owned()).collect(),
            means: self.means.iter().map(|mean| *mean as f32).collect(),
            covariances: self.covariances.iter().map(row).collect(),
        }
    }

    /// Returns the coefficient of an image.
    pub fn coefficient(&self, image: Image) -> f64 {
        let index = self.term_indices.get(image.index()).copied().flatten();
        index.map_or(self.tuning.mean, |index| self.means[index as usize])
    }

    /// Returns the index of an image's term, and adds a term if there is none.
    fn term_index(&mut self, image: Image) -> usize {
        if let Some(index) = self.term_indices.get(image.index()).copied().flatten() {
            return index as usize;
        }
        let index = self.means.len();
        set_index(&mut self.term_indices, image, index);
        self.terms.push(image);
        self.means.push(self.tuning.mean);
        for row in &mut self.covariances {
            row.push(0.0);
        }
        let mut row = vec![0.0; index + 1];
        row[index] = self.tuning.variance;
        self.covariances.push(row);
        index
    }

    /// Updates the model with a measurement and the variance of its noise.
    pub fn learn(&mut self, amounts: &[(Image, f64)], measured: f64, noise: f64) -> Innovation {
        let inputs: Vec<(usize, f64)> =
            amounts.iter().map(|(image, amount)| (self.term_index(*image), *amount)).collect();
        self.grow_variances();
        // Covariance of each coefficient with the measurement.
        let shared: Vec<f64> = self.covariances.iter().map(|row| weighted(row, &inputs)).collect();
        let error = measured - weighted(&self.means, &inputs);
        let variance = weighted(&shared, &inputs) + noise;
        self.correct(&shared, error, variance);
        Innovation { error, variance }
    }

    /// Corrects each coefficient by an error of this variance in proportion to its covariance with
    /// the measurement.
    fn correct(&mut self, shared: &[f64], error: f64, variance: f64) {
        for (i, covariance) in shared.iter().enumerate() {
            let gain = covariance / variance;
            // No best-effort run makes a serving run faster.
            self.means[i] = (self.means[i] + gain * error).max(0.0);
            for (j, other) in shared.iter().enumerate() {
                self.covariances[i][j] -= gain * other;
            }
        }
    }

    /// Increases the variances, as coefficients may have changed since the last measurement, but
    /// not much beyond their initial value.
    fn grow_variances(&mut self) {
        for (i, row) in self.covariances.iter_mut().enumerate() {
            if row[i] < self.tuning.variance {
                row[i] += self.tuning.growth;
            }
        }
    }
}

/// Sets the index of an image's term.
fn set_index(term_indices: &mut Vec<Option<u32>>, image: Image, index: usize) {
    let all = term_indices.len().max(image.index() + 1);
    term_indices.resize(all, None);
    term_indices[image.index()] = Some(index as u32);
}

/// Returns the sum of the values at these indices, each times its amount.
fn weighted(values: &[f64], inputs: &[(usize, f64)]) -> f64 {
    inputs.iter().map(|(index, amount)| values[*index] * amount).sum()
}
