//! A rate of requests that a server names.

/// A number of requests per second.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate {
    milli_per_s: u64,
}

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
