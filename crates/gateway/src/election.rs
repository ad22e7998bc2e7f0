//! How a daemon becomes the leader, and how it stays one.

use std::sync::Arc;
use std::time::Duration;

use document::{Name, Revision};
use shard::Epoch;
use store::{Category, Expect, LeaseId, Store, Transaction};
use telemetry::{Counter, Counters};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::BootClock;
use crate::follow::{LEADER, jittered, records};
use crate::input::{Input, Victory};

/// The length of the leader's lease: how long a lost leader stays in the way.
const LEASE_MS: u64 = 2_000;
/// How often the lease is kept: four times in its length.
const KEEP_MS: u64 = 450;
/// How long a renewal may take before the next one is sent.
const KEEP_LIMIT_MS: u64 = 350;
/// What is taken off the lease: clocks that differ by two percent, and a late timer.
const MARGIN_MS: u64 = 120;

/// What a campaign needs.
#[derive(Clone, Debug)]
pub(crate) struct Campaign<S> {
    pub(crate) store: S,
    pub(crate) instance: Name,
    pub(crate) least_lease_ms: u64,
    /// The entry of the leader that is replaced: none, or this instance's own.
    pub(crate) replaces: Expect,
    pub(crate) counters: Arc<Counters>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) clock: BootClock,
}

impl<S: Store> Campaign<S> {
    /// Tries to become the leader once.
    pub(crate) async fn run(self) {
        let result = self.stand().await;
        if let Err(report) = &result {
            spdlog::info!("not elected", kv: { cause = report.current_context().to_string() });
        }
        // Nobody listens only at the end of the process.
        drop(self.inputs.send(Input::Campaigned(result.ok())).await);
    }

    async fn stand(&self) -> store::Result<Victory> {
        let lease_ms = self.lease_ms();
        let sent_ms = self.clock.now_ms();
        self.counters.add(Counter::StoreCalls, 2);
        let lease = self.store.open_lease(lease_ms).await?;
        // The text is unlike any other campaign's, so that a lost reply can be settled.
        let text = format!("{} {:016x}", self.instance, rand::random::<u64>());
        let transaction =
            Transaction::new().expect(LEADER, self.replaces).put(LEADER, &text, Some(lease));
        let revision = match self.store.commit(&transaction).await {
            Ok(revision) => revision,
            Err(report) if report.current_context().category() == Category::Unknown => {
                self.settle(&text).await?.ok_or(report)?
            }
            Err(report) => {
                // It would lapse by itself; ending it only tidies up.
                drop(self.store.end_lease(lease).await);
                return Err(report);
            }
        };
        let records = records(&self.store, &self.counters).await?;
        let authority_deadline_ms = sent_ms + lease_ms - MARGIN_MS;
        Ok(Victory { epoch: Epoch(revision.0), lease, authority_deadline_ms, records })
    }

    /// Looks whether a write without a reply took effect.
    async fn settle(&self, text: &str) -> store::Result<Option<Revision>> {
        self.counters.count(Counter::StoreCalls);
        let value = self.store.read(LEADER).await?;
        Ok(value.filter(|value| value.text == text).map(|value| value.revision))
    }

    /// Keeps the lease until it has ended.
    pub(crate) async fn keep(self, lease: LeaseId, mut authority_deadline_ms: u64) {
        let limit = Duration::from_millis(KEEP_LIMIT_MS);
        while self.clock.now_ms() < authority_deadline_ms {
            sleep(Duration::from_millis(jittered(KEEP_MS))).await;
            let sent_ms = self.clock.now_ms();
            self.counters.count(Counter::StoreCalls);
            let input = match timeout(limit, self.store.renew_lease(lease)).await {
                Ok(Ok(())) => {
                    authority_deadline_ms = sent_ms + self.lease_ms() - MARGIN_MS;
                    Input::Kept { authority_deadline_ms }
                }
                Ok(Err(report)) if report.current_context().category() == Category::Missing => {
                    break;
                }
                Ok(Err(_)) | Err(_) => {
                    self.counters.count(Counter::StoreFailures);
                    Input::NotKept
                }
            };
            if self.inputs.send(input).await.is_err() {
                return;
            }
        }
        // Nobody listens only at the end of the process.
        drop(self.inputs.send(Input::LeaseEnded).await);
    }

    fn lease_ms(&self) -> u64 {
        LEASE_MS.max(self.least_lease_ms)
    }
}
