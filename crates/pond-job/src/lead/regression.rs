//! A linear model that follows its data: a Kalman filter over the coefficients.
//!
//! Unlike one estimate for each coefficient alone, it keeps how the errors of coefficients hang
//! together, so that what is always seen together is told apart as soon as it is once seen apart.

use pond_proto::Span;

use super::image::{Image, Images};
use crate::lesson;

/// Growth of a coefficient's variance with each second in which nobody measured: about ten
/// measurements a second come in otherwise.
const VARIANCE_GROWTH_PER_S: f64 = 0.001;

/// A model of a measurement as a sum of coefficients times amounts.
#[derive(Clone, Debug)]
pub struct Regression {
    /// The place of each image's term, by the place of the image; none for those without one.
    term_indices: Vec<Option<u32>>,
    /// The image of each term.
    terms: Vec<Image>,
    means: Vec<f64>,
    /// Covariances of the coefficients, row by row.
    covariances: Vec<Vec<f64>>,
    tuning: Tuning,
}

/// What is assumed before anything is measured, and how fast it may change.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// First mean of a coefficient.
    pub mean: f64,
    /// First variance of a coefficient.
    pub variance: f64,
    /// Growth of a coefficient's variance with each measurement.
    pub growth: f64,
}

/// How a measurement compares with what was expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Innovation {
    /// Measured less expected.
    pub error: f64,
    /// The variance of that difference, noise included.
    pub variance: f64,
}

impl Regression {
    /// Nothing measured yet.
    pub fn new(tuning: Tuning) -> Regression {
        Regression {
            term_indices: Vec::new(),
            terms: Vec::new(),
            means: Vec::new(),
            covariances: Vec::new(),
            tuning,
        }
    }

    /// The model that was written down this long ago, in milliseconds.
    pub fn restore(
        image: &lesson::Image,
        age_ms: Span,
        tuning: Tuning,
        images: &mut Images,
    ) -> Regression {
        let mut covariances: Vec<Vec<f64>> =
            image.spread.iter().map(|row| row.iter().map(|x| f64::from(*x)).collect()).collect();
        let growth = VARIANCE_GROWTH_PER_S * age_ms as f64 / 1_000.0;
        for (i, row) in covariances.iter_mut().enumerate() {
            row[i] = (row[i] + growth).min(tuning.variance).max(row[i]);
        }
        let terms: Vec<Image> = image.fillers.iter().map(|name| images.key(name)).collect();
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

    /// Writes the model down.
    pub fn estimates(&self, idle_ms: f64, images: &Images) -> lesson::Image {
        let row = |row: &Vec<f64>| row.iter().map(|x| *x as f32).collect();
        lesson::Image {
            idle_ms: idle_ms as f32,
            fillers: self.terms.iter().map(|term| images.name(*term).to_owned()).collect(),
            means: self.means.iter().map(|mean| *mean as f32).collect(),
            spread: self.covariances.iter().map(row).collect(),
        }
    }

    /// The coefficient of an image.
    pub fn coefficient(&self, image: Image) -> f64 {
        let index = self.term_indices.get(image.index()).copied().flatten();
        index.map_or(self.tuning.mean, |index| self.means[index as usize])
    }

    /// The place of an image's term, a new one if it has none yet.
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

    /// Takes in a measurement with the variance of its noise.
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

    /// Moves the coefficients by an error with this variance, each as far as it hangs together with
    /// the measurement.
    fn correct(&mut self, shared: &[f64], error: f64, variance: f64) {
        for (i, covariance) in shared.iter().enumerate() {
            let gain = covariance / variance;
            // No filling run makes a serving one faster.
            self.means[i] = (self.means[i] + gain * error).max(0.0);
            for (j, other) in shared.iter().enumerate() {
                self.covariances[i][j] -= gain * other;
            }
        }
    }

    /// Coefficients may have changed since the last measurement, but never get much less certain
    /// than at first.
    fn grow_variances(&mut self) {
        for (i, row) in self.covariances.iter_mut().enumerate() {
            if row[i] < self.tuning.variance {
                row[i] += self.tuning.growth;
            }
        }
    }
}

/// An image's term stands there.
fn set_index(term_indices: &mut Vec<Option<u32>>, image: Image, index: usize) {
    let all = term_indices.len().max(image.index() + 1);
    term_indices.resize(all, None);
    term_indices[image.index()] = Some(index as u32);
}

/// The sum of the values at these places, each times its amount.
fn weighted(values: &[f64], inputs: &[(usize, f64)]) -> f64 {
    inputs.iter().map(|(index, amount)| values[*index] * amount).sum()
}
