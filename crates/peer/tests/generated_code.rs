//! The committed code is what the generator makes of the definitions.
//!
//! `VERBENA_GENERATE=1` writes it anew.
use std::path::Path;

fn assert_current(name: &str) -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join(format!("proto/{name}.proto"));
    let descriptors = protox::compile([proto], [root.join("proto")])?;
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    prost_build::Config::new().out_dir(out).compile_fds(descriptors)?;
    let fresh = std::fs::read_to_string(out.join(format!("verbenadrift.{name}.v1.rs")))?;
    let committed = root.join(format!("src/generated/{name}.rs"));
    if std::env::var("VERBENA_GENERATE").is_ok() {
        std::fs::write(&committed, &fresh)?;
    }
    assert_eq!(std::fs::read_to_string(committed)?, fresh, "run with VERBENA_GENERATE=1");
    Ok(())
}

#[test]
fn peer_is_current() -> Result<(), Box<dyn std::error::Error>> {
    assert_current("peer")
}

#[test]
fn fleet_is_current() -> Result<(), Box<dyn std::error::Error>> {
    assert_current("fleet")
}
