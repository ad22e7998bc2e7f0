//! Limits on the rate of requests to a server.

/// A number of requests per second.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate {
    milli_per_s: u64,
}

/// Spaces the requests to one server evenly, so that they keep to its rate limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimiter {
    /// When the next request is due if requests come at the full rate, in microseconds.
    due_at_us: u64,
}

/// The turn of a request at a server that limits its rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// The request may be sent after this time.
    In {
        /// How long it has to wait, in milliseconds.
        wait_ms: u64,
    },
    /// No turn is left within the time that the request can wait.
    Full {
        /// How long the same request would have no turn, in milliseconds.
        remaining_ms: u64,
    },
}

/// How much of the rate may be used at once after a time without requests.
const BURST_US: u64 = 500_000;
/// The largest rate that is not treated as unlimited; it fits the arithmetic in `f64`.
const MAX_MILLI_PER_S: u64 = 1_000_000_000;

impl Rate {
    /// Creates a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_milli_per_s(milli_per_s: u64) -> Self {
        Self { milli_per_s }
    }

    /// Parses a decimal number of requests per second.
    ///
    /// Returns `None` for a text that is not a plain decimal number, and for a rate too high to be
    /// a limit.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let per_s: f64 = text.parse().ok().filter(|_| is_decimal)?;
        let milli_per_s = to_milli(per_s);
        (milli_per_s <= MAX_MILLI_PER_S).then_some(Self { milli_per_s })
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// Returns the rate of one of `parts` equal parts.
    #[must_use]
    pub fn part(self, parts: u32) -> Self {
        Self { milli_per_s: self.milli_per_s / u64::from(parts.max(1)) }
    }

    /// Returns how many slots requests at this rate keep busy, in thousandths, if each takes
    /// `work_us`.
    #[must_use]
    pub fn load_milli(self, work_us: u64) -> u64 {
        self.milli_per_s.saturating_mul(work_us) / 1_000_000
    }

    /// Returns the time between two requests, in microseconds.
    pub(crate) fn interval_us(self) -> u64 {
        1_000_000_000 / self.milli_per_s.max(1)
    }
}

impl RateLimiter {
    /// Creates a limiter whose first turn comes after a random part of the time between two.
    ///
    /// `random` is a random number. Limiters that are created together then do not allow their
    /// first requests together.
    #[must_use]
    pub fn new(now_ms: u64, rate: Rate, random: u32) -> Self {
        let scaled_us = u128::from(rate.interval_us()) * u128::from(random);
        let offset_us = u64::try_from(scaled_us >> u32::BITS).unwrap_or(u64::MAX);
        Self { due_at_us: to_us(now_ms).saturating_add(offset_us) }
    }

    /// Returns whether a whole interval of the rate has passed without a request.
    #[must_use]
    pub fn is_idle(&self, now_ms: u64, rate: Rate) -> bool {
        self.due_at_us.saturating_add(rate.interval_us()) < to_us(now_ms)
    }

    /// Takes the next turn for a request that can wait for up to `max_wait_ms`.
    pub fn take(&mut self, now_ms: u64, max_wait_ms: u64, rate: Rate) -> Turn {
        self.take_with_burst(now_ms, max_wait_ms, rate, BURST_US)
    }

    /// Takes the next turn when unused time of up to `burst_us` may be used at once.
    pub fn take_with_burst(
        &mut self,
        now_ms: u64,
        max_wait_ms: u64,
        rate: Rate,
        burst_us: u64,
    ) -> Turn {
        let due_at_us = self.due_at_us.max(to_us(now_ms).saturating_sub(burst_us));
        let wait_ms = due_at_us.saturating_sub(to_us(now_ms)).div_ceil(1_000);
        if wait_ms > max_wait_ms {
            return Turn::Full { remaining_ms: wait_ms - max_wait_ms };
        }
        self.due_at_us = due_at_us + rate.interval_us();
        Turn::In { wait_ms }
    }
}

fn to_us(ms: u64) -> u64 {
    ms.saturating_mul(1_000)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number has no sign, and the cast saturates"
)]
fn to_milli(per_s: f64) -> u64 {
    (per_s * 1_000.0).round() as u64
}

impl std::fmt::Display for Rate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:03}", self.milli_per_s / 1_000, self.milli_per_s % 1_000)
    }
}
