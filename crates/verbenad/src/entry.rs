//! One service, as the control thread of a daemon keeps it.

use std::sync::Arc;

use control::{Config, Control};
use document::{Document, HashMap, Name, Revision};
use proxy::{Clock, Upstream};
use route::{InFlight, ServerState, Service, Table};

/// The control part, the document and the traffic state of one service.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) control: Control,
    pub(crate) revision: Revision,
    pub(crate) text: Name,
    pub(crate) document: Option<Arc<Document>>,
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) in_flight: Arc<InFlight>,
    pub(crate) upstreams: HashMap<Name, Arc<Upstream>>,
    /// Whether the controller was told that closed shards have drained.
    pub(crate) is_drain_told: bool,
    pub(crate) next_beat_ms: u64,
    /// Whether this daemon was the controller when that was last looked at.
    pub(crate) was_controller: bool,
}

impl Entry {
    pub(crate) fn new(now_ms: u64, incarnation: u64, service: Name, me: Name) -> Self {
        Self {
            control: Control::new(now_ms, incarnation, service, me, Config::default()),
            revision: Revision(0),
            text: Name::from(""),
            document: None,
            table: None,
            in_flight: Arc::default(),
            upstreams: HashMap::default(),
            is_drain_told: false,
            next_beat_ms: now_ms,
            was_controller: false,
        }
    }

    /// Puts a document in force; the servers that it keeps keep their connections.
    pub(crate) fn set_document(
        &mut self,
        revision: Revision,
        text: Name,
        document: Arc<Document>,
        daemons: u32,
        clock: Clock,
    ) {
        let mut upstreams = HashMap::default();
        for server in &document.servers {
            let known = self.upstreams.remove(&server.name);
            let kept = known.filter(|known| is_same_server(known.server(), server));
            let upstream =
                kept.unwrap_or_else(|| Arc::new(Upstream::new(server.clone(), daemons, clock)));
            upstreams.insert(server.name.clone(), upstream);
        }
        // A server that left the document may still serve until its shards have moved.
        let leftover = self.upstreams.drain();
        upstreams.extend(leftover.filter(|(name, _)| is_routed(self.table.as_deref(), name)));
        self.upstreams = upstreams;
        self.revision = revision;
        self.text = text;
        self.document = Some(document);
    }

    /// Puts the newest table of the control part in force; returns whether it is another one.
    pub(crate) fn take_table(&mut self) -> bool {
        let Some(newest) = self.control.table() else { return false };
        let is_same = self.table.as_ref().is_some_and(|known| Arc::ptr_eq(known, newest));
        if is_same {
            return false;
        }
        if self.table.as_ref().is_none_or(|known| known.leader_epoch != newest.leader_epoch) {
            self.in_flight.set_route_deadline_ms(0);
        }
        if self.in_flight.len() != newest.routes.len() {
            self.in_flight = Arc::new(InFlight::new(newest.routes.len()));
        }
        self.table = Some(Arc::clone(newest));
        self.is_drain_told = false;
        true
    }

    /// Returns whether the service's keys have owners.
    pub(crate) fn is_keyed(&self) -> bool {
        self.document.as_deref().is_some_and(Document::is_keyed)
    }

    /// Returns whether no request is on its way to a shard that the table closes.
    pub(crate) fn is_drained(&self) -> bool {
        self.table.as_ref().is_some_and(|table| self.in_flight.is_drained(table))
    }

    /// Returns the snapshot for the request path.
    pub(crate) fn to_service(&self) -> Option<Service<Upstream>> {
        let document = Arc::clone(self.document.as_ref()?);
        let table = self.table.as_ref().map(Arc::clone);
        let in_flight = Arc::clone(&self.in_flight);
        Some(Service::new(self.revision, document, table, in_flight, &self.upstreams))
    }
}

/// Returns whether connections and limits of one description are right for another.
fn is_same_server(known: &document::Server, server: &document::Server) -> bool {
    known.address == server.address
        && known.slots == server.slots
        && known.max_connections == server.max_connections
        && known.checks_fence == server.checks_fence
}

fn is_routed(table: Option<&Table>, server: &Name) -> bool {
    table.is_some_and(|table| table.servers.contains(server))
}
