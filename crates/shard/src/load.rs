//! The load of keys.

use crate::KeyRange;

/// The load of every key of a service in busy slots, decaying exponentially.
///
/// A load of one busy slot keeps one slot of a server occupied all the time.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    keys: Box<[f32]>,
    /// At each index, the load of all keys below it, including the assumed load.
    prefix_sums: Box<[f32]>,
    /// The sum and the number of what was added, decaying in the same way.
    added: (f32, f32),
    decayed_at_ms: u64,
}

const KEY_COUNT: usize = 1 << 16;
/// Time in which load decays to 1/e, about a third.
///
/// It is short because peaks of the load change within a few seconds.
const DECAY_MS: f32 = 1_000.0;
/// Load that all keys together are assumed to have in addition, in busy slots.
///
/// Each key has the same part of it, so that servers get equal numbers of keys without requests.
const ASSUMED_SLOTS: f32 = 0.5;

impl Default for KeyLoad {
    fn default() -> Self {
        let keys = vec![0.0; KEY_COUNT].into_boxed_slice();
        let mut load = Self {
            keys,
            prefix_sums: vec![0.0; KEY_COUNT + 1].into_boxed_slice(),
            added: (0.0, 0.0),
            decayed_at_ms: 0,
        };
        load.update_prefix_sums();
        load
    }
}

impl KeyLoad {
    /// Adds the work of requests on a key, in milliseconds of one slot.
    ///
    /// Loads of ranges include it from the next [`KeyLoad::decay`] on.
    pub fn add(&mut self, key: u16, work_ms: f32) {
        let slots = work_ms / DECAY_MS;
        self.keys[usize::from(key)] += slots;
        self.added.0 += slots;
        self.added.1 += 1.0;
    }

    /// Decays the load to the current time and updates the sums.
    #[expect(clippy::cast_precision_loss, reason = "intervals are short")]
    pub fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.decayed_at_ms) as f32;
        self.decayed_at_ms = now_ms;
        let remaining_factor = (-passed_ms / DECAY_MS).exp();
        for load in &mut self.keys {
            *load *= remaining_factor;
        }
        self.added.0 *= remaining_factor;
        self.added.1 *= remaining_factor;
        self.update_prefix_sums();
    }

    /// Returns the load of a range at the last [`KeyLoad::decay`].
    #[must_use]
    pub fn of(&self, range: KeyRange) -> f32 {
        self.prefix_sums[usize::from(range.to()) + 1] - self.prefix_sums[usize::from(range.from())]
    }

    /// Returns the standard deviation of a load of this size that does not change.
    ///
    /// Load is measured from the requests of about a second. With few requests it differs by
    /// chance: that of requests which arrive at random and decay exponentially has a variance of
    /// half of the load times the work of one.
    #[must_use]
    pub fn deviation_of(&self, load: f32) -> f32 {
        let (sum, count) = self.added;
        let work = if count > 0.0 { sum / count } else { 0.0 };
        (load * work / 2.0).sqrt()
    }

    /// Returns the load of all keys at the last [`KeyLoad::decay`].
    #[must_use]
    pub fn total(&self) -> f32 {
        self.of(KeyRange::WHOLE)
    }

    /// Returns the key with the highest load, and that load.
    #[must_use]
    pub fn hottest(&self) -> (u16, f32) {
        let hottest = (0..=u16::MAX).zip(&self.keys).max_by(|a, b| a.1.total_cmp(b.1));
        hottest.map_or((0, 0.0), |(key, load)| (key, *load))
    }

    /// Returns the key before which to split a range by load.
    ///
    /// The left part gets as many keys as it can without exceeding `load`, but always the first
    /// key of the range. Returns `None` if the whole range would be on the left.
    #[must_use]
    pub fn split_key(&self, range: KeyRange, load: f32) -> Option<u16> {
        let from = usize::from(range.from());
        let max_sum = self.prefix_sums[from] + load;
        let sums = &self.prefix_sums[from + 1..=usize::from(range.to()) + 1];
        let count = sums.partition_point(|sum| *sum <= max_sum).max(1);
        u16::try_from(from + count).ok().filter(|key| *key <= range.to())
    }

    #[expect(clippy::cast_precision_loss, reason = "KEY_COUNT is 2 to the power of 16")]
    fn update_prefix_sums(&mut self) {
        let assumed = ASSUMED_SLOTS / KEY_COUNT as f32;
        let mut sum = 0.0_f64;
        for (index, load) in self.keys.iter().enumerate() {
            sum += f64::from(load + assumed);
            self.prefix_sums[index + 1] = to_f32(sum);
        }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "sums are small; only precision is lost")]
fn to_f32(sum: f64) -> f32 {
    sum as f32
}
