//! What a daemon follows in the platform's service.

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
use crate::members::Listing;

/// The prefix of the documents' keys.
pub(crate) const DOCUMENTS: &str = "docs/";
/// The prefix of the instances' keys.
pub(crate) const INSTANCES: &str = "instances/";

/// How long one watch waits.
const WATCH_MS: u64 = 10_000;
/// The length of the lease of an instance's entry.
const LEASE_MS: u64 = 10_000;
/// How often that lease is kept.
const KEEP_MS: u64 = 3_000;

/// Passes on every change under a prefix, as long as somebody listens.
pub(crate) async fn follow<S: Store>(
    store: S,
    prefix: &'static str,
    counters: Arc<Counters>,
    inputs: mpsc::Sender<Input>,
    to_input: fn(Changes) -> Input,
) {
    let mut after = Revision(0);
    let mut backoff = pauses();
    loop {
        counters.count(Counter::StoreCalls);
        match store.watch(prefix, after, WATCH_MS).await {
            Ok(changes) => {
                backoff = pauses();
                after = after.max(changes.revision);
                if inputs.send(to_input(changes)).await.is_err() {
                    return;
                }
            }
            Err(report) => {
                counters.count(Counter::StoreFailures);
                if report.current_context().category() == Category::Compacted {
                    // What changed meanwhile is no longer known; everything is read again.
                    after = Revision(0);
                }
                sleep(backoff.next().unwrap_or(MOST_PAUSE)).await;
            }
        }
    }
}

/// Keeps this instance's entry in the platform's service.
pub(crate) async fn register<S: Store>(store: S, settings: Settings, counters: Arc<Counters>) {
    let listing =
        Listing { data_centre: settings.data_centre.clone(), address: settings.listen.peer };
    let Ok(text) = serde_json::to_string(&listing) else { return };
    let key = format!("{INSTANCES}{}", settings.instance);
    let mut backoff = pauses();
    loop {
        counters.count(Counter::StoreCalls);
        if let Ok(lease) = store.open_lease(LEASE_MS).await
            && store.write(&key, Expect::Anything, &text, Some(lease)).await.is_ok()
        {
            backoff = pauses();
            keep(&store, lease, &counters).await;
        }
        counters.count(Counter::StoreFailures);
        sleep(backoff.next().unwrap_or(MOST_PAUSE)).await;
    }
}

/// Keeps a lease until it is gone.
async fn keep<S: Store>(store: &S, lease: store::LeaseId, counters: &Counters) {
    loop {
        sleep(Duration::from_millis(KEEP_MS)).await;
        counters.count(Counter::StoreCalls);
        if let Err(report) = store.renew_lease(lease).await
            && report.current_context().category() == Category::Missing
        {
            return;
        }
    }
}

const LEAST_PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_secs(2);

/// Returns the pauses between failed calls; they vary, so that daemons spread out.
fn pauses() -> impl Iterator<Item = Duration> {
    ExponentialBuilder::default()
        .with_min_delay(LEAST_PAUSE)
        .with_max_delay(MOST_PAUSE)
        .without_max_times()
        .with_jitter()
        .build()
}
