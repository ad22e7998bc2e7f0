//! One call to a store over HTTP.

use bytes::Bytes;
use http::StatusCode;
use web::{Call, Client};

use crate::{Category, Error, Result};

/// Sends a call to a store; returns the status and the body of its answer.
///
/// # Errors
///
/// Fails with [`Category::Refused`] when the call was not sent, and with
/// [`Category::Unclear`] when no whole answer came in time.
pub async fn exchange(client: &Client, call: Call) -> Result<(StatusCode, Bytes)> {
    let answer = client.call(call).await.map_err(|report| {
        let category = match report.current_context().category() {
            web::Category::NotSent => Category::Refused,
            web::Category::Unclear => Category::Unclear,
        };
        report.change_context(Error::new(category, "the store did not answer"))
    })?;
    Ok((answer.status(), answer.into_body()))
}
