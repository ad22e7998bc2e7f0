//! The platform's part: which daemons get new connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use http::{Method, StatusCode};
use platform_standin::READINESS_PATH;
use tokio::time::{Duration, Instant, sleep_until};
use tokio_util::task::AbortOnDropHandle;
use web::{Call, Client};

use crate::{Cluster, Daemon};

/// The daemons of a run, as the platform sees them.
#[derive(Debug)]
pub struct Rotation {
    daemons: Vec<Arc<Target>>,
    _checks: Vec<AbortOnDropHandle<()>>,
}

/// A daemon as the platform sees it.
#[derive(Debug)]
struct Target {
    front: SocketAddr,
    ready: SocketAddr,
    /// The number of readiness checks in a row that the daemon missed.
    misses: AtomicU32,
}

/// How often the platform asks each daemon whether it is ready.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const CHECK_TIMEOUT_MS: u64 = 900;
/// After so many missed checks in a row a daemon gets no new connections.
const MAX_MISSES: u32 = 2;

impl Rotation {
    /// Starts the checks of all daemons of a cluster; no daemon is in rotation yet.
    #[must_use]
    pub fn start(cluster: &Cluster) -> Arc<Self> {
        let target = |daemon: &Daemon| {
            let misses = AtomicU32::new(MAX_MISSES);
            Arc::new(Target { front: daemon.front, ready: daemon.ready, misses })
        };
        let daemons: Vec<_> = cluster.daemons.iter().map(target).collect();
        let start_check = |target| AbortOnDropHandle::new(tokio::spawn(check(Arc::clone(target))));
        let checks = daemons.iter().map(start_check).collect();
        Arc::new(Self { daemons, _checks: checks })
    }

    /// Returns whether a daemon gets new connections.
    #[must_use]
    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.daemons[index].misses.load(Ordering::Relaxed) < MAX_MISSES
    }

    /// Returns the daemon to which a new connection of a caller goes, and its address.
    ///
    /// A caller stays with a daemon as long as the daemons in rotation are the same; its next
    /// attempt reaches another one.
    #[must_use]
    pub fn choose(&self, caller: u64, attempt: u64) -> (usize, SocketAddr) {
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        let ready: Vec<usize> =
            all.iter().copied().filter(|index| self.is_in_rotation(*index)).collect();
        // With fewer than half in rotation the platform uses all.
        let used = if ready.len() * 2 < all.len() { all } else { ready };
        let position = caller.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let count = u64::try_from(used.len()).unwrap_or(u64::MAX);
        let position = usize::try_from((position + attempt) % count).unwrap_or(0);
        let index = used[position];
        (index, self.daemons[index].front)
    }
}

/// Asks a daemon once a second whether it is ready.
async fn check(target: Arc<Target>) {
    let client = Client::new(target.ready);
    let mut next_check_at = Instant::now();
    loop {
        let call = Call::new(Method::GET, READINESS_PATH).timeout_ms(CHECK_TIMEOUT_MS);
        let answer = client.call(call).await;
        if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
            target.misses.store(0, Ordering::Relaxed);
        } else {
            target.misses.fetch_add(1, Ordering::Relaxed);
        }
        next_check_at += CHECK_INTERVAL;
        sleep_until(next_check_at).await;
    }
}
