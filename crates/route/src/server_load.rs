//! The load that a server reports in its answers.

/// The load of a server at the moment of an answer, as the server reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// How many requests of all daemons run.
    pub running: u32,
    /// How many requests of all daemons wait at the server.
    pub waiting: u32,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual time.
    pub work_percent: u32,
}

/// What one daemon knows of a server from its reports.
#[derive(Clone, Copy, Debug)]
pub struct LoadHistory {
    latest: ServerLoad,
    read_at_ms: u64,
    /// How many requests of other daemons were at the server at the latest report.
    others: f32,
    /// The mean of `others` over time.
    mean_others: f32,
    /// The mean duration of work over time, relative to the usual one.
    mean_work: f32,
}

/// What a request that is sent to a server now is expected to meet there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedLoad {
    /// How many requests are at the server.
    pub ahead: f32,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// How long work takes, relative to the usual time.
    pub work: f32,
}

/// The duration of work for a report without that figure.
const USUAL_PERCENT: u32 = 100;
/// The longest duration of work that a report may name.
const MAX_PERCENT: u32 = 10_000;
/// The time constant of the means.
///
/// It covers several periods in which a server is slow; these last 400 ms.
const MEAN_MS: f32 = 2_000.0;
/// The age at which a reported duration of work no longer says more than the mean.
///
/// Slow periods last 400 ms, so the chance that one still lasts falls evenly over that time.
const WORK_VALID_MS: f32 = 400.0;
/// The age at which a reported number of requests no longer says more than the mean.
const OTHERS_VALID_MS: f32 = 300.0;
/// How many requests of other daemons each own request stands for when the report is that old.
///
/// An own request that is not answered yet then says more than the report.
const OTHERS_PER_OWN: f32 = 2.0;
/// The age from which the means lose weight.
const MEAN_VALID_MS: f32 = 10_000.0;
/// How long the means take to lose all weight after that.
///
/// A server that was slow or full when it last answered would otherwise never be tried again.
const MEAN_EXPIRY_MS: f32 = 10_000.0;

impl ServerLoad {
    /// Parses the numbers of running requests, waiting requests and slots, and the duration of work
    /// in percent, separated by commas. The last may be missing and then counts as the usual one.
    ///
    /// Returns `None` for any other text, and for figures that no server can have.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(',').map(|part| to_number(part.trim_matches([' ', '\t'])));
        let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
        let work_percent = parts.next().unwrap_or(Some(USUAL_PERCENT))?;
        let is_possible = slots > 0 && (1..=MAX_PERCENT).contains(&work_percent);
        (parts.next().is_none() && is_possible).then_some(Self {
            running,
            waiting,
            slots,
            work_percent,
        })
    }

    /// Returns the duration of work relative to the usual one.
    fn work(self) -> f32 {
        to_f32(self.work_percent) / 100.0
    }

    /// Returns how many requests of other daemons are at the server if `own` are this daemon's.
    fn others(self, own: u32) -> f32 {
        to_f32(self.running.saturating_add(self.waiting).saturating_sub(own))
    }
}

impl LoadHistory {
    /// Creates the history of a server from its first report, which was read while this daemon had
    /// `own` requests there.
    #[must_use]
    pub fn new(load: ServerLoad, read_at_ms: u64, own: u32) -> Self {
        let others = load.others(own);
        Self { latest: load, read_at_ms, others, mean_others: others, mean_work: load.work() }
    }

    /// Handles a further report.
    pub fn add(&mut self, load: ServerLoad, read_at_ms: u64, own: u32) {
        let elapsed_ms = to_age(self.read_at_ms, read_at_ms);
        // Weighted by time: a server gets fewer requests, and so reports less often, while it is
        // slow.
        let weight = elapsed_ms / (elapsed_ms + MEAN_MS);
        let others = load.others(own);
        self.mean_others += weight * (others - self.mean_others);
        self.mean_work += weight * (load.work() - self.mean_work);
        (self.latest, self.read_at_ms, self.others) = (load, read_at_ms, others);
    }

    /// Returns the latest report.
    #[must_use]
    pub fn latest(&self) -> ServerLoad {
        self.latest
    }

    /// Returns how old the latest report is.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.read_at_ms)
    }

    /// Returns how long work takes now, relative to the usual time.
    #[must_use]
    pub fn work(&self, now_ms: u64) -> f32 {
        let age_ms = to_age(self.read_at_ms, now_ms);
        let known = decay(self.latest.work(), self.mean_work, age_ms / WORK_VALID_MS);
        decay(known, 1.0, (age_ms - MEAN_VALID_MS) / MEAN_EXPIRY_MS)
    }

    /// Returns what a request meets that is sent while this daemon has `own` requests at the
    /// server.
    #[must_use]
    pub fn expected(&self, now_ms: u64, own: u32) -> ExpectedLoad {
        let age_ms = to_age(self.read_at_ms, now_ms);
        let own = to_f32(own);
        let mean_others = self.mean_others + OTHERS_PER_OWN * own;
        let known = decay(self.others, mean_others, age_ms / OTHERS_VALID_MS);
        let others = decay(known, 0.0, (age_ms - MEAN_VALID_MS) / MEAN_EXPIRY_MS);
        let ahead = others + own;
        ExpectedLoad { ahead, slots: self.latest.slots, work: self.work(now_ms) }
    }
}

/// Returns a value that falls evenly from `from` to `to` while `progress` rises from 0 to 1.
fn decay(from: f32, to: f32, progress: f32) -> f32 {
    from + (to - from) * progress.clamp(0.0, 1.0)
}

fn to_number(text: &str) -> Option<u32> {
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_decimal)
}

fn to_f32(count: u32) -> f32 {
    f32::from(u16::try_from(count).unwrap_or(u16::MAX))
}

fn to_age(since_ms: u64, now_ms: u64) -> f32 {
    to_f32(u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX))
}
