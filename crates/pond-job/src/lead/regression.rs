//! A linear model that follows its data: a Kalman filter over the coefficients.
//!
//! Unlike one estimate for each coefficient alone, it keeps how the errors of coefficients hang
//! together, so that what is always seen together is told apart as soon as it is once seen apart.

use pond_proto::Span;

use super::image::{Image, Images};
use crate::estimates;

/// Growth of a coefficient's variance with each second in which nobody measured: about ten
/// measurements a second come in otherwise.
const FORGETTING: f64 = 0.001;

/// A model of a measurement as a sum of coefficients times amounts.
#[derive(Clone, Debug)]
pub struct Regression {
    /// The place of each image's term, by the place of the image; none for those without one.
    places: Vec<Option<u32>>,
    /// The image of each term.
    terms: Vec<Image>,
    means: Vec<f64>,
    /// Covariances of the coefficients, row by row.
    spread: Vec<Vec<f64>>,
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
pub struct Surprise {
    /// Measured less expected.
    pub error: f64,
    /// The variance of that difference, noise included.
    pub variance: f64,
}

impl Regression {
    /// Nothing measured yet.
    pub fn new(tuning: Tuning) -> Regression {
        Regression {
            places: Vec::new(),
            terms: Vec::new(),
            means: Vec::new(),
            spread: Vec::new(),
            tuning,
        }
    }

    /// The model that was written down this long ago, in milliseconds.
    pub fn recall(
        image: &estimates::Image,
        age_ms: Span,
        tuning: Tuning,
        images: &mut Images,
    ) -> Regression {
        let mut spread: Vec<Vec<f64>> = image
            .covariances
            .iter()
            .map(|row| row.iter().map(|x| f64::from(*x)).collect())
            .collect();
        let growth = FORGETTING * age_ms as f64 / 1_000.0;
        for (i, row) in spread.iter_mut().enumerate() {
            row[i] = (row[i] + growth).min(tuning.variance).max(row[i]);
        }
        let terms: Vec<Image> = image.best_effort.iter().map(|name| images.key(name)).collect();
        let mut places = Vec::new();
        for (place, term) in terms.iter().enumerate() {
            note_place(&mut places, *term, place);
        }
        Regression {
            places,
            terms,
            means: image.means.iter().map(|mean| f64::from(*mean)).collect(),
            spread,
            tuning,
        }
    }

    /// Writes the model down.
    pub fn write(&self, idle_ms: f64, images: &Images) -> estimates::Image {
        let row = |row: &Vec<f64>| row.iter().map(|x| *x as f32).collect();
        estimates::Image {
            idle_ms: idle_ms as f32,
            best_effort: self.terms.iter().map(|term| images.name(*term).to_owned()).collect(),
            means: self.means.iter().map(|mean| *mean as f32).collect(),
            covariances: self.spread.iter().map(row).collect(),
        }
    }

    /// The coefficient of an image.
    pub fn coefficient(&self, image: Image) -> f64 {
        let place = self.places.get(image.place()).copied().flatten();
        place.map_or(self.tuning.mean, |place| self.means[place as usize])
    }

    /// The place of an image's term, a new one if it has none yet.
    fn place(&mut self, image: Image) -> usize {
        if let Some(place) = self.places.get(image.place()).copied().flatten() {
            return place as usize;
        }
        let place = self.means.len();
        note_place(&mut self.places, image, place);
        self.terms.push(image);
        self.means.push(self.tuning.mean);
        for row in &mut self.spread {
            row.push(0.0);
        }
        let mut row = vec![0.0; place + 1];
        row[place] = self.tuning.variance;
        self.spread.push(row);
        place
    }

    /// Takes in a measurement with the variance of its noise.
    pub fn learn(&mut self, amounts: &[(Image, f64)], measured: f64, noise: f64) -> Surprise {
        let inputs: Vec<(usize, f64)> =
            amounts.iter().map(|(image, amount)| (self.place(*image), *amount)).collect();
        self.grow();
        // Covariance of each coefficient with the measurement.
        let shared: Vec<f64> = self.spread.iter().map(|row| weighted(row, &inputs)).collect();
        let error = measured - weighted(&self.means, &inputs);
        let variance = weighted(&shared, &inputs) + noise;
        self.correct(&shared, error, variance);
        Surprise { error, variance }
    }

    /// Moves the coefficients by an error with this variance, each as far as it hangs together with
    /// the measurement.
    fn correct(&mut self, shared: &[f64], error: f64, variance: f64) {
        for (i, covariance) in shared.iter().enumerate() {
            let gain = covariance / variance;
            // No filling run makes a serving one faster.
            self.means[i] = (self.means[i] + gain * error).max(0.0);
            for (j, other) in shared.iter().enumerate() {
                self.spread[i][j] -= gain * other;
            }
        }
    }

    /// Coefficients may have changed since the last measurement, but never get much less certain
    /// than at first.
    fn grow(&mut self) {
        for (i, row) in self.spread.iter_mut().enumerate() {
            if row[i] < self.tuning.variance {
                row[i] += self.tuning.growth;
            }
        }
    }
}

/// An image's term stands there.
fn note_place(places: &mut Vec<Option<u32>>, image: Image, place: usize) {
    let all = places.len().max(image.place() + 1);
    places.resize(all, None);
    places[image.place()] = Some(place as u32);
}

/// The sum of the values at these places, each times its amount.
fn weighted(values: &[f64], inputs: &[(usize, f64)]) -> f64 {
    inputs.iter().map(|(place, amount)| values[*place] * amount).sum()
}
