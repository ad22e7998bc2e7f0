//! Guards against malformed load reports that are taken for figures, and against old figures that
//! keep their weight.

use googletest::prelude::*;
use route::{LoadHistory, ServerLoad};

const USUAL: ServerLoad = ServerLoad { running: 3, waiting: 1, slots: 4, work_percent: 100 };

fn with_work(work_percent: u32) -> ServerLoad {
    ServerLoad { work_percent, ..USUAL }
}

#[googletest::test]
fn four_figures_are_a_load() {
    expect_that!(ServerLoad::parse("3,1,4,100"), some(eq(USUAL)));
    expect_that!(ServerLoad::parse(" 3 , 1,4 ,\t180 "), some(eq(with_work(180))));
}

#[googletest::test]
fn missing_duration_of_work_is_the_usual_one() {
    expect_that!(ServerLoad::parse("3,1,4"), some(eq(USUAL)));
}

#[googletest::test]
fn other_texts_are_no_load() {
    let texts = [
        "",
        ",",
        ",,,",
        "3",
        "3,1",
        "3,1,4,",
        "3,1,4,100,",
        "3,1,4,100,7",
        "3 1 4 100",
        "-3,1,4,100",
        "+3,1,4,100",
        "3.0,1,4,100",
        "3,1,4,100%",
        "3,1,4,1e2",
        "0x3,1,4,100",
        "3,1,4 0,100",
        "4294967296,1,4,100",
        "3;1;4;100",
        "three,1,4,100",
        "٣,1,4,100",
    ];
    for text in texts {
        expect_that!(ServerLoad::parse(text), none(), "{text:?}");
    }
}

#[googletest::test]
fn impossible_figures_are_no_load() {
    expect_that!(ServerLoad::parse("3,1,0,100"), none());
    expect_that!(ServerLoad::parse("3,1,4,0"), none());
    expect_that!(ServerLoad::parse("3,1,4,10000"), some(anything()));
    expect_that!(ServerLoad::parse("3,1,4,10001"), none());
}

/// Returns a history with usual work for 10 s and a slow period that was noticed at 10,000 ms.
fn slow_since_10_s() -> LoadHistory {
    let mut history = LoadHistory::new(USUAL, 0, 0);
    (100..10_000).step_by(100).for_each(|now_ms| history.add(USUAL, now_ms, 0));
    history.add(with_work(300), 10_000, 0);
    history
}

#[googletest::test]
fn slow_period_counts_while_it_is_fresh() {
    let history = slow_since_10_s();
    expect_that!(history.work(10_000), near(3.0, 0.01));
    expect_that!(history.work(10_100), gt(2.0));
    expect_that!(history.work(10_400), lt(1.2));
}

#[googletest::test]
fn mean_covers_slow_periods_by_their_share_of_time() {
    let mut history = LoadHistory::new(USUAL, 0, 0);
    for now_ms in (100..20_000).step_by(100) {
        let is_slow = now_ms % 2_000 < 400;
        history.add(with_work(if is_slow { 300 } else { 100 }), now_ms, 0);
    }
    expect_that!(history.work(20_400), near(1.4, 0.3));
}

#[googletest::test]
fn own_requests_that_started_or_ended_since_are_counted() {
    let history = LoadHistory::new(USUAL, 0, 2);
    expect_that!(history.expected(0, 2).ahead, near(4.0, 0.01));
    expect_that!(history.expected(0, 5).ahead, near(7.0, 0.01));
    expect_that!(history.expected(0, 0).ahead, near(2.0, 0.01));
}

#[googletest::test]
fn server_is_tried_again_after_its_figures_have_expired() {
    let full = ServerLoad { waiting: 40, work_percent: 420, ..USUAL };
    let history = LoadHistory::new(full, 0, 0);
    expect_that!(history.expected(1_000, 0).ahead, gt(40.0));
    let expected = history.expected(20_000, 0);
    expect_that!(expected.ahead, near(0.0, 0.01));
    expect_that!(expected.work, near(1.0, 0.01));
}
