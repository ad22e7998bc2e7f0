//! Guards against two holders of a key after a leader whose grants the servers have queued.
//!
//! Only safety is checked: how soon service recovers depends on the speed of the machine.
mod program;

#[test]
fn queued_grants_of_lost_leaders_do_no_harm() {
    let servers = ["--own-links", "--queue-grants", "--servers", "30"];
    let args = [&servers[..], &["--seed", "5", "--for", "40", "--recover", "1"]].concat();
    program::assert_breaks_no_rule("soak-queued-grants", &args);
}
