//! Wins and renews the leader's lease.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use document::{Name, Revision};
use shard::Epoch;
use store::{Category, Expect, LeaseId, Store, Transaction};
use telemetry::{Counter, Counters};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::BootClock;
use crate::control::follow::{LEADER_KEY, jittered, list_records};
use crate::control::input::{Input, WonElection};

/// The length of the leader's lease, which is how long a lost leader delays the next election.
const LEASE_MS: u64 = 2_000;
/// How often the lease is renewed: four times within its length.
const RENEW_INTERVAL_MS: u64 = 450;
/// How long a renewal may take before it counts as failed.
const RENEW_TIMEOUT_MS: u64 = 350;
/// Subtracted from the lease for clocks that differ by two percent and for a late timer.
const LEASE_MARGIN_MS: u64 = 120;

/// Attempts to become the leader, and keeps the lease afterwards.
#[derive(Clone, Debug)]
pub(crate) struct Campaign<S> {
    pub(crate) store: S,
    pub(crate) instance: Name,
    pub(crate) min_lease_ms: u64,
    /// The expected entry of the leader: none, or this instance's own.
    pub(crate) expected_leader: Expect,
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
        let sent_at_ms = self.clock.now_ms();
        self.counters.add(Counter::StoreCalls, 2);
        let lease = self.store.open_lease(lease_ms).await?;
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
        let authority_deadline_ms = sent_at_ms + lease_ms - LEASE_MARGIN_MS;
        let predecessor = match self.expected_leader {
            Expect::At(revision) => Some(Epoch(revision.0)),
            Expect::Missing | Expect::Anything => None,
        };
        let epoch = Epoch(revision.0);
        Ok(WonElection { epoch, predecessor, lease, authority_deadline_ms, records })
    }

    /// Returns the revision of the leader's entry if this campaign wrote it.
    async fn read_own_revision(&self, text: &str) -> store::Result<Option<Revision>> {
        self.counters.count(Counter::StoreCalls);
        let value = self.store.read(LEADER_KEY).await?;
        Ok(value.filter(|value| value.text == text).map(|value| value.revision))
    }

    /// Renews the lease until it expires or the store no longer has it, and reports each attempt to
    /// the control thread.
    ///
    /// The time until which the lease is renewed is in `renewed_authority_ms` at once.
    pub(crate) async fn keep_lease(
        self,
        lease: LeaseId,
        mut authority_deadline_ms: u64,
        renewed_authority_ms: Arc<AtomicU64>,
    ) {
        let renew_timeout = Duration::from_millis(RENEW_TIMEOUT_MS);
        while self.clock.now_ms() < authority_deadline_ms {
            sleep(Duration::from_millis(jittered(RENEW_INTERVAL_MS))).await;
            let sent_at_ms = self.clock.now_ms();
            self.counters.count(Counter::StoreCalls);
            let input = match timeout(renew_timeout, self.store.renew_lease(lease)).await {
                Ok(Ok(())) => {
                    authority_deadline_ms = sent_at_ms + self.lease_ms() - LEASE_MARGIN_MS;
                    renewed_authority_ms.store(authority_deadline_ms, Ordering::Relaxed);
                    Input::LeaseRenewed { authority_deadline_ms }
                }
                Ok(Err(report)) if report.current_context().category() == Category::Missing => {
                    break;
                }
                Ok(Err(_)) | Err(_) => {
                    self.counters.count(Counter::StoreFailures);
                    Input::LeaseRenewalFailed
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
        LEASE_MS.max(self.min_lease_ms)
    }
}
