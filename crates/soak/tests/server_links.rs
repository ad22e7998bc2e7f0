//! Runs the real programs while daemons lose their own links to the servers.
//!
//! Only safety is checked: how soon service recovers depends on the speed of the machine.
mod program;

#[test]
fn breaks_no_rule() {
    let args = ["--own-links", "--servers", "30", "--seed", "1", "--for", "8", "--recover", "5"];
    program::assert_breaks_no_rule("soak-links", &args);
}
