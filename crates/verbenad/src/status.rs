//! The answers to operators' `status` and `explain` calls.

use document::{Name, hash_key};
use operator::{Error, ErrorKind, Explanation, InstanceStatus, ServiceStatus, StatusAnswer};
use peer::Message;
use store::Store;
use tokio::sync::oneshot;
use tokio_util::bytes::Bytes;

use crate::collector::{COLLECT_TIMEOUT_MS, StatusQuery, Statuses, merge_statuses, send_answer};
use crate::control_thread::ControlThread;

impl<S: Store> ControlThread<S> {
    /// Requests the statuses of all live instances, and sends the answer when they have replied.
    ///
    /// After [`COLLECT_TIMEOUT_MS`] the answer is sent without the missing replies.
    pub(crate) fn collect_status(&mut self, reply_to: oneshot::Sender<StatusAnswer>) {
        self.collector.last_number += 1;
        let number = self.collector.last_number;
        let waiting_for = self.other_instances();
        let mut answer = self.local_status();
        merge_statuses(&mut answer, self.own_statuses());
        for name in &waiting_for {
            self.request_status(name, number);
        }
        let deadline_ms = self.now_ms() + COLLECT_TIMEOUT_MS;
        let query = StatusQuery { number, deadline_ms, waiting_for, answer, reply_to };
        if query.waiting_for.is_empty() {
            send_answer(query);
        } else {
            self.collector.pending.push(query);
        }
    }

    /// Returns the statuses of the services that this daemon controls, as JSON.
    pub(crate) fn own_statuses_json(&self) -> Bytes {
        serde_json::to_vec(&self.own_statuses()).unwrap_or_default().into()
    }

    fn request_status(&mut self, to: &Name, number: u64) {
        let no_service = Name::from("");
        self.send(to, &no_service, Message::StatusRequest(number));
    }

    /// Returns the statuses of the services that this daemon controls.
    pub(crate) fn own_statuses(&self) -> Statuses {
        let now_ms = self.now_ms();
        self.services
            .iter()
            .filter_map(|(name, state)| Some((name.clone(), state.control.status(now_ms)?)))
            .collect()
    }

    /// Returns the live instances and known services, without any controller's status.
    fn local_status(&self) -> StatusAnswer {
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
            .map(|(name, state)| {
                let status = ServiceStatus { document: state.revision, ..Default::default() };
                (name.clone(), status)
            })
            .collect();
        StatusAnswer { instance: Some(self.settings.instance.clone()), instances, services }
    }

    /// Returns which server gets the requests for a key, and why.
    pub(crate) fn explain(&self, service: &Name, key: String) -> Result<Explanation, Error> {
        let missing = |message: String| Error::new(ErrorKind::Missing, message);
        let state = self
            .services
            .get(service)
            .ok_or_else(|| missing(format!("service {service} has no document in force")))?;
        let table = state.table.as_ref().ok_or_else(|| {
            missing(format!(
                "service {service} has no routing table, expected a keyed service with a controller"
            ))
        })?;
        let (_, route) = table
            .find(&key)
            .ok_or_else(|| missing(format!("key {key} is in no key group of service {service}")))?;
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
            group: table
                .groups
                .get(group)
                .map_or_else(|| Name::from(""), |group| group.name.clone()),
            shard: route.shard,
            owner,
            epoch: route.epoch,
            term: table.term,
            controller: table.controller.clone(),
            why,
        })
    }
}
