//! Measures how sizes and processing times grow with shards, servers and services.
//!
//! The capacity page of the documentation is calculated from these figures.

use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use control::{Heartbeat, Record, ShardRecord};
use document::{Document, Name, Revision, hash_key};
use lease::{Epoch, GrantTable, LeaderEpoch, Order, ShardEpoch, ShardId, Term};
use peer::{Message, Packet, Presence};
use placement::{Balanced, Candidate, Policy, Request, Shard};
use route::{Group, InFlight, Route, Table};

use super::Rows;
use crate::float::f64_from_usize;

const SHARDS: [u32; 3] = [512, 2_048, 4_096];
const SERVERS: [u32; 3] = [20, 80, 320];
const REPEATS: u32 = 50;

/// Measures all costs that the capacity page uses.
#[must_use]
pub fn measure_slopes() -> Rows {
    let mut rows = Rows::new("slopes: costs by size, on one core");
    for shards in SHARDS {
        measure_table(&mut rows, shards);
    }
    for shards in SHARDS {
        measure_record(&mut rows, shards);
    }
    for servers in SERVERS {
        measure_plan(&mut rows, servers);
    }
    for shards in [16, 64, 256] {
        measure_order(&mut rows, shards);
    }
    measure_messages(&mut rows);
    measure_document(&mut rows);
    rows
}

/// Returns the mean time of a call in microseconds, after one call that is not measured.
fn time_us(mut work: impl FnMut()) -> f64 {
    work();
    let start = Instant::now();
    for _ in 0..REPEATS {
        work();
    }
    start.elapsed().as_secs_f64() * 1_000_000.0 / f64::from(REPEATS)
}

fn new_table(shards: u32) -> Table {
    Table {
        service: Name::from("ledger"),
        term: Term(7),
        leader_epoch: LeaderEpoch(u64::MAX / 3),
        controller: Name::from("entry-1"),
        sequence: 1_000,
        document: Revision(100),
        groups: vec![Group { name: Name::from("all"), prefix: Name::from("") }],
        servers: (0..20).map(|number| Name::from(format!("ledger-{number:02}"))).collect(),
        routes: (0..shards)
            .map(|id| Route {
                shard: ShardId(id),
                group: 0,
                start: u64::MAX / u64::from(shards) * u64::from(id),
                server: Some(id % 20),
                epoch: Epoch(u64::from(id) + 10_000),
                is_open: true,
            })
            .collect(),
    }
}

fn measure_table(rows: &mut Rows, shards: u32) {
    let table = Arc::new(new_table(shards));
    let packet = Packet::new(
        Name::from("entry-1"),
        Name::from("ledger"),
        Message::Table(Arc::clone(&table)),
    );
    let frame = packet.to_bytes();
    let in_flight = InFlight::new(table.routes.len());
    let keys: Vec<String> = (0..1_000).map(|number| format!("account-{number}")).collect();
    let figures = [
        ("frame_bytes", f64_from_usize(frame.len())),
        ("encode_us", time_us(|| drop(black_box(packet.to_bytes())))),
        ("decode_us", time_us(|| drop(black_box(Packet::from_bytes(frame.clone()))))),
        // Each route also has two counters of 4 bytes in `InFlight`.
        ("memory_bytes", f64_from_usize(table.routes.len() * (size_of::<Route>() + 8))),
        (
            "drained_us",
            time_us(|| {
                black_box(in_flight.is_drained(&table));
            }),
        ),
        (
            // The time for 1000 keys in microseconds is that for one key in nanoseconds.
            "find_ns",
            time_us(|| {
                for key in &keys {
                    black_box(table.find(key));
                }
            }),
        ),
    ];
    rows.push(format!("table of {shards} shards"), &figures);
}

fn new_record(shards: u32) -> Record {
    let text = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n\
                [server a]\naddress = 127.0.0.1:1\ndata_centre = x\n";
    let document = Document::from_ini("ledger.ini", text).expect("the text is valid");
    let mut record = Record::first(&document, vec![Name::from("entry-1")]);
    record.shards = (0..shards)
        .map(|id| ShardRecord {
            id: ShardId(id),
            group: 0,
            start: hash_key(&id.to_string()),
            owner: Some(Name::from(format!("ledger-{:02}", id % 20))),
            epoch: Epoch(u64::from(id) + 10_000),
            successor: Some(Name::from(format!("ledger-{:02}", (id + 1) % 20))),
            successor_epoch: Epoch(u64::from(id) + 20_000),
            successor_incarnation: Some(hash_key("process")),
        })
        .collect();
    record
}

fn measure_record(rows: &mut Rows, shards: u32) {
    let record = new_record(shards);
    let json = record.to_json();
    let figures = [
        ("json_bytes", f64_from_usize(json.len())),
        ("to_json_us", time_us(|| drop(black_box(record.to_json())))),
        ("from_json_us", time_us(|| drop(black_box(Record::from_json(json.as_bytes()))))),
        ("memory_bytes", f64_from_usize(record.shards.len() * (size_of::<ShardRecord>() + 48))),
    ];
    rows.push(format!("record of {shards} shards"), &figures);
}

fn measure_plan(rows: &mut Rows, servers: u32) {
    let server = |number: u32| {
        let data_centre = Name::from(format!("dc-{}", number % 3));
        Candidate::new(Name::from(format!("server-{number}")), data_centre, 4)
    };
    let mut request = Request {
        shards: (0..servers * 25).map(|id| Shard::new(id, 0)).collect(),
        servers: (0..servers).map(server).collect(),
        is_load_unknown: false,
    };
    let plan = Balanced::default().plan(&request);
    for (index, shard) in request.shards.iter_mut().enumerate() {
        shard.owner = plan.owners[index];
        shard.successor = plan.successors[index];
    }
    let settled_us = time_us(|| drop(black_box(Balanced::default().plan(&request))));
    request.servers[0].accepts = false;
    let one_leaves_us = time_us(|| drop(black_box(Balanced::default().plan(&request))));
    let figures = [("settled_us", settled_us), ("one_leaves_us", one_leaves_us)];
    rows.push(format!("plan of {servers} servers, 25 shards each"), &figures);
}

fn measure_order(rows: &mut Rows, shards: u32) {
    let order = Order {
        service: Name::from("ledger"),
        term: Term(7),
        leader_epoch: LeaderEpoch(u64::MAX / 3),
        number: 1,
        incarnation: Some(1),
        deadline_ms: 1_000_000,
        grants: (0..shards)
            .map(|id| ShardEpoch { shard: ShardId(id), epoch: Epoch(u64::from(id) + 10_000) })
            .collect(),
        releases: Vec::new(),
        prepares: Vec::new(),
    };
    let mut grants = GrantTable::new(1);
    let report = grants.on_order(1, &order);
    let json = |value: &Order| serde_json::to_vec(value).unwrap_or_default();
    let answer = serde_json::to_vec(&report).unwrap_or_default();
    let figures = [
        ("order_bytes", f64_from_usize(json(&order).len())),
        ("report_bytes", f64_from_usize(answer.len())),
        ("to_json_us", time_us(|| drop(black_box(json(&order))))),
        (
            "read_report_us",
            time_us(|| drop(black_box(serde_json::from_slice::<lease::Report>(&answer)))),
        ),
    ];
    rows.push(format!("order to a server of {shards} shards"), &figures);
}

fn measure_messages(rows: &mut Rows) {
    let service = Name::from("ledger");
    let heartbeat = Heartbeat {
        instance: Name::from("entry-1"),
        incarnation: u64::MAX / 3,
        clock_ms: 1_000_000,
        term: Term(7),
        leader_epoch: LeaderEpoch(u64::MAX / 3),
        sequence: 1_000,
        is_drained: true,
        document: Revision(100),
        loads: (0..128).map(|id| (ShardId(id), 100)).collect(),
    };
    measure_packet(
        rows,
        "heartbeat with the load of 128 shards",
        &service,
        Message::Heartbeat(heartbeat),
    );
    for services in [2, 32, 512] {
        let presence = Presence {
            data_centre: Name::from("zurich"),
            address: std::net::SocketAddr::from(([10, 1, 9, 1], 8_101)),
            in_force: (0..services)
                .map(|number| (Name::from(format!("service-{number}")), Revision(100_000)))
                .collect(),
            crash_counts: Vec::new(),
        };
        let name = format!("presence with {services} services");
        measure_packet(rows, &name, &service, Message::Presence(presence));
    }
}

fn measure_packet(rows: &mut Rows, name: &str, service: &Name, message: Message) {
    let packet = Packet::new(Name::from("entry-1"), service.clone(), message);
    let frame = packet.to_bytes();
    let figures = [
        ("frame_bytes", f64_from_usize(frame.len())),
        ("encode_us", time_us(|| drop(black_box(packet.to_bytes())))),
        ("decode_us", time_us(|| drop(black_box(Packet::from_bytes(frame.clone()))))),
    ];
    rows.push(name, &figures);
}

fn measure_document(rows: &mut Rows) {
    for servers in SERVERS {
        let mut text = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n".to_owned();
        for number in 0..servers {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "[server ledger-{number:03}]\naddress = 10.0.{}.{}:9000\ndata_centre = zurich",
                number / 250,
                number % 250
            );
        }
        let figures = [
            ("text_bytes", f64_from_usize(text.len())),
            ("read_us", time_us(|| drop(black_box(Document::from_ini("l", &text))))),
        ];
        rows.push(format!("document of {servers} servers"), &figures);
    }
}
