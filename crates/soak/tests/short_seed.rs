//! Runs the real programs with a fixed seed, and fails if they break a rule under faults.
//!
//! Only safety is checked: how soon service recovers depends on the speed of the machine.
mod program;

#[test]
fn short_seed_breaks_no_rule() {
    let args = ["--servers", "30", "--seed", "12", "--for", "6"];
    program::assert_breaks_no_rule("soak", &args);
}
