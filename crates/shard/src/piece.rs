//! One range and who holds it.

use registry::Incarnation;

use crate::{Fence, Handover, KeyRange, Why};

/// A range of keys on its way through grants, releases and new holders.
///
/// At most one server is to hold it. Others may still do so from before: nobody gets a
/// grant until each of them has released the range or its last grant has run out.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    pub(crate) range: KeyRange,
    pub(crate) holder: Option<Holder>,
    pub(crate) formers: Vec<Former>,
    pub(crate) successor: Option<Successor>,
    /// What the last holder gave when it released the range.
    pub(crate) handover: Option<Handover>,
}

/// Who holds a range.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub(crate) incarnation: Incarnation,
    /// The fence of its grants.
    pub(crate) fence: Fence,
    /// Whether the server has taken a grant under the fence.
    pub(crate) is_fence_taken: bool,
    /// Until when grants that are no longer on their way may stand.
    pub(crate) standing_until_ms: u64,
    pub(crate) renew_at_ms: u64,
    /// How many grants in a row got no answer.
    pub(crate) failures: u32,
    /// How many grants in a row met a higher fence.
    pub(crate) refusals: u32,
    /// Whether the server has taken the grant.
    pub(crate) serves: bool,
}

/// Who may still hold a range from before.
#[derive(Clone, Debug)]
pub(crate) struct Former {
    pub(crate) incarnation: Incarnation,
    /// Until when grants that are no longer on their way may stand.
    pub(crate) standing_until_ms: u64,
    /// When to send the next release; `None` while one is on its way.
    pub(crate) release_at_ms: Option<u64>,
}

/// Who is to hold a range next.
#[derive(Clone, Debug)]
pub(crate) struct Successor {
    pub(crate) incarnation: Incarnation,
    /// The number of the record that names it.
    pub(crate) record: u64,
    pub(crate) why: Why,
}

/// What a piece needs next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Nothing.
    Wait,
    /// Its holder's last grant has run out.
    Lapse,
    /// Its holder has to give it up: the record names a successor.
    Dismiss,
    /// A first grant for its successor.
    Install,
    /// A renewal.
    Renew,
}

impl Piece {
    pub(crate) fn free(range: KeyRange) -> Self {
        Self { range, holder: None, formers: Vec::new(), successor: None, handover: None }
    }

    /// Says what is next; `may_stand` tells of the holder's grants, those on their way too.
    pub(crate) fn next(&self, now_ms: u64, may_stand: bool, durable: u64) -> Step {
        let is_durable =
            self.successor.as_ref().is_some_and(|successor| durable >= successor.record);
        match &self.holder {
            None if is_durable && self.formers.is_empty() => Step::Install,
            Some(holder) if !may_stand && !holder.is_untried() => Step::Lapse,
            Some(_) if is_durable => Step::Dismiss,
            Some(holder) if self.formers.is_empty() && now_ms >= holder.renew_at_ms => Step::Renew,
            None | Some(_) => Step::Wait,
        }
    }

    /// Has the holder give the range up from some time on.
    pub(crate) fn dismiss(&mut self, release_at_ms: u64) {
        if let Some(holder) = self.holder.take() {
            self.formers.push(Former {
                incarnation: holder.incarnation,
                standing_until_ms: holder.standing_until_ms,
                release_at_ms: Some(release_at_ms),
            });
        }
    }

    /// Notes until when a grant to a server may stand, whichever life took it.
    ///
    /// A shorter grant takes nothing back, under a higher fence neither.
    pub(crate) fn note_grant(&mut self, incarnation: &Incarnation, until_ms: u64) {
        let holder =
            self.holder.iter_mut().filter(|holder| holder.incarnation.server == incarnation.server);
        let formers = self
            .formers
            .iter_mut()
            .filter(|former| former.incarnation.server == incarnation.server);
        let holder = holder.map(|holder| &mut holder.standing_until_ms);
        for standing_until_ms in holder.chain(formers.map(|former| &mut former.standing_until_ms)) {
            *standing_until_ms = until_ms.max(*standing_until_ms);
        }
    }

    /// Returns whether the piece is at rest with its holder.
    pub(crate) fn is_settled(&self) -> bool {
        self.successor.is_none()
            && self.formers.is_empty()
            && self.holder.as_ref().is_some_and(|holder| holder.serves)
    }

    /// Returns the server that will hold the piece in the end, as planned now.
    pub(crate) fn final_life(&self) -> Option<&Incarnation> {
        match (&self.successor, &self.holder) {
            (Some(successor), _) => Some(&successor.incarnation),
            (None, Some(holder)) => Some(&holder.incarnation),
            (None, None) => None,
        }
    }

    /// Returns who may hold the range besides the final holder.
    pub(crate) fn previous(&self) -> Vec<Incarnation> {
        let owner = self.final_life();
        let holder = self.holder.iter().map(|holder| &holder.incarnation);
        let formers = self.formers.iter().map(|former| &former.incarnation);
        // A former holder that is to be the owner again still has to be asked.
        holder.filter(|incarnation| Some(*incarnation) != owner).chain(formers).cloned().collect()
    }

    /// Cuts the piece before a key; both parts keep all that is known.
    pub(crate) fn split_off(&mut self, key: u16) -> Option<Self> {
        let (left, right) = self.range.split_at(key)?;
        self.range = left;
        Some(Self { range: right, ..self.clone() })
    }
}

impl Successor {
    pub(crate) fn new(incarnation: Incarnation, record: u64, why: Why) -> Self {
        Self { incarnation, record, why }
    }
}

impl Holder {
    /// Creates the holder of a range that was never granted to it.
    pub(crate) fn new(incarnation: Incarnation, fence: Fence) -> Self {
        Self {
            incarnation,
            fence,
            is_fence_taken: false,
            standing_until_ms: 0,
            renew_at_ms: 0,
            failures: 0,
            refusals: 0,
            serves: false,
        }
    }

    /// Goes on under a new fence.
    pub(crate) fn renew_fence(&mut self, fence: Fence) {
        self.fence = fence;
        self.is_fence_taken = false;
    }

    /// Returns whether no grant may have reached it yet and more are to be tried.
    fn is_untried(&self) -> bool {
        self.standing_until_ms == 0 && self.failures == 0
    }
}
