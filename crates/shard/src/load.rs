//! How busy keys are.

use crate::KeyRange;

/// The load of every key of a service, in busy slots, fading with time.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    keys: Box<[f32]>,
    /// The load of all keys below a position.
    below: Box<[f32]>,
    faded_at_ms: u64,
}

const KEYS: usize = 1 << 16;
/// How long load takes to fade to a third: peaks change within a few seconds.
const FADE_MS: f32 = 1_000.0;
/// The load of all keys together that is assumed before any is seen, in busy slots.
///
/// It spreads keys that are never asked for by their number.
const ASSUMED_SLOTS: f32 = 0.5;

impl Default for KeyLoad {
    fn default() -> Self {
        let keys = vec![0.0; KEYS].into_boxed_slice();
        let mut load = Self { keys, below: vec![0.0; KEYS + 1].into_boxed_slice(), faded_at_ms: 0 };
        load.sum();
        load
    }
}

impl KeyLoad {
    /// Adds the work of requests on a key, in milliseconds of one slot.
    pub fn add(&mut self, key: u16, work_ms: f32) {
        self.keys[usize::from(key)] += work_ms / FADE_MS;
    }

    /// Fades what was added earlier and sums up.
    #[expect(clippy::cast_precision_loss, reason = "some milliseconds")]
    pub fn fade(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.faded_at_ms) as f32;
        self.faded_at_ms = now_ms;
        let left = (-passed_ms / FADE_MS).exp();
        for load in &mut self.keys {
            *load *= left;
        }
        self.sum();
    }

    /// Returns the load of a range at the last [`KeyLoad::fade`].
    #[must_use]
    pub fn of(&self, range: KeyRange) -> f32 {
        self.below[usize::from(range.to()) + 1] - self.below[usize::from(range.from())]
    }

    /// Returns the load of all keys at the last [`KeyLoad::fade`].
    #[must_use]
    pub fn total(&self) -> f32 {
        self.of(KeyRange::WHOLE)
    }

    /// Returns the busiest key with its load.
    #[must_use]
    pub fn hottest(&self) -> (u16, f32) {
        let hottest = (0..=u16::MAX).zip(&self.keys).max_by(|a, b| a.1.total_cmp(b.1));
        hottest.map_or((0, 0.0), |(key, load)| (key, *load))
    }

    /// Returns the key before which a range has to be cut for some load on its left.
    ///
    /// The left part has at most that load, unless one key alone exceeds it.
    #[must_use]
    pub fn cut(&self, range: KeyRange, load: f32) -> Option<u16> {
        let from = usize::from(range.from());
        let wanted = self.below[from] + load;
        let keys = &self.below[from + 1..=usize::from(range.to()) + 1];
        let count = keys.partition_point(|below| *below <= wanted).max(1);
        u16::try_from(from + count).ok().filter(|key| *key <= range.to())
    }

    #[expect(clippy::cast_precision_loss, reason = "2 to the power of 16")]
    fn sum(&mut self) {
        let assumed = ASSUMED_SLOTS / KEYS as f32;
        let mut sum = 0.0_f64;
        for (at, load) in self.keys.iter().enumerate() {
            sum += f64::from(load + assumed);
            self.below[at + 1] = to_f32(sum);
        }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "sums are small; only digits are lost")]
fn to_f32(sum: f64) -> f32 {
    sum as f32
}
