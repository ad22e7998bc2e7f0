//! The limit on the requests that a daemon has in flight at one server.

/// An additive-increase, multiplicative-decrease limit on concurrent requests.
///
/// Daemons share a server's slots without coordination. Each limit starts at an equal share
/// of the slots. While it is fully used, each answer raises it by `1 / limit`, so that it
/// rises by about one per `limit` answers. It falls by a third when the server sheds a request
/// or does not answer in time.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    current: f64,
    min: f64,
    max: f64,
    /// The limit during a slow start; `u32::MAX` at other times.
    cap: u32,
}

/// The factor by which one overload lowers the limit.
const DECREASE_FACTOR: f64 = 0.67;

impl Limit {
    /// Creates the limit of one daemon for a server whose slots several daemons share.
    #[must_use]
    pub fn new(slots: u32, daemons: u32) -> Self {
        let max = f64::from(slots.max(1));
        let share = (max / f64::from(daemons.max(1))).ceil();
        Self { current: share, min: 1.0, max, cap: u32::MAX }
    }

    /// Returns how many requests may be in flight.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is between 1 and the number of slots"
    )]
    pub fn get(&self) -> u32 {
        (self.current as u32).min(self.cap)
    }

    /// Handles an answer that arrived while `in_flight` requests were in flight.
    pub fn on_answer(&mut self, in_flight: u32) {
        if f64::from(in_flight) + 1.0 >= self.current {
            self.current = (self.current + 1.0 / self.current).min(self.max);
        }
    }

    /// Sets the limit during a slow start; `u32::MAX` ends it.
    pub fn set_cap(&mut self, cap: u32) {
        self.cap = cap.max(1);
    }

    /// Lowers the limit to one request at a time.
    pub fn restart(&mut self) {
        self.current = self.min;
    }

    /// Handles a request that the server shed or did not answer in time.
    pub fn on_overload(&mut self) {
        self.current = (self.current * DECREASE_FACTOR).max(self.min);
    }
}
