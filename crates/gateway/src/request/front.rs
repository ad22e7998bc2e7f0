//! Accepts callers' connections.

use std::io;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
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
    for stream in accept_queued(listener) {
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

/// Accepts the connections in the queue of a listener, then closes the listener.
///
/// Closing it first would reset them, with the requests that callers have sent on them.
fn accept_queued(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    // The runtime may not know yet that there are connections, so the system is asked.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::warn!("failed to accept the last connections", kv: { error: });
            return streams;
        }
    };
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => streams.push(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return streams,
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                spdlog::warn!("failed to accept the last connections", kv: { error: });
                return streams;
            }
        }
    }
}
