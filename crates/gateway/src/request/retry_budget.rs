//! This daemon's share of the retries that all daemons may cause together.

use crate::RetrySettings;

/// The percentage of the configured retries that all daemons together use.
///
/// The rest is a reserve: daemons come and go faster than shares are adjusted, and the time
/// window of the limit slides.
const USED_PERCENT: u32 = 60;

/// Returns how many retries this daemon may save up when `daemons` share the slack.
#[must_use]
pub(crate) fn max_retries(settings: RetrySettings, daemons: u32) -> u32 {
    settings.slack * USED_PERCENT / 100 / daemons.max(1)
}

/// Returns how much of a retry one request earns, in thousandths.
#[must_use]
pub(crate) fn earned_milli(settings: RetrySettings) -> u32 {
    settings.ratio_milli * USED_PERCENT / 100
}
