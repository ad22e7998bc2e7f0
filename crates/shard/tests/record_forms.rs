//! Guards against records of other versions that are read as something else than was written.
use serde_json::{Value, json};
use shard::Record;

fn stored() -> Value {
    json!({
        "epoch": 7,
        "number": 3,
        "lives": [{ "server": "s1", "born_ms": 5 }, { "server": "s2", "born_ms": 6 }],
        "ranges": [[0, 99, 0, [1]], [100, 65_535, 1, []]],
    })
}

#[test]
fn unknown_fields_are_skipped() {
    let expected = Record::from_text(&stored().to_string()).unwrap();
    let mut later = stored();
    later["colour"] = json!({ "deep": [1, 2] });
    later["lives"][0]["colour"] = json!(1);
    assert_eq!(Record::from_text(&later.to_string()), Some(expected));
}

#[test]
fn missing_fields_are_refused() {
    for field in ["epoch", "number", "lives", "ranges"] {
        let mut earlier = stored();
        earlier.as_object_mut().unwrap().remove(field);
        assert_eq!(Record::from_text(&earlier.to_string()), None, "{field}");
    }
}

#[test]
fn other_range_forms_are_refused() {
    for range in [json!([0, 99, 0]), json!([0, 99, 0, [1], 4]), json!([0, 99, 2, []])] {
        let mut other = stored();
        other["ranges"][0] = range;
        assert_eq!(Record::from_text(&other.to_string()), None, "{other}");
    }
}

#[test]
fn earlier_records_do_not_tell_when_grants_end() {
    let earlier = Record::from_text(&stored().to_string()).unwrap();
    assert_eq!(earlier.previous_left_ms, None);
    let later = Record { previous_left_ms: Some(3_112), ..earlier };
    assert_eq!(Record::from_text(&later.to_text()), Some(later));
}
