//! Calls to a store over HTTP.

use bytes::Bytes;
use http::StatusCode;
use web::{Call, Client};

use crate::{Category, Error, Result};

/// Sends one call to a store and returns the status and body of the answer.
///
/// # Errors
///
/// Fails with [`Category::Refused`] when the call was not sent, and with
/// [`Category::Unknown`] when no complete answer arrived in time.
pub async fn call_store(client: &Client, call: Call) -> Result<(StatusCode, Bytes)> {
    let answer = client.call(call).await.map_err(|report| {
        let category = match report.current_context().category() {
            web::Category::NotSent => Category::Refused,
            web::Category::Unknown => Category::Unknown,
        };
        report.change_context(Error::new(category, "the store did not answer"))
    })?;
    Ok((answer.status(), answer.into_body()))
}
