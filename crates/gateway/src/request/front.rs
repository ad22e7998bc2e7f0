//! Accepts callers' connections.

use std::sync::Arc;

use proxy::accept_queued;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

use crate::Shared;
use crate::request::connection::serve_connection;

/// The two signals of a graceful stop.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopSignals {
    /// Stops accepting connections and closes those without a request.
    pub(crate) close: CancellationToken,
    /// Cuts off requests that are still in flight.
    pub(crate) cut: CancellationToken,
}

/// Serves callers until the close signal, then finishes requests in flight until the cut
/// signal.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, stop: StopSignals) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(Arc::clone(&shared), stream, stop.close.clone()));
                }
                Err(error) => {
                    spdlog::warn!("failed to accept connection", kv: { error: });
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = stop.close.cancelled() => break,
        }
    }
    let mut queued = Vec::new();
    if let Err(error) = accept_queued(listener, &mut queued) {
        spdlog::warn!("failed to accept the last connections", kv: { error: });
    }
    for stream in queued {
        connections.spawn(serve_connection(Arc::clone(&shared), stream, stop.close.clone()));
    }
    let finished = async {
        while connections.join_next().await.is_some() {}
        // A request whose caller has left may still run at its server.
        shared.in_flight.ended().await;
    };
    tokio::select! {
        () = finished => return,
        () = stop.cut.cancelled() => {}
    }
    shared.in_flight.log_cut_off(connections.len());
}

/// How long to wait after a failed accept, for file descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
