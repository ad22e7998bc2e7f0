//! One range and who holds it.

use registry::Life;

use crate::{Fence, Handover, KeyRange, Why};

/// A range of keys on its way through grants, releases and new holders.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    pub(crate) range: KeyRange,
    pub(crate) holder: Option<Holder>,
    pub(crate) successor: Option<Successor>,
    /// What the last holder gave when it released the range.
    pub(crate) handover: Option<Handover>,
}

/// Who may hold a range.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub(crate) life: Life,
    /// The fence of its grants.
    pub(crate) fence: Fence,
    /// Until when grants that are no longer on their way may stand.
    pub(crate) standing_until_ms: u64,
    pub(crate) renew_at_ms: u64,
    /// How many grants in a row got no answer.
    pub(crate) failures: u32,
    /// How many grants in a row met a higher fence.
    pub(crate) refusals: u32,
    /// Whether the server has taken the grant.
    pub(crate) serves: bool,
    /// Whether it was told to stop; it may hold the range again only under a new fence.
    pub(crate) is_dismissed: bool,
}

/// Who is to hold a range next.
#[derive(Clone, Debug)]
pub(crate) struct Successor {
    pub(crate) life: Life,
    /// The number of the record that names it.
    pub(crate) record: u64,
    pub(crate) why: Why,
    pub(crate) release: ReleaseStep,
}

/// How far the present holder is with giving a range up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReleaseStep {
    /// The holder goes on serving.
    NotYet,
    /// Daemons were told; the order goes out at this time.
    At(u64),
    /// The order is on its way.
    Sent,
}

/// What a piece needs next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Nothing.
    Wait,
    /// A server to hold it.
    Choose(Why),
    /// The first order of a move: tell the daemons.
    Announce,
    /// A release.
    Release,
    /// The end of its holder's last grant has passed.
    Lapse,
    /// A first grant for its successor.
    Install,
    /// A renewal.
    Renew,
}

impl Piece {
    pub(crate) fn free(range: KeyRange) -> Self {
        Self { range, holder: None, successor: None, handover: None }
    }

    /// Says what is next; `stands_until_ms` counts grants on their way too.
    pub(crate) fn next(
        &self,
        now_ms: u64,
        stands_until_ms: u64,
        durable: u64,
        failures: u32,
    ) -> Step {
        match (&self.holder, &self.successor) {
            (None, None) => Step::Choose(Why::Free),
            (None, Some(successor)) if durable >= successor.record => Step::Install,
            (None, Some(_)) => Step::Wait,
            (Some(holder), _) if now_ms >= stands_until_ms && !holder.is_untried() => Step::Lapse,
            (Some(holder), None) if holder.is_dismissed || holder.failures >= failures => {
                Step::Choose(Why::Silent)
            }
            (Some(holder), None) => renewal(holder, now_ms),
            (Some(holder), Some(successor)) if durable < successor.record => {
                renewal(holder, now_ms)
            }
            (Some(_), Some(successor)) => match successor.release {
                ReleaseStep::NotYet => Step::Announce,
                ReleaseStep::At(at_ms) if now_ms >= at_ms => Step::Release,
                ReleaseStep::At(_) | ReleaseStep::Sent => Step::Wait,
            },
        }
    }

    /// Returns whether the piece is at rest with its holder.
    pub(crate) fn is_settled(&self) -> bool {
        self.successor.is_none() && self.holder.as_ref().is_some_and(|holder| holder.serves)
    }

    /// Returns the server that will hold the piece in the end, as planned now.
    pub(crate) fn final_life(&self) -> Option<&Life> {
        match (&self.successor, &self.holder) {
            (Some(successor), _) => Some(&successor.life),
            (None, Some(holder)) => Some(&holder.life),
            (None, None) => None,
        }
    }

    /// Cuts the piece before a key; both parts keep all that is known.
    pub(crate) fn split_off(&mut self, key: u16) -> Option<Self> {
        let (left, right) = self.range.split_at(key)?;
        self.range = left;
        Some(Self { range: right, ..self.clone() })
    }
}

impl Holder {
    /// Creates the holder of a range that was never granted to it.
    pub(crate) fn new(life: Life, fence: Fence) -> Self {
        Self {
            life,
            fence,
            standing_until_ms: 0,
            renew_at_ms: 0,
            failures: 0,
            refusals: 0,
            serves: false,
            is_dismissed: false,
        }
    }

    /// Returns whether no grant may have reached it yet and more are to be tried.
    fn is_untried(&self) -> bool {
        self.standing_until_ms == 0 && self.failures == 0
    }
}

fn renewal(holder: &Holder, now_ms: u64) -> Step {
    let is_due = now_ms >= holder.renew_at_ms && !holder.is_dismissed;
    if is_due { Step::Renew } else { Step::Wait }
}
