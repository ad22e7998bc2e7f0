//! What requests are routed by.

use std::sync::Arc;

use document::{HashMap, Name};
use registry::Incarnation;
use route::{Candidate, RemotePenalty, pick};
use shard::{Owner, Table};
use site::Site;

use crate::report::ServiceState;
use crate::server::Server;

/// An immutable snapshot of everything that decides where a request goes.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The document in force; `None` until one is known.
    pub site: Option<Arc<Site>>,
    /// The leader's epoch and the number of its message that the owners are from.
    pub tables_from: (u64, u64),
    /// The services by name.
    pub services: HashMap<Name, Arc<ServiceView>>,
}

/// One service.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// What outlives the snapshot.
    pub state: Arc<ServiceState>,
    /// Whether servers hold keys.
    pub is_keyed: bool,
    /// Servers that take new work.
    pub pool: Vec<Arc<Server>>,
    /// All servers, leaving ones included.
    pub servers: HashMap<Incarnation, Arc<Server>>,
    /// The owners of keys.
    pub table: Arc<Table>,
    /// When the table was taken, by the traffic's clock.
    pub table_at_ms: u64,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub enum Place {
    /// To this server.
    Server(Arc<Server>),
    /// Nowhere yet: the key is on its way to a server.
    Moving,
    /// Nowhere for about this long.
    Nobody {
        /// How much longer, in milliseconds.
        for_ms: u64,
    },
}

/// How long nobody is expected to serve where nothing better is known.
const UNKNOWN_MS: u64 = 500;

impl View {
    /// Returns the version of the document in force, or 0 if none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.site.as_ref().map_or(0, |site| site.version().0)
    }
}

impl ServiceView {
    /// Returns the server that holds a key.
    #[must_use]
    pub fn owner(&self, now_ms: u64, key: u16) -> Place {
        let Some(span) = self.table.find(key) else { return Place::Nobody { for_ms: UNKNOWN_MS } };
        match &span.owner {
            Owner::Server(incarnation) => match self.servers.get(incarnation) {
                Some(server) if server.is_open() => Place::Server(Arc::clone(server)),
                _ => Place::Moving,
            },
            Owner::Moving(_) => Place::Moving,
            Owner::Nobody { for_ms } => {
                let passed_ms = now_ms.saturating_sub(self.table_at_ms);
                Place::Nobody { for_ms: for_ms.saturating_sub(passed_ms) }
            }
        }
    }

    /// Returns a server of the pool; `tried` are those that failed the request before.
    #[must_use]
    pub fn any(
        &self,
        data_centre: &Name,
        distance: RemotePenalty,
        tried: &[Incarnation],
        draw: u32,
    ) -> Option<Arc<Server>> {
        let candidates: Vec<Candidate> = self
            .pool
            .iter()
            .map(|server| Candidate {
                occupied: server.occupied(),
                slots: server.registration.slots,
                slowness: server.slowness(),
                is_near: server.registration.data_centre == *data_centre,
                is_avoided: server.is_avoided() || tried.contains(&server.registration.incarnation),
            })
            .collect();
        pick(&candidates, distance, draw).map(|at| Arc::clone(&self.pool[at]))
    }
}
