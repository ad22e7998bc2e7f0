//! Admission of requests to servers, and refusals of those that are not admitted.

use proxy::{AdmissionError, Permit, WaitEnd};
use route::{
    Attempts, Failure, MAX_BUSY_RETRY_AFTER_MS, MIN_BUSY_RETRY_AFTER_MS, Reason, Refusal,
    busy_retry_after_ms, slow_work_ms,
};

use crate::Shared;
use crate::request::call::Call;
use crate::request::refusal;
use crate::request::server::Server;
use crate::request::view::ServiceView;

/// The least Retry-After while a key is moving or has no owner.
pub(crate) const MOVE_RETRY_AFTER_MS: u64 = 100;
/// The Retry-After while the document or a server is missing.
pub(crate) const ABSENT_RETRY_AFTER_MS: u64 = 300;

/// Waits for admission of a request to a server.
pub(crate) async fn admit(
    shared: &Shared,
    service: &ServiceView,
    server: &Server,
    call: &Call,
    attempts: &Attempts,
) -> Result<Permit, Refusal> {
    let remaining_ms = server.pause_remaining_ms();
    if remaining_ms > 0 {
        return Err(pause_refusal(shared, server, call, attempts, remaining_ms));
    }
    let caller = call.caller.filter(|_| server.upstream.is_target_ordered());
    let mut arrival = call.arrival();
    arrival.is_over_share =
        caller.is_some_and(|caller| service.state.is_over_share(shared.clock.now_ms(), caller));
    let admitted = server.upstream.acquire(arrival, &shared.stop).await;
    let is_unserved = matches!(admitted, Ok((_, true)) | Err(AdmissionError::Overloaded { .. }));
    if let Some(caller) = caller.filter(|_| is_unserved) {
        service.state.on_unserved(shared.clock.now_ms(), caller);
    }
    match admitted {
        Ok((permit, _has_waited)) => Ok(permit),
        Err(AdmissionError::Overloaded { late_ms }) if server.upstream.is_target_ordered() => {
            let room_ms = server.upstream.queue_ms(arrival.typical_latency_ms).max(late_ms);
            Err(spread_refusal(shared, call, attempts, room_ms))
        }
        Err(AdmissionError::Overloaded { late_ms }) => {
            let retry_after_ms = late_ms.clamp(MIN_BUSY_RETRY_AFTER_MS, MAX_BUSY_RETRY_AFTER_MS);
            Err(attempts.to_refusal(Reason::Overloaded).with_retry_after(retry_after_ms))
        }
        Err(AdmissionError::Paused { remaining_ms }) => {
            Err(pause_refusal(shared, server, call, attempts, remaining_ms))
        }
        Err(AdmissionError::Stopping) => Err(stop_refusal(attempts)),
        Err(AdmissionError::Expired) => {
            Err(attempts.to_refusal(Reason::Expired).with_retry_after(MIN_BUSY_RETRY_AFTER_MS))
        }
    }
}

/// Returns the refusal while a server gets no requests.
///
/// After the pause of a full server, callers should not return together; a server that asked for a
/// longer one is not full.
fn pause_refusal(
    shared: &Shared,
    server: &Server,
    call: &Call,
    attempts: &Attempts,
    remaining_ms: u64,
) -> Refusal {
    if server.upstream.is_target_ordered() && remaining_ms <= MAX_BUSY_RETRY_AFTER_MS {
        return spread_refusal(shared, call, attempts, remaining_ms);
    }
    paused_refusal(attempts, remaining_ms)
}

/// Returns the refusal while a server is full, with a random part in its Retry-After.
fn spread_refusal(shared: &Shared, call: &Call, attempts: &Attempts, room_ms: u64) -> Refusal {
    let left_ms = call.caller_deadline_ms.saturating_sub(shared.clock.now_ms());
    let retry_after_ms = busy_retry_after_ms(room_ms, left_ms, rand::random());
    attempts.to_refusal(Reason::Overloaded).with_retry_after(retry_after_ms)
}

/// Returns the refusal while all servers that could answer want no requests.
pub(crate) fn paused_refusal(attempts: &Attempts, remaining_ms: u64) -> Refusal {
    let retry_after_ms = remaining_ms.max(MIN_BUSY_RETRY_AFTER_MS);
    attempts.to_refusal(Reason::Overloaded).with_retry_after(retry_after_ms)
}

pub(crate) fn unreachable_refusal(attempts: &Attempts) -> Refusal {
    attempts.to_refusal(Reason::Unreachable).with_retry_after(ABSENT_RETRY_AFTER_MS)
}

/// Returns the refusal after a failed attempt that is not retried.
pub(crate) fn last_refusal(attempts: &Attempts, failure: Failure) -> Refusal {
    let retry_after_ms = match failure {
        Failure::Fenced => MOVE_RETRY_AFTER_MS,
        Failure::NotSent => ABSENT_RETRY_AFTER_MS,
        _ => MIN_BUSY_RETRY_AFTER_MS,
    };
    attempts.to_last_refusal().with_retry_after(retry_after_ms)
}

/// Returns the refusal of a request that the daemon cannot serve before its stop ends.
pub(crate) fn stop_refusal(attempts: &Attempts) -> Refusal {
    attempts.to_refusal(Reason::Stopping).with_retry_after(refusal::stop_retry_after_ms())
}

/// Returns the refusal after a wait that ended without a result.
pub(crate) fn wait_refusal(attempts: &Attempts, end: WaitEnd, reason: Reason) -> Refusal {
    match end {
        WaitEnd::Elapsed => attempts.to_refusal(reason),
        WaitEnd::Stopping => stop_refusal(attempts),
    }
}

/// Returns whether a request that is sent now can be answered before the end of a stop.
///
/// The caller of a request that arrives after the close can go to another daemon, so it is taken
/// only if the stop cannot cut it off: if its own deadline is earlier.
pub(crate) fn has_time(shared: &Shared, call: &Call) -> bool {
    let stop_deadline_ms = shared.stop.deadline_ms();
    if call.arrived_at_ms > shared.stop.arrival_deadline_ms() {
        return call.deadline_ms < stop_deadline_ms;
    }
    shared.clock.now_ms().saturating_add(expected_work_ms(call)) < stop_deadline_ms
}

/// Returns how long a request may take at a server if it has to end before a stop does.
pub(crate) fn expected_work_ms(call: &Call) -> u64 {
    slow_work_ms(mean_latency_ms(call))
}

pub(crate) fn mean_latency_ms(call: &Call) -> u64 {
    u64::from(call.route_state.mean_us() / 1_000)
}
