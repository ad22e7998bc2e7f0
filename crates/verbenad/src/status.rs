//! Answers to operators from the control state.

use document::{Name, hash_key};
use operator::{Error, ErrorKind, Explanation, InstanceStatus, ServiceStatus, StatusAnswer};
use peer::Message;
use store::Store;
use tokio::sync::oneshot;
use tokio_util::bytes::Bytes;

use crate::collector::{COLLECT_MS, Collection, Statuses, finish, note_statuses};
use crate::node::Node;

impl<S: Store> Node<S> {
    /// Asks all instances what they control, and answers when they have.
    pub(crate) fn collect_status(&mut self, asker: oneshot::Sender<StatusAnswer>) {
        self.collector.next_number += 1;
        let number = self.collector.next_number;
        let waiting_for = self.others();
        let mut answer = self.base_status();
        note_statuses(&mut answer, self.own_statuses());
        for name in &waiting_for {
            self.ask_status(name, number);
        }
        let deadline_ms = self.now_ms() + COLLECT_MS;
        let collection = Collection { number, deadline_ms, waiting_for, answer, asker };
        if collection.waiting_for.is_empty() {
            finish(collection);
        } else {
            self.collector.open.push(collection);
        }
    }

    /// Returns what this daemon controls, as JSON.
    pub(crate) fn own_status(&self) -> Bytes {
        serde_json::to_vec(&self.own_statuses()).unwrap_or_default().into()
    }

    fn ask_status(&mut self, to: &Name, number: u64) {
        let nothing = Name::from("");
        self.send(to, &nothing, Message::StatusAsk(number));
    }

    pub(crate) fn own_statuses(&self) -> Statuses {
        let now_ms = self.now_ms();
        self.services
            .iter()
            .filter_map(|(name, entry)| Some((name.clone(), entry.control.status(now_ms)?)))
            .collect()
    }

    fn base_status(&self) -> StatusAnswer {
        let instances = self
            .members
            .live(self.now_ms())
            .map(|(name, member)| {
                let status = InstanceStatus {
                    data_centre: member.data_centre.clone(),
                    in_force: member.in_force.clone(),
                };
                (name.clone(), status)
            })
            .collect();
        let services = self
            .services
            .iter()
            .map(|(name, entry)| {
                let status = ServiceStatus { document: entry.revision, ..Default::default() };
                (name.clone(), status)
            })
            .collect();
        StatusAnswer { instance: Some(self.settings.instance.clone()), instances, services }
    }

    /// Returns where a key's requests go, and why.
    pub(crate) fn explain(&self, service: &Name, key: String) -> Result<Explanation, Error> {
        let missing = |message: String| Error::new(ErrorKind::Missing, message);
        let entry = self
            .services
            .get(service)
            .ok_or_else(|| missing(format!("service {service} is not known")))?;
        let table = entry.table.as_ref().ok_or_else(|| {
            missing(format!("service {service} has no routing table, it is pooled or new"))
        })?;
        let (_, route) = table
            .find(&key)
            .ok_or_else(|| missing(format!("key {key} belongs to no key group")))?;
        let owner = table.server_of(route).cloned();
        let why = match &owner {
            Some(owner) if route.is_open => format!("{owner} holds a grant for the shard"),
            Some(owner) => format!("the shard is closed while {owner} hands it over or takes it"),
            None => "no server holds the shard; the controller waits or writes".to_owned(),
        };
        let group = usize::try_from(route.group).unwrap_or(usize::MAX);
        Ok(Explanation {
            service: service.clone(),
            hash: hash_key(&key),
            key,
            group: table.groups.get(group).map_or_else(|| Name::from(""), |g| g.name.clone()),
            shard: route.shard,
            owner,
            epoch: route.epoch,
            term: table.term,
            controller: table.controller.clone(),
            why,
        })
    }
}
