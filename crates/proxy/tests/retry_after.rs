//! Guards against values of `Retry-After` that are misread.

use std::time::{Duration, SystemTime};

use googletest::prelude::*;
use http::HeaderMap;
use proxy::retry_after_ms;

fn read(text: &str) -> Option<u64> {
    let mut headers = HeaderMap::new();
    headers.insert("retry-after", text.parse().unwrap());
    // The date of the standard's example, 1994-11-06 08:49:37.
    retry_after_ms(&headers, SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777))
}

#[googletest::test]
fn seconds_and_fractions() {
    expect_that!(read("2"), some(eq(2_000)));
    expect_that!(read(" 0.25 "), some(eq(250)));
    expect_that!(read("0"), some(eq(0)));
    expect_that!(retry_after_ms(&HeaderMap::new(), SystemTime::now()), none());
}

#[googletest::test]
fn dates() {
    expect_that!(read("Sun, 06 Nov 1994 08:49:47 GMT"), some(eq(10_000)));
    expect_that!(read("Sun, 06 Nov 1994 08:49:27 GMT"), some(eq(0)), "it has passed");
}

#[googletest::test]
fn long_times_are_bounded() {
    expect_that!(read("86400"), some(eq(3_600_000)));
    expect_that!(read("99999999999999999999999999999"), some(eq(3_600_000)));
    expect_that!(read("Sat, 06 Nov 2094 08:49:37 GMT"), some(eq(3_600_000)));
}

#[googletest::test]
fn other_values_ask_for_nothing() {
    for text in ["-1", "soon", "1e9", "inf", "NaN", "1,5", "1 s", ".", ""] {
        expect_that!(read(text), none(), "{text:?}");
    }
}
