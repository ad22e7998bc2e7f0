//! Guards against committed code in `src/generated` that differs from what `prost-build`
//! generates from `proto`.
//!
//! With `VERBENA_GENERATE=1` the tests rewrite the committed code.
use std::path::Path;

fn assert_current(name: &str) -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join(format!("proto/{name}.proto"));
    let descriptors = protox::compile([proto], [root.join("proto")])?;
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    prost_build::Config::new().out_dir(out).compile_fds(descriptors)?;
    let generated = std::fs::read_to_string(out.join(format!("verbenadrift.{name}.v1.rs")))?;
    let committed = root.join(format!("src/generated/{name}.rs"));
    if std::env::var("VERBENA_GENERATE").is_ok() {
        std::fs::write(&committed, &generated)?;
    }
    assert_eq!(std::fs::read_to_string(committed)?, generated, "run with VERBENA_GENERATE=1");
    Ok(())
}

#[test]
fn generated_peer_code_is_current() -> Result<(), Box<dyn std::error::Error>> {
    assert_current("peer")
}

#[test]
fn generated_fleet_code_is_current() -> Result<(), Box<dyn std::error::Error>> {
    assert_current("fleet")
}
