//! Small HTTP exchanges outside the request path: one request, one short answer.
//!
//! [`Client`] calls the platform's service and the servers' order endpoints;
//! [`serve`] answers administrators, and is what the stand-ins are built on.
//!
//! ```
//! use http::Method;
//! use web::{Call, Client};
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let address = listener.local_addr()?;
//! let stop = tokio_util::sync::CancellationToken::new();
//! let echo = |request| async move { web::json(web::read(request).await) };
//! let server = tokio::spawn(web::serve(listener, stop.clone(), echo));
//!
//! let client = Client::new(address);
//! let answer = client.call(Call::new(Method::POST, "/").body("hello").limit_ms(1_000)).await;
//! assert_eq!(answer.unwrap().body(), "hello");
//! stop.cancel();
//! # drop(server);
//! # Ok::<(), std::io::Error>(())
//! # }).unwrap();
//! ```

mod client;
mod error;
mod server;

pub use client::{Call, Client};
pub use error::{Category, Error, Result};
pub use server::{Accepted, json, read, serve, serve_limited, status};
