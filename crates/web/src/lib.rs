//! A small HTTP client and server for calls with short bodies.
//!
//! These calls are not on the path of callers' requests. [`Client::call`] sends a [`Call`]
//! to the platform's key-value service or to the order endpoint of a server and returns the
//! whole answer, or an [`Error`] whose [`Category`] says whether the request may have been
//! carried out. The length of answers is bounded, by [`BoundedStream`]. [`encode_query`] escapes a
//! text for the query of its path. [`serve`] answers requests: the administration endpoints and the
//! stand-ins of tests are built on it, with [`read_body`] for request bodies and [`status`] and
//! [`json`] for answers.
//!
//! ```
//! use http::Method;
//! use web::{Call, Client};
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let address = listener.local_addr()?;
//! let stop = tokio_util::sync::CancellationToken::new();
//! let echo = |request| async move { web::json(web::read_body(request).await) };
//! let server = tokio::spawn(web::serve(listener, stop.clone(), echo));
//!
//! let client = Client::new(address);
//! let answer = client.call(Call::new(Method::POST, "/").body("hello").timeout_ms(1_000)).await;
//! assert_eq!(answer.unwrap().body(), "hello");
//! stop.cancel();
//! # drop(server);
//! # Ok::<(), std::io::Error>(())
//! # }).unwrap();
//! ```

mod bounded_stream;
mod client;
mod error;
mod query;
mod server;

pub use bounded_stream::{BoundedStream, ByteBound};
pub use client::{Call, Client, ConnectionId};
pub use error::{Category, Ending, Error, Result};
pub use query::encode_query;
pub use server::{
    AcceptedAt, ResetHandle, json, read_body, serve, serve_each, serve_limited, status,
};
