//! The interfaces through which a gateway uses the platform that it runs on.

use std::fmt;
use std::net::SocketAddr;

use document::Name;
use http::HeaderName;
use registry::Registration;
use shard::{ConnectionId, OrderKind, Reply};
use site::Site;

/// The names of the HTTP headers that callers and servers use.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies a request; servers repeat it in their answers.
    pub request_id: HeaderName,
    /// How many milliseconds the caller still waits.
    pub time_left_ms: HeaderName,
    /// The name of the only server that may run the request.
    pub expected_server: HeaderName,
    /// Present in the answer of a server that did not run the request.
    pub not_run: HeaderName,
    /// Present in the answers of a server that is leaving.
    pub leaving: HeaderName,
    /// Present in the answers of a server that limits its requests: how many it accepts in a second
    /// from all daemons together.
    pub rate_limit: HeaderName,
    /// Present in the answers of a server that is cold: how many milliseconds it stays so.
    pub cold_ms: HeaderName,
    /// Present in the answers of a server that reports its load: running requests, waiting
    /// requests, slots, and how long work takes in percent of the usual time.
    pub load: HeaderName,
    /// Present in answers that the server itself generated.
    pub signature: HeaderName,
    /// The key of a request, a number from 0 to 65535.
    pub key: HeaderName,
}

/// Sends orders to servers: grants and releases of key ranges.
pub trait Orders: Clone + Send + Sync + 'static {
    /// Sends an order to a server and waits up to `timeout_ms` for its answer.
    ///
    /// An implementation must reset the connection after that time, so that a late order never
    /// arrives. A grant is best sent on the given connection; a release is sent on it or not at all,
    /// or on one of its own if there is none.
    fn send(
        &self,
        address: SocketAddr,
        server: &Name,
        order: &OrderKind,
        timeout_ms: u64,
        connection: Option<ConnectionId>,
    ) -> impl Future<Output = Reply> + Send;
}

/// Names the store keys of the operators and of servers' entries, and parses their texts.
pub trait Source: Clone + Send + Sync + 'static {
    /// Returns the key of the site's document.
    fn site_key(&self) -> &str;

    /// Returns the prefix of all keys that operators write; the document's key starts with it.
    fn operators_prefix(&self) -> &str;

    /// Returns the prefix of the keys that evacuate a data centre; the data centre's name follows
    /// it. It starts with the operators' prefix.
    fn evacuations_prefix(&self) -> &str;

    /// Returns the prefix of the keys of servers' entries; the server's name follows it.
    fn servers_prefix(&self) -> &str;

    /// Parses the site's document.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a valid document or contradicts itself.
    fn read_site(&self, text: &str) -> Result<Site, Unreadable>;

    /// Parses a server's entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not describe a usable server.
    fn read_server(&self, entry: EntryText<'_>) -> Result<Registration, Unreadable>;
}

/// A server's entry in the store.
#[derive(Clone, Copy, Debug)]
pub struct EntryText<'a> {
    /// The server's name.
    pub server: &'a str,
    /// The text of the entry.
    pub text: &'a str,
    /// When the entry was read, in milliseconds of [`BootClock`](crate::BootClock).
    pub now_ms: u64,
}

/// An error for a text that cannot be parsed, with its message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable(pub Name);

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unreadable {}
