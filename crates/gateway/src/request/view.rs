//! The snapshot by which requests are routed.

use std::sync::Arc;

use document::{HashMap, Name};
use registry::Incarnation;
use route::{Candidate, Choice, Exclusions, RemotePenalty, TrialDraw};
use shard::{Owner, Table};
use site::Site;

use crate::request::detour::Peer;
use crate::request::report::ServiceState;
use crate::request::server::Server;

/// An immutable snapshot of everything that decides where a request goes.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The document in force; `None` until one is known.
    pub site: Option<Arc<Site>>,
    /// The leader's epoch and the number of its message that the tables come from.
    pub tables_version: (u64, u64),
    /// The other daemons, to which requests can be passed on.
    pub peers: Arc<[Arc<Peer>]>,
    /// The services by name.
    pub services: HashMap<Name, Arc<ServiceView>>,
}

/// One service of the snapshot.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The state that is kept when the snapshot is replaced.
    pub state: Arc<ServiceState>,
    /// Whether keys of the service are assigned to servers.
    pub is_keyed: bool,
    /// The servers that accept new work.
    pub pool: Arc<[PoolMember]>,
    /// All servers, including those that are leaving.
    pub servers: Arc<HashMap<Incarnation, Arc<Server>>>,
    /// The owners of keys.
    pub table: Arc<Table>,
    /// When the snapshot was built, by the clock of requests.
    pub built_at_ms: u64,
    /// The same by the clock of control, which the table's times refer to.
    pub built_at_control_ms: u64,
}

/// A server that accepts new work.
#[derive(Clone, Debug)]
pub struct PoolMember {
    /// The server.
    pub server: Arc<Server>,
    /// Whether this daemon keeps connections to it.
    pub is_preferred: bool,
}

/// Where a request can be sent.
#[derive(Clone, Debug)]
pub enum Destination {
    /// To this server.
    Server(Arc<Server>),
    /// To no server yet: the key is moving, or its owner is not open here.
    Moving,
    /// To no server, because the key has no owner for about this long.
    NoOwner {
        /// The remaining time in milliseconds.
        remaining_ms: u64,
    },
}

/// How long a key is expected to have no owner when the table does not cover it.
const DEFAULT_NO_OWNER_MS: u64 = 500;

impl View {
    /// Returns the version of the document in force, or 0 if none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.site.as_ref().map_or(0, |site| site.version().0)
    }
}

impl ServiceView {
    /// Returns where requests for a key can be sent.
    #[must_use]
    pub fn destination(&self, now_ms: u64, key: u16) -> Destination {
        let Some(span) = self.table.find(key) else {
            return Destination::NoOwner { remaining_ms: DEFAULT_NO_OWNER_MS };
        };
        match &span.owner {
            Owner::Server(incarnation) => match self.servers.get(incarnation) {
                Some(server) if server.is_open() => Destination::Server(Arc::clone(server)),
                _ => Destination::Moving,
            },
            Owner::Moving(_) => Destination::Moving,
            Owner::Nobody { until_ms } => {
                let elapsed_ms = now_ms.saturating_sub(self.built_at_ms);
                let now_ms = self.built_at_control_ms + elapsed_ms;
                Destination::NoOwner { remaining_ms: until_ms.saturating_sub(now_ms) }
            }
        }
    }

    /// Returns how long no server of the pool gets requests; 0 if one does.
    #[must_use]
    pub fn pause_remaining_ms(&self) -> u64 {
        let remaining = self.pool.iter().map(|member| member.server.pause_remaining_ms());
        remaining.min().unwrap_or(0)
    }

    /// Picks a server from the pool, if possible one for which `is_avoided` returns false. Servers
    /// that want no requests for now are left out.
    ///
    /// A server whose speed is not known gets single requests that are drawn for it.
    ///
    /// In a service whose servers report load, those that fail many requests are excluded. If
    /// `may_probe`, such a server may be picked to find out whether it still does.
    #[must_use]
    pub fn pick_server(
        &self,
        data_centre: &Name,
        remote_penalty: RemotePenalty,
        is_avoided: impl Fn(&Server) -> bool,
        may_probe: bool,
        random: u32,
    ) -> Option<Arc<Server>> {
        let leaves_held_back_out = self.leaves_held_back_out(data_centre, &is_avoided);
        let leaves_unconfirmed_out = self.leaves_unconfirmed_out(data_centre, &is_avoided);
        let now_ms = self.pool.first()?.server.now_ms();
        let has_reports = self.pool.iter().any(|member| member.server.has_load());
        let failing_share = |member: &PoolMember| {
            if has_reports { member.server.failing_share(now_ms) } else { 0.0 }
        };
        let mut exclusions = Exclusions::new(self.pool.iter().map(failing_share));
        let is_paused = |server: &Server| {
            server.pause_remaining_ms() > 0
                || leaves_held_back_out && is_held_back(server)
                || leaves_unconfirmed_out && server.is_unconfirmed()
        };
        let (mut open, mut preferred) = (0, 0);
        for member in self.pool.iter().filter(|member| !is_paused(&member.server)) {
            open += 1;
            preferred += usize::from(member.is_preferred);
        }
        let may_try = |member: &PoolMember| member.is_preferred || preferred == 0;
        let mut trial = TrialDraw::new(if preferred > 0 { preferred } else { open }, random);
        // Reports weigh how long work takes. Counting the requests of other daemons as well opened
        // half as many connections again and sent more requests to other data centres.
        let has_slow_start = self.pool.iter().any(|member| member.server.has_slow_start());
        let choice = Choice::new(open, false, remote_penalty, random);
        let mut choice = choice.with_spread(has_slow_start);
        let mut chosen = None;
        for member @ PoolMember { server, is_preferred } in self.pool.iter() {
            let is_excluded = exclusions.excludes(failing_share(member));
            if is_paused(server) {
                continue;
            }
            let is_avoided = server.is_avoided() || is_avoided(server);
            if is_excluded && may_probe && !is_avoided && server.take_probe(now_ms) {
                return Some(Arc::clone(server));
            }
            let is_drawn = may_try(member) && trial.is_next();
            if is_drawn && !is_avoided && !is_excluded && server.take_trial() {
                return Some(Arc::clone(server));
            }
            let occupied = server.occupied();
            let is_best = choice.offer(&Candidate {
                occupied,
                slots: server.usable_slots(),
                slowness: server.slowness(),
                is_near: server.registration.data_centre == *data_centre,
                is_preferred: *is_preferred,
                is_avoided: is_avoided || is_excluded,
                expected: None,
            });
            if is_best {
                chosen = Some(server);
            }
        }
        chosen.map(Arc::clone)
    }

    /// Returns whether servers that may be cold again get no second request before they answer,
    /// because there is another one nearby, full or not: they answer within one request's time.
    fn leaves_unconfirmed_out(
        &self,
        data_centre: &Name,
        is_avoided: impl Fn(&Server) -> bool,
    ) -> bool {
        let is_usable = |server: &Server| {
            let is_near = server.registration.data_centre == *data_centre;
            let is_avoided = server.is_avoided() || is_avoided(server);
            is_near && !is_avoided && server.pause_remaining_ms() == 0
        };
        let mut servers = self.pool.iter().map(|member| &*member.server);
        servers.clone().any(Server::is_unconfirmed)
            && servers.any(|server| {
                !server.is_unconfirmed() && server.cold_limit().is_none() && is_usable(server)
            })
    }

    /// Returns whether servers that are held back get no request because another one nearby has a
    /// free slot.
    fn leaves_held_back_out(
        &self,
        data_centre: &Name,
        is_avoided: impl Fn(&Server) -> bool,
    ) -> bool {
        let has_room = |server: &Server| {
            let is_near = server.registration.data_centre == *data_centre;
            let is_avoided = server.is_avoided() || is_avoided(server);
            is_near && !is_avoided && server.pause_remaining_ms() == 0 && server.has_free_slot()
        };
        let mut servers = self.pool.iter().map(|member| &*member.server);
        servers.clone().any(is_held_back)
            && servers.any(|server| !is_held_back(server) && has_room(server))
    }
}

/// Returns whether a server is cold, or its slow start allows no more requests.
fn is_held_back(server: &Server) -> bool {
    server.cold_limit().is_some() || (server.is_paced() && !server.has_free_slot())
}
