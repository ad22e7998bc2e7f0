//! An HTTP server that stands in for the platform's key-value service.

use std::collections::HashMap;

use document::Revision;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;
use store::{Category, Faults, LeaseId, MemoryStore, Store, Transaction};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

type Answer = Response<Full<bytes::Bytes>>;

/// Serves a store over HTTP until the token is cancelled.
///
/// It serves the paths that [`store::HttpStore`] calls, and two more: `PUT /lab/faults` sets the
/// store's faults, and `GET /lab/usage` returns how many calls were made.
pub async fn serve_store(store: MemoryStore, listener: TcpListener, stop: CancellationToken) {
    web::serve(listener, stop, move |request| answer(store.clone(), request)).await;
}

async fn answer(store: MemoryStore, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let query = parse_query(request.uri().query().unwrap_or(""));
    let method = request.method().clone();
    match (&method, path.as_str()) {
        (&Method::GET, path) if path.starts_with("/v1/values/") => {
            match store.read(path.trim_start_matches("/v1/values/")).await {
                Ok(None) => web::status(StatusCode::NOT_FOUND, "no such value\n"),
                other => to_answer(other),
            }
        }
        (&Method::GET, "/v1/list") => {
            let prefix = query.get("prefix").map_or("", String::as_str);
            to_answer(store.list(prefix, query.get("after").map(String::as_str)).await)
        }
        (&Method::POST, "/v1/transactions") => {
            match serde_json::from_slice::<Transaction>(&web::read_body(request).await) {
                Ok(transaction) => {
                    let written = store.commit(&transaction).await;
                    to_answer(written.map(|revision| json!({ "revision": revision })))
                }
                Err(error) => web::status(StatusCode::BAD_REQUEST, error.to_string()),
            }
        }
        (&Method::GET, "/v1/watch") => {
            let prefix = query.get("prefix").map_or("", String::as_str);
            let after = Revision(get_number(&query, "after").unwrap_or(0));
            let wait_ms = get_number(&query, "ms").unwrap_or(0);
            to_answer(store.watch(prefix, after, wait_ms).await)
        }
        (&Method::POST, "/v1/leases") => {
            let length_ms = get_number(&query, "ms").unwrap_or(0);
            let opened = store.open_lease(length_ms).await;
            to_answer(opened.map(|lease| json!({ "lease": lease })))
        }
        (&Method::PUT, path) if path.starts_with("/v1/leases/") => {
            let id = path.trim_start_matches("/v1/leases/").parse().unwrap_or(0);
            to_answer(store.renew_lease(LeaseId(id)).await)
        }
        (&Method::DELETE, path) if path.starts_with("/v1/leases/") => {
            let id = path.trim_start_matches("/v1/leases/").parse().unwrap_or(0);
            to_answer(store.end_lease(LeaseId(id)).await)
        }
        (&Method::PUT, "/lab/faults") => {
            match serde_json::from_slice::<Faults>(&web::read_body(request).await) {
                Ok(faults) => {
                    store.set_faults(faults);
                    web::json("{}")
                }
                Err(error) => web::status(StatusCode::BAD_REQUEST, error.to_string()),
            }
        }
        (&Method::GET, "/lab/usage") => to_answer(Ok(store.usage())),
        _ => web::status(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn to_answer<T: serde::Serialize>(result: store::Result<T>) -> Answer {
    match result {
        Ok(value) => web::json(serde_json::to_vec(&value).unwrap_or_default()),
        Err(report) => {
            let status = match report.current_context().category() {
                Category::Conflict => StatusCode::CONFLICT,
                Category::Missing => StatusCode::NOT_FOUND,
                Category::Compacted => StatusCode::GONE,
                Category::Refused => StatusCode::SERVICE_UNAVAILABLE,
                // `HttpStore` treats this status like a lost reply: the outcome is unknown.
                Category::Unknown => StatusCode::GATEWAY_TIMEOUT,
            };
            web::status(status, report.to_string())
        }
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

fn get_number(query: &HashMap<String, String>, key: &str) -> Option<u64> {
    query.get(key)?.parse().ok()
}
