//! Guards against packets that change when they are encoded and decoded, against frames of
//! other versions that are refused, and against frames that make decoding panic.
use std::sync::Arc;

use bytes::Bytes;
use control::{Heartbeat, Intent, PromiseReply, PromiseRequest, Record, RecordCopy, Stage};
use document::{Document, Name, Revision};
use lease::{Epoch, LeaderEpoch, ShardId, Term, Vote};
use peer::{DocumentText, Message, Packet, Presence};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message as _;
use route::{CRASH_RETENTION_MS, CrashCount, Fingerprint, Group, Route, Table};

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
fn assert_round_trip(message: Message) {
    let packet = Packet::new(name("entry-1"), name("ledger"), message);
    assert_eq!(Packet::from_bytes(packet.to_bytes()).unwrap(), packet);
}

#[test]
fn promise_messages_round_trip() {
    let record = record();
    assert_round_trip(Message::PromiseRequest(PromiseRequest {
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
    assert_round_trip(Message::PromiseReply(PromiseReply {
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
    assert_round_trip(Message::ReturnPromise(LeaderEpoch(9)));
}

#[test]
fn tables_round_trip() {
    let route = Route {
        shard: ShardId(4),
        group: 0,
        start: u64::MAX / 2,
        server: Some(0),
        epoch: Epoch(12),
        is_open: true,
    };
    assert_round_trip(Message::Table(Arc::new(Table {
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
fn state_messages_round_trip() {
    assert_round_trip(Message::Heartbeat(Heartbeat {
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
    assert_round_trip(Message::Presence(Presence {
        data_centre: name("zurich"),
        address: "127.0.0.1:8101".parse().unwrap(),
        in_force: vec![(name("ledger"), Revision(7))],
        crash_counts: vec![CrashCount { fingerprint: Fingerprint(9), crashes: 1, deadline_ms: 50 }],
    }));
    let text = name("[service]");
    assert_round_trip(Message::Document(DocumentText { revision: Revision(7), text }));
    assert_round_trip(Message::StatusReply(3, Bytes::from_static(b"{}")));
}

/// A heartbeat that lacks fields, as from an earlier version, and has an unknown one, as from
/// a later version.
#[derive(Clone, PartialEq, prost::Message)]
struct OtherHeartbeat {
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
    heartbeat: Option<OtherHeartbeat>,
}

#[test]
fn heartbeats_of_other_versions_are_read() {
    let heartbeat = OtherHeartbeat { incarnation: 5, added_later: "x".to_owned() };
    let envelope = OtherEnvelope { from: "entry-9".to_owned(), heartbeat: Some(heartbeat) };
    let packet = Packet::from_bytes(envelope.encode_to_vec().into()).unwrap();
    let Message::Heartbeat(heartbeat) = packet.message else { panic!("expected a heartbeat") };
    assert_eq!((heartbeat.incarnation, heartbeat.sequence), (5, 0));
}

/// Guards against a mark of a request that crashes servers that ends because a message does not tell its
/// time, and against a sum that overflows: receivers add the time to their clock.
#[test]
fn times_of_crashes_are_within_bounds() {
    for (sent_ms, read_ms) in [(0, CRASH_RETENTION_MS), (u64::MAX, 86_400_000)] {
        let count = CrashCount { fingerprint: Fingerprint(9), crashes: 1, deadline_ms: sent_ms };
        let presence = Presence {
            data_centre: name("zurich"),
            address: "127.0.0.1:8101".parse().unwrap(),
            in_force: Vec::new(),
            crash_counts: vec![count],
        };
        let packet = Packet::new(name("entry-1"), name(""), Message::Presence(presence));
        let read = Packet::from_bytes(packet.to_bytes()).unwrap();
        let Message::Presence(presence) = read.message else { panic!("expected a presence") };
        assert_eq!(presence.crash_counts[0].deadline_ms, read_ms);
    }
}

#[test]
fn arbitrary_frames_do_not_panic() {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let valid =
        Packet::new(name("entry-1"), name("ledger"), Message::ReturnPromise(LeaderEpoch(1)));
    let valid = valid.to_bytes().to_vec();
    let frame = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        (prop::collection::vec(any::<u8>(), 0..40), 0..valid.len()).prop_map(
            move |(tail, length)| {
                let mut frame = valid[..length].to_vec();
                frame.extend(tail);
                frame
            }
        ),
    ];
    let outcome = TestRunner::new_with_rng(config, rng).run(&frame, |frame| {
        // Either result is allowed; the test checks that decoding returns at all.
        drop(Packet::from_bytes(frame.into()));
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed {SEED:?}: {error}"));
}
