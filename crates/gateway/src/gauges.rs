//! Gauges of the memory that bodies and other daemons' frames take.

use std::sync::Arc;

use peer::ReceiveLimits;
use proxy::BufferBudget;
use telemetry::Metrics;

/// Exports how much memory buffered bodies take.
pub(crate) fn observe_buffers(metrics: &Metrics, buffers: &Arc<BufferBudget>) {
    let buffers = Arc::clone(buffers);
    metrics.observe("verbena_buffered_bytes", "memory reserved for bodies", move || {
        u64::try_from(buffers.used_bytes()).unwrap_or(u64::MAX)
    });
}

/// Exports what the connections of other daemons take and how many were closed for others.
pub(crate) fn observe_peers(metrics: &Metrics, limits: &Arc<ReceiveLimits>) {
    let (held, closed) = (Arc::clone(limits), Arc::clone(limits));
    metrics.observe(
        "verbena_peer_frame_bytes",
        "memory reserved for frames of other daemons",
        move || u64::try_from(held.held_bytes()).unwrap_or(u64::MAX),
    );
    metrics.observe(
        "verbena_peer_connections_closed",
        "connections of other daemons closed for others",
        move || closed.closed_connections(),
    );
}
