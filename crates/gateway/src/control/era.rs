//! Handles a store that has come back from an older copy of itself.
//!
//! Revisions are given out again then. What is known of an earlier era is kept until the store's
//! entries are listed, but no revision of it is compared with later ones.

use document::{Name, Revision};
use peer::FleetEntry;
use store::{Era, Store};
use tokio::sync::{mpsc, watch};

use crate::control::input::Input;
use crate::control::node::Node;
use crate::control::relay::Relay;
use crate::{Orders, Source};

/// The key under which messages name the era; no entry of the store has it.
const ERA_KEY: &str = "store/era";

/// Passes each era that an answer names to the control thread.
///
/// A daemon that gets entries from another one reads none, but renews its lease.
pub(crate) async fn follow_era(mut era: watch::Receiver<Option<Era>>, inputs: mpsc::Sender<Input>) {
    loop {
        let newest = *era.borrow_and_update();
        if let Some(newest) = newest
            && inputs.send(Input::EraNamed(newest)).await.is_err()
        {
            return;
        }
        if era.changed().await.is_err() {
            // The store has no eras.
            std::future::pending::<()>().await;
        }
    }
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Handles the era of what was read; returns whether it is the newest known one.
    pub(crate) fn is_newest_era(&mut self, era: Option<Era>) -> bool {
        if let Some(newest) = era.filter(|_| era > self.era) {
            self.on_era(newest);
        }
        era == self.era
    }

    /// Handles the newest era that an answer or a message has named.
    pub(crate) fn on_era(&mut self, newest: Era) {
        if self.era >= Some(newest) {
            return;
        }
        let Some(earlier) = self.era.replace(newest) else { return };
        spdlog::warn!(
            "store came back from an older copy",
            kv: { era = newest.0, earlier = earlier.0, entries_revision = self.entries_revision.0, leads = self.leading.is_some() }
        );
        self.entries_revision = Revision(0);
        self.fleet_revision = Revision(0);
        for entry in self.fleet_entries.values_mut() {
            entry.revision = Revision(0);
        }
        // An election must not expect an entry by a revision that another one may have now.
        self.leader = None;
        self.entry_missing_since.send_replace(Revision(0));
        self.evacuations.on_new_era();
        self.operators.on_new_era();
        self.relay = Relay::default();
        // Servers whose entries are newer than the copy write them again.
        self.registry.on_list_restored(self.clock.now_ms());
        self.resign_in_new_era(newest);
    }

    /// Returns the era for a message to the group, if the store has eras.
    ///
    /// It is sent as the removal of an entry that no daemon has: earlier versions ignore it.
    pub(crate) fn era_entry(&self) -> Option<FleetEntry> {
        let era = self.era?;
        Some(FleetEntry { key: Name::from(ERA_KEY), text: None, revision: era.into() })
    }

    /// Takes the era out of the entries of a message; returns whether the message is of the newest one.
    ///
    /// A message of an earlier version names none.
    pub(crate) fn take_era_entry(&mut self, entries: &mut Vec<FleetEntry>) -> bool {
        let Some(at) = entries.iter().position(|entry| entry.key.as_str() == ERA_KEY) else {
            return true;
        };
        self.is_newest_era(Some(Era(entries.swap_remove(at).revision.0)))
    }
}
