//! The formats of the values in an INI text.

use std::net::SocketAddr;

use crate::Name;

/// How a value is parsed, and how the error message describes the expected format.
#[derive(Debug)]
pub struct ValueFormat<T> {
    /// Parses a value; returns `None` when it does not have this format.
    pub parse: fn(&str) -> Option<T>,
    /// The description that follows "expected" in error messages.
    pub expected: &'static str,
}

impl<T> ValueFormat<T> {
    /// Parses a value; returns `None` when it does not have this format.
    #[must_use]
    pub fn parse(&self, text: &str) -> Option<T> {
        (self.parse)(text)
    }
}

/// Any text that is not empty.
pub const TEXT: ValueFormat<Name> =
    ValueFormat { parse: parse_text, expected: "a text that is not empty" };

/// A whole number, 0 included.
pub const COUNT: ValueFormat<u32> =
    ValueFormat { parse: |text| text.parse().ok(), expected: "a whole number" };

/// `yes` or `no`.
pub const YES_NO: ValueFormat<bool> = ValueFormat { parse: parse_yes_no, expected: "yes or no" };

/// A log level: `debug`, `info`, `warn` or `error`.
pub const LOG_LEVEL: ValueFormat<Name> =
    ValueFormat { parse: parse_log_level, expected: "debug, info, warn or error" };

/// An IP address with a port.
pub const ADDRESS: ValueFormat<SocketAddr> = ValueFormat {
    parse: |text| text.parse().ok(),
    expected: "an IP address with a port, as 10.0.0.7:9000",
};

/// A duration with a unit of at most ten years, converted to milliseconds.
pub const DURATION: ValueFormat<u64> = ValueFormat {
    parse: parse_duration,
    expected: "a duration of at most ten years with a unit: 250ms, 3s, 10m or 1h",
};

/// The longest duration: ten years. Sums and multiples of such durations do not overflow.
const MAX_DURATION_MS: u64 = 10 * 365 * 24 * 3_600 * 1_000;

/// A size with a unit, converted to bytes.
pub const SIZE: ValueFormat<u64> =
    ValueFormat { parse: parse_size, expected: "a size with a unit: 512B, 16KB or 1MB" };

const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const SIZE_UNITS: [(&str, u64); 3] = [("KB", 1 << 10), ("MB", 1 << 20), ("B", 1)];

fn parse_text(text: &str) -> Option<Name> {
    (!text.is_empty()).then(|| Name::from(text))
}

fn parse_yes_no(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn parse_log_level(text: &str) -> Option<Name> {
    matches!(text, "debug" | "info" | "warn" | "error").then(|| Name::from(text))
}

fn parse_duration(text: &str) -> Option<u64> {
    parse_any_duration(text).filter(|duration_ms| *duration_ms <= MAX_DURATION_MS)
}

fn parse_any_duration(text: &str) -> Option<u64> {
    let Some((whole, rest)) = text.split_once('.') else {
        return parse_with_unit(text, &DURATION_UNITS);
    };
    // The digits after the point are a fraction of the unit; the result is rounded down to
    // whole milliseconds.
    let digits = rest.len() - rest.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (fraction, unit) = rest.split_at(digits);
    let unit_ms = DURATION_UNITS.iter().find(|(name, _)| *name == unit.trim_start())?.1;
    let scale = 10_u64.checked_pow(u32::try_from(digits).ok()?)?;
    let fraction_ms = fraction.parse::<u64>().ok()?.checked_mul(unit_ms)? / scale;
    whole.parse::<u64>().ok()?.checked_mul(unit_ms)?.checked_add(fraction_ms)
}

fn parse_size(text: &str) -> Option<u64> {
    parse_with_unit(text, &SIZE_UNITS)
}

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let factor = units.iter().find(|(name, _)| *name == unit.trim_start())?.1;
    number.parse::<u64>().ok()?.checked_mul(factor)
}
