//! Messages between daemons in fleets where servers register themselves.

use bytes::Bytes;
use document::{HashMap, Name, Revision};
use prost::Message as _;
use registry::{Incarnation, Registration, Stage};
use route::{CRASH_RETENTION_MS, CrashCount, Fingerprint, Rate, Turn};
use shard::{Epoch, KeyRange, Owner, Span, Table};

use crate::{Error, Result, fleet_wire as wire};

/// A message between daemons whose servers register themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFrame {
    /// The instance that sent the message.
    pub from: Name,
    /// The content of the message.
    pub body: FleetBody,
}

/// The content of a [`FleetFrame`].
#[derive(Clone, Debug, PartialEq)]
pub enum FleetBody {
    /// The load of the requests that the sender forwarded since its last report.
    Load(Load),
    /// The owners of all keys, or the changes to them.
    Tables(Tables),
    /// Requests that crashed servers; `deadline_ms` is relative to the time of sending.
    Crashes(Vec<CrashCount>),
    /// The servers' entries as the sender read them.
    Servers(Servers),
    /// Requests a [`Servers`] message that lists all servers.
    ServersRequest,
    /// Asks whether the receiver reaches the store, which does not answer the sender, the leader
    /// of this epoch.
    StoreQuery(Epoch),
    /// Tells that the store answers the sender and names the leader of this epoch.
    StoreReached(Epoch),
    /// Tells that a leader has stopped acting.
    Resigned(Resigned),
    /// Names servers that said in an answer that they are leaving.
    Leaving(Leaving),
    /// Asks whether the receiver can connect to servers that do not answer the sender.
    ReachQuery(ReachQuery),
    /// Tells the leader of this epoch that the sender can.
    ServersReached(Epoch),
    /// Asks for a turn at a server that limits its rate.
    TurnRequest(TurnRequest),
    /// Answers the [`TurnRequest`] with this number.
    TurnReply(u64, Turn),
}

/// A leader's question whether servers that do not answer it can be reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReachQuery {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The servers.
    pub servers: Vec<Incarnation>,
}

/// A daemon's request for a turn at a server that limits its rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TurnRequest {
    /// The number that the reply repeats.
    pub number: u64,
    /// The server.
    pub server: Incarnation,
    /// The limit that the server names.
    pub rate: Rate,
    /// How long the caller's request can wait for its turn.
    pub max_wait_ms: u64,
}

/// Servers that said in an answer that they are leaving.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leaving {
    /// The incarnations that are leaving.
    pub servers: Vec<Incarnation>,
    /// Whether the sender is not the leader and passes the message on.
    pub is_relayed: bool,
}

/// The resignation of a leader, whose lease may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resigned {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The daemon that may campaign first.
    pub successor: Option<Name>,
    /// How much longer grants of the leader or of earlier ones may be valid; `None` if it is unknown.
    pub grants_left_ms: Option<u64>,
    /// The era of the store in which the leader was elected; 0 from an earlier version.
    pub era: u64,
    /// The servers that may hold keys, by service, as the texts of records; empty texts say that none does.
    ///
    /// Present if the leader led until the store came back from an older copy, so that no other one has
    /// acted since, apart from those of the next era.
    pub holders: Option<Vec<(Name, Name)>>,
}

/// The servers' entries from the store, relayed to daemons that do not read them.
///
/// `grace_left_ms` and each entry's `warm_at_ms` are relative to the time of sending.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Servers {
    /// Increases by one with each message of changes.
    ///
    /// A message that lists all servers repeats the latest number.
    pub number: u64,
    /// The store's revision up to which the sender read changes.
    pub revision: Revision,
    /// Whether `listed` contains all servers and not only the changed ones.
    pub is_whole: bool,
    /// The entries of all servers or of the changed ones.
    pub listed: Vec<Registration>,
    /// The names of servers whose entries were removed.
    pub gone: Vec<Name>,
    /// The rest of the grace period after an outage of the store, in milliseconds.
    ///
    /// Until it ends, entries of running servers may be missing.
    pub grace_left_ms: u64,
    /// Whether the sender no longer reads entries; then the other fields are to be ignored.
    pub has_stopped_reading: bool,
    /// The entries of daemons and of their leader: all of them, or those that changed.
    pub fleet: Vec<FleetEntry>,
    /// The store's revision up to which the sender read changes of these entries.
    pub fleet_revision: Revision,
}

/// An entry of the store about a daemon or the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetEntry {
    /// The key.
    pub key: Name,
    /// The value; `None` if it was removed.
    pub text: Option<Name>,
    /// The revision of the last write, or of the removal.
    pub revision: Revision,
}

/// A daemon's report of its load to the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// The load of each service.
    pub services: Vec<ServiceLoad>,
    /// Whether the sender missed a change of the tables and needs complete tables.
    pub wants_tables: bool,
}

/// The load that requests of one service caused.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// The service that the requests were for.
    pub service: Name,
    /// Keys with the time in microseconds for which their requests used a slot.
    pub keys: Vec<(u16, u32)>,
    /// The answers of each server.
    pub servers: Vec<ServerLoad>,
}

/// The answers of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLoad {
    /// The incarnation of the server that answered.
    pub incarnation: Incarnation,
    /// The number of answers.
    pub answers: u32,
    /// The sum, over all answers, of latency divided by the route's mean latency; in thousandths.
    pub slowness_milli: u64,
    /// The load that the server's rate limit allows, in thousandths of a busy slot; `None` if it
    /// has none.
    pub max_load_milli: Option<u64>,
}

/// The owners of all keys, as one leader publishes them.
///
/// Times in the tables are relative to the time of sending.
#[derive(Clone, Debug, PartialEq)]
pub struct Tables {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The number of the publication within the epoch.
    pub number: u64,
    /// The epoch and number of the publication whose spans these spans change.
    ///
    /// `None` if the tables are complete.
    pub base: Option<(Epoch, u64)>,
    /// Whether the sender is not the leader and passes the publication on.
    pub is_relayed: bool,
    /// The tables by service.
    pub tables: Vec<(Name, Table)>,
}

impl FleetFrame {
    /// Encodes the frame.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let body = match &self.body {
            FleetBody::Load(load) => {
                let services = load.services.iter().map(from_load).collect();
                wire::frame::Body::Load(wire::Load { services, wants_tables: load.wants_tables })
            }
            FleetBody::Tables(tables) => wire::frame::Body::Tables(from_tables(tables)),
            FleetBody::Crashes(counts) => {
                let suspects = counts.iter().map(from_crash_count).collect();
                wire::frame::Body::Crashes(wire::Crashes { suspects })
            }
            FleetBody::Servers(servers) => wire::frame::Body::Servers(from_servers(servers)),
            FleetBody::ServersRequest => wire::frame::Body::ServersWanted(wire::ServersWanted {}),
            FleetBody::StoreQuery(epoch) => {
                wire::frame::Body::StoreQuery(wire::StoreQuery { epoch: epoch.0 })
            }
            FleetBody::StoreReached(epoch) => {
                wire::frame::Body::StoreReached(wire::StoreReached { epoch: epoch.0 })
            }
            FleetBody::Resigned(resigned) => wire::frame::Body::Resigned(from_resigned(resigned)),
            FleetBody::Leaving(leaving) => wire::frame::Body::Leaving(wire::Leaving {
                lives: leaving.servers.iter().map(from_incarnation).collect(),
                is_relayed: leaving.is_relayed,
            }),
            FleetBody::ReachQuery(query) => wire::frame::Body::ReachQuery(wire::ReachQuery {
                epoch: query.epoch.0,
                lives: query.servers.iter().map(from_incarnation).collect(),
            }),
            FleetBody::ServersReached(epoch) => {
                wire::frame::Body::ServersReached(wire::ServersReached { epoch: epoch.0 })
            }
            FleetBody::TurnRequest(request) => wire::frame::Body::TurnWanted(wire::TurnWanted {
                number: request.number,
                life: Some(from_incarnation(&request.server)),
                milli_per_s: request.rate.milli_per_s(),
                max_wait_ms: request.max_wait_ms,
            }),
            FleetBody::TurnReply(number, turn) => {
                wire::frame::Body::TurnReply(from_turn(*number, *turn))
            }
        };
        wire::Frame { from: self.from.to_string(), body: Some(body) }.encode_to_vec().into()
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid frame with a body of a known kind.
    pub fn from_bytes(bytes: Bytes) -> Result<Self> {
        let frame = wire::Frame::decode(bytes)
            .map_err(|error| Error::report(format!("frame is not valid: {error}")))?;
        let body = match frame.body.ok_or_else(|| Error::report("frame has no known body"))? {
            wire::frame::Body::Load(load) => {
                let services = load.services.into_iter().map(to_load).collect();
                FleetBody::Load(Load { services, wants_tables: load.wants_tables })
            }
            wire::frame::Body::Tables(tables) => FleetBody::Tables(to_tables(tables)?),
            wire::frame::Body::Crashes(crashes) => {
                FleetBody::Crashes(crashes.suspects.iter().map(to_crash_count).collect())
            }
            wire::frame::Body::Servers(servers) => FleetBody::Servers(to_servers(servers)?),
            wire::frame::Body::ServersWanted(_) => FleetBody::ServersRequest,
            wire::frame::Body::StoreQuery(query) => FleetBody::StoreQuery(Epoch(query.epoch)),
            wire::frame::Body::StoreReached(reached) => {
                FleetBody::StoreReached(Epoch(reached.epoch))
            }
            wire::frame::Body::Resigned(resigned) => FleetBody::Resigned(to_resigned(resigned)),
            wire::frame::Body::Leaving(leaving) => FleetBody::Leaving(Leaving {
                servers: leaving.lives.into_iter().map(to_incarnation).collect(),
                is_relayed: leaving.is_relayed,
            }),
            wire::frame::Body::ReachQuery(query) => FleetBody::ReachQuery(ReachQuery {
                epoch: Epoch(query.epoch),
                servers: query.lives.into_iter().map(to_incarnation).collect(),
            }),
            wire::frame::Body::ServersReached(reached) => {
                FleetBody::ServersReached(Epoch(reached.epoch))
            }
            wire::frame::Body::TurnWanted(request) => {
                FleetBody::TurnRequest(to_turn_request(request)?)
            }
            wire::frame::Body::TurnReply(reply) => {
                FleetBody::TurnReply(reply.number, to_turn(&reply))
            }
        };
        Ok(Self { from: frame.from.into(), body })
    }
}

fn to_turn_request(request: wire::TurnWanted) -> Result<TurnRequest> {
    let life = request.life.ok_or_else(|| Error::report("request for a turn names no server"))?;
    Ok(TurnRequest {
        number: request.number,
        server: to_incarnation(life),
        rate: Rate::from_milli_per_s(request.milli_per_s),
        max_wait_ms: bounded(request.max_wait_ms),
    })
}

/// The longest duration in a message. Those that daemons send last seconds, and a receiver adds them
/// to its clock.
const MAX_DURATION_MS: u64 = 24 * 3_600 * 1_000;

fn bounded(duration_ms: u64) -> u64 {
    duration_ms.min(MAX_DURATION_MS)
}

fn from_turn(number: u64, turn: Turn) -> wire::TurnReply {
    let (is_full, wait_ms) = match turn {
        Turn::In { wait_ms } => (false, wait_ms),
        Turn::Full { remaining_ms } => (true, remaining_ms),
    };
    wire::TurnReply { number, is_full, wait_ms }
}

fn to_turn(reply: &wire::TurnReply) -> Turn {
    if reply.is_full {
        Turn::Full { remaining_ms: bounded(reply.wait_ms) }
    } else {
        Turn::In { wait_ms: bounded(reply.wait_ms) }
    }
}

fn from_incarnation(incarnation: &Incarnation) -> wire::Life {
    wire::Life { server: incarnation.server.to_string(), born_ms: incarnation.born_ms }
}

fn to_incarnation(life: wire::Life) -> Incarnation {
    Incarnation { server: life.server.into(), born_ms: life.born_ms }
}

fn from_servers(servers: &Servers) -> wire::Servers {
    wire::Servers {
        number: servers.number,
        revision: servers.revision.0,
        is_whole: servers.is_whole,
        listed: servers.listed.iter().map(from_registration).collect(),
        gone: servers.gone.iter().map(ToString::to_string).collect(),
        lapse_left_ms: servers.grace_left_ms,
        is_over: servers.has_stopped_reading,
        fleet: servers.fleet.iter().map(from_fleet_entry).collect(),
        fleet_revision: servers.fleet_revision.0,
    }
}

fn to_servers(servers: wire::Servers) -> Result<Servers> {
    Ok(Servers {
        number: servers.number,
        revision: Revision(servers.revision),
        is_whole: servers.is_whole,
        listed: servers.listed.into_iter().map(to_registration).collect::<Result<_>>()?,
        gone: servers.gone.into_iter().map(Name::from).collect(),
        grace_left_ms: bounded(servers.lapse_left_ms),
        has_stopped_reading: servers.is_over,
        fleet: servers.fleet.into_iter().map(to_fleet_entry).collect(),
        fleet_revision: Revision(servers.fleet_revision),
    })
}

fn from_fleet_entry(entry: &FleetEntry) -> wire::FleetEntry {
    wire::FleetEntry {
        key: entry.key.to_string(),
        text: entry.text.as_ref().map(ToString::to_string).unwrap_or_default(),
        revision: entry.revision.0,
        is_removed: entry.text.is_none(),
    }
}

fn to_fleet_entry(entry: wire::FleetEntry) -> FleetEntry {
    FleetEntry {
        key: entry.key.into(),
        text: (!entry.is_removed).then(|| entry.text.into()),
        revision: Revision(entry.revision),
    }
}

fn from_registration(registration: &Registration) -> wire::Registration {
    wire::Registration {
        life: Some(from_incarnation(&registration.incarnation)),
        service: registration.service.to_string(),
        address: registration.address.to_string(),
        data_centre: registration.data_centre.to_string(),
        slots: registration.slots,
        is_draining: registration.stage == Stage::Draining,
        cold_left_ms: registration.warm_at_ms,
        heartbeat: registration.heartbeat,
    }
}

fn to_registration(registration: wire::Registration) -> Result<Registration> {
    let life = registration.life.ok_or_else(|| Error::report("registration has no incarnation"))?;
    let address = registration.address.parse();
    let stage = if registration.is_draining { Stage::Draining } else { Stage::Ready };
    Ok(Registration {
        incarnation: to_incarnation(life),
        service: registration.service.into(),
        address: address
            .map_err(|error| Error::report(format!("address of server is not valid: {error}")))?,
        data_centre: registration.data_centre.into(),
        slots: registration.slots,
        stage,
        warm_at_ms: registration.cold_left_ms,
        heartbeat: registration.heartbeat,
    })
}

fn from_load(load: &ServiceLoad) -> wire::ServiceLoad {
    wire::ServiceLoad {
        service: load.service.to_string(),
        keys: load.keys.iter().map(|(key, _)| u32::from(*key)).collect(),
        work_us: load.keys.iter().map(|(_, work_us)| *work_us).collect(),
        servers: load
            .servers
            .iter()
            .map(|server| wire::ServerLoad {
                life: Some(from_incarnation(&server.incarnation)),
                answers: server.answers,
                slowness_milli: server.slowness_milli,
                max_load_milli: server.max_load_milli.map_or(0, |max_load| max_load.max(1)),
            })
            .collect(),
    }
}

fn to_load(load: wire::ServiceLoad) -> ServiceLoad {
    let keys = load.keys.iter().zip(&load.work_us);
    let servers = load.servers.into_iter().filter_map(|server| {
        Some(ServerLoad {
            incarnation: to_incarnation(server.life?),
            answers: server.answers,
            slowness_milli: server.slowness_milli,
            max_load_milli: Some(server.max_load_milli).filter(|max_load| *max_load > 0),
        })
    });
    ServiceLoad {
        service: load.service.into(),
        keys: keys
            .filter_map(|(key, work_us)| Some((u16::try_from(*key).ok()?, *work_us)))
            .collect(),
        servers: servers.collect(),
    }
}

fn from_tables(tables: &Tables) -> wire::Tables {
    wire::Tables {
        epoch: tables.epoch.0,
        number: tables.number,
        base: tables.base.map_or(0, |(_, number)| number),
        base_epoch: tables.base.map_or(0, |(epoch, _)| epoch.0),
        is_relayed: tables.is_relayed,
        tables: tables.tables.iter().map(|(name, table)| from_table(name, table)).collect(),
    }
}

fn to_tables(tables: wire::Tables) -> Result<Tables> {
    Ok(Tables {
        epoch: Epoch(tables.epoch),
        number: tables.number,
        base: Some(tables.base).filter(|base| *base > 0).map(|base| {
            let epoch = if tables.base_epoch == 0 { tables.epoch } else { tables.base_epoch };
            (Epoch(epoch), base)
        }),
        is_relayed: tables.is_relayed,
        tables: tables.tables.into_iter().map(to_table).collect::<Result<_>>()?,
    })
}

fn from_table(service: &Name, table: &Table) -> wire::Table {
    let mut positions: HashMap<&Incarnation, u32> = HashMap::default();
    let mut lives = Vec::new();
    let mut position = |incarnation| {
        *positions.entry(incarnation).or_insert_with(|| {
            lives.push(from_incarnation(incarnation));
            u32::try_from(lives.len() - 1).unwrap_or(u32::MAX)
        })
    };
    let spans = table
        .spans
        .iter()
        .map(|span| {
            let (state, life, for_ms) = match &span.owner {
                Owner::Server(incarnation) => (wire::State::Server, position(incarnation), 0),
                Owner::Moving(incarnation) => (wire::State::Moving, position(incarnation), 0),
                Owner::Nobody { until_ms } => (wire::State::Nobody, 0, *until_ms),
            };
            let (from, to) = (u32::from(span.range.from()), u32::from(span.range.to()));
            wire::Span { from, to, state: state.into(), life, for_ms }
        })
        .collect();
    wire::Table { service: service.to_string(), lives, spans }
}

fn to_table(table: wire::Table) -> Result<(Name, Table)> {
    let incarnations: Vec<Incarnation> = table.lives.into_iter().map(to_incarnation).collect();
    let spans = table.spans.iter().map(|span| to_span(span, &incarnations));
    let spans: Option<Vec<Span>> = spans.collect();
    let spans =
        spans.ok_or_else(|| Error::report("span has an invalid range or an unknown server"))?;
    Ok((table.service.into(), Table { spans }))
}

fn to_span(span: &wire::Span, incarnations: &[Incarnation]) -> Option<Span> {
    let range = KeyRange::new(u16::try_from(span.from).ok()?, u16::try_from(span.to).ok()?)?;
    let incarnation = || incarnations.get(usize::try_from(span.life).ok()?).cloned();
    let owner = match span.state() {
        wire::State::Server => Owner::Server(incarnation()?),
        wire::State::Moving => Owner::Moving(incarnation()?),
        wire::State::Nobody => Owner::Nobody { until_ms: bounded(span.for_ms) },
    };
    Some(Span { range, owner })
}

fn from_resigned(resigned: &Resigned) -> wire::Resigned {
    wire::Resigned {
        epoch: resigned.epoch.0,
        successor: resigned.successor.as_ref().map(ToString::to_string).unwrap_or_default(),
        grants_left_ms: resigned.grants_left_ms,
        era: resigned.era,
        has_led_through: resigned.holders.is_some(),
        holders: resigned
            .holders
            .iter()
            .flatten()
            .map(|(service, record)| wire::ServiceHolders {
                service: service.to_string(),
                record: record.to_string(),
            })
            .collect(),
    }
}

fn to_resigned(resigned: wire::Resigned) -> Resigned {
    let successor = Some(resigned.successor).filter(|name| !name.is_empty());
    let holders = resigned.holders.into_iter();
    let holders = holders.map(|holders| (holders.service.into(), holders.record.into()));
    Resigned {
        epoch: Epoch(resigned.epoch),
        successor: successor.map(Name::from),
        grants_left_ms: resigned.grants_left_ms.map(bounded),
        era: resigned.era,
        holders: resigned.has_led_through.then(|| holders.collect()),
    }
}

fn from_crash_count(count: &CrashCount) -> wire::Suspect {
    wire::Suspect {
        fingerprint: count.fingerprint.0,
        crashes: count.crashes,
        left_ms: count.deadline_ms,
    }
}

fn to_crash_count(suspect: &wire::Suspect) -> CrashCount {
    CrashCount {
        fingerprint: Fingerprint(suspect.fingerprint),
        crashes: suspect.crashes,
        deadline_ms: crash_left_ms(suspect.left_ms),
    }
}

/// Returns how much longer crashes are remembered: as long as possible if a message does not tell.
///
/// Daemons send no crashes whose time is over.
pub(crate) fn crash_left_ms(left_ms: u64) -> u64 {
    if left_ms == 0 { CRASH_RETENTION_MS } else { bounded(left_ms) }
}
