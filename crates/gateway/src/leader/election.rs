//! Wins and renews the leader's lease.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use document::{Name, Revision};
use shard::Epoch;
use store::{Category, Era, Expect, LeaseId, Store, Transaction};
use telemetry::{Counter, Counters};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::BootClock;
use crate::control::follow::{LEADER_KEY, jittered, list_records};
use crate::control::input::{Input, WonElection};

/// The length of the leader's lease, which is how long a lost leader delays the next election.
const LEASE_MS: u64 = 2_000;
/// How often the lease is renewed.
///
/// A store that comes back older is without a leader that knows the holders if it was away for longer
/// than the authority that is left, which is least just before a renewal.
const RENEW_INTERVAL_MS: u64 = 200;
/// How long after a failed renewal the next one is sent.
const RETRY_INTERVAL_MS: u64 = 50;
/// How long a renewal may take before it counts as failed.
const RENEW_TIMEOUT_MS: u64 = 350;
/// How many renewals in a row have to fail until the store counts as not answering; one answer may be lost.
const MIN_FAILURES: u32 = 2;
/// How long the store has not renewed the lease when it counts as not answering, and how often this is
/// reported.
const FAILURE_INTERVAL_MS: u64 = 450;
/// Subtracted from the lease for clocks that differ by two percent and for a late timer.
const LEASE_MARGIN_MS: u64 = 120;
/// An era adds 2^20 to epochs, more than the revisions that a store gives out in the seconds that its
/// copy lacks.
const ERA_SHIFT: u32 = 20;
/// Later eras do not raise epochs, whose fences would not fit into 63 bits.
const MAX_ERA: u64 = 1 << 22;

/// Attempts to become the leader, and keeps the lease afterwards.
#[derive(Clone, Debug)]
pub(crate) struct Campaign<S> {
    pub(crate) store: S,
    pub(crate) instance: Name,
    pub(crate) min_lease_ms: u64,
    /// The expected entry of the leader: none, or this instance's own.
    pub(crate) expected_leader: Expect,
    /// The era of the store that is known; the campaign fails in any other.
    pub(crate) era: Option<Era>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) clock: BootClock,
}

impl<S: Store> Campaign<S> {
    /// Tries once to become the leader.
    pub(crate) async fn run(self) {
        let result = self.try_election().await;
        if let Err(report) = &result {
            spdlog::info!("campaign failed", kv: { cause = report.current_context().to_string() });
        }
        // The receiver is closed only while the process exits.
        drop(self.inputs.send(Input::CampaignEnded(result.ok())).await);
    }

    async fn try_election(&self) -> store::Result<WonElection> {
        let lease_ms = self.lease_ms();
        let era = self.store.era();
        self.check_era(&era)?;
        let sent_at_ms = self.clock.now_ms();
        self.counters.add(Counter::StoreCalls, 2);
        let lease = self.store.open_lease(lease_ms).await?;
        self.check_era(&era)?;
        // The random text identifies this campaign's write when the reply is lost.
        let text = format!("{} {:016x}", self.instance, rand::random::<u64>());
        let transaction = Transaction::new().expect(LEADER_KEY, self.expected_leader).put(
            LEADER_KEY,
            &text,
            Some(lease),
        );
        let revision = match self.store.commit(&transaction).await {
            Ok(revision) => revision,
            Err(report) if report.current_context().category() == Category::Unknown => {
                self.read_own_revision(&text).await?.ok_or(report)?
            }
            Err(report) => {
                // The lease would expire by itself; ending it is only faster.
                drop(self.store.end_lease(lease).await);
                return Err(report);
            }
        };
        let records = list_records(&self.store, &self.counters).await?;
        // An entry or lease of an earlier era is gone, and its records are older than the grants.
        self.check_era(&era)?;
        let authority_deadline_ms = sent_at_ms + lease_ms - LEASE_MARGIN_MS;
        let predecessor = match self.expected_leader {
            Expect::At(revision) => Some(to_epoch(self.era, revision)),
            Expect::Missing | Expect::Anything => None,
        };
        let epoch = to_epoch(self.era, revision);
        Ok(WonElection {
            epoch,
            era: self.era,
            entry_revision: revision,
            predecessor,
            lease,
            authority_deadline_ms,
            records,
        })
    }

    /// Fails if an answer has named another era than the known one.
    fn check_era(&self, newest: &watch::Receiver<Option<Era>>) -> store::Result<()> {
        if *newest.borrow() == self.era {
            return Ok(());
        }
        store::Error::fail(Category::Unknown, "the store came back from an older copy")
    }

    /// Returns the revision of the leader's entry if this campaign wrote it.
    async fn read_own_revision(&self, text: &str) -> store::Result<Option<Revision>> {
        self.counters.count(Counter::StoreCalls);
        let value = self.store.read(LEADER_KEY).await?;
        Ok(value.filter(|value| value.text == text).map(|value| value.revision))
    }

    /// Renews the lease until it expires or the store no longer has it, and reports to the control thread
    /// each renewal, and when renewals fail.
    ///
    /// The time until which the lease is renewed is in `renewed_authority_ms` at once.
    pub(crate) async fn keep_lease(
        self,
        lease: LeaseId,
        mut authority_deadline_ms: u64,
        renewed_authority_ms: Arc<AtomicU64>,
    ) {
        let renew_timeout = Duration::from_millis(RENEW_TIMEOUT_MS);
        let era = self.store.era();
        let mut failures = RenewalFailures::since(self.clock.now_ms());
        while self.clock.now_ms() < authority_deadline_ms {
            sleep(Duration::from_millis(jittered(failures.renewal_delay_ms()))).await;
            let sent_at_ms = self.clock.now_ms();
            self.counters.count(Counter::StoreCalls);
            let input = match timeout(renew_timeout, self.store.renew_lease(lease)).await {
                // The number of the lease may be another daemon's in the next era.
                _ if *era.borrow() != self.era => break,
                Ok(Ok(())) => {
                    authority_deadline_ms = sent_at_ms + self.lease_ms() - LEASE_MARGIN_MS;
                    renewed_authority_ms.store(authority_deadline_ms, Ordering::Relaxed);
                    failures = RenewalFailures::since(sent_at_ms);
                    Input::LeaseRenewed { authority_deadline_ms }
                }
                Ok(Err(report)) if report.current_context().category() == Category::Missing => {
                    break;
                }
                Ok(Err(_)) | Err(_) => {
                    self.counters.count(Counter::StoreFailures);
                    match failures.add(self.clock.now_ms()) {
                        Failure::Retry => continue,
                        Failure::Report => Input::LeaseRenewalFailed,
                    }
                }
            };
            if self.inputs.send(input).await.is_err() {
                return;
            }
        }
        // The receiver is closed only while the process exits.
        drop(self.inputs.send(Input::LeaseEnded).await);
    }

    fn lease_ms(&self) -> u64 {
        lease_ms(self.min_lease_ms)
    }
}

/// The renewals that have failed since the last one that succeeded.
#[derive(Debug)]
struct RenewalFailures {
    count: u32,
    report_at_ms: u64,
}

/// What follows from a failed renewal.
enum Failure {
    Retry,
    /// The store does not answer, which the control thread is to know.
    Report,
}

impl RenewalFailures {
    /// Starts to count at a renewal that succeeded.
    fn since(renewed_ms: u64) -> Self {
        Self { count: 0, report_at_ms: renewed_ms + FAILURE_INTERVAL_MS }
    }

    fn renewal_delay_ms(&self) -> u64 {
        if self.count == 0 { RENEW_INTERVAL_MS } else { RETRY_INTERVAL_MS }
    }

    fn add(&mut self, now_ms: u64) -> Failure {
        self.count = self.count.saturating_add(1);
        if self.count < MIN_FAILURES || now_ms < self.report_at_ms {
            return Failure::Retry;
        }
        self.report_at_ms = now_ms + FAILURE_INTERVAL_MS;
        Failure::Report
    }
}

/// Returns the length of the leader's lease.
pub(crate) fn lease_ms(min_lease_ms: u64) -> u64 {
    LEASE_MS.max(min_lease_ms)
}

/// Returns the epoch of a leader whose entry has a revision.
///
/// It rises over eras too, in which revisions are given out again.
pub(crate) fn to_epoch(era: Option<Era>, entry_revision: Revision) -> Epoch {
    Epoch(entry_revision.0.saturating_add(first_of_era(era)))
}

/// Returns the revision of the entry of a leader that was elected in an era.
pub(crate) fn to_entry_revision(era: Option<Era>, epoch: Epoch) -> Revision {
    Revision(epoch.0.saturating_sub(first_of_era(era)))
}

fn first_of_era(era: Option<Era>) -> u64 {
    era.map_or(0, |era| era.0.min(MAX_ERA) << ERA_SHIFT)
}
