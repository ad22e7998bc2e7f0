//! Guards against grants that last longer at a server with a slow clock than the leader reckons.
use shard::Config;

/// How much of the time a slow clock of a server measures at least, in percent.
const SLOW_PERCENT: u64 = 98;

#[test]
fn grants_count_as_long_as_a_slow_clock_measures_them() {
    let config = Config::default();
    // The allowance for late timers is for other delays.
    let allowance_ms = config.grant_deadline_ms(0, 0);
    for grant_ms in [config.short_grant_ms, config.grant_ms, config.outage_grant_ms, 10_000] {
        let held_ms = (grant_ms * 100).div_ceil(SLOW_PERCENT);
        let counted_ms = config.grant_deadline_ms(0, grant_ms) - allowance_ms;
        assert!(counted_ms >= held_ms, "{counted_ms} of {held_ms} ms");
    }
}
