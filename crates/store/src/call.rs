//! Calls to a store over HTTP.

use bytes::Bytes;
use http::Response;
use web::{Call, Client};

use crate::{Category, Error, Result};

/// How long an answer may take to arrive after its head, which a long document on a slow link needs.
const MAX_BODY_MS: u64 = 5_000;

/// How often a call is made again beside those without an answer.
const MAX_REPEATS: u32 = 3;

/// How long a store may take to begin its answer to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerTime {
    /// The timeout.
    Once,
    /// The timeout, and again as often as the call is made again beside the ones before.
    ///
    /// For calls that only read. A list that is ended at the timeout and retried after a backoff always
    /// fails on a link whose delay is longer than the timeout.
    Repeated,
    /// The time for which the store waits for changes, and the timeout.
    After {
        /// How long the store waits.
        wait_ms: u64,
    },
}

/// Sends one call to a store and returns the answer.
///
/// An answer that has begun in time is read as long as the next part of it follows within
/// `timeout_ms`.
///
/// # Errors
///
/// Fails with [`Category::Refused`] when the call was not sent, and with
/// [`Category::Unknown`] when no complete answer arrived in time.
pub async fn call_store(
    client: &Client,
    call: Call,
    timeout_ms: u64,
    answer_time: AnswerTime,
) -> Result<Response<Bytes>> {
    let (wait_ms, max_repeats) = match answer_time {
        AnswerTime::Once => (0, 0),
        AnswerTime::Repeated => (0, MAX_REPEATS),
        AnswerTime::After { wait_ms } => (wait_ms, 0),
    };
    let call = call.timeout_ms(timeout_ms + wait_ms).repeat_beside(max_repeats);
    let call = call.body_time(MAX_BODY_MS, timeout_ms);
    client.call(call).await.map_err(|report| {
        let category = match report.current_context().category() {
            web::Category::NotSent => Category::Refused,
            web::Category::Unknown => Category::Unknown,
        };
        report.change_context(Error::new(category, "the store did not answer"))
    })
}
