//! Runs the real programs while daemons lose their own links to the servers.
//!
//! Only safety is checked: how soon service recovers depends on the speed of the machine.
use std::path::Path;
use std::process::Command;

#[test]
fn breaks_no_rule() {
    let program = Path::new(env!("CARGO_BIN_EXE_verbena-soak"));
    assert!(
        program.with_file_name("verbena-edge").exists(),
        "verbena-edge is missing, expected `cargo test --workspace`, which builds it"
    );
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak-links");
    let output = Command::new(program)
        .args([
            "run",
            "--own-links",
            "--seed",
            "1",
            "--for",
            "8",
            "--recover",
            "5",
            "--safety-only",
            "--out",
        ])
        .arg(&out)
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout);
    println!("{text}");
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
}
