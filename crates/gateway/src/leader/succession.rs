//! Hands leadership over when a leader stops or the store refuses it.
//!
//! The store may refuse a leader and serve other daemons. A leader whose lease is not renewed asks
//! some daemons whether the store answers them. If it does, the leader resigns in favour of the
//! first one that says so. Only if none does, the store is down for all, and the leader makes
//! grants long enough to last until it is back.

use std::sync::atomic::Ordering;

use document::Name;
use peer::{FleetBody, Resigned};
use shard::{Epoch, Event};
use store::{Era, LeaseId, Store};
use telemetry::Counter;
use tokio::time::{Duration, sleep};

use crate::control::follow::LEADER_KEY;
use crate::control::input::{Input, WonElection};
use crate::control::node::Node;
use crate::leader::candidacy::{self, Candidate};
use crate::leader::election::{to_entry_revision, to_epoch};
use crate::leader::leader_tasks::log_unanswered;
use crate::leader::older_store::PassedOn;
use crate::{Orders, Source};

/// What a leader that resigned told.
#[derive(Clone, Debug)]
pub(crate) struct Resignation {
    pub(crate) epoch: Epoch,
    pub(crate) successor: Option<Name>,
    /// The time until which grants of the leader or of earlier ones may be valid.
    pub(crate) grants_deadline_ms: u64,
}

/// How many daemons are asked at once whether they reach the store.
///
/// If the store refuses a third of the daemons, one of four answers in 99 of 100 cases.
const QUERIED_DAEMONS: usize = 4;
/// How long a leader waits for a daemon that reaches the store before it makes grants longer.
const QUERY_TIMEOUT_MS: u64 = 200;
/// The additional wait of a daemon that reaches no server.
const CUT_OFF_WAIT_MS: u64 = 1_500;
/// How long the lease of a leader that resigned goes on, so that its successor can replace the
/// leader's entry and so show that there was no other leader in between.
const LEASE_END_DELAY_MS: u64 = 400;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Stops leading and lets another daemon take over at once.
    pub(crate) fn resign(&mut self, cause: &'static str) {
        self.resign_to(None, cause);
    }

    pub(crate) fn resign_to(&mut self, successor: Option<&Name>, cause: &'static str) {
        let Some(leading) = self.leading.take() else { return };
        let (epoch, era, lease) = (leading.leader.epoch(), leading.era, leading.lease);
        let now_ms = self.clock.now_ms();
        let grants_deadline_ms = leading.leader.grants_deadline_ms(now_ms);
        let unanswered = leading.leader.unanswered_grants(now_ms);
        log_unanswered(epoch, &unanswered, now_ms);
        self.hand_over(epoch, era, lease, grants_deadline_ms, successor, cause);
    }

    /// Hands over leadership that this daemon has won while its process stops.
    ///
    /// Otherwise the store names it as the leader until its lease expires.
    pub(crate) fn decline(&mut self, election: &WonElection) {
        let resigned = self.resigned.as_ref();
        let resigned = resigned.filter(|resigned| Some(resigned.epoch) == election.predecessor);
        // It has granted nothing, so only grants of earlier leaders count.
        let from_ms = self.earlier_leader_deadline_ms(election.era);
        let grants_deadline_ms = resigned.map_or_else(
            || self.shard_config().earlier_grants_deadline_ms(from_ms),
            |resigned| resigned.grants_deadline_ms,
        );
        let cause = if election.era == self.era {
            "the process is stopping"
        } else {
            "the store came back from an older copy"
        };
        self.hand_over(
            election.epoch,
            election.era,
            election.lease,
            grants_deadline_ms,
            None,
            cause,
        );
    }

    /// Tells the other daemons that an epoch of this one has ended, and ends its lease.
    fn hand_over(
        &mut self,
        epoch: Epoch,
        era: Option<Era>,
        lease: LeaseId,
        grants_deadline_ms: u64,
        successor: Option<&Name>,
        cause: &'static str,
    ) {
        let successor = successor.cloned().or_else(|| self.next_in_order(epoch));
        let named = successor.as_deref().unwrap_or("-").to_owned();
        spdlog::info!("no longer leader", kv: { epoch = epoch.0, cause, successor = named });
        let grants_left_ms = grants_deadline_ms.saturating_sub(self.clock.now_ms());
        let elected_era = era.map_or(0, |era| era.0);
        let passed_on = self.passed_on.as_ref();
        let passed_on =
            passed_on.filter(|passed_on| elected_era.checked_add(1) == Some(passed_on.era.0));
        let resigned = Resigned {
            epoch,
            successor: successor.clone(),
            grants_left_ms: Some(grants_left_ms),
            era: elected_era,
            holders: passed_on.map(PassedOn::to_message),
        };
        self.send_all(&FleetBody::Resigned(resigned));
        self.resigned = Some(Resignation { epoch, successor, grants_deadline_ms });
        if era != self.era {
            // The number of the lease may be another daemon's now.
            return;
        }
        let store = self.store.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(LEASE_END_DELAY_MS)).await;
            // A lease that cannot be ended expires by itself.
            drop(store.end_lease(lease).await);
        });
    }

    /// Handles the resignation of another leader.
    pub(crate) fn on_resigned(&mut self, from: Name, resigned: Resigned) {
        let Resigned { epoch, successor, grants_left_ms, era, holders } = resigned;
        if let Some(holders) = holders {
            self.on_passed_on(PassedOn::from_message(era, &holders));
        }
        if self.resigned.as_ref().is_some_and(|known| known.epoch >= epoch) {
            return;
        }
        let entry = self.fleet_entries.get(LEADER_KEY);
        let entry_revision = to_entry_revision(self.era, epoch);
        if era == self.era_number() && entry.is_none_or(|entry| entry.revision < entry_revision) {
            // It has led so briefly that its entry has not been read yet.
            self.leader = Some((from, entry_revision));
        }
        let named = successor.as_deref().unwrap_or("-").to_owned();
        let now_ms = self.clock.now_ms();
        let from_ms = match grants_left_ms {
            Some(_) => now_ms,
            None => self.earlier_leader_deadline_ms(self.era),
        };
        let config = self.shard_config();
        let grants_deadline_ms = config.resigned_grants_deadline_ms(from_ms, grants_left_ms);
        spdlog::info!(
            "leader resigned",
            kv: {
                epoch = epoch.0, successor = named, is_known = grants_left_ms.is_some(),
                grants_left_ms = grants_deadline_ms.saturating_sub(now_ms)
            }
        );
        self.resigned = Some(Resignation { epoch, successor, grants_deadline_ms });
        self.campaign_if_needed();
    }

    /// Returns how long this daemon waits for its turn to campaign.
    pub(crate) fn campaign_wait_ms(&self) -> u64 {
        let epoch = self.tables_version.map_or(Epoch(0), |(epoch, _)| epoch);
        let order = candidacy::campaign_order(epoch.0, self.candidates());
        let successor = self.resigned.as_ref().and_then(|resigned| resigned.successor.as_ref());
        let wait_ms = candidacy::campaign_wait_ms(
            &order,
            &self.settings.instance,
            successor,
            self.failed_campaigns,
        );
        // Daemons that reach the servers campaign first.
        if self.shared.reach().is_cut_off() { wait_ms + CUT_OFF_WAIT_MS } else { wait_ms }
    }

    fn next_in_order(&self, epoch: Epoch) -> Option<Name> {
        let order = candidacy::campaign_order(epoch.0, self.candidates());
        order.into_iter().find(|name| *name != self.settings.instance)
    }

    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let daemons = self.daemons.iter();
        let to_candidate = |(name, daemon): (&Name, &crate::control::follow::DaemonEntry)| {
            Candidate { instance: name.clone(), link_mbps: daemon.link_mbps }
        };
        daemons.map(to_candidate).collect()
    }

    /// Takes over the time until which the lease was renewed.
    pub(crate) fn apply_renewal(&mut self) {
        let renewed = self.leading.as_ref().map(|leading| {
            let renewed_ms = leading.renewed_authority_ms.load(Ordering::Relaxed);
            (leading.leader.authority_deadline_ms(), renewed_ms)
        });
        if let Some((known_ms, authority_deadline_ms)) = renewed
            && known_ms < authority_deadline_ms
        {
            self.step(Event::LeaseRenewed { authority_deadline_ms });
        }
    }

    pub(crate) fn on_lease_renewed(&mut self) {
        let Some(leading) = &mut self.leading else { return };
        leading.renewal_failed_at_ms = None;
        leading.queried_daemons = 0;
    }

    /// Asks some daemons whether the store answers them.
    pub(crate) fn on_lease_renewal_failed(&mut self) {
        let now_ms = self.clock.now_ms();
        let Some(leading) = &mut self.leading else { return };
        let epoch = leading.leader.epoch();
        leading.renewal_failed_at_ms.get_or_insert(now_ms);
        let skipped = leading.queried_daemons;
        leading.queried_daemons += QUERIED_DAEMONS;
        let order = candidacy::campaign_order(epoch.0, self.candidates());
        let others = order.into_iter().filter(|name| *name != self.settings.instance);
        let queried: Vec<Name> = others.skip(skipped).take(QUERIED_DAEMONS).collect();
        spdlog::info!("lease not renewed", kv: { epoch = epoch.0, queried = queried.len() });
        self.send_to(&queried, &FleetBody::StoreQuery(epoch));
    }

    /// Makes grants longer when no daemon has said that it reaches the store.
    pub(crate) fn check_lease_renewal(&mut self, now_ms: u64) {
        let failed_at_ms = self.leading.as_ref().and_then(|leading| leading.renewal_failed_at_ms);
        if failed_at_ms.is_some_and(|failed_at_ms| now_ms >= failed_at_ms + QUERY_TIMEOUT_MS) {
            self.step(Event::StoreAnswers(false));
        }
    }

    /// Asks the store, for a leader that it does not answer, whether that is still the leader.
    pub(crate) fn on_store_query(&mut self, leader: Name, epoch: Epoch) {
        if !self.store_answers || self.shared.is_stopping() {
            return;
        }
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let era = self.era;
        self.shared.counters.count(Counter::StoreCalls);
        tokio::spawn(async move {
            let Ok(Some(entry)) = store.read(LEADER_KEY).await else { return };
            if to_epoch(era, entry.revision) == epoch {
                // The receiver is closed only while the process exits.
                drop(inputs.send(Input::StoreReached { leader, epoch }).await);
            }
        });
    }

    pub(crate) fn send_store_reached(&mut self, leader: &Name, epoch: Epoch) {
        if let Some(address) = self.address(leader) {
            self.send(address, FleetBody::StoreReached(epoch));
        }
    }

    /// Resigns in favour of a daemon that the store answers.
    pub(crate) fn on_store_reached(&mut self, daemon: &Name, epoch: Epoch) {
        let is_refused = self.leading.as_ref().is_some_and(|leading| {
            leading.leader.epoch() == epoch && leading.renewal_failed_at_ms.is_some()
        });
        if is_refused {
            self.resign_to(Some(daemon), "the store answers another daemon");
        }
    }
}
