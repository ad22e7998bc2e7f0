//! The dump of a daemon's state as JSON, for operators and administrators.

use std::collections::BTreeMap;

use document::{Name, Revision};
use route::{ServerState, Table};
use serde::Serialize;
use store::Store;
use telemetry::Counter;

use crate::control_thread::ControlThread;
use crate::service_state::ServiceState;

/// The state of a daemon.
#[derive(Serialize)]
struct Dump<'a> {
    instance: &'a Name,
    data_centre: &'a Name,
    incarnation: u64,
    clock_ms: u64,
    is_stopping: bool,
    /// The data centre of each live instance, by the instance's name.
    instances: BTreeMap<&'a Name, &'a Name>,
    counters: BTreeMap<&'static str, u64>,
    peers: PeerDump,
    refused_fingerprints: Vec<u64>,
    services: BTreeMap<&'a Name, ServiceDump<'a>>,
}

/// The traffic to other daemons since the start.
#[derive(Serialize)]
struct PeerDump {
    sent_bytes: u64,
    sent_packets: u64,
    dropped_packets: u64,
}

/// The state of a service.
#[derive(Serialize)]
struct ServiceDump<'a> {
    document: Revision,
    record: Option<&'a control::Record>,
    record_revision: Revision,
    route_deadline_ms: u64,
    table: Option<&'a Table>,
    control: Option<control::Status>,
    upstreams: BTreeMap<&'a Name, UpstreamDump>,
}

/// This daemon's requests in flight to an upstream and waiting for it, and the concurrency limit.
#[derive(Serialize)]
struct UpstreamDump {
    address: String,
    in_flight: u32,
    waiting: usize,
    limit: u32,
}

impl<S: Store> ControlThread<S> {
    /// Returns the complete state of this daemon as indented JSON.
    pub(crate) fn to_dump(&self) -> String {
        let now_ms = self.now_ms();
        let (sent_bytes, sent_packets, dropped_packets) = self.links.counts();
        let dump = Dump {
            instance: &self.settings.instance,
            data_centre: &self.settings.data_centre,
            incarnation: self.incarnation,
            clock_ms: now_ms,
            is_stopping: self.is_stopping,
            instances: self
                .members
                .live(now_ms)
                .map(|(name, member)| (name, &member.data_centre))
                .collect(),
            counters: Counter::all()
                .map(|(counter, name, _)| (name, self.traffic.counters.get(counter)))
                .collect(),
            peers: PeerDump { sent_bytes, sent_packets, dropped_packets },
            refused_fingerprints: self
                .traffic
                .crashes
                .refused()
                .iter()
                .map(|fingerprint| fingerprint.0)
                .collect(),
            services: self
                .services
                .iter()
                .map(|(name, state)| (name, ServiceDump::from_state(now_ms, state)))
                .collect(),
        };
        serde_json::to_string_pretty(&dump).unwrap_or_default()
    }
}

impl<'a> ServiceDump<'a> {
    fn from_state(now_ms: u64, state: &'a ServiceState) -> Self {
        let copy = state.control.record();
        Self {
            document: state.revision,
            record: copy.map(|copy| &*copy.record),
            record_revision: copy.map(|copy| copy.revision).unwrap_or_default(),
            route_deadline_ms: state.in_flight.route_deadline_ms(),
            table: state.table.as_deref(),
            control: state.control.status(now_ms),
            upstreams: state
                .upstreams
                .iter()
                .map(|(name, upstream)| {
                    let (in_flight, waiting, limit) = upstream.occupancy();
                    let address = upstream.server().address.to_string();
                    (name, UpstreamDump { address, in_flight, waiting, limit })
                })
                .collect(),
        }
    }
}
