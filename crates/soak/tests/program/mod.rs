//! Runs of the soak's program.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Returns the daemon's program, which `cargo test --workspace` builds.
pub fn daemon() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_verbena-soak")).with_file_name("verbena-edge");
    assert!(
        program.exists(),
        "verbena-edge is missing, expected `cargo test --workspace`, which builds it"
    );
    program
}

/// Runs the soak with an output folder of its own.
pub fn run(case: &str, args: &[&str]) -> Output {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(case);
    Command::new(env!("CARGO_BIN_EXE_verbena-soak"))
        .args(["run", "--safety-only", "--out"])
        .arg(out)
        .args(args)
        .output()
        .expect("the program runs")
}

/// Runs the soak and asserts that it breaks no rule.
pub fn assert_breaks_no_rule(case: &str, args: &[&str]) {
    daemon();
    let output = run(case, args);
    let text = String::from_utf8_lossy(&output.stdout);
    println!("{text}");
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
}
