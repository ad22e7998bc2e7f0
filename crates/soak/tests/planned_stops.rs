//! Stops daemons under overload, and fails if one that stops loses a request that it has read.
mod program;

use serde_json::Value;

#[test]
fn stops_lose_no_request() {
    program::daemon();
    let output = program::run("planned-stops", &["--planned-stops", "--seed", "4", "--for", "6"]);
    let text = String::from_utf8_lossy(&output.stdout);
    println!("{text}");
    let report: Value = serde_json::from_str(&text).expect("the report is JSON");
    // Otherwise the run would show nothing.
    assert!(report["stops"].as_u64() >= Some(3), "{text}");
    assert!(report["counts"]["served"].as_u64() >= Some(100), "{text}");
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
}
