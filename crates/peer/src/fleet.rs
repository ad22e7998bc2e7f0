//! What daemons tell each other where servers register themselves.

use bytes::Bytes;
use document::{HashMap, Name, Revision};
use prost::Message as _;
use registry::{Incarnation, Registration, Stage};
use route::{CrashCount, Fingerprint};
use shard::{Epoch, KeyRange, Owner, Span, Table};

use crate::{Error, Result, fleet_wire as wire};

/// One message from one daemon to another.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFrame {
    /// The instance that sends it.
    pub from: Name,
    /// What it says.
    pub body: FleetBody,
}

/// What a frame says.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetBody {
    /// What the sender's requests did since its last report.
    Load(Load),
    /// The owners of all keys.
    Tables(Tables),
    /// Requests that crashed servers; the deadlines are lengths from the sending on.
    Crashes(Vec<CrashCount>),
    /// What the sender reads of the servers' entries.
    Servers(Servers),
    /// The sender needs a message that lists all servers.
    ServersWanted,
}

/// What one daemon reads of the servers' entries, for others that do not read them.
///
/// Times within are lengths from the sending on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Servers {
    /// The next message of the same sender has the next number.
    pub number: u64,
    /// The store's revision up to which changes are included.
    pub revision: Revision,
    /// Whether all servers are listed, and not only what changed.
    pub is_whole: bool,
    /// Servers that are listed.
    pub listed: Vec<Registration>,
    /// The names of servers that are not listed any more.
    pub gone: Vec<Name>,
    /// How much longer an entry may be missing only because the store was away.
    pub lapse_left_ms: u64,
    /// Whether the sender no longer reads entries; nothing else is said then.
    pub is_over: bool,
}

/// What a daemon reports to the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// What requests did, by service.
    pub services: Vec<ServiceLoad>,
    /// Whether the sender missed a message with tables and needs them whole.
    pub wants_tables: bool,
}

/// What requests of one service did.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: Name,
    /// Keys with the work of their requests, in microseconds of one slot.
    pub keys: Vec<(u16, u32)>,
    /// How servers answered.
    pub servers: Vec<ServerLoad>,
}

/// How one server answered.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLoad {
    /// The server.
    pub incarnation: Incarnation,
    /// How many answers there were.
    pub answers: u32,
    /// The sum over the answers of their time against the route's mean, in thousandths.
    pub slowness_milli: u64,
}

/// The owners of all keys, as one leader tells them.
#[derive(Clone, Debug, PartialEq)]
pub struct Tables {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The number of this message within the epoch.
    pub number: u64,
    /// The number of the message that this one changes; `None` where tables are whole.
    pub base: Option<u64>,
    /// The tables by service.
    pub tables: Vec<(Name, Table)>,
}

impl FleetFrame {
    /// Returns the bytes of the frame.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let body = match &self.body {
            FleetBody::Load(load) => {
                let services = load.services.iter().map(from_load).collect();
                wire::frame::Body::Load(wire::Load { services, wants_tables: load.wants_tables })
            }
            FleetBody::Tables(tables) => wire::frame::Body::Tables(from_tables(tables)),
            FleetBody::Crashes(suspects) => {
                let suspects = suspects.iter().map(from_suspect).collect();
                wire::frame::Body::Crashes(wire::Crashes { suspects })
            }
            FleetBody::Servers(servers) => wire::frame::Body::Servers(from_servers(servers)),
            FleetBody::ServersWanted => wire::frame::Body::ServersWanted(wire::ServersWanted {}),
        };
        wire::Frame { from: self.from.to_string(), body: Some(body) }.encode_to_vec().into()
    }

    /// Reads the bytes of a frame.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a frame of a known kind.
    pub fn from_bytes(bytes: Bytes) -> Result<Self> {
        let frame = wire::Frame::decode(bytes)
            .map_err(|error| Error::report(format!("frame cannot be read: {error}")))?;
        let body = match frame.body.ok_or_else(|| Error::report("frame of an unknown kind"))? {
            wire::frame::Body::Load(load) => {
                let services = load.services.into_iter().map(to_load).collect();
                FleetBody::Load(Load { services, wants_tables: load.wants_tables })
            }
            wire::frame::Body::Tables(tables) => FleetBody::Tables(to_tables(tables)?),
            wire::frame::Body::Crashes(crashes) => {
                FleetBody::Crashes(crashes.suspects.iter().map(to_suspect).collect())
            }
            wire::frame::Body::Servers(servers) => FleetBody::Servers(to_servers(servers)?),
            wire::frame::Body::ServersWanted(_) => FleetBody::ServersWanted,
        };
        Ok(Self { from: frame.from.into(), body })
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
        lapse_left_ms: servers.lapse_left_ms,
        is_over: servers.is_over,
    }
}

fn to_servers(servers: wire::Servers) -> Result<Servers> {
    Ok(Servers {
        number: servers.number,
        revision: Revision(servers.revision),
        is_whole: servers.is_whole,
        listed: servers.listed.into_iter().map(to_registration).collect::<Result<_>>()?,
        gone: servers.gone.into_iter().map(Name::from).collect(),
        lapse_left_ms: servers.lapse_left_ms,
        is_over: servers.is_over,
    })
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
    let life = registration.life.ok_or_else(|| Error::report("server without a life"))?;
    let address = registration.address.parse();
    let stage = if registration.is_draining { Stage::Draining } else { Stage::Ready };
    Ok(Registration {
        incarnation: to_incarnation(life),
        service: registration.service.into(),
        address: address.map_err(|error| Error::report(format!("server's address: {error}")))?,
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
        base: tables.base.unwrap_or(0),
        tables: tables.tables.iter().map(|(name, table)| from_table(name, table)).collect(),
    }
}

fn to_tables(tables: wire::Tables) -> Result<Tables> {
    Ok(Tables {
        epoch: Epoch(tables.epoch),
        number: tables.number,
        base: Some(tables.base).filter(|base| *base > 0),
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
                Owner::Nobody { for_ms } => (wire::State::Nobody, 0, *for_ms),
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
    let spans = spans.ok_or_else(|| Error::report("table with a span that makes no sense"))?;
    Ok((table.service.into(), Table { spans }))
}

fn to_span(span: &wire::Span, incarnations: &[Incarnation]) -> Option<Span> {
    let range = KeyRange::new(u16::try_from(span.from).ok()?, u16::try_from(span.to).ok()?)?;
    let incarnation = || incarnations.get(usize::try_from(span.life).ok()?).cloned();
    let owner = match span.state() {
        wire::State::Server => Owner::Server(incarnation()?),
        wire::State::Moving => Owner::Moving(incarnation()?),
        wire::State::Nobody => Owner::Nobody { for_ms: span.for_ms },
    };
    Some(Span { range, owner })
}

fn from_suspect(suspect: &CrashCount) -> wire::Suspect {
    wire::Suspect {
        fingerprint: suspect.fingerprint.0,
        crashes: suspect.crashes,
        left_ms: suspect.deadline_ms,
    }
}

fn to_suspect(suspect: &wire::Suspect) -> CrashCount {
    CrashCount {
        fingerprint: Fingerprint(suspect.fingerprint),
        crashes: suspect.crashes,
        deadline_ms: suspect.left_ms,
    }
}
