//! The forms a value can have.

use std::net::SocketAddr;

use crate::Name;

/// How a value is read, and what to tell somebody who wrote another.
#[derive(Debug)]
pub struct Form<T> {
    /// Reads the value, or returns `None` when it has another form.
    pub read: fn(&str) -> Option<T>,
    /// The end of the sentence "expected ...".
    pub expected: &'static str,
}

impl<T> Form<T> {
    /// Reads a value, or returns `None` when it has another form.
    #[must_use]
    pub fn read(&self, text: &str) -> Option<T> {
        (self.read)(text)
    }
}

/// Any text that is not empty.
pub const TEXT: Form<Name> = Form { read: read_text, expected: "a text that is not empty" };

/// A whole number from 0.
pub const COUNT: Form<u32> = Form { read: |text| text.parse().ok(), expected: "a whole number" };

/// `yes` or `no`.
pub const YES_NO: Form<bool> = Form { read: read_yes_no, expected: "yes or no" };

/// The least serious log lines that are written.
pub const LOG_LEVEL: Form<Name> =
    Form { read: read_log_level, expected: "debug, info, warn or error" };

/// An IP address with a port.
pub const ADDRESS: Form<SocketAddr> = Form {
    read: |text| text.parse().ok(),
    expected: "an IP address with a port, as 10.0.0.7:9000",
};

/// A length of time in milliseconds.
pub const DURATION: Form<u64> =
    Form { read: read_duration, expected: "a duration with a unit: 250ms, 3s, 10m or 1h" };

/// A size in bytes.
pub const SIZE: Form<u64> =
    Form { read: read_size, expected: "a size with a unit: 512B, 16KB or 1MB" };

const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const SIZE_UNITS: [(&str, u64); 3] = [("KB", 1 << 10), ("MB", 1 << 20), ("B", 1)];

fn read_text(text: &str) -> Option<Name> {
    (!text.is_empty()).then(|| Name::from(text))
}

fn read_yes_no(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn read_log_level(text: &str) -> Option<Name> {
    matches!(text, "debug" | "info" | "warn" | "error").then(|| Name::from(text))
}

fn read_duration(text: &str) -> Option<u64> {
    let Some((whole, rest)) = text.split_once('.') else {
        return read_with_unit(text, &DURATION_UNITS);
    };
    // Fractions are of the unit; what is less than a millisecond is cut off.
    let digits = rest.len() - rest.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (fraction, unit) = rest.split_at(digits);
    let unit_ms = DURATION_UNITS.iter().find(|(name, _)| *name == unit.trim_start())?.1;
    let parts = 10_u64.checked_pow(u32::try_from(digits).ok()?)?;
    let fraction_ms = fraction.parse::<u64>().ok()?.checked_mul(unit_ms)? / parts;
    whole.parse::<u64>().ok()?.checked_mul(unit_ms)?.checked_add(fraction_ms)
}

fn read_size(text: &str) -> Option<u64> {
    read_with_unit(text, &SIZE_UNITS)
}

fn read_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let factor = units.iter().find(|(name, _)| *name == unit.trim_start())?.1;
    number.parse::<u64>().ok()?.checked_mul(factor)
}
