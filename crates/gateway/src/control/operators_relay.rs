//! Tells the daemons of a group how new what operators wrote is, so that none follows an old
//! document for long because its watch of the store returns nothing.

use document::{Name, Revision};
use peer::FleetEntry;
use store::Store;
use tokio::sync::watch;

use crate::control::node::Node;
use crate::control::relay::{READ_VALID_MS, READER_TIMEOUT_MS, Role};
use crate::{Orders, Source};

/// How long a watch of what operators write waits while another daemon tells of changes.
///
/// The store must keep its history for longer than twice this, so that it reaches back to the
/// revision from which the next watch starts.
const RELAYED_WATCH_TIMEOUT_MS: u64 = 9_000;
/// How long such a watch waits otherwise.
///
/// A document takes effect within two seconds although a watch that began before returns neither
/// changes nor an error: the call's timeout, the backoff and telling the group fit into the rest.
const WATCH_TIMEOUT_MS: u64 = 1_000;
/// How long the answer to such a watch shows that its revision is the newest.
const ANSWER_VALID_MS: u64 = WATCH_TIMEOUT_MS + READ_VALID_MS;

/// What is known of the revisions of what operators wrote, and how it is watched here.
#[derive(Debug)]
pub(crate) struct OperatorsRelay {
    /// The revision of the newest change that was read here.
    newest_read: Revision,
    /// When the store last answered a call for them.
    read_at_ms: Option<u64>,
    /// When the reader of the group last told its newest revision.
    told_at_ms: Option<u64>,
    control: OperatorsControl,
}

/// How the follower of what operators write is controlled.
#[derive(Clone, Debug)]
pub(crate) struct OperatorsControl {
    /// The revision of the newest change that another daemon has read.
    pub(crate) told: watch::Sender<Revision>,
    pub(crate) watch_timeout_ms: watch::Sender<u64>,
}

impl OperatorsControl {
    pub(crate) fn new() -> Self {
        Self {
            told: watch::Sender::new(Revision(0)),
            watch_timeout_ms: watch::Sender::new(WATCH_TIMEOUT_MS),
        }
    }
}

impl OperatorsRelay {
    pub(crate) fn new(control: OperatorsControl) -> Self {
        Self { newest_read: Revision(0), read_at_ms: None, told_at_ms: None, control }
    }

    /// Handles an answer of the store; returns whether the newest known change is a later one now.
    fn on_read(&mut self, at_ms: u64, newest_change: Revision) -> bool {
        self.read_at_ms = Some(at_ms);
        let is_later = newest_change > self.newest_read;
        self.newest_read = self.newest_read.max(newest_change);
        is_later
    }

    /// Returns the newest revision that was read here, if that was recently.
    fn newest(&self, now_ms: u64) -> Option<Revision> {
        let is_recent = self.read_at_ms.is_some_and(|at_ms| now_ms < at_ms + ANSWER_VALID_MS);
        is_recent.then_some(self.newest_read)
    }

    /// Forgets the revisions of an earlier era of the store.
    pub(crate) fn on_new_era(&mut self) {
        self.newest_read = Revision(0);
        self.read_at_ms = None;
        self.told_at_ms = None;
        self.control.told.send_replace(Revision(0));
    }

    fn on_told(&mut self, now_ms: u64, newest: Revision) {
        self.told_at_ms = Some(now_ms);
        self.control.told.send_if_modified(|told| std::mem::replace(told, newest) != newest);
    }

    fn update_watch(&self, now_ms: u64, reads_entries: bool) {
        let is_told =
            self.told_at_ms.is_some_and(|told_at_ms| now_ms < told_at_ms + READER_TIMEOUT_MS);
        let is_relayed = is_told && !reads_entries;
        let timeout_ms = if is_relayed { RELAYED_WATCH_TIMEOUT_MS } else { WATCH_TIMEOUT_MS };
        self.control
            .watch_timeout_ms
            .send_if_modified(|known| std::mem::replace(known, timeout_ms) != timeout_ms);
    }
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Handles an answer of the store about what operators wrote, and tells the group of a change.
    pub(crate) fn on_operators_read(&mut self, at_ms: u64, newest_change: Revision) {
        if self.operators.on_read(at_ms, newest_change) {
            self.send_server_changes();
        }
    }

    /// Returns the newest revision of what operators wrote for a message to the group.
    ///
    /// It is sent as the removal of an entry that no daemon has: earlier versions ignore it.
    pub(crate) fn newest_operators_entry(&self) -> Option<FleetEntry> {
        let revision = self.operators.newest(self.clock.now_ms())?;
        Some(FleetEntry { key: self.source.operators_prefix().into(), text: None, revision })
    }

    /// Takes the newest revision of what operators wrote out of the entries of a message.
    pub(crate) fn take_newest_operators_entry(
        &mut self,
        from: &Name,
        entries: &mut Vec<FleetEntry>,
    ) {
        let prefix = self.source.operators_prefix();
        let Some(at) = entries.iter().position(|entry| entry.key.as_str() == prefix) else {
            return;
        };
        let newest = entries.swap_remove(at);
        if matches!(&self.role, Role::Hears { from: reader } if reader == from) {
            self.operators.on_told(self.clock.now_ms(), newest.revision);
        }
    }

    /// Sets how long the watch of what operators write waits.
    pub(crate) fn update_operators_watch(&self, now_ms: u64) {
        self.operators.update_watch(now_ms, *self.needs_entries.borrow());
    }
}
