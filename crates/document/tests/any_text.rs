//! Random texts never make the parser panic, and accepted documents always have a class.
//!
//! A malformed document or request path must not end the thread that reads it.

use document::{Document, KeySource, changed_sections};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = [7; 32];

fn test_runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn any_line() -> impl Strategy<Value = String> {
    prop_oneof![
        "\\[(service|server [a-c]|class [a-c]|key-group [a-c]|[a-z ]{0,8})\\]?",
        "(name|kind|key|address|data_centre|method|path|idempotent|prefix|shards|state) ?=? ?.{0,20}",
        Just("kind = keyed".to_owned()),
        Just("kind = pooled".to_owned()),
        Just("name = x".to_owned()),
        Just("address = 127.0.0.1:1".to_owned()),
        Just("data_centre = a".to_owned()),
        ".{0,30}",
    ]
}

#[test]
fn never_panics() {
    let text = prop::collection::vec(any_line(), 0..30).prop_map(|lines| lines.join("\n"));
    let outcome = test_runner(4_000).run(&text, |text| {
        if let Ok(document) = Document::from_ini("any", &text) {
            prop_assert!(!document.classes.is_empty());
        }
        prop_assert!(changed_sections(&text, &text).is_empty());
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed {SEED:?}: {error}"));
}

#[test]
fn extracted_keys_are_parts_of_the_path() {
    let path = "/[a-z/]{0,12}";
    let outcome = test_runner(1_000).run(&(path, 1_usize..5), |(path, number)| {
        let source = KeySource::Segment(number);
        let key = source.extract_key(&path, None, |_| None);
        prop_assert!(key.is_none_or(|key| !key.is_empty() && path.contains(key)));
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed {SEED:?}: {error}"));
}
