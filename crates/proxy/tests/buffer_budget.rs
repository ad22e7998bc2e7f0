//! Guards against buffered bodies that take more memory than their budget, or never return it.

use std::sync::Arc;

use googletest::prelude::*;
use proxy::{BodyBuffer, BodyKind, BufferBudget};

const FREE_BYTES: usize = 8 << 10;

fn buffer(budget: &Arc<BufferBudget>, kind: BodyKind, size: usize) -> Option<BodyBuffer> {
    let mut buffer = BodyBuffer::new(budget, kind, 0);
    buffer.push(&vec![1; size]).then_some(buffer)
}

#[googletest::test]
fn bytes_are_returned_with_the_last_reference() {
    let budget = Arc::new(BufferBudget::new(100_000));
    let bytes = buffer(&budget, BodyKind::Request, 50_000).unwrap().into_bytes();
    let part = bytes.slice(0..1);
    drop(bytes);
    expect_that!(budget.used_bytes(), eq(50_000 - FREE_BYTES));
    drop(part);
    expect_that!(budget.used_bytes(), eq(0));
}

#[googletest::test]
fn answers_leave_room_for_requests() {
    let budget = Arc::new(BufferBudget::new(100_000));
    let answers: Vec<_> =
        std::iter::from_fn(|| buffer(&budget, BodyKind::Answer, 20_000)).collect();
    expect_that!(answers.len(), eq(4));
    expect_that!(budget.used_bytes(), le(50_000));
    expect_that!(buffer(&budget, BodyKind::Request, 50_000), some(anything()));
}

#[googletest::test]
fn short_bodies_have_room_in_a_full_budget() {
    let budget = Arc::new(BufferBudget::new(0));
    for kind in [BodyKind::Request, BodyKind::Answer] {
        expect_that!(buffer(&budget, kind, FREE_BYTES), some(anything()));
        expect_that!(buffer(&budget, kind, FREE_BYTES + 1), none());
    }
}

#[googletest::test]
fn a_buffer_without_room_keeps_what_it_has() {
    let budget = Arc::new(BufferBudget::new(10_000));
    let mut buffer = buffer(&budget, BodyKind::Request, 10_000).unwrap();
    expect_that!(buffer.push(&[2; 10_000]), eq(false));
    expect_that!(buffer.push(&[2; 5_000]), eq(true));
    expect_that!(buffer.into_bytes().len(), eq(15_000));
}

#[googletest::test]
fn a_body_in_single_bytes_takes_little_more_than_its_length() {
    let budget = Arc::new(BufferBudget::new(1 << 30));
    let mut buffer = BodyBuffer::new(&budget, BodyKind::Answer, 0);
    for _ in 0..1 << 20 {
        assert!(buffer.push(b"x"));
    }
    expect_that!(budget.used_bytes(), le(2 << 20));
}
