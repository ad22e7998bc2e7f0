//! The client of the platform's key-value service over HTTP.
//!
//! Bodies are JSON. The requests are
//!
//! - `GET /v1/values/KEY`: returns a value;
//! - `GET /v1/list?prefix=P&after=KEY`: returns a page of values;
//! - `POST /v1/transactions`: commits a transaction;
//! - `POST /v1/leases?ms=N`: opens a lease;
//! - `PUT /v1/leases/ID`: renews a lease;
//! - `DELETE /v1/leases/ID`: ends a lease;
//! - `GET /v1/watch?prefix=P&after=REVISION&ms=N`: waits for changes and returns them.

use std::net::SocketAddr;

use bytes::Bytes;
use document::Revision;
use error_stack::Report;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use web::{Call, Client};

use crate::{
    AnswerTime, Category, Changes, Error, LeaseId, Page, Result, Store, Transaction, Value,
    call_store,
};

/// A client of the platform's key-value service; clones share a few connections.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: Client,
    timeout_ms: u64,
}

#[derive(Deserialize)]
struct CommitAnswer {
    revision: Revision,
}

#[derive(Deserialize)]
struct OpenLeaseAnswer {
    lease: LeaseId,
}

impl HttpStore {
    /// Creates a client of a service at an address.
    ///
    /// A call fails after `timeout_ms`; a watch may take its wait plus `timeout_ms`, and a list four
    /// times as long, as it is made again beside those without an answer.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self { client: Client::new(address), timeout_ms }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
        answer_time: AnswerTime,
    ) -> Result<(StatusCode, Bytes)> {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let call = Call::new(method, path).body(body);
        let answer = call_store(&self.client, call, self.timeout_ms, answer_time).await?;
        Ok((answer.status(), answer.into_body()))
    }
}

impl Store for HttpStore {
    async fn read(&self, key: &str) -> Result<Option<Value>> {
        let path = format!("/v1/values/{key}");
        let (status, body) = self.call(Method::GET, &path, "", AnswerTime::Once).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        from_json(status, &body).map(Some)
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<Page> {
        let after = after.map_or_else(String::new, |after| format!("&after={after}"));
        let path = format!("/v1/list?prefix={prefix}{after}");
        let (status, body) = self.call(Method::GET, &path, "", AnswerTime::Repeated).await?;
        from_json(status, &body)
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Revision> {
        let body = serde_json::to_string(transaction)
            .map_err(|error| Report::new(Error::new(Category::Refused, error.to_string())))?;
        let (status, body) =
            self.call(Method::POST, "/v1/transactions", &body, AnswerTime::Once).await?;
        from_json::<CommitAnswer>(status, &body).map(|answer| answer.revision)
    }

    async fn open_lease(&self, length_ms: u64) -> Result<LeaseId> {
        let path = format!("/v1/leases?ms={length_ms}");
        let (status, body) = self.call(Method::POST, &path, "", AnswerTime::Once).await?;
        from_json::<OpenLeaseAnswer>(status, &body).map(|answer| answer.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<()> {
        let path = format!("/v1/leases/{}", lease.0);
        let (status, body) = self.call(Method::PUT, &path, "", AnswerTime::Once).await?;
        check_status(status, &body)
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<()> {
        let path = format!("/v1/leases/{}", lease.0);
        let (status, body) = self.call(Method::DELETE, &path, "", AnswerTime::Once).await?;
        check_status(status, &body)
    }

    async fn watch(&self, prefix: &str, after: Revision, wait_ms: u64) -> Result<Changes> {
        let path = format!("/v1/watch?prefix={prefix}&after={after}&ms={wait_ms}");
        let (status, body) =
            self.call(Method::GET, &path, "", AnswerTime::After { wait_ms }).await?;
        from_json(status, &body)
    }
}

fn check_status(status: StatusCode, body: &Bytes) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    let category = match status {
        StatusCode::CONFLICT => Category::Conflict,
        StatusCode::NOT_FOUND => Category::Missing,
        StatusCode::GONE => Category::Compacted,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Category::Refused,
        status if status.is_client_error() => Category::Refused,
        _ => Category::Unknown,
    };
    Error::fail(category, format!("the store answered {status}: {}", body.escape_ascii()))
}

fn from_json<T: DeserializeOwned>(status: StatusCode, body: &Bytes) -> Result<T> {
    check_status(status, body)?;
    serde_json::from_slice(body).map_err(|error| unknown_outcome(&error.to_string()))
}

fn unknown_outcome(message: &str) -> Report<Error> {
    Report::new(Error::new(Category::Unknown, message))
}
