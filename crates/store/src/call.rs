//! Calls to a store over HTTP.

use bytes::Bytes;
use http::Response;
use web::{Call, Client};

use crate::{Category, Error, Result};

/// How long an answer may take to arrive after its head, which a long document on a slow link needs.
const MAX_BODY_MS: u64 = 5_000;

/// Sends one call to a store and returns the answer.
///
/// An answer that has begun by the call's timeout is read as long as the next part of it follows
/// within `part_timeout_ms`.
///
/// # Errors
///
/// Fails with [`Category::Refused`] when the call was not sent, and with
/// [`Category::Unknown`] when no complete answer arrived in time.
pub async fn call_store(
    client: &Client,
    call: Call,
    part_timeout_ms: u64,
) -> Result<Response<Bytes>> {
    let call = call.body_time(MAX_BODY_MS, part_timeout_ms);
    client.call(call).await.map_err(|report| {
        let category = match report.current_context().category() {
            web::Category::NotSent => Category::Refused,
            web::Category::Unknown => Category::Unknown,
        };
        report.change_context(Error::new(category, "the store did not answer"))
    })
}
