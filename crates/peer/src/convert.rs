//! Conversion between packets and their protobuf messages.

use std::sync::Arc;

use control::{
    Heartbeat, HeartbeatReply, Intent, PromiseReply, PromiseRequest, Record, RecordCopy, Stage,
};
use document::{Name, Revision};
use error_stack::Report;
use lease::{Epoch, LeaderEpoch, ShardId, Term, Vote};
use route::{CrashCount, Fingerprint, Group, Route, Table};
use wire::envelope::Message as WireMessage;

use crate::fleet::crash_left_ms;
use crate::packet::{DocumentText, Message, Packet, Presence};
use crate::{Error, Result, wire};

impl From<&Packet> for wire::Envelope {
    fn from(packet: &Packet) -> Self {
        let message = match &packet.message {
            Message::PromiseRequest(request) => WireMessage::Ask(request.into()),
            Message::PromiseReply(reply) => WireMessage::Reply(reply.into()),
            Message::ReturnPromise(leader_epoch) => {
                WireMessage::ReturnPromise(wire::ReturnPromise { leader_epoch: leader_epoch.0 })
            }
            Message::Heartbeat(heartbeat) => WireMessage::Beat(heartbeat.into()),
            Message::HeartbeatReply(reply) => WireMessage::BeatReply(reply.into()),
            Message::Table(table) => WireMessage::Table((&**table).into()),
            Message::DocumentRequest => WireMessage::DocumentAsk(wire::DocumentAsk {}),
            Message::Document(document) => WireMessage::Document(wire::Document {
                revision: document.revision.0,
                text: document.text.to_string(),
            }),
            Message::Presence(presence) => WireMessage::Presence(presence.into()),
            Message::StatusRequest(number) => {
                WireMessage::StatusAsk(wire::StatusAsk { number: *number })
            }
            Message::StatusReply(number, json) => WireMessage::StatusReply(wire::StatusReply {
                number: *number,
                status_json: json.to_vec(),
            }),
        };
        Self {
            from: packet.from.to_string(),
            service: packet.service.to_string(),
            message: Some(message),
        }
    }
}

impl TryFrom<wire::Envelope> for Packet {
    type Error = Report<Error>;

    fn try_from(envelope: wire::Envelope) -> Result<Self> {
        let from = Name::from(envelope.from);
        let message = envelope
            .message
            .ok_or_else(|| Error::report("packet has no message of a known kind"))?;
        let message = match message {
            WireMessage::Ask(request) => {
                Message::PromiseRequest(to_promise_request(from.clone(), &request)?)
            }
            WireMessage::Reply(reply) => {
                Message::PromiseReply(to_promise_reply(from.clone(), &reply)?)
            }
            WireMessage::ReturnPromise(message) => {
                Message::ReturnPromise(LeaderEpoch(message.leader_epoch))
            }
            WireMessage::Beat(heartbeat) => {
                Message::Heartbeat(to_heartbeat(from.clone(), heartbeat))
            }
            WireMessage::BeatReply(reply) => Message::HeartbeatReply(to_heartbeat_reply(reply)),
            WireMessage::Table(table) => {
                let service = Name::from(envelope.service.as_str());
                Message::Table(Arc::new(to_table(service, table)?))
            }
            WireMessage::DocumentAsk(_) => Message::DocumentRequest,
            WireMessage::Document(document) => Message::Document(DocumentText {
                revision: Revision(document.revision),
                text: Name::from(document.text),
            }),
            WireMessage::Presence(presence) => Message::Presence(to_presence(presence)?),
            WireMessage::StatusAsk(request) => Message::StatusRequest(request.number),
            WireMessage::StatusReply(reply) => {
                Message::StatusReply(reply.number, reply.status_json.into())
            }
        };
        Ok(Self { from, service: Name::from(envelope.service), message })
    }
}

impl From<&PromiseRequest> for wire::Ask {
    fn from(request: &PromiseRequest) -> Self {
        Self {
            term: request.term.0,
            stage: from_stage(request.stage).into(),
            asked_ms: request.requested_at_ms,
            record_revision: request.record_revision.0,
            record: request.record.as_ref().map(Into::into),
            intents: request.intents.iter().map(Into::into).collect(),
            leader_epoch: request.leader_epoch.0,
            voter_incarnation: request.voter_incarnation,
        }
    }
}

impl From<&PromiseReply> for wire::Reply {
    fn from(reply: &PromiseReply) -> Self {
        let (vote, later_term) = match reply.vote {
            Vote::Bound => (wire::Vote::Bound, 0),
            Vote::Promised => (wire::Vote::Promised, 0),
            Vote::Outdated(term) => (wire::Vote::Outdated, term.0),
        };
        Self {
            term: reply.term.0,
            stage: from_stage(reply.stage).into(),
            asked_ms: reply.requested_at_ms,
            vote: vote.into(),
            later_term,
            record_revision: reply.record_revision.0,
            record: reply.record.as_ref().map(Into::into),
            intent_number: reply.intent_number,
            intents: reply.intents.iter().map(Into::into).collect(),
            is_sure: reply.has_all_intents,
            leader_epoch: reply.leader_epoch.0,
            voter_incarnation: reply.voter_incarnation,
        }
    }
}

impl From<&RecordCopy> for wire::RecordCopy {
    fn from(copy: &RecordCopy) -> Self {
        Self { revision: copy.revision.0, record_json: copy.record.to_json().into_bytes() }
    }
}

impl From<&Intent> for wire::Intent {
    fn from(intent: &Intent) -> Self {
        Self {
            number: intent.number,
            over: intent.replaced_revision.0,
            record_json: intent.record.to_json().into_bytes(),
        }
    }
}

impl From<&Heartbeat> for wire::Beat {
    fn from(heartbeat: &Heartbeat) -> Self {
        let load =
            |(shard, requests): &(ShardId, u32)| wire::Load { shard: shard.0, requests: *requests };
        Self {
            incarnation: heartbeat.incarnation,
            clock_ms: heartbeat.clock_ms,
            term: heartbeat.term.0,
            sequence: heartbeat.sequence,
            is_drained: heartbeat.is_drained,
            document_revision: heartbeat.document.0,
            loads: heartbeat.loads.iter().map(load).collect(),
            leader_epoch: heartbeat.leader_epoch.0,
        }
    }
}

impl From<&HeartbeatReply> for wire::BeatReply {
    fn from(reply: &HeartbeatReply) -> Self {
        Self {
            incarnation: reply.incarnation,
            leader_epoch: reply.leader_epoch.0,
            sequence: reply.sequence,
            deadline_ms: reply.deadline_ms,
        }
    }
}

impl From<&Table> for wire::Table {
    fn from(table: &Table) -> Self {
        let group = |group: &Group| wire::Group {
            name: group.name.to_string(),
            prefix: group.prefix.to_string(),
        };
        let routes = &table.routes;
        Self {
            term: table.term.0,
            controller: table.controller.to_string(),
            sequence: table.sequence,
            document_revision: table.document.0,
            groups: table.groups.iter().map(group).collect(),
            servers: table.servers.iter().map(ToString::to_string).collect(),
            shards: routes.iter().map(|route| route.shard.0).collect(),
            shard_groups: routes.iter().map(|route| route.group).collect(),
            starts: routes.iter().map(|route| route.start).collect(),
            // Positions are sent counted from 1; 0 means that the shard has no owner.
            owners: routes
                .iter()
                .map(|route| route.server.map_or(0, |position| position + 1))
                .collect(),
            epochs: routes.iter().map(|route| route.epoch.0).collect(),
            open: routes.iter().map(|route| route.is_open).collect(),
            leader_epoch: table.leader_epoch.0,
        }
    }
}

impl From<&Presence> for wire::Presence {
    fn from(presence: &Presence) -> Self {
        let in_force = |(service, revision): &(Name, Revision)| wire::InForce {
            service: service.to_string(),
            revision: revision.0,
        };
        let crash_count = |count: &CrashCount| wire::Suspect {
            fingerprint: count.fingerprint.0,
            crashes: count.crashes,
            left_ms: count.deadline_ms,
        };
        Self {
            data_centre: presence.data_centre.to_string(),
            address: presence.address.to_string(),
            in_force: presence.in_force.iter().map(in_force).collect(),
            suspects: presence.crash_counts.iter().map(crash_count).collect(),
        }
    }
}

fn to_promise_request(candidate: Name, request: &wire::Ask) -> Result<PromiseRequest> {
    Ok(PromiseRequest {
        candidate,
        leader_epoch: LeaderEpoch(request.leader_epoch),
        term: Term(request.term),
        stage: to_stage(request.stage()),
        requested_at_ms: request.asked_ms,
        record_revision: Revision(request.record_revision),
        record: request.record.as_ref().map(to_record_copy).transpose()?,
        intents: request.intents.iter().map(to_intent).collect::<Result<_>>()?,
        voter_incarnation: request.voter_incarnation,
    })
}

fn to_promise_reply(voter: Name, reply: &wire::Reply) -> Result<PromiseReply> {
    let vote = match reply.vote() {
        wire::Vote::Bound => Vote::Bound,
        wire::Vote::Promised => Vote::Promised,
        wire::Vote::Outdated => Vote::Outdated(Term(reply.later_term)),
    };
    Ok(PromiseReply {
        voter,
        leader_epoch: LeaderEpoch(reply.leader_epoch),
        term: Term(reply.term),
        stage: to_stage(reply.stage()),
        requested_at_ms: reply.asked_ms,
        vote,
        record_revision: Revision(reply.record_revision),
        record: reply.record.as_ref().map(to_record_copy).transpose()?,
        intent_number: reply.intent_number,
        intents: reply.intents.iter().map(to_intent).collect::<Result<_>>()?,
        has_all_intents: reply.is_sure,
        voter_incarnation: reply.voter_incarnation,
    })
}

fn to_record_copy(copy: &wire::RecordCopy) -> Result<RecordCopy> {
    Ok(RecordCopy { revision: Revision(copy.revision), record: to_record(&copy.record_json)? })
}

fn to_intent(intent: &wire::Intent) -> Result<Intent> {
    Ok(Intent {
        number: intent.number,
        replaced_revision: Revision(intent.over),
        record: to_record(&intent.record_json)?,
    })
}

fn to_record(json: &[u8]) -> Result<Arc<Record>> {
    Record::from_json(json)
        .map(Arc::new)
        .map_err(|error| Error::report(format!("record is not valid: {error}")))
}

fn to_heartbeat(instance: Name, heartbeat: wire::Beat) -> Heartbeat {
    let load = |load: wire::Load| (ShardId(load.shard), load.requests);
    Heartbeat {
        instance,
        incarnation: heartbeat.incarnation,
        clock_ms: heartbeat.clock_ms,
        term: Term(heartbeat.term),
        leader_epoch: LeaderEpoch(heartbeat.leader_epoch),
        sequence: heartbeat.sequence,
        is_drained: heartbeat.is_drained,
        document: Revision(heartbeat.document_revision),
        loads: heartbeat.loads.into_iter().map(load).collect(),
    }
}

fn to_heartbeat_reply(reply: wire::BeatReply) -> HeartbeatReply {
    HeartbeatReply {
        incarnation: reply.incarnation,
        leader_epoch: LeaderEpoch(reply.leader_epoch),
        sequence: reply.sequence,
        deadline_ms: reply.deadline_ms,
    }
}

fn to_table(service: Name, table: wire::Table) -> Result<Table> {
    let count = table.shards.len();
    let lengths = [
        table.shard_groups.len(),
        table.starts.len(),
        table.owners.len(),
        table.epochs.len(),
        table.open.len(),
    ];
    if lengths.iter().any(|length| *length != count) {
        return Err(Error::report(format!("table columns differ in length: {count}, {lengths:?}")));
    }
    let routes = (0..count)
        .map(|row| Route {
            shard: ShardId(table.shards[row]),
            group: table.shard_groups[row],
            start: table.starts[row],
            server: table.owners[row].checked_sub(1),
            epoch: Epoch(table.epochs[row]),
            is_open: table.open[row],
        })
        .collect();
    let group = |group: wire::Group| Group {
        name: Name::from(group.name),
        prefix: Name::from(group.prefix),
    };
    Ok(Table {
        service,
        term: Term(table.term),
        leader_epoch: LeaderEpoch(table.leader_epoch),
        controller: Name::from(table.controller),
        sequence: table.sequence,
        document: Revision(table.document_revision),
        groups: table.groups.into_iter().map(group).collect(),
        servers: table.servers.into_iter().map(Name::from).collect(),
        routes,
    })
}

fn to_presence(presence: wire::Presence) -> Result<Presence> {
    let address = presence
        .address
        .parse()
        .map_err(|_invalid| Error::report(format!("address {} is not valid", presence.address)))?;
    Ok(Presence {
        data_centre: Name::from(presence.data_centre),
        address,
        in_force: presence
            .in_force
            .into_iter()
            .map(|entry| (Name::from(entry.service), Revision(entry.revision)))
            .collect(),
        crash_counts: presence
            .suspects
            .into_iter()
            .map(|suspect| CrashCount {
                fingerprint: Fingerprint(suspect.fingerprint),
                crashes: suspect.crashes,
                deadline_ms: crash_left_ms(suspect.left_ms),
            })
            .collect(),
    })
}

fn from_stage(stage: Stage) -> wire::Stage {
    match stage {
        Stage::Probing => wire::Stage::Probing,
        Stage::Requesting => wire::Stage::Requesting,
        Stage::Leading => wire::Stage::Leading,
    }
}

fn to_stage(stage: wire::Stage) -> Stage {
    match stage {
        wire::Stage::Probing => Stage::Probing,
        wire::Stage::Requesting => Stage::Requesting,
        wire::Stage::Leading => Stage::Leading,
    }
}
