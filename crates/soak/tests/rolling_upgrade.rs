//! Replaces every daemon while the others go on; both versions are the program built now.
mod program;

use serde_json::Value;

const DAEMONS: usize = 3;
const FAULTS: [&str; 6] = ["--seed", "3", "--for", "9", "--recover", "2"];

/// Returns the versions that a daemon ran, one per start.
fn versions<'a>(starts: &'a [Value], daemon: &str) -> Vec<&'a str> {
    let own = starts.iter().filter(|start| start["daemon"] == daemon);
    own.filter_map(|start| start["version"].as_str()).collect()
}

#[test]
fn replaces_each_once() {
    let program = program::daemon();
    let program = program.to_str().expect("the path is valid UTF-8");
    let daemons = DAEMONS.to_string();
    let upgrade = ["--previous", program, "--daemons", &daemons];
    let output = program::run("upgrade", &[&FAULTS[..], &upgrade].concat());
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let report: Value = serde_json::from_str(&text).expect("the report is JSON");
    assert_eq!(report["broken"], Value::Array(Vec::new()));
    let starts = report["starts"].as_array().expect("an upgrade reports starts");
    for number in 0..DAEMONS {
        let versions = versions(starts, &format!("edge-{number}"));
        let replaced_at = versions.iter().position(|version| *version == "new");
        let (previous, new) = versions.split_at(replaced_at.expect("the daemon was replaced"));
        assert!(!previous.is_empty(), "{versions:?}");
        assert!(new.iter().all(|version| *version == "new"), "{versions:?}");
    }
}

#[test]
fn missing_program() {
    let output = program::run("missing", &["--previous", "no/such/program"]);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(error.contains("invalid value 'no/such/program' for '--previous <PATH>'"), "{error}");
}
