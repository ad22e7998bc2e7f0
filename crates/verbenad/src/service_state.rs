//! The state of one service on the control thread.

use std::sync::Arc;

use control::{Config, Control};
use document::{Document, HashMap, Name, Revision};
use proxy::{Clock, Upstream};
use route::{InFlight, ServerState, Service, Table};

/// The control state machine, the document and the traffic state of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) control: Control,
    /// The revision of the document in force; 0 before the first one.
    pub(crate) revision: Revision,
    /// The text of the document in force, to be sent to other daemons.
    pub(crate) text: Name,
    pub(crate) document: Option<Arc<Document>>,
    /// The routing table in force; `None` for a pooled service and before the first table.
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) in_flight: Arc<InFlight>,
    /// The connections and limits of each server, by its name.
    pub(crate) upstreams: HashMap<Name, Arc<Upstream>>,
    /// Whether the last heartbeat reported the table in force as drained, see [`Self::is_drained`].
    ///
    /// A new table resets it.
    pub(crate) is_drain_reported: bool,
    pub(crate) next_heartbeat_at_ms: u64,
    /// Whether this daemon was the controller after the last call of `reconcile`.
    pub(crate) was_controller: bool,
}

impl ServiceState {
    pub(crate) fn new(now_ms: u64, incarnation: u64, service: Name, own_name: Name) -> Self {
        Self {
            control: Control::new(now_ms, incarnation, service, own_name, Config::default()),
            revision: Revision(0),
            text: Name::from(""),
            document: None,
            table: None,
            in_flight: Arc::default(),
            upstreams: HashMap::default(),
            is_drain_reported: false,
            next_heartbeat_at_ms: now_ms,
            was_controller: false,
        }
    }

    /// Puts a document in force; unchanged servers keep their connections and limits.
    pub(crate) fn set_document(
        &mut self,
        revision: Revision,
        text: Name,
        document: Arc<Document>,
        daemon_count: u32,
        clock: Clock,
    ) {
        let mut upstreams = HashMap::default();
        for server in &document.servers {
            let known = self.upstreams.remove(&server.name);
            let kept = known.filter(|known| can_keep_upstream(known.server(), server));
            let upstream = kept
                .unwrap_or_else(|| Arc::new(Upstream::new(server.clone(), daemon_count, clock)));
            upstreams.insert(server.name.clone(), upstream);
        }
        // A server that is no longer in the document serves until its shards have moved.
        let leftover = self.upstreams.drain();
        upstreams.extend(leftover.filter(|(name, _)| is_in_table(self.table.as_deref(), name)));
        self.upstreams = upstreams;
        self.revision = revision;
        self.text = text;
        self.document = Some(document);
    }

    /// Puts the newest table of the state machine in force; returns whether it is a new one.
    pub(crate) fn update_table(&mut self) -> bool {
        let Some(newest) = self.control.table() else { return false };
        let is_same = self.table.as_ref().is_some_and(|known| Arc::ptr_eq(known, newest));
        if is_same {
            return false;
        }
        if self.table.as_ref().is_none_or(|known| known.leader_epoch != newest.leader_epoch) {
            // The route lease of the previous leader epoch does not cover the new table.
            self.in_flight.set_route_deadline_ms(0);
        }
        if self.in_flight.len() != newest.routes.len() {
            self.in_flight = Arc::new(InFlight::new(newest.routes.len()));
        }
        self.table = Some(Arc::clone(newest));
        self.is_drain_reported = false;
        true
    }

    /// Returns whether the service's keys have owners.
    pub(crate) fn is_keyed(&self) -> bool {
        self.document.as_deref().is_some_and(Document::is_keyed)
    }

    /// Returns whether no request is in flight to a shard that is closed in the table.
    pub(crate) fn is_drained(&self) -> bool {
        self.table.as_ref().is_some_and(|table| self.in_flight.is_drained(table))
    }

    /// Returns the snapshot for the request path; `None` without a document.
    pub(crate) fn to_snapshot(&self) -> Option<Service<Upstream>> {
        let document = Arc::clone(self.document.as_ref()?);
        let table = self.table.as_ref().map(Arc::clone);
        let in_flight = Arc::clone(&self.in_flight);
        Some(Service::new(self.revision, document, table, in_flight, &self.upstreams))
    }
}

/// Returns whether an upstream's connections and limits also suit the new server settings.
fn can_keep_upstream(known: &document::Server, server: &document::Server) -> bool {
    known.address == server.address
        && known.slots == server.slots
        && known.max_connections == server.max_connections
        && known.checks_fence == server.checks_fence
}

/// Returns whether the table names the server.
fn is_in_table(table: Option<&Table>, server: &Name) -> bool {
    table.is_some_and(|table| table.servers.contains(server))
}
