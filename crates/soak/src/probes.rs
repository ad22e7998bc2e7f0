//! Which connections of this machine have keepalive probes.

use std::collections::HashSet;

use tokio::sync::Mutex;
use tokio::task::spawn_blocking;
use tokio::time::{Duration, Instant};

/// Local and remote port of each connection with probes, and when the list was read.
type Listed = Option<(Instant, HashSet<(u16, u16)>)>;

/// The list that all links of the process share.
///
/// Reading it takes up to 100 ms while the machine has 40,000 connections, closed ones included.
static LISTED: Mutex<Listed> = Mutex::const_new(None);
/// How long a list is used.
const MAX_AGE: Duration = Duration::from_millis(500);
/// Where Linux lists the connections of this network namespace.
const CONNECTIONS: &str = "/proc/net/tcp";
/// State of an established connection.
const ESTABLISHED: &str = "01";
/// Number of the timer for keepalive probes, which runs while nothing is unacknowledged.
const KEEPALIVE_TIMER: &str = "02:";

/// Returns whether the kernel is to send keepalive probes on a connection of this machine.
pub(crate) async fn is_probed(from: u16, to: u16) -> bool {
    let mut listed = LISTED.lock().await;
    let probed = match &mut *listed {
        Some((read_at, probed)) if read_at.elapsed() < MAX_AGE => probed,
        // No list is an empty one: on systems without it, no connection is given up.
        stale => {
            let probed = spawn_blocking(read).await.unwrap_or_default();
            &mut stale.insert((Instant::now(), probed)).1
        }
    };
    probed.contains(&(from, to))
}

fn read() -> HashSet<(u16, u16)> {
    let connections = std::fs::read_to_string(CONNECTIONS).unwrap_or_default();
    connections.lines().filter_map(probed_ports).collect()
}

/// Returns the ports of a listed connection if it is established and has probes.
fn probed_ports(line: &str) -> Option<(u16, u16)> {
    // Number, local address, remote address, state, queues, timer and its end.
    let mut fields = line.split_ascii_whitespace().skip(1);
    let (local, remote) = (fields.next()?, fields.next()?);
    let is_probed = fields.next()? == ESTABLISHED && fields.nth(1)?.starts_with(KEEPALIVE_TIMER);
    is_probed.then_some((port(local)?, port(remote)?))
}

fn port(address: &str) -> Option<u16> {
    let (_, port) = address.split_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
