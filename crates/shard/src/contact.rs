//! Which grant a server may be sent, from its answers to earlier ones.

use crate::Reply;
use crate::answers::ORDER_BACKOFF_MS;

/// What the grants to a server have shown of the way to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contact {
    last_answer_at_ms: Option<u64>,
    /// Number of times in a row that grants were not answered; those sent together count once.
    failures: u32,
    last_failure_at_ms: u64,
    /// Number of grants whose answer is awaited.
    pending: u32,
}

/// The grant that a server may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NextGrant {
    /// A grant of full length, since the server has just answered.
    Full,
    /// A short one, whose answer shows that the server can be reached.
    Short,
    /// None, since an answer is awaited or the last grant failed just now.
    Wait,
}

/// For how long a server counts as reachable after an answer.
const REACHABLE_MS: u64 = 100;

impl Contact {
    /// Returns how many times in a row grants were not answered.
    pub(crate) fn failures(self) -> u32 {
        self.failures
    }

    /// Returns whether a grant has no outcome yet.
    pub(crate) fn awaits_answer(self) -> bool {
        self.pending > 0
    }

    /// Returns the grant that the server may be sent.
    ///
    /// A grant that is under way when its server is cut off may arrive late, and its keys have to
    /// wait for that. So a server that has not answered just now is first sent a short one. An answer
    /// since the last pass counts however long that takes: a busy leader would send short ones alone.
    pub(crate) fn next_grant(self, now_ms: u64, last_pass_at_ms: u64) -> NextGrant {
        let retry_at_ms = match self.failures {
            0 => 0,
            _ => self.last_failure_at_ms + ORDER_BACKOFF_MS,
        };
        let is_reachable = |at_ms: u64| now_ms < at_ms + REACHABLE_MS || last_pass_at_ms <= at_ms;
        if self.last_answer_at_ms.is_some_and(is_reachable) {
            NextGrant::Full
        } else if self.pending == 0 && now_ms >= retry_at_ms {
            NextGrant::Short
        } else {
            NextGrant::Wait
        }
    }

    pub(crate) fn on_grant_sent(&mut self) {
        self.pending += 1;
    }

    /// Records the outcome of a grant or release.
    pub(crate) fn on_reply(&mut self, now_ms: u64, sent_at_ms: u64, is_grant: bool, reply: &Reply) {
        self.pending -= u32::from(is_grant);
        match reply {
            Reply::Done(_) | Reply::DoneOn(..) | Reply::Fenced => {
                self.last_answer_at_ms = Some(now_ms);
                self.failures = 0;
            }
            Reply::NotSent | Reply::Misdirected | Reply::Unknown
                if is_grant && (self.failures == 0 || sent_at_ms >= self.last_failure_at_ms) =>
            {
                self.failures += 1;
                self.last_failure_at_ms = now_ms;
            }
            Reply::NotSent | Reply::Misdirected | Reply::Unknown => {}
        }
    }
}
