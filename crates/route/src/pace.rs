//! Slow start of a server that began to serve during traffic.

/// Limits the requests in flight at a server that has just started or recovered.
///
/// It starts at one request at a time. Answers that take no longer than usual raise the limit,
/// slower answers, refusals and lost connections lower it. It ends when this daemon's full share
/// of the slots is reached and the last answers were normal. An answer that the request was sent
/// to the wrong server says nothing and is not passed in.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    limit: f64,
    /// The daemon's equal share of the slots, at least one.
    share: u32,
    /// When the slow start began, or when the server last failed.
    started_at_ms: u64,
    /// How long the server usually takes, relative to the mean of its routes.
    usual: f64,
    /// The moving average of how long answers take relative to the mean; `None` before the first.
    mean: Option<f64>,
    normal_in_a_row: u32,
}

/// The state of a slow start after an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceState {
    /// At most this many requests may be in flight.
    Limited(u32),
    /// The slow start has ended.
    Ended,
}

/// The multiple of the usual time above which an answer counts as slower.
///
/// A server that is cold takes twice as long; requests of one route differ by less.
const MAX_NORMAL: f64 = 1.5;
/// The largest multiple of the mean of its routes that is known of a server as usual.
const MAX_USUAL: f64 = 1.5;
/// The weight of the latest answer in the moving average.
const MEAN_WEIGHT: f64 = 0.3;
/// The part of the limit by which a normal answer raises it, if that is more than one request.
///
/// A share of twenty slots is then reached after ten answers.
const GROWTH: f64 = 0.25;
/// The factor by which a slower answer lowers the limit.
const SLOW_FACTOR: f64 = 0.67;
/// The factor by which a refusal lowers the limit.
const REFUSED_FACTOR: f64 = 0.5;
/// How many normal answers in a row end the slow start once the share is reached.
const MIN_NORMAL_IN_A_ROW: u32 = 3;
/// How long answers are measured against what is usual for the route.
///
/// Servers are cold for about three seconds. One that is still slow after this time is a slow
/// server, and its own speed counts as usual.
const SETTLING_MS: u64 = 5_000;

impl Pace {
    /// Starts with one request at a time at a server whose slots `daemons` daemons share.
    ///
    /// `usual` is the time that the server took before, relative to the mean of its routes; 1.0 if
    /// that is unknown.
    #[must_use]
    pub fn new(now_ms: u64, slots: u32, daemons: u32, usual: f64) -> Self {
        Self {
            limit: 1.0,
            share: slots.div_ceil(daemons.max(1)).max(1),
            started_at_ms: now_ms,
            usual: usual.clamp(1.0, MAX_USUAL),
            mean: None,
            normal_in_a_row: 0,
        }
    }

    /// Returns how many requests may be in flight.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is between 1 and the share"
    )]
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the daemon's equal share of the slots.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Handles an answer with the time that it took relative to the mean of its route.
    pub fn on_answer(&mut self, now_ms: u64, relative_time: f64) -> PaceState {
        let mean = self.mean.unwrap_or(relative_time);
        let mean = mean + MEAN_WEIGHT * (relative_time - mean);
        let is_settled = now_ms >= self.started_at_ms + SETTLING_MS;
        // Answers that were slowed down by more requests at a time say nothing about its speed.
        if is_settled && self.limit() == 1 {
            self.usual = self.usual.max(self.mean.unwrap_or(mean));
        }
        self.mean = Some(mean);
        let max_normal = self.usual * MAX_NORMAL;
        if relative_time > max_normal {
            return self.lower(SLOW_FACTOR);
        }
        self.normal_in_a_row += 1;
        let is_full = self.limit >= f64::from(self.share);
        if is_full && self.normal_in_a_row >= MIN_NORMAL_IN_A_ROW {
            return PaceState::Ended;
        }
        if mean <= max_normal {
            let raised = self.limit + (self.limit * GROWTH).max(1.0);
            self.limit = raised.min(f64::from(self.share));
        }
        PaceState::Limited(self.limit())
    }

    /// Handles a request that the server refused.
    pub fn on_refused(&mut self) -> PaceState {
        self.lower(REFUSED_FACTOR)
    }

    /// Handles a connection that was lost, or a request that was not answered in time.
    ///
    /// The slow start begins again.
    pub fn on_lost(&mut self, now_ms: u64) -> PaceState {
        self.started_at_ms = now_ms;
        self.mean = None;
        self.lower(0.0)
    }

    fn lower(&mut self, factor: f64) -> PaceState {
        self.normal_in_a_row = 0;
        self.limit = (self.limit * factor).max(1.0);
        PaceState::Limited(self.limit())
    }
}
