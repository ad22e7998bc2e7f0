//! Packets survive the wire, and no frame makes the reader panic.
use std::sync::Arc;

use bytes::Bytes;
use control::{Heartbeat, Intent, PromiseReply, PromiseRequest, Record, RecordCopy, Stage};
use document::{Document, Name, Revision};
use lease::{Epoch, LeaderEpoch, ShardId, Term, Vote};
use peer::{DocumentText, Message, Packet, Presence};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message as _;
use route::{CrashCount, Fingerprint, Group, Route, Table};

const SEED: [u8; 32] = [11; 32];

fn name(text: &str) -> Name {
    Name::from(text)
}

fn record() -> Arc<Record> {
    let text = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n\
                [server a]\naddress = 127.0.0.1:1\ndata_centre = x\n";
    let document = Document::from_ini("ledger.ini", text).unwrap();
    Arc::new(Record::first(&document, vec![name("entry-1")]))
}

#[track_caller]
fn assert_survives(message: Message) {
    let packet = Packet::new(name("entry-1"), name("ledger"), message);
    assert_eq!(Packet::from_bytes(packet.to_bytes()).unwrap(), packet);
}

#[test]
fn promises() {
    let record = record();
    assert_survives(Message::Ask(PromiseRequest {
        candidate: name("entry-1"),
        leader_epoch: LeaderEpoch(9),
        term: Term(3),
        stage: Stage::Leading,
        requested_at_ms: 77,
        record_revision: Revision(5),
        record: Some(RecordCopy { revision: Revision(5), record: Arc::clone(&record) }),
        intents: vec![Intent {
            number: 2,
            replaced_revision: Revision(5),
            record: Arc::clone(&record),
        }],
        voter_incarnation: 8,
    }));
    assert_survives(Message::Reply(PromiseReply {
        voter: name("entry-1"),
        leader_epoch: LeaderEpoch(9),
        term: Term(3),
        stage: Stage::Probing,
        requested_at_ms: 77,
        vote: Vote::Outdated(Term(8)),
        record_revision: Revision(5),
        record: None,
        intent_number: 2,
        intents: Vec::new(),
        has_all_intents: true,
        voter_incarnation: 8,
    }));
    assert_survives(Message::ReturnPromise(LeaderEpoch(9)));
}

#[test]
fn routes() {
    let route = Route {
        shard: ShardId(4),
        group: 0,
        start: u64::MAX / 2,
        server: Some(0),
        epoch: Epoch(12),
        is_open: true,
    };
    assert_survives(Message::Table(Arc::new(Table {
        service: name("ledger"),
        term: Term(3),
        leader_epoch: LeaderEpoch(9),
        controller: name("entry-2"),
        sequence: 14,
        document: Revision(7),
        groups: vec![Group { name: name("all"), prefix: name("") }],
        servers: vec![name("a")],
        routes: vec![route, Route { shard: ShardId(5), server: None, is_open: false, ..route }],
    })));
}

#[test]
fn state() {
    assert_survives(Message::Beat(Heartbeat {
        instance: name("entry-1"),
        incarnation: 4,
        clock_ms: 99,
        term: Term(3),
        leader_epoch: LeaderEpoch(9),
        sequence: 14,
        is_drained: true,
        document: Revision(7),
        loads: vec![(ShardId(4), 100)],
    }));
    assert_survives(Message::Presence(Presence {
        data_centre: name("zurich"),
        address: "127.0.0.1:8101".parse().unwrap(),
        in_force: vec![(name("ledger"), Revision(7))],
        suspects: vec![CrashCount { fingerprint: Fingerprint(9), crashes: 1, deadline_ms: 50 }],
    }));
    let text = name("[service]");
    assert_survives(Message::Document(DocumentText { revision: Revision(7), text }));
    assert_survives(Message::StatusReply(3, Bytes::from_static(b"{}")));
}

/// A daemon of an earlier version sent fewer fields, one of a later version sends more.
#[derive(Clone, PartialEq, prost::Message)]
struct OtherBeat {
    #[prost(uint64, tag = "1")]
    incarnation: u64,
    #[prost(string, tag = "900")]
    added_later: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OtherEnvelope {
    #[prost(string, tag = "1")]
    from: String,
    #[prost(message, optional, tag = "7")]
    beat: Option<OtherBeat>,
}

#[test]
fn other_versions() {
    let beat = OtherBeat { incarnation: 5, added_later: "x".to_owned() };
    let envelope = OtherEnvelope { from: "entry-9".to_owned(), beat: Some(beat) };
    let packet = Packet::from_bytes(envelope.encode_to_vec().into()).unwrap();
    let Message::Beat(beat) = packet.message else { panic!("it is a beat") };
    assert_eq!((beat.incarnation, beat.sequence), (5, 0));
}

#[test]
fn any_frame() {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let valid =
        Packet::new(name("entry-1"), name("ledger"), Message::ReturnPromise(LeaderEpoch(1)));
    let valid = valid.to_bytes().to_vec();
    let frame = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        (prop::collection::vec(any::<u8>(), 0..40), 0..valid.len()).prop_map(move |(tail, at)| {
            let mut frame = valid[..at].to_vec();
            frame.extend(tail);
            frame
        }),
    ];
    let outcome = TestRunner::new_with_rng(config, rng).run(&frame, |frame| {
        // Whether it is a packet does not matter here, only that it is an answer.
        drop(Packet::from_bytes(frame.into()));
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed {SEED:?}: {error}"));
}
