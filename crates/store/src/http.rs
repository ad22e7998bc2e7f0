//! The client of the platform's service over HTTP.
//!
//! `GET /v1/values/KEY` returns a value, `PUT` writes it (`?expect=missing` or
//! `?expect=REVISION`, `&lease=ID`), `DELETE` removes it. `POST /v1/leases?ms=N` opens
//! a lease and `PUT /v1/leases/ID` keeps it. `GET /v1/watch?prefix=P&after=REVISION&ms=N`
//! returns changes. Bodies are JSON but for values, which are plain text.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use document::Revision;
use error_stack::Report;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{Duration, timeout};

use crate::{Category, Changes, Error, Expect, LeaseId, Result, Store, Value};

/// A client of the platform's service; clones share a few connections.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    timeout_ms: u64,
    idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
}

#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

#[derive(Deserialize)]
struct Opened {
    lease: LeaseId,
}

/// How many unused connections are kept.
const MOST_IDLE: usize = 4;

impl HttpStore {
    /// Creates a client; calls fail after `timeout_ms`, watches that much after their wait.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self { address, timeout_ms, idle: Arc::default() }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
        wait_ms: u64,
    ) -> Result<(StatusCode, Bytes)> {
        // Until the request is written, nothing can have taken effect.
        let limit = Duration::from_millis(self.timeout_ms + wait_ms);
        let mut sender = timeout(limit, self.connect())
            .await
            .map_err(|_elapsed| refused("the store did not accept a connection"))??;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .map_err(|error| refused(&error.to_string()))?;
        let exchange = async {
            let response = sender.send_request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok::<_, hyper::Error>((status, body))
        };
        let answer = timeout(limit, exchange)
            .await
            .map_err(|_elapsed| unclear("the store did not answer in time"))?
            .map_err(|error| unclear(&error.to_string()))?;
        let mut idle = self.idle.lock().await;
        if idle.len() < MOST_IDLE {
            idle.push(sender);
        }
        Ok(answer)
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        while let Some(sender) = self.idle.lock().await.pop() {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        let stream =
            TcpStream::connect(self.address).await.map_err(|error| refused(&error.to_string()))?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|error| refused(&error.to_string()))?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

impl Store for HttpStore {
    async fn read(&self, key: &str) -> Result<Option<Value>> {
        let path = format!("/v1/values/{key}");
        let (status, body) = self.call(Method::GET, &path, "", 0).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        from_json(status, &body).map(Some)
    }

    async fn write(
        &self,
        key: &str,
        expect: Expect,
        text: &str,
        lease: Option<LeaseId>,
    ) -> Result<Revision> {
        let expect = match expect {
            Expect::Anything => String::new(),
            Expect::Missing => "expect=missing".to_owned(),
            Expect::At(revision) => format!("expect={revision}"),
        };
        let lease = lease.map_or_else(String::new, |lease| format!("&lease={}", lease.0));
        let path = format!("/v1/values/{key}?{expect}{lease}");
        let (status, body) = self.call(Method::PUT, &path, text, 0).await?;
        from_json::<Written>(status, &body).map(|written| written.revision)
    }

    async fn remove(&self, key: &str) -> Result<()> {
        let path = format!("/v1/values/{key}");
        let (status, body) = self.call(Method::DELETE, &path, "", 0).await?;
        check(status, &body)
    }

    async fn open_lease(&self, length_ms: u64) -> Result<LeaseId> {
        let path = format!("/v1/leases?ms={length_ms}");
        let (status, body) = self.call(Method::POST, &path, "", 0).await?;
        from_json::<Opened>(status, &body).map(|opened| opened.lease)
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<()> {
        let path = format!("/v1/leases/{}", lease.0);
        let (status, body) = self.call(Method::PUT, &path, "", 0).await?;
        check(status, &body)
    }

    async fn watch(&self, prefix: &str, after: Revision, wait_ms: u64) -> Result<Changes> {
        let path = format!("/v1/watch?prefix={prefix}&after={after}&ms={wait_ms}");
        let (status, body) = self.call(Method::GET, &path, "", wait_ms).await?;
        from_json(status, &body)
    }
}

fn check(status: StatusCode, body: &Bytes) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    let category = match status {
        StatusCode::CONFLICT => Category::Conflict,
        StatusCode::NOT_FOUND => Category::Missing,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Category::Refused,
        status if status.is_client_error() => Category::Refused,
        _ => Category::Unclear,
    };
    Error::report(category, format!("the store answered {status}: {}", body.escape_ascii()))
}

fn from_json<T: DeserializeOwned>(status: StatusCode, body: &Bytes) -> Result<T> {
    check(status, body)?;
    serde_json::from_slice(body).map_err(|error| unclear(&error.to_string()))
}

fn refused(message: &str) -> Report<Error> {
    Report::new(Error::new(Category::Refused, message))
}

fn unclear(message: &str) -> Report<Error> {
    Report::new(Error::new(Category::Unclear, message))
}
