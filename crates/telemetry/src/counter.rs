//! The counters of a daemon.

use std::sync::atomic::{AtomicU64, Ordering};

/// A kind of event that a daemon counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counter {
    /// Requests that arrived.
    Requests,
    /// Requests that a server answered.
    Answered,
    /// Refused requests that certainly did not run.
    RefusedNotRun,
    /// Refused requests whose outcome is unknown.
    RefusedUnknown,
    /// Attempts after the first one of a request.
    Retries,
    /// Attempts that a server refused because of a stale fence epoch.
    Fenced,
    /// Attempts that an overloaded server shed.
    Shed,
    /// Attempts whose connection a full server reset.
    Resets,
    /// Attempts that crashed the server.
    Crashes,
    /// Requests that waited for their key to get an owner.
    WaitedForOwner,
    /// Requests that waited in a queue for a slot.
    WaitedForSlot,
    /// Connections opened to servers.
    Connections,
    /// Requests passed on to another daemon.
    Detours,
    /// Answers that broke off before their end.
    CutOff,
    /// Routing tables put in force.
    Tables,
    /// Documents put in force.
    Documents,
    /// Documents that were refused as not valid, whatever their source.
    DocumentsRefused,
    /// Times that this daemon became the controller of a service.
    Elections,
    /// Calls to the store.
    StoreCalls,
    /// Calls to the store that failed.
    StoreFailures,
    /// Orders sent to servers.
    Orders,
    /// Orders that servers did not answer.
    OrdersFailed,
    /// Evacuations of data centres that started or ended.
    EvacuationChanges,
    /// Packets received from other daemons, and those that this daemon sent to itself.
    Packets,
    /// Turns of requests at cold servers.
    ColdTurns,
    /// Requests that found no turn at a cold server in time.
    ColdTurnsRefused,
    /// Answers whose reported load could not be read.
    MalformedLoads,
    /// Servers' entries that were read or relayed and describe no usable server.
    UnusableEntries,
    /// Answers that were passed on as they arrived, because there was no room to buffer them.
    AnswersWithoutRoom,
    /// Requests that were refused because there was no room for their bodies.
    BodiesWithoutRoom,
}

/// All counters with their metric names and descriptions.
///
/// Every variant must be listed: the length is also that of [`Counters`], which is indexed by
/// the variants.
const COUNTERS: [(Counter, &str, &str); 30] = [
    (Counter::Requests, "verbena_requests", "requests that arrived"),
    (Counter::Answered, "verbena_answered", "requests that a server answered"),
    (Counter::RefusedNotRun, "verbena_refused_not_run", "requests that certainly did not run"),
    (Counter::RefusedUnknown, "verbena_refused_unknown", "requests whose outcome is not known"),
    (Counter::Retries, "verbena_retries", "attempts after the first one"),
    (Counter::Fenced, "verbena_fenced", "attempts refused because of the fence epoch"),
    (Counter::Shed, "verbena_shed", "attempts that a server shed"),
    (Counter::Resets, "verbena_resets", "attempts whose connection a full server reset"),
    (Counter::Crashes, "verbena_crashes", "attempts that crashed the server"),
    (Counter::WaitedForOwner, "verbena_waited_for_owner", "requests that waited for an owner"),
    (Counter::WaitedForSlot, "verbena_waited_for_slot", "requests that waited for a slot"),
    (Counter::Connections, "verbena_connections", "connections opened to servers"),
    (Counter::Detours, "verbena_detours", "requests passed on to another daemon"),
    (Counter::CutOff, "verbena_cut_off", "answers cut off in the middle"),
    (Counter::Tables, "verbena_tables", "routing tables put in force"),
    (Counter::Documents, "verbena_documents", "documents put in force"),
    (Counter::DocumentsRefused, "verbena_documents_refused", "documents that were refused"),
    (Counter::Elections, "verbena_elections", "times this daemon became a controller"),
    (Counter::StoreCalls, "verbena_store_calls", "calls to the store"),
    (Counter::StoreFailures, "verbena_store_failures", "calls to the store that failed"),
    (Counter::Orders, "verbena_orders", "orders sent to servers"),
    (Counter::OrdersFailed, "verbena_orders_failed", "orders that stayed unanswered"),
    (Counter::EvacuationChanges, "verbena_evacuation_changes", "evacuations started or ended"),
    (Counter::Packets, "verbena_packets", "packets from other daemons"),
    (Counter::ColdTurns, "verbena_cold_turns", "turns of requests at cold servers"),
    (
        Counter::ColdTurnsRefused,
        "verbena_cold_turns_refused",
        "requests without a turn at a cold server",
    ),
    (Counter::MalformedLoads, "verbena_malformed_loads", "reported loads that were not readable"),
    (Counter::UnusableEntries, "verbena_unusable_entries", "servers' entries that were not usable"),
    (
        Counter::AnswersWithoutRoom,
        "verbena_answers_without_room",
        "answers that there was no room to buffer",
    ),
    (
        Counter::BodiesWithoutRoom,
        "verbena_bodies_without_room",
        "requests refused because there was no room for their bodies",
    ),
];

/// The counter values of one daemon.
#[derive(Debug, Default)]
pub struct Counters {
    values: [AtomicU64; COUNTERS.len()],
}

impl Counter {
    /// Returns all counters with their metric names and descriptions.
    pub fn all() -> impl Iterator<Item = (Self, &'static str, &'static str)> {
        COUNTERS.into_iter()
    }
}

impl Counters {
    /// Adds an amount to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}
