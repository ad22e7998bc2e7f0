//! Guards against messages about servers that change when they are encoded and decoded, and
//! against bytes that make decoding panic.
use bytes::Bytes;
use document::{Name, Revision};
use peer::{
    FleetBody, FleetEntry, FleetFrame, Leaving, ReachQuery, Resigned, Servers, Tables, TurnRequest,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use registry::{Incarnation, Registration, Stage};
use route::{Rate, Turn};
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
    let resigned =
        Resigned { epoch: Epoch(7), successor: Some("edge-2".into()), grants_left_ms: 3_000 };
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
