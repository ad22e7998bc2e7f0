//! Carries out what the leader decides.

use std::sync::atomic::AtomicU64;

use document::{Name, Revision};
use peer::{FleetBody, ServiceLoad, Tables};
use shard::{
    Config, ConnectionId, Epoch, Event, Leader, LogEvent, Output, Record, Servers, UnansweredGrant,
};
use store::{Category, Expect, Store, Transaction};
use telemetry::Counter;
use tokio_util::task::AbortOnDropHandle;

use crate::control::follow::{LEADER_KEY, RECORDS_PREFIX};
use crate::control::input::{Input, StoredRecord, WonElection, WriteOutcome};
use crate::control::node::Node;
use crate::leader::distribution::publication_transit_ms;
use crate::leader::leader_state::LeaderState;
use crate::{Orders, Source};

/// How often tables are published even when nothing changes.
const PUBLISH_INTERVAL_MS: u64 = 300;
/// The least time between two publications. Each costs a message to every daemon.
const MIN_PUBLISH_INTERVAL_MS: u64 = 20;
/// How many grants or ranges are logged when a term begins or ends.
const MAX_LOGGED_GRANTS: usize = 64;
/// The largest number of reads that [`read_write_outcome`] makes.
const MAX_OUTCOME_READS: u32 = 2;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Starts to lead after a won election.
    pub(crate) fn start_leading(&mut self, mut election: WonElection) {
        let now_ms = self.clock.now_ms();
        self.drop_older_records(&mut election);
        let WonElection {
            epoch,
            era,
            entry_revision,
            predecessor,
            lease,
            authority_deadline_ms,
            records,
        } = election;
        let resigned = self.resigned.take().filter(|resigned| Some(resigned.epoch) == predecessor);
        spdlog::info!(
            "elected leader",
            kv: { epoch = epoch.0, records = records.len(), predecessor_resigned = resigned.is_some() }
        );
        self.shared.counters.count(Counter::Elections);
        log_moves(epoch, &records);
        let config = self.shard_config();
        let revisions =
            records.iter().map(|stored| (stored.service.clone(), stored.revision)).collect();
        let (readable, unreadable): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|stored| stored.record.is_some());
        let readable = readable.into_iter();
        let records: Vec<(Name, Record)> =
            readable.filter_map(|stored| Some((stored.service, stored.record?))).collect();
        let mut leader = Leader::new(epoch, now_ms, authority_deadline_ms, &records, config);
        for stored in unreadable {
            leader.add_unknown_service(now_ms, &stored.service);
        }
        if let Some(resigned) = resigned {
            leader.limit_earlier_grants(resigned.grants_deadline_ms);
        }
        let renewed_authority_ms = std::sync::Arc::new(AtomicU64::new(authority_deadline_ms));
        let lease_keeper = self.campaign().keep_lease(
            lease,
            authority_deadline_ms,
            std::sync::Arc::clone(&renewed_authority_ms),
        );
        let lease_keeper = tokio::spawn(lease_keeper);
        let lease_keeper = AbortOnDropHandle::new(lease_keeper);
        let mut leading = LeaderState::new(
            leader,
            (lease, era, entry_revision),
            revisions,
            renewed_authority_ms,
            lease_keeper,
        );
        if let Some(version) = self.tables_version {
            let known = self.tables.iter().map(|(name, table)| (name.clone(), (**table).clone()));
            leading.continue_from(version, known.collect());
        }
        self.leading = Some(leading);
        self.continue_in_era(now_ms);
        self.add_keyed_services();
        self.step(Event::Tick);
    }

    /// Returns the configuration of a leader on this daemon.
    pub(crate) fn shard_config(&self) -> Config {
        Config {
            max_grant_ms: self.settings.max_grant_ms,
            release_delay_ms: publication_transit_ms(self.daemons.len()),
            ..Config::default()
        }
    }

    /// Has the leader assign keys for every keyed service of the site.
    pub(crate) fn add_keyed_services(&mut self) {
        let (Some(leading), Some(site)) = (&mut self.leading, &self.site) else { return };
        for service in site.services().filter(|service| service.is_keyed) {
            leading.add_service(&service.name);
        }
    }

    /// Adds reported load to what the leader knows of keys and servers.
    pub(crate) fn add_load(&mut self, loads: &[ServiceLoad]) {
        let now_ms = self.clock.now_ms();
        let Some(leading) = &mut self.leading else { return };
        leading.forget_old_limits(now_ms);
        for load in loads {
            for server in &load.servers {
                let registration = self.registry.get(&server.incarnation);
                let slots = registration.map_or(1, |registration| registration.slots);
                leading.on_server_load(now_ms, server, slots);
            }
            let Some(keys) = leading.leader.load_mut(&load.service) else { continue };
            for (key, work_us) in &load.keys {
                keys.add(*key, to_ms(*work_us));
            }
        }
    }

    /// Passes an event to the leader and carries out its outputs.
    pub(crate) fn step(&mut self, event: Event) {
        let now_ms = self.clock.now_ms();
        let Some(leading) = &mut self.leading else { return };
        let servers = Servers { registry: &self.registry, speeds: &leading.speeds };
        let outputs = leading.leader.step(now_ms, servers, event);
        leading.is_publication_due |=
            outputs.iter().any(|output| matches!(output, Output::Publish { .. }));
        for output in outputs {
            match output {
                Output::Order { id, server, kind, deadline_ms, connection } => {
                    self.shared.counters.count(Counter::Orders);
                    self.send_order(id, server, kind, deadline_ms, connection);
                }
                Output::Write { service, record } => self.write_record(service, record),
                Output::Publish { .. } => {}
                Output::Deposed => {
                    self.resign("a server has seen a higher fence");
                    return;
                }
                Output::Log(event) => log(&event),
            }
        }
        self.publish_if_due(now_ms);
    }

    /// Sends an order in a task of its own, so that it has an outcome even if that task panics.
    ///
    /// Without one, its server would get no more grants of the range in this epoch.
    fn send_order(
        &self,
        id: shard::OrderId,
        server: std::sync::Arc<registry::Registration>,
        kind: shard::OrderKind,
        deadline_ms: u64,
        connection: Option<ConnectionId>,
    ) {
        let Some(leading) = &self.leading else { return };
        let authority_deadline_ms = leading.leader.authority_deadline_ms();
        let (clock, orders, inputs) = (self.clock, self.orders.clone(), self.inputs.clone());
        tokio::spawn(async move {
            let now_ms = clock.now_ms();
            // The process may have been suspended or busy since the leader decided.
            let reply = if now_ms >= authority_deadline_ms || now_ms >= deadline_ms {
                shard::Reply::NotSent
            } else {
                let timeout_ms = deadline_ms.saturating_sub(now_ms);
                let name = server.incarnation.server.clone();
                let sending = tokio::spawn(async move {
                    orders.send(server.address, &name, &kind, timeout_ms, connection).await
                });
                sending.await.unwrap_or_else(|error| {
                    let cause = error.to_string();
                    spdlog::error!("order ended without an outcome", kv: { epoch = id.epoch.0, number = id.number, cause });
                    shard::Reply::Unknown
                })
            };
            // The receiver is closed only while the process exits.
            drop(inputs.send(Input::OrderAnswered(id, reply)).await);
        });
    }

    fn write_record(&self, service: Name, record: Record) {
        let Some(leading) = &self.leading else { return };
        let (epoch, era, entry_revision) =
            (leading.leader.epoch(), leading.era, leading.entry_revision);
        let expect = leading.revisions.get(&service).copied().map_or(Expect::Missing, Expect::At);
        let key = format!("{RECORDS_PREFIX}{service}");
        let transaction = Transaction::new()
            .expect(LEADER_KEY, Expect::At(entry_revision))
            .expect(&key, expect)
            .put(&key, &record.to_text_in_era(era.map_or(0, |era| era.0)), None);
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let counters = std::sync::Arc::clone(&self.shared.counters);
        tokio::spawn(async move {
            counters.count(Counter::StoreCalls);
            let outcome = match store.commit(&transaction).await {
                Ok(revision) => WriteOutcome::Done(revision),
                Err(report) => {
                    counters.count(Counter::StoreFailures);
                    match report.current_context().category() {
                        Category::Refused | Category::Compacted => {
                            WriteOutcome::Failed { revision: None, is_ruled_out: true }
                        }
                        Category::Conflict | Category::Missing | Category::Unknown => {
                            counters.add(Counter::StoreCalls, u64::from(MAX_OUTCOME_READS));
                            read_write_outcome(
                                &store,
                                &key,
                                (epoch, entry_revision),
                                expect,
                                &record,
                            )
                            .await
                        }
                    }
                }
            };
            let number = record.number;
            // The receiver is closed only while the process exits.
            drop(inputs.send(Input::RecordWritten { service, epoch, number, outcome }).await);
        });
    }

    /// Handles the outcome of writing a record.
    pub(crate) fn on_record_written(
        &mut self,
        service: Name,
        epoch: Epoch,
        number: u64,
        outcome: WriteOutcome,
    ) {
        let leading = self.leading.as_mut();
        let Some(leading) = leading.filter(|leading| leading.leader.epoch() == epoch) else {
            return;
        };
        match outcome {
            WriteOutcome::Done(revision) => {
                leading.revisions.insert(service.clone(), revision);
                self.step(Event::RecordWritten { service, epoch, number });
            }
            WriteOutcome::Failed { revision, is_ruled_out } => {
                spdlog::warn!(
                    "failed to write record",
                    kv: { service = service.as_str(), number, is_ruled_out }
                );
                if let Some(revision) = revision {
                    leading.revisions.insert(service.clone(), revision);
                }
                self.step(Event::RecordWriteFailed { service, epoch, is_ruled_out });
            }
            WriteOutcome::Deposed => self.resign("the store names another leader"),
        }
    }

    /// Publishes the owners of all keys when they have changed or the interval has passed.
    pub(crate) fn publish_if_due(&mut self, now_ms: u64) {
        let Some(leading) = &mut self.leading else { return };
        let is_due = leading.is_publication_due || now_ms >= leading.publish_at_ms;
        if !is_due || now_ms < leading.published_at_ms + MIN_PUBLISH_INTERVAL_MS {
            return;
        }
        leading.is_publication_due = false;
        leading.published_at_ms = now_ms;
        leading.publish_at_ms = now_ms + PUBLISH_INTERVAL_MS;
        let changes = leading.publish(now_ms);
        let Some(complete) = leading.published_tables() else { return };
        let daemons = self.daemons.iter();
        let daemons = daemons.map(|(name, daemon)| (name.clone(), daemon.data_centre.clone()));
        let recipients = leading.distribution.next(now_ms, &self.settings.instance, daemons);
        if recipients.is_complete || !recipients.complete.is_empty() {
            let body = to_body(&complete, now_ms);
            let to =
                if recipients.is_complete { &recipients.publication } else { &recipients.complete };
            self.send_to(to, &body);
        }
        if !recipients.is_complete {
            self.send_to(&recipients.publication, &to_body(&changes, now_ms));
        }
        self.on_own_tables(complete);
    }

    /// Handles a daemon's request for complete tables.
    pub(crate) fn on_tables_request(&mut self, daemon: &Name) {
        let now_ms = self.clock.now_ms();
        let Some(leading) = &mut self.leading else { return };
        leading.distribution.on_request(now_ms, daemon);
        leading.is_publication_due = true;
    }
}

/// Returns a message with the tables, whose times become relative.
pub(crate) fn to_body(tables: &Tables, now_ms: u64) -> FleetBody {
    let relative = tables.tables.iter();
    let relative = relative.map(|(name, table)| (name.clone(), table.to_relative(now_ms)));
    FleetBody::Tables(Tables { tables: relative.collect(), ..tables.clone() })
}

/// Reads the store to find out whether a write took effect and whether this daemon still leads.
async fn read_write_outcome<S: Store>(
    store: &S,
    key: &str,
    (epoch, entry_revision): (Epoch, Revision),
    expected: Expect,
    record: &Record,
) -> WriteOutcome {
    let unknown = WriteOutcome::Failed { revision: None, is_ruled_out: false };
    let Ok(leader) = store.read(LEADER_KEY).await else { return unknown };
    if leader.is_none_or(|leader| leader.revision != entry_revision) {
        return WriteOutcome::Deposed;
    }
    match store.read(key).await {
        Ok(Some(value)) => {
            let is_ours = Record::from_text(&value.text)
                .is_some_and(|stored| stored.is_by(epoch) && stored.number == record.number);
            if is_ours {
                WriteOutcome::Done(value.revision)
            } else {
                // The write expects a revision; once there is another, it can no longer succeed.
                let is_ruled_out = expected != Expect::At(value.revision);
                WriteOutcome::Failed { revision: Some(value.revision), is_ruled_out }
            }
        }
        Ok(None) | Err(_) => unknown,
    }
}

/// Logs the ranges that were moving when the last record was written.
fn log_moves(epoch: Epoch, records: &[StoredRecord]) {
    for stored in records {
        let ranges = stored.record.iter().flat_map(|record| &record.ranges);
        let moving = ranges.filter(|recorded| !recorded.previous.is_empty());
        for recorded in moving.take(MAX_LOGGED_GRANTS) {
            let previous: Vec<String> = recorded.previous.iter().map(ToString::to_string).collect();
            spdlog::info!(
                "range taken over while it moves",
                kv: {
                    epoch = epoch.0, service = stored.service.as_str(), range: = recorded.range,
                    owner: = recorded.owner, previous = previous.join(" ")
                }
            );
        }
    }
}

/// Logs the grants without an outcome when a leader's term ends.
pub(crate) fn log_unanswered(epoch: Epoch, grants: &[UnansweredGrant], now_ms: u64) {
    for grant in grants.iter().take(MAX_LOGGED_GRANTS) {
        spdlog::warn!(
            "grant without an outcome",
            kv: {
                epoch = epoch.0, service = grant.service.as_str(), range: = grant.range, to: = grant.to,
                fence = grant.fence.0, is_given_up = grant.is_given_up,
                left_ms = grant.deadline_ms.saturating_sub(now_ms)
            }
        );
    }
}

fn log(event: &LogEvent) {
    match event {
        LogEvent::Planned { service, range, from, to, reason } => {
            let from = from.as_ref().map_or_else(|| "nobody".to_owned(), ToString::to_string);
            spdlog::info!(
                "range is to move",
                kv: { service = service.as_str(), range: = range, from, to: = to, why:? = reason }
            );
        }
        LogEvent::Balance { service, ranges, load, hottest, capacity, busiest, idlest } => {
            spdlog::info!(
                "balance",
                kv: {
                    service = service.as_str(), ranges = *ranges, load: = load, capacity: = capacity,
                    hottest = hottest.0, hottest_load: = hottest.1,
                    busiest: = busiest.0, busiest_part: = busiest.1, idlest: = idlest.0, idlest_part: = idlest.1
                }
            );
        }
        LogEvent::Granted { service, range, to, fence, grant_ms, previous } => {
            let last = previous.last();
            let (before, evidence, ended_at_ms) = last.map_or_else(
                || ("nobody".to_owned(), "none".to_owned(), 0),
                |ended| {
                    (ended.incarnation.to_string(), format!("{:?}", ended.evidence), ended.at_ms)
                },
            );
            let earlier =
                previous.iter().rev().skip(1).map(|ended| {
                    format!("{} {:?} {}", ended.incarnation, ended.evidence, ended.at_ms)
                });
            let earlier = earlier.collect::<Vec<_>>().join("; ");
            spdlog::info!(
                "range granted",
                kv: {
                    service = service.as_str(), range: = range, to: = to, fence = fence.0,
                    hold_ms = *grant_ms, before, evidence, ended_at_ms, earlier
                }
            );
        }
        LogEvent::Released { service, range, by, fence, waited_ms } => {
            spdlog::info!(
                "range released",
                kv: {
                    service = service.as_str(), range: = range, by: = by, fence = fence.0,
                    waited_ms = *waited_ms
                }
            );
        }
        LogEvent::GrantLengthChanged { store_answers, grant_ms } => {
            spdlog::info!("grants from now on", kv: { store_answers = *store_answers, hold_ms = *grant_ms });
        }
        LogEvent::Expired { service, range, from, evidence } => {
            spdlog::warn!(
                "grant ran out",
                kv: { service = service.as_str(), range: = range, from: = from, evidence:? = evidence }
            );
        }
        LogEvent::GivenUp { service, range, to, fence, waited_ms } => {
            spdlog::info!(
                "order given up",
                kv: { service = service.as_str(), range: = range, to: = to, fence = fence.0, waited_ms = *waited_ms }
            );
        }
        LogEvent::UnexpiredGrant { service, range, to, fence, left_ms, next } => {
            spdlog::warn!(
                "range given on before the time of an unanswered grant has passed",
                kv: {
                    service = service.as_str(), range: = range, to: = to, fence = fence.0,
                    left_ms = *left_ms, next: = next
                }
            );
        }
        LogEvent::Refused { service, range, by, fence } => {
            spdlog::warn!(
                "fence refused",
                kv: { service = service.as_str(), range: = range, by: = by, fence = fence.0 }
            );
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "the work of a report is small")]
fn to_ms(work_us: u32) -> f32 {
    work_us as f32 / 1_000.0
}
