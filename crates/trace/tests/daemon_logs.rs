//! Guards against searches that stop at text of other programs, miss or add lines, apply lines
//! after the given time, or keep state from before a restart of the daemon.

use trace::{Line, range_lines, request_lines, state_at};

fn log() -> String {
    let lines = [
        r#"{"level":"info","timestamp":10,"payload":"started","kv":{"instance":"a"}}"#,
        r#"{"level":"info","timestamp":20,"payload":"document in force","kv":{"version":3}}"#,
        r#"{"level":"info","timestamp":21,"payload":"server listed","kv":{"server":"s@1","stage":"Ready"}}"#,
        "text from another program",
        r#" 4.2 edge-1 {"level":"info","timestamp":30,"payload":"attempt failed","kv":{"request":"q7","failure":"Broken"}}"#,
        r#"{"level":"info","timestamp":31,"payload":"request not served","kv":{"request":"q7","reason":"broken"}}"#,
        r#"{"level":"info","timestamp":40,"payload":"document in force","kv":{"version":4}}"#,
        r#"{"level":"info","timestamp":41,"payload":"server gone","kv":{"server":"s"}}"#,
    ];
    lines.join("\n")
}

#[test]
fn request_lines_carry_the_state_before_them() {
    let found = request_lines("a.log", log().as_bytes(), "q7").unwrap();
    assert_eq!(found.len(), 2);
    assert_eq!(found[0].line.message, "attempt failed");
    assert_eq!(found[0].line.format_fields(), "failure=Broken");
    assert_eq!(found[1].state.version, Some((3, 20)));
    assert_eq!(found[1].state.servers.len(), 1);
    assert!(request_lines("a.log", log().as_bytes(), "q8").unwrap().is_empty());
}

#[test]
fn state_at_a_time_ignores_later_lines() {
    let before = state_at(log().as_bytes(), 30).unwrap();
    assert_eq!((before.version, before.servers.len()), (Some((3, 20)), 1));
    let after = state_at(log().as_bytes(), 50).unwrap();
    assert_eq!((after.version, after.servers.len()), (Some((4, 40)), 0));
    assert_eq!(state_at(log().as_bytes(), 5).unwrap().version, None);
}

#[test]
fn start_of_the_process_resets_the_state() {
    let mut text = log();
    text.push_str("\n{\"timestamp\":60,\"payload\":\"started\",\"kv\":{}}");
    assert_eq!(state_at(text.as_bytes(), 70).unwrap().version, None);
}

#[test]
fn range_lines_match_key_and_time() {
    let lines = [
        r#"{"timestamp":10,"payload":"range is to move","kv":{"range":"100-200","why":"Load"}}"#,
        r#"{"timestamp":11,"payload":"range is to move","kv":{"range":"201-300","why":"Load"}}"#,
        r#"{"timestamp":12,"payload":"range granted","kv":{"range":"150","fence":7}}"#,
        r#"{"timestamp":13,"payload":"balance","kv":{"ranges":4}}"#,
        r#"{"timestamp":99,"payload":"grant ran out","kv":{"range":"100-200"}}"#,
    ];
    let log = lines.join("\n");
    let found = range_lines(log.as_bytes(), 150, 5..=50).unwrap();
    let messages: Vec<&str> = found.iter().map(|line| line.message.as_str()).collect();
    assert_eq!(messages, ["range is to move", "range granted"]);
    assert!(range_lines(log.as_bytes(), 99, 5..=50).unwrap().is_empty());
}

#[test]
fn key_is_read_from_its_debug_text() {
    let key = |key: &str| {
        let text =
            format!(r#"{{"timestamp":1,"payload":"request served","kv":{{"key":"{key}"}}}}"#);
        Line::parse(&text).unwrap().key()
    };
    assert_eq!(key("Some(29931)"), Some(29_931));
    assert_eq!(key("None"), None);
    assert_eq!(key("Some(70000)"), None);
}
