//! Guards against rate limits that are read wrongly.

use route::Rate;

#[test]
fn decimal_numbers_are_rates() {
    let milli = |text| Rate::parse(text).map(Rate::milli_per_s);
    assert_eq!(milli("5.2"), Some(5_200));
    assert_eq!(milli(" 40 "), Some(40_000));
    assert_eq!(milli("0"), Some(0));
    assert_eq!(milli("0.0004"), Some(0));
}

#[test]
fn other_texts_are_no_limit() {
    for text in ["", ".", "-1", "+5", "1e3", "inf", "NaN", "5,2", "5.2.1", "99999999999999999999"] {
        assert_eq!(Rate::parse(text), None, "{text}");
    }
}
