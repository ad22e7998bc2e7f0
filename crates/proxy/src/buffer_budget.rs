//! The memory that buffered bodies of all requests take together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The memory that buffered bodies of all requests may take together.
///
/// Bodies of callers' requests may take all of it, those of answers only half: an answer without
/// room can be passed on as it arrives, but a request has to be refused.
///
/// ```
/// use std::sync::Arc;
/// use proxy::{BodyBuffer, BodyKind, BufferBudget};
///
/// let budget = Arc::new(BufferBudget::new(100_000));
/// let mut buffer = BodyBuffer::new(&budget, BodyKind::Request, 0);
/// assert!(buffer.push(&[0; 50_000]));
/// assert!(!buffer.push(&[0; 100_000]));
/// drop(buffer);
/// assert_eq!(budget.used_bytes(), 0);
/// ```
#[derive(Debug)]
pub struct BufferBudget {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

/// What a body belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyKind {
    /// A caller's request.
    Request,
    /// A server's answer.
    Answer,
}

/// The bytes of a body that have arrived, within a [`BufferBudget`].
///
/// They are copied: a part of a body would keep the whole buffer that it was read into, which is
/// many times as long where a sender sends chunks of one byte.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

/// A part of a budget, which is returned when this is dropped.
#[derive(Debug)]
struct Reservation {
    budget: Arc<BufferBudget>,
    kind: BodyKind,
    bytes: usize,
}

/// Bytes that hold their part of the budget until the last reference to them is dropped.
struct Reserved {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

/// The smallest memory limit of a deployment in force.
const DEFAULT_MEMORY_MB: u32 = 390;
/// The part of the memory limit that buffered bodies may take.
///
/// The rest is for state, for buffers of connections and for what the system has received on them.
/// With a quarter, 600 callers that did not read took 267 of 390 MB besides that.
const MEMORY_DIVISOR: usize = 8;
/// The part of the budget that answers may take.
const ANSWER_DIVISOR: usize = 2;
/// How much of each body is not counted, so that short ones always have room.
const FREE_BYTES: usize = 8 << 10;

impl BufferBudget {
    /// Creates a budget of so many bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used_bytes: AtomicUsize::new(0) }
    }

    /// Creates the budget of a process that may take so much memory; `None` if the limit is unknown.
    #[must_use]
    pub fn for_memory(memory_mb: Option<u32>) -> Self {
        let memory_mb = usize::try_from(memory_mb.unwrap_or(DEFAULT_MEMORY_MB));
        Self::new(memory_mb.unwrap_or(usize::MAX).saturating_mul(1_000_000) / MEMORY_DIVISOR)
    }

    /// Returns how many bytes are reserved.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    fn try_reserve(&self, kind: BodyKind, bytes: usize) -> bool {
        let max_bytes = match kind {
            BodyKind::Request => self.max_bytes,
            BodyKind::Answer => self.max_bytes / ANSWER_DIVISOR,
        };
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= max_bytes);
        self.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

impl BodyBuffer {
    /// Creates an empty buffer for a body that is expected to have `expected_bytes` bytes.
    #[must_use]
    pub fn new(budget: &Arc<BufferBudget>, kind: BodyKind, expected_bytes: u64) -> Self {
        // A length that was only announced reserves nothing.
        let capacity = usize::try_from(expected_bytes).unwrap_or(usize::MAX).min(FREE_BYTES);
        let reservation = Reservation { budget: Arc::clone(budget), kind, bytes: 0 };
        Self { bytes: Vec::with_capacity(capacity), reservation }
    }

    /// Returns the number of bytes that have arrived.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes; returns false and changes nothing if there is no room for them.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            let doubled = needed.max(self.bytes.capacity() * 2);
            let Some(capacity) =
                [doubled, needed].into_iter().find(|capacity| self.reservation.grow_to(*capacity))
            else {
                return false;
            };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Returns the bytes, which hold their part of the budget until they are dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        let Self { bytes, reservation } = self;
        if reservation.bytes == 0 {
            return Bytes::from(bytes);
        }
        Bytes::from_owner(Reserved { bytes, _reservation: reservation })
    }
}

impl Reservation {
    /// Reserves what a buffer of this capacity takes; returns false if there is no room.
    fn grow_to(&mut self, capacity: usize) -> bool {
        let counted = capacity.saturating_sub(FREE_BYTES);
        let more = counted.saturating_sub(self.bytes);
        let has_room = more == 0 || self.budget.try_reserve(self.kind, more);
        if has_room {
            self.bytes += more;
        }
        has_room
    }
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
