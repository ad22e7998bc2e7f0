//! Watches of the store, and this instance's registration in it.

use std::sync::Arc;
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBuilder};
use document::Revision;
use store::{Category, Changes, Expect, Store};
use telemetry::{Counter, Counters};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::Settings;
use crate::input::Input;
use crate::members::InstanceEntry;

/// The prefix of the keys of documents.
pub(crate) const DOCUMENTS_PREFIX: &str = "docs/";
/// The prefix of the keys of instances' entries.
pub(crate) const INSTANCES_PREFIX: &str = "instances/";

/// How long one watch call waits for a change.
const WATCH_TIMEOUT_MS: u64 = 10_000;
/// How long the lease of an instance's entry lasts after a renewal.
const LEASE_TTL_MS: u64 = 10_000;
/// The interval at which that lease is renewed.
const RENEW_INTERVAL_MS: u64 = 3_000;

/// Sends every change under a prefix to the control thread, until that thread has stopped.
pub(crate) async fn follow<S: Store>(
    store: S,
    prefix: &'static str,
    counters: Arc<Counters>,
    inputs: mpsc::Sender<Input>,
    to_input: fn(Changes) -> Input,
) {
    let mut after = Revision(0);
    let mut backoff = backoffs();
    loop {
        counters.count(Counter::StoreCalls);
        match store.watch(prefix, after, WATCH_TIMEOUT_MS).await {
            Ok(changes) => {
                backoff = backoffs();
                after = after.max(changes.revision);
                if inputs.send(to_input(changes)).await.is_err() {
                    return;
                }
            }
            Err(report) => {
                counters.count(Counter::StoreFailures);
                if report.current_context().category() == Category::Compacted {
                    // The store no longer has all changes since `after`, so all values are read.
                    after = Revision(0);
                }
                sleep(backoff.next().unwrap_or(MAX_BACKOFF)).await;
            }
        }
    }
}

/// Keeps this instance's entry in the store, under a lease that is renewed.
pub(crate) async fn register<S: Store>(store: S, settings: Settings, counters: Arc<Counters>) {
    let entry =
        InstanceEntry { data_centre: settings.data_centre.clone(), address: settings.listen.peer };
    let Ok(text) = serde_json::to_string(&entry) else { return };
    let key = format!("{INSTANCES_PREFIX}{}", settings.instance);
    let mut backoff = backoffs();
    loop {
        counters.count(Counter::StoreCalls);
        if let Ok(lease) = store.open_lease(LEASE_TTL_MS).await
            && store.write(&key, Expect::Anything, &text, Some(lease)).await.is_ok()
        {
            backoff = backoffs();
            renew_until_lost(&store, lease, &counters).await;
        }
        counters.count(Counter::StoreFailures);
        sleep(backoff.next().unwrap_or(MAX_BACKOFF)).await;
    }
}

/// Renews a lease until the store reports that it no longer exists.
///
/// Other failures are retried at the next interval, since the lease may still exist.
async fn renew_until_lost<S: Store>(store: &S, lease: store::LeaseId, counters: &Counters) {
    loop {
        sleep(Duration::from_millis(RENEW_INTERVAL_MS)).await;
        counters.count(Counter::StoreCalls);
        if let Err(report) = store.renew_lease(lease).await
            && report.current_context().category() == Category::Missing
        {
            return;
        }
    }
}

const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Returns the backoffs between failed calls, with jitter so that daemons do not retry together.
fn backoffs() -> impl Iterator<Item = Duration> {
    ExponentialBuilder::default()
        .with_min_delay(MIN_BACKOFF)
        .with_max_delay(MAX_BACKOFF)
        .without_max_times()
        .with_jitter()
        .build()
}
