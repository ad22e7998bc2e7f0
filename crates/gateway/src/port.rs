//! What a gateway needs from the outside.

use std::fmt;
use std::net::SocketAddr;

use document::Name;
use http::HeaderName;
use registry::Registration;
use shard::{OrderKind, Reply};
use site::Site;

/// The names of headers that callers and servers use.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies a request; servers repeat it in their answers.
    pub request_id: HeaderName,
    /// How many milliseconds the caller will wait.
    pub time_left_ms: HeaderName,
    /// The only server that may run a request.
    pub expected_server: HeaderName,
    /// Present where a server did not run the request.
    pub not_run: HeaderName,
    /// Present in a server's own answers.
    pub signature: HeaderName,
    /// The key of a request, a number from 0 to 65535.
    pub key: HeaderName,
}

/// How servers are ordered to hold ranges and to give them up.
pub trait Orders: Clone + Send + Sync + 'static {
    /// Sends an order to the server with a name and waits for its answer for up to `limit_ms`.
    ///
    /// An order without an answer by then no longer arrives: its connection is reset.
    fn send(
        &self,
        address: SocketAddr,
        server: &Name,
        order: &OrderKind,
        limit_ms: u64,
    ) -> impl Future<Output = Reply> + Send;
}

/// What documents and entries in the store say.
pub trait Source: Clone + Send + Sync + 'static {
    /// Returns the key of the site's document.
    fn site_key(&self) -> &str;

    /// Returns the start of the keys of servers' entries; the server's name follows.
    fn servers_prefix(&self) -> &str;

    /// Reads the site's document.
    ///
    /// # Errors
    ///
    /// Fails when it is not a document, or contradicts itself.
    fn read_site(&self, text: &str) -> Result<Site, Unreadable>;

    /// Reads a server's entry.
    ///
    /// # Errors
    ///
    /// Fails when it names no server to use.
    fn read_server(&self, entry: EntryText<'_>) -> Result<Registration, Unreadable>;
}

/// The text of a server's entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryText<'a> {
    /// The server's name.
    pub server: &'a str,
    /// The text.
    pub text: &'a str,
    /// The time at which it was read, by the control thread's clock.
    pub now_ms: u64,
}

/// A text that does not say what it should.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable(pub Name);

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unreadable {}
