//! Guards against messages about servers that change when they are encoded and decoded, and
//! against bytes that make decoding panic.
use bytes::Bytes;
use document::{Name, Revision};
use peer::{
    FleetBody, FleetEntry, FleetFrame, Leaving, ReachQuery, Resigned, Servers, Tables, TurnRequest,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message as _;
use registry::{Incarnation, Registration, Stage};
use route::{CRASH_RETENTION_MS, CrashCount, Fingerprint, Rate, Turn};
use shard::{Epoch, KeyRange, Owner, Span, Table};

const SEED: [u8; 32] = [12; 32];

fn servers() -> Servers {
    Servers {
        number: 3,
        revision: Revision(40),
        is_whole: true,
        listed: vec![Registration {
            incarnation: Incarnation { server: "s1".into(), born_ms: 1_769_000_000_000 },
            service: "ledger".into(),
            address: "127.0.0.1:4000".parse().unwrap(),
            data_centre: "b".into(),
            slots: 4,
            stage: Stage::Draining,
            warm_at_ms: 1_500,
            heartbeat: 9,
        }],
        gone: vec![Name::from("s2")],
        grace_left_ms: 700,
        has_stopped_reading: true,
        fleet: vec![
            FleetEntry {
                key: "fleet/leader".into(),
                text: Some("edge-1 00".into()),
                revision: Revision(39),
            },
            FleetEntry { key: "fleet/daemons/edge-2".into(), text: None, revision: Revision(40) },
        ],
        fleet_revision: Revision(40),
    }
}

fn tables(base: Option<(Epoch, u64)>, is_relayed: bool) -> Tables {
    let owner = Incarnation { server: "s1".into(), born_ms: 3 };
    let (left, right) = KeyRange::WHOLE.split_at(100).unwrap();
    let spans = vec![
        Span { range: left, owner: Owner::Server(owner) },
        Span { range: right, owner: Owner::Nobody { until_ms: 900 } },
    ];
    let tables = vec![(Name::from("ledger"), Table { spans })];
    Tables { epoch: Epoch(7), number: 4, base, is_relayed, tables }
}

fn reach_query() -> ReachQuery {
    let servers = vec![Incarnation { server: "s1".into(), born_ms: 3 }];
    ReachQuery { epoch: Epoch(7), servers }
}

fn turn_request() -> TurnRequest {
    let server = Incarnation { server: "s1".into(), born_ms: 3 };
    let rate = Rate::from_milli_per_s(5_200);
    TurnRequest { number: 8, server, rate, max_wait_ms: 90 }
}

#[test]
fn messages_round_trip() {
    let resigned = Resigned {
        epoch: Epoch(7),
        successor: Some("edge-2".into()),
        grants_left_ms: Some(3_000),
        era: 2,
        holders: None,
    };
    let holders = vec![("ledger".into(), "text".into()), ("archive".into(), "".into())];
    let leaving = Leaving {
        servers: vec![Incarnation { server: "s1".into(), born_ms: 3 }],
        is_relayed: true,
    };
    for body in [
        FleetBody::Servers(servers()),
        FleetBody::ServersRequest,
        FleetBody::Tables(tables(None, false)),
        FleetBody::Tables(tables(Some((Epoch(7), 3)), true)),
        FleetBody::Tables(tables(Some((Epoch(5), 9)), false)),
        FleetBody::StoreQuery(Epoch(7)),
        FleetBody::StoreReached(Epoch(7)),
        FleetBody::Resigned(Resigned { successor: None, ..resigned.clone() }),
        FleetBody::Resigned(Resigned { grants_left_ms: None, ..resigned.clone() }),
        FleetBody::Resigned(Resigned { grants_left_ms: Some(0), ..resigned.clone() }),
        FleetBody::Resigned(Resigned { holders: Some(holders), ..resigned.clone() }),
        FleetBody::Resigned(Resigned { holders: Some(Vec::new()), ..resigned.clone() }),
        FleetBody::Resigned(resigned),
        FleetBody::Leaving(leaving),
        FleetBody::ReachQuery(reach_query()),
        FleetBody::ServersReached(Epoch(7)),
        FleetBody::TurnRequest(turn_request()),
        FleetBody::TurnReply(8, Turn::In { wait_ms: 40 }),
        FleetBody::TurnReply(8, Turn::Full { remaining_ms: 120 }),
    ] {
        let frame = FleetFrame { from: "edge-1".into(), body };
        assert_eq!(FleetFrame::from_bytes(frame.to_bytes()).unwrap(), frame);
    }
}

#[test]
fn corrupted_frames_do_not_panic() {
    let frame = FleetFrame { from: "edge-1".into(), body: FleetBody::Servers(servers()) };
    let bytes = frame.to_bytes();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let changes = prop::collection::vec((0..bytes.len(), any::<u8>()), 1..8);
    runner
        .run(&changes, |changes| {
            let mut corrupted = bytes.to_vec();
            for (position, byte) in changes {
                corrupted[position] = byte;
            }
            // Either result is allowed; the test checks that decoding returns at all.
            drop(FleetFrame::from_bytes(Bytes::from(corrupted)));
            Ok(())
        })
        .unwrap();
}

/// Messages that lack fields, as from an earlier version, and have unknown ones, as from a later
/// version.
#[derive(Clone, PartialEq, prost::Message)]
struct OtherFrame {
    #[prost(string, tag = "1")]
    from: String,
    #[prost(message, optional, tag = "3")]
    tables: Option<OtherTables>,
    #[prost(message, optional, tag = "9")]
    resigned: Option<OtherResigned>,
    #[prost(message, optional, tag = "900")]
    added_later: Option<OtherResigned>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OtherResigned {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(string, tag = "900")]
    added_later: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OtherTables {
    #[prost(message, repeated, tag = "3")]
    tables: Vec<OtherTable>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OtherTable {
    #[prost(message, repeated, tag = "3")]
    spans: Vec<OtherSpan>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OtherSpan {
    #[prost(uint32, tag = "2")]
    to: u32,
    #[prost(int32, tag = "3")]
    state: i32,
    #[prost(uint64, tag = "5")]
    for_ms: u64,
}

fn read_other(frame: &OtherFrame) -> peer::Result<FleetBody> {
    FleetFrame::from_bytes(frame.encode_to_vec().into()).map(|frame| frame.body)
}

#[test]
fn other_fields_are_skipped() {
    let resigned = OtherResigned { epoch: 7, added_later: "x".into() };
    let frame = OtherFrame {
        resigned: Some(resigned.clone()),
        added_later: Some(resigned),
        ..OtherFrame::default()
    };
    // No time told is no time of 0, after which a successor would wait for no grants.
    let expected =
        Resigned { epoch: Epoch(7), successor: None, grants_left_ms: None, era: 0, holders: None };
    assert_eq!(read_other(&frame).unwrap(), FleetBody::Resigned(expected));
}

#[test]
fn other_bodies_are_refused() {
    let added_later = Some(OtherResigned::default());
    let refused = read_other(&OtherFrame { added_later, ..OtherFrame::default() }).unwrap_err();
    assert!(refused.to_string().contains("frame has no known body"), "{refused}");
}

#[test]
fn other_states_have_no_owner() {
    let span = OtherSpan { to: 65_535, state: 9, for_ms: 40 };
    let tables = OtherTables { tables: vec![OtherTable { spans: vec![span] }] };
    let frame = OtherFrame { tables: Some(tables), ..OtherFrame::default() };
    let FleetBody::Tables(tables) = read_other(&frame).unwrap() else { panic!("{frame:?}") };
    assert_eq!(tables.tables[0].1.spans[0].owner, Owner::Nobody { until_ms: 40 });
}

/// Guards against sums that overflow: receivers add these durations to their clock.
#[test]
fn durations_are_bounded() {
    const DAY_MS: u64 = 86_400_000;
    let servers = Servers { grace_left_ms: u64::MAX, ..servers() };
    let body = decode(FleetBody::Servers(servers));
    assert!(matches!(body, FleetBody::Servers(Servers { grace_left_ms: DAY_MS, .. })));
    let resigned = Resigned {
        epoch: Epoch(1),
        successor: None,
        grants_left_ms: Some(u64::MAX),
        era: 0,
        holders: None,
    };
    let body = decode(FleetBody::Resigned(resigned));
    assert!(matches!(body, FleetBody::Resigned(Resigned { grants_left_ms: Some(DAY_MS), .. })));
    let body = decode(FleetBody::TurnReply(1, Turn::In { wait_ms: u64::MAX }));
    assert!(matches!(body, FleetBody::TurnReply(1, Turn::In { wait_ms: DAY_MS })));
    let fingerprint = route::Fingerprint(1);
    let count = route::CrashCount { fingerprint, crashes: 1, deadline_ms: u64::MAX };
    let FleetBody::Crashes(counts) = decode(FleetBody::Crashes(vec![count])) else { panic!() };
    assert_eq!(counts[0].deadline_ms, DAY_MS);
    let spans = vec![Span { range: KeyRange::WHOLE, owner: Owner::Nobody { until_ms: u64::MAX } }];
    let table = Table { spans };
    let tables = Tables { tables: vec![("ledger".into(), table)], ..tables(None, false) };
    let FleetBody::Tables(tables) = decode(FleetBody::Tables(tables)) else { panic!() };
    assert_eq!(tables.tables[0].1.spans[0].owner, Owner::Nobody { until_ms: DAY_MS });
}

/// Guards against a mark of a request that crashes servers that ends because a message does not tell its time.
#[test]
fn crashes_without_a_time_are_remembered_longest() {
    let count = CrashCount { fingerprint: Fingerprint(1), crashes: 2, deadline_ms: 0 };
    let FleetBody::Crashes(counts) = decode(FleetBody::Crashes(vec![count])) else { panic!() };
    assert_eq!(counts[0].deadline_ms, CRASH_RETENTION_MS);
}

/// Guards against a message that its receiver drops because of the form of one address.
#[test]
fn every_address_is_decoded() {
    for address in ["[fe80::1%3]:80", "[::ffff:10.0.0.1]:1", "255.255.255.255:65535", "0.0.0.0:0"] {
        let mut servers = servers();
        servers.listed[0].address = address.parse().unwrap();
        assert_eq!(decode(FleetBody::Servers(servers.clone())), FleetBody::Servers(servers));
    }
}

fn decode(body: FleetBody) -> FleetBody {
    let frame = FleetFrame { from: "edge-1".into(), body };
    FleetFrame::from_bytes(frame.to_bytes()).unwrap().body
}
