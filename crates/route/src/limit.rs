//! How many requests this daemon may have at one server.

/// A limit that follows what the server does with the requests.
///
/// Daemons share a server's slots without talking to each other. Each starts at its
/// equal share, goes up one by one while the server keeps up and the limit is used,
/// and goes down by a third when the server sheds or times out.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    current: f64,
    least: f64,
    most: f64,
}

const DECREASE: f64 = 0.67;

impl Limit {
    /// Creates the limit for a server with some slots that some daemons share.
    #[must_use]
    pub fn new(slots: u32, daemons: u32) -> Self {
        let most = f64::from(slots.max(1));
        let share = (most / f64::from(daemons.max(1))).ceil();
        Self { current: share, least: 1.0, most }
    }

    /// Returns how many requests may be in flight.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "it is from 1 to the slots"
    )]
    pub fn get(&self) -> u32 {
        self.current as u32
    }

    /// Notes an answer that came while `in_flight` requests were there.
    pub fn on_answer(&mut self, in_flight: u32) {
        if f64::from(in_flight) + 1.0 >= self.current {
            self.current = (self.current + 1.0 / self.current).min(self.most);
        }
    }

    /// Notes that the server shed a request or did not answer in time.
    pub fn on_overload(&mut self) {
        self.current = (self.current * DECREASE).max(self.least);
    }
}
