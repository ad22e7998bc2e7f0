//! Skewed choices of keys.

use rand::{Rng, RngExt};

/// Draws numbers from 0, of which the small ones come up more often.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    /// Creates a choice of `count` numbers; an exponent of 0 draws all of them alike.
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

    /// Draws a number.
    pub fn draw<R: Rng>(&self, random: &mut R) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let point = random.random::<f64>() * total;
        self.cumulative.partition_point(|sum| *sum < point).min(self.cumulative.len() - 1)
    }
}
