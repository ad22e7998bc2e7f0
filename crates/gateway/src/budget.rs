//! This daemon's share of the retries that all daemons may cause together.

use crate::RetrySettings;

/// The part of the slack that daemons use together, in percent.
///
/// Daemons come and go faster than shares are adjusted, and windows slide.
const USED_PERCENT: u32 = 60;

/// Returns how many retries this daemon may save up when so many daemons share the slack.
#[must_use]
pub(crate) fn most_retries(settings: RetrySettings, daemons: u32) -> u32 {
    settings.slack * USED_PERCENT / 100 / daemons.max(1)
}

/// Returns what one request earns, in thousandths of a retry.
#[must_use]
pub(crate) fn earned_milli(settings: RetrySettings) -> u32 {
    settings.ratio_milli * USED_PERCENT / 100
}
