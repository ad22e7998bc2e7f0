//! Putting documents in force on this daemon.

use std::sync::Arc;

use control::Event;
use document::{Document, Name, Revision};
use peer::{DocumentText, Message};
use spdlog::{info, warn};
use store::{Changes, Store};
use telemetry::Counter;

use crate::control_thread::ControlThread;
use crate::service_state::ServiceState;

impl<S: Store> ControlThread<S> {
    /// Handles changes of documents in the store.
    ///
    /// Removing a document from the store does not remove the service.
    pub(crate) fn on_document_changes(&mut self, changes: Changes) {
        self.has_read_documents = true;
        for entry in changes.entries {
            let Some(service) = entry.key.rsplit('/').next().map(Name::from) else { continue };
            if let Some(text) = entry.text {
                self.accept_document(&service, entry.revision, Name::from(text));
            } else {
                warn!("document was removed from the store; the last one stays in force",
                      kv: { service = service.as_str() });
            }
        }
    }

    /// Puts a document in force if it is valid and newer than the one in force.
    pub(crate) fn accept_document(&mut self, service: &Name, revision: Revision, text: Name) {
        let known_revision = self.services.get(service).map_or(Revision(0), |state| state.revision);
        if revision <= known_revision {
            return;
        }
        let document = match Document::from_ini(service, &text) {
            Ok(document) if document.name == *service => Arc::new(document),
            Ok(_) | Err(_) => {
                self.traffic.counters.count(Counter::DocumentsRefused);
                warn!("document is not valid; the previous one stays in force",
                      kv: { service = service.as_str(), revision = revision.0 });
                return;
            }
        };
        let now_ms = self.now_ms();
        let daemon_count = u32::try_from(self.instances.len().max(1)).unwrap_or(u32::MAX);
        let instances = self.instances.clone();
        let (own_name, incarnation) = (self.settings.instance.clone(), self.incarnation);
        let is_new = !self.services.contains_key(service);
        let state = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceState::new(now_ms, incarnation, service.clone(), own_name));
        state.set_document(revision, text, Arc::clone(&document), daemon_count, self.traffic.clock);
        self.is_snapshot_outdated = true;
        self.traffic.counters.count(Counter::Documents);
        info!("document is in force",
              kv: { service = service.as_str(), revision = revision.0 });
        if is_new {
            self.on_event(service, Event::Instances(instances));
        }
        if is_new && self.is_stopping {
            self.on_event(service, Event::Stop);
        }
        self.on_event(service, Event::Document(revision, document));
    }

    /// Sends the document in force to another instance.
    pub(crate) fn send_document(&mut self, to: &Name, service: &Name) {
        let Some(state) = self.services.get(service) else { return };
        let text = DocumentText { revision: state.revision, text: state.text.clone() };
        self.send(to, service, Message::Document(text));
    }
}
