//! Log lines about single attempts.

use registry::Incarnation;
use route::{Attempts, Failure};

use crate::Shared;
use crate::log_sampler::is_sampled;
use crate::request::call::Call;
use crate::request::sent_to::Reached;
use crate::request::server::Server;

/// Logs a failed attempt if the log rate allows.
pub(crate) fn log_failure(
    shared: &Shared,
    call: &Call,
    reached: &Reached,
    chosen: &Incarnation,
    failure: Failure,
) {
    let now_ms = shared.clock.now_ms();
    if !shared.log_sampler.may_write(now_ms, call.id.as_bytes()) {
        return;
    }
    let view = shared.view();
    let (_, at, _) = call.tracked.describe();
    spdlog::info!(
        "attempt failed",
        kv: {
            request = call.id.to_str().unwrap_or("-"), route = call.route.name.as_str(),
            key:? = call.key, server = reached.to_text(chosen), at = at.as_str(),
            is_relayed = call.is_relayed, failure:? = failure,
            took_ms = now_ms - call.arrived_at_ms,
            left_ms = call.deadline_ms.saturating_sub(now_ms),
            version = view.version(), tables:? = view.tables_version
        }
    );
}

/// Logs a successful request if it was late, retried or sampled.
pub(crate) fn log_served(
    shared: &Shared,
    call: &Call,
    server: &Server,
    reached: &Reached,
    attempts: &Attempts,
    waited_ms: u64,
) {
    let now_ms = shared.clock.now_ms();
    let took_ms = now_ms - call.arrived_at_ms;
    let is_late = took_ms > call.route.latency_target_ms;
    let is_worth_logging =
        is_late || attempts.failed_attempts() > 0 || is_sampled(call.id.as_bytes());
    if !is_worth_logging || !shared.log_sampler.may_write(now_ms, call.id.as_bytes()) {
        return;
    }
    let (in_flight, waiting, limit) = server.upstream.occupancy();
    let view = shared.view();
    let (_, at, _) = call.tracked.describe();
    spdlog::info!(
        "request served",
        kv: {
            request = call.id.to_str().unwrap_or("-"), route = call.route.name.as_str(),
            key:? = call.key, server = reached.to_text(&server.registration.incarnation),
            at = at.as_str(), is_relayed = call.is_relayed,
            is_near = server.registration.data_centre == shared.data_centre, took_ms, waited_ms,
            aim_ms = call.route.latency_target_ms, failed_attempts = attempts.failed_attempts(),
            in_flight, waiting, limit, slowness: = server.slowness(), version = view.version(),
            tables:? = view.tables_version
        }
    );
}
