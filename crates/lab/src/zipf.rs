//! A Zipf distribution for the choice of keys.

use rand::{Rng, RngExt};

/// A Zipf distribution over the numbers from 0, in which smaller numbers are more frequent.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    /// Creates a distribution over `0..count`; with an exponent of 0 it is uniform.
    #[must_use]
    pub fn new(count: u32, exponent: f64) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=count.max(1))
            .map(|rank| {
                sum += f64::from(rank).powf(-exponent);
                sum
            })
            .collect();
        Self { cumulative }
    }

    /// Draws a random number from the distribution.
    pub fn sample<R: Rng>(&self, random: &mut R) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let point = random.random::<f64>() * total;
        self.cumulative.partition_point(|sum| *sum < point).min(self.cumulative.len() - 1)
    }
}
