//! Guards against a panic while alternatives are sorted whose state changes meanwhile.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use route::move_avoided_last;

#[test]
fn state_that_changes_while_it_is_sorted_by() {
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..1_000 {
        let mut items: Vec<u32> = (0..100).collect();
        move_avoided_last(&mut items, |_| random.random_bool(0.5));
        items.sort_unstable();
        assert!(items.into_iter().eq(0..100));
    }
}

#[test]
fn avoided_alternatives_are_tried_last() {
    let mut items: Vec<u32> = (0..100).collect();
    items.shuffle(&mut StdRng::seed_from_u64(1));
    let before = items.clone();
    move_avoided_last(&mut items, |item| item % 3 == 0);
    let (avoided, others): (Vec<u32>, Vec<u32>) = before.iter().partition(|item| *item % 3 == 0);
    assert_eq!(items, [others, avoided].concat());
}
