//! Guards against stops that leave requests without an answer because of their times.

use gateway::StopPlan;

#[test]
fn steps_of_a_stop_are_in_order() {
    for grace_ms in (0..60_000).step_by(37) {
        let plan = StopPlan::new(1_000, grace_ms);
        assert!(1_000 <= plan.close_at_ms, "{grace_ms}");
        assert!(plan.close_at_ms <= plan.answer_deadline_ms, "{grace_ms}");
        assert!(plan.answer_deadline_ms <= plan.cut_at_ms, "{grace_ms}");
        assert!(plan.cut_at_ms <= 1_000 + grace_ms, "{grace_ms}");
    }
}

#[test]
fn server_is_given_five_sixths_of_the_grace_period() {
    for grace_ms in (0..60_000).step_by(37) {
        let plan = StopPlan::new(0, grace_ms);
        assert!(plan.answer_deadline_ms * 6 >= grace_ms * 5, "{grace_ms}");
    }
}

#[test]
fn listener_is_open_while_the_platform_sends_connections() {
    // Two readiness checks, a second apart, have to fail.
    assert!(StopPlan::new(0, 6_000).close_at_ms >= 2_000);
    assert!(StopPlan::new(0, 3_000).close_at_ms >= 2_000);
    assert_eq!(StopPlan::new(0, 600_000).close_at_ms, StopPlan::new(0, 6_000).close_at_ms);
}
