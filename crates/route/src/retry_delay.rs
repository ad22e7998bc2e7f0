//! When a refused caller should send its request again.

/// The least Retry-After when servers have no free slots, and the value after most failed
/// attempts.
pub const MIN_BUSY_RETRY_AFTER_MS: u64 = 150;
/// The largest Retry-After when servers have no free slots.
///
/// A key that gets far more requests than its server can answer does so for some seconds. A
/// caller that returns earlier is refused again.
pub const MAX_BUSY_RETRY_AFTER_MS: u64 = 2_500;
/// The part of the caller's remaining time up to which it waits as told.
const MAX_PART_OF_CALLERS_TIME: u64 = 3;

/// Returns when a caller should send a refused request again, if room is expected in `room_ms`.
///
/// `left_ms` is how long the caller still waits for an answer. A random part of up to a half is
/// added, so that callers that were refused together do not return together. A time that callers
/// regard as too long is never the result of that part or of the bounds, only of `room_ms`.
#[must_use]
pub fn busy_retry_after_ms(room_ms: u64, left_ms: u64, random: u32) -> u64 {
    let room_ms = room_ms.clamp(MIN_BUSY_RETRY_AFTER_MS, MAX_BUSY_RETRY_AFTER_MS);
    let useful_ms = left_ms / MAX_PART_OF_CALLERS_TIME;
    if room_ms >= useful_ms {
        return room_ms;
    }
    let max_spread_ms =
        (room_ms / 2).min(useful_ms - room_ms).min(MAX_BUSY_RETRY_AFTER_MS - room_ms);
    room_ms + max_spread_ms * u64::from(random) / u64::from(u32::MAX)
}
