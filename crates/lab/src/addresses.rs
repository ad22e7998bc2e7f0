//! Addresses at which callers of stand-ins find servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Other addresses under which a caller of the store finds servers.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    replaced: Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>,
}

impl Addresses {
    /// Replaces one address in all entries that are read from now on.
    pub fn replace(&self, address: SocketAddr, by: SocketAddr) {
        self.lock().insert(address, by);
    }

    /// Returns a text of an entry with the addresses replaced.
    #[must_use]
    pub fn apply(&self, text: &str) -> String {
        self.lock().iter().fold(text.to_owned(), |text, (address, by)| {
            text.replace(&format!("\"{address}\""), &format!("\"{by}\""))
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, SocketAddr>> {
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
