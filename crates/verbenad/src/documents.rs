//! Documents: how they come into force on this daemon.

use std::sync::Arc;

use control::Event;
use document::{Document, Name, Revision};
use peer::{DocumentText, Message};
use spdlog::{info, warn};
use store::{Changes, Store};
use telemetry::Counter;

use crate::entry::Entry;
use crate::node::Node;

impl<S: Store> Node<S> {
    pub(crate) fn take_documents(&mut self, changes: Changes) {
        self.has_documents = true;
        for entry in changes.entries {
            let Some(service) = entry.key.rsplit('/').next().map(Name::from) else { continue };
            if let Some(text) = entry.text {
                self.accept(&service, entry.revision, Name::from(text));
            } else {
                warn!("document was removed; the one in force stays",
            kv: { service = service.as_str() });
            }
        }
    }

    /// Puts a document in force, unless a newer one is.
    pub(crate) fn accept(&mut self, service: &Name, revision: Revision, text: Name) {
        let known = self.services.get(service).map_or(Revision(0), |entry| entry.revision);
        if revision <= known {
            return;
        }
        let document = match Document::from_ini(service, &text) {
            Ok(document) if document.name == *service => Arc::new(document),
            Ok(_) | Err(_) => {
                self.traffic.counters.count(Counter::DocumentsRefused);
                warn!("document is not valid; the one in force stays",
                      kv: { service = service.as_str(), revision = revision.0 });
                return;
            }
        };
        let now_ms = self.now_ms();
        let daemons = u32::try_from(self.instances.len().max(1)).unwrap_or(u32::MAX);
        let instances = self.instances.clone();
        let (me, incarnation) = (self.settings.instance.clone(), self.incarnation);
        let is_new = !self.services.contains_key(service);
        let entry = self
            .services
            .entry(service.clone())
            .or_insert_with(|| Entry::new(now_ms, incarnation, service.clone(), me));
        entry.set_document(revision, text, Arc::clone(&document), daemons, self.traffic.clock);
        self.is_changed = true;
        self.traffic.counters.count(Counter::Documents);
        info!("document is in force",
              kv: { service = service.as_str(), revision = revision.0 });
        if is_new {
            self.step(service, Event::Instances(instances));
        }
        self.step(service, Event::Document(revision, document));
    }

    pub(crate) fn send_document(&mut self, to: &Name, service: &Name) {
        let Some(entry) = self.services.get(service) else { return };
        let text = DocumentText { revision: entry.revision, text: entry.text.clone() };
        self.send(to, service, Message::Document(text));
    }
}
