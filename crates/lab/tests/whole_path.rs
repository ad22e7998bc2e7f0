//! Tests requests through a daemon, from a caller's socket to a stand-in server and back.

use document::{Name, Revision, ServerState};
use lab::{ServerPlan, ServicePlan, Site, SitePlan};
use operator::{Edit, ErrorKind, OperatorClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LEDGER: &str = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n\
    [key-group accounts]\nprefix = account-\nshards = 8\n\
    [class balance]\nmethod = GET\npath = /ledger/{key}/balance\nidempotent = yes\n\
    deadline = 800ms\n\
    [class swap]\nmethod = POST\npath = /ledger/{key}/swaps\nidempotent = no\ndeadline = 800ms\n";
const ARCHIVE: &str = "[service]\nname = archive\nkind = pooled\n\
    [class sheet]\nmethod = GET\npath = /archive/sheets/{id}\nidempotent = yes\n";
const OPEN_TIMEOUT_MS: u64 = 30_000;
const SHEET_BYTES: usize = 64 << 10;

fn service(name: &str, head: &str, is_keyed: bool, servers: usize) -> ServicePlan {
    ServicePlan {
        name: Name::from(name),
        document_head: head.to_owned(),
        is_keyed,
        servers: (0..servers)
            .map(|number| ServerPlan {
                name: Name::from(format!("{name}-{number}")),
                data_centre: Name::from("zurich"),
                slots: 4,
                connections: 16,
                state: Some(ServerState::Serving),
                checks_fence: true,
            })
            .collect(),
        run_ms: 1,
        cold_ms: 0,
        prepare_ms: 0,
    }
}

async fn start() -> Site {
    let plan = SitePlan {
        services: vec![service("ledger", LEDGER, true, 2), service("archive", ARCHIVE, false, 1)],
        daemons: vec![Name::from("zurich")],
        threads: 1,
    };
    Site::start_open(&plan).await.unwrap()
}

/// Sends bytes unchanged and reads until the connection ends.
async fn exchange(site: &Site, request: &str) -> String {
    let mut stream = TcpStream::connect(site.callers_addresses()[0]).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A connection may also end in a reset after the answer.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

async fn get(site: &Site, path: &str) -> String {
    exchange(site, &format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")).await
}

async fn post(site: &Site, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    exchange(
        site,
        &format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
             content-length: {length}\r\n\r\n{body}"
        ),
    )
    .await
}

#[track_caller]
fn assert_refused(answer: &str, status: u16, reason: &str, outcome: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains(&format!("verbena-reason: {reason}\r\n")), "{answer}");
    assert!(answer.contains(&format!("verbena-outcome: {outcome}\r\n")), "{answer}");
}

fn runs(site: &Site) -> u64 {
    site.servers.iter().flat_map(|(_, servers)| servers).map(|s| s.stand_in.runs()).sum()
}

/// The daemon must forward a balance, a swap and a sheet, and no body may be cut short.
#[tokio::test(flavor = "multi_thread")]
async fn good_requests() {
    let site = start().await;
    let answer = get(&site, "/ledger/account-1/balance").await;
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.contains("/ledger/account-1/balance"));
    let answer =
        post(&site, "/ledger/account-1/swaps", "idempotency-key: k\r\n", "liters=20").await;
    assert!(answer.contains("9 bytes"), "{answer}");
    let sheet = get(&site, "/archive/sheets/7").await;
    assert_eq!(sheet.matches('#').count(), SHEET_BYTES);
    site.end().await;
}

/// A pooled service may name a key although it has no table: the daemon must forward its requests
/// and become ready all the same.
#[tokio::test(flavor = "multi_thread")]
async fn pooled_service_with_a_key() {
    let head = ARCHIVE.replace("kind = pooled\n", "kind = pooled\nkey = header x-key\n");
    let plan = SitePlan {
        services: vec![service("archive", &head, false, 1)],
        daemons: vec![Name::from("zurich")],
        threads: 1,
    };
    let site = Site::start_open(&plan).await.unwrap();
    assert!(get(&site, "/archive/sheets/7").await.starts_with("HTTP/1.1 200 OK"));
    let admin = web::Client::new(site.settings[0].listen.admin);
    let ready = admin.call(web::Call::new(http::Method::GET, "/ready")).await.unwrap();
    assert_eq!(ready.status(), http::StatusCode::OK);
    site.end().await;
}

/// A request that is too large, malformed or without a route must not reach a server.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_not_forwarded() {
    let site = start().await;
    assert_refused(&get(&site, "/nothing/x").await, 404, "unknown-service", "not-run");
    assert_refused(&get(&site, "/ledger").await, 400, "no-key", "not-run");
    assert_refused(&get(&site, "/ledger/x/balance").await, 400, "unknown-key-group", "not-run");
    let long = "x".repeat(300 << 10);
    let answer = post(&site, "/ledger/account-1/swaps", "", &long).await;
    assert_refused(&answer, 413, "body-too-large", "not-run");
    let head = format!("x-long: {}\r\n", "y".repeat(40 << 10));
    let answer = post(&site, "/ledger/account-1/swaps", &head, "").await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    assert!(exchange(&site, "nonsense\r\n\r\n").await.starts_with("HTTP/1.1 400"));
    assert_eq!(runs(&site), 0);
    site.end().await;
}

/// A daemon and a server may read these framings differently, so a body could hide a request.
#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_framings_are_refused() {
    let site = start().await;
    let framings = [
        "content-length: 3\r\ncontent-length: 4\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: xchunked\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "content-length: +3\r\n",
        "transfer-encoding : chunked\r\n",
    ];
    for framing in framings {
        let request = format!(
            "POST /ledger/account-1/swaps HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{framing}\r\n\
             0\r\n\r\n"
        );
        let answer = exchange(&site, &request).await;
        assert!(answer.starts_with("HTTP/1.1 4"), "{framing}: {answer}");
    }
    assert_eq!(runs(&site), 0);
    site.end().await;
}

/// A request with both framings must not carry a second request: the HTTP library uses the
/// encoding, drops the length, and the daemon closes the connection with the rest unread.
#[tokio::test(flavor = "multi_thread")]
async fn length_with_encoding_smuggles_no_request() {
    let site = start().await;
    for framing in [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 200\r\n",
    ] {
        let before = runs(&site);
        let request = format!(
            "POST /ledger/account-1/swaps HTTP/1.1\r\nhost: x\r\n{framing}\r\n0\r\n\r\n\
             POST /ledger/account-2/swaps HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
        );
        let answer = exchange(&site, &request).await;
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
        assert!(answer.contains("connection: close\r\n"), "{answer}");
        assert!(runs(&site) <= before + 1);
    }
    site.end().await;
}

/// A caller's own fence headers must not reach the server, which would refuse their epoch.
#[tokio::test(flavor = "multi_thread")]
async fn forged_epoch_is_replaced() {
    let site = start().await;
    let forged = "verbena-epoch: 999999\r\nverbena-shard: 1\r\nconnection: verbena-epoch\r\n";
    let answer = post(&site, "/ledger/account-1/swaps", forged, "x").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    site.end().await;
}

/// A request that crashes its server must not be retried until no server is left: after two
/// crashes every daemon refuses it, and still forwards other requests to the path.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_refused() {
    let plan = SitePlan {
        services: vec![service("archive", ARCHIVE, false, 4)],
        daemons: vec![Name::from("zurich"), Name::from("bern")],
        threads: 1,
    };
    let site = Site::start_open(&plan).await.unwrap();
    let faulty = "POST /archive/lookups HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-crash: 1\r\n\
                  content-length: 3\r\n\r\nbad";
    let good = faulty.replace("x-crash: 1\r\n", "").replace("bad", "who");
    let mut crashes = 0;
    for _ in 0..12 {
        let answer = exchange(&site, faulty).await;
        if answer.contains("verbena-outcome: unknown") {
            crashes += 1;
        } else if answer.contains("verbena-reason: crashing") {
            break;
        }
    }
    assert_eq!(crashes, 2, "two servers crash, and the third request is refused");
    assert_refused(&exchange(&site, faulty).await, 503, "crashing", "not-run");
    let is_refused = || {
        site.daemons.iter().flatten().all(|daemon| !daemon.traffic().crashes.refused().is_empty())
    };
    site.wait_until(OPEN_TIMEOUT_MS, "every daemon refuses it", is_refused).await.unwrap();
    assert!(exchange(&site, &good).await.contains(" 200 OK"));
    site.end().await;
}

/// A request that a server has received may have run, so a timeout must not be reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_server() {
    let site = start().await;
    for server in &site.servers[0].1 {
        server.stand_in.freeze(5_000);
    }
    let answer = post(&site, "/ledger/account-1/swaps", "", "x").await;
    assert_refused(&answer, 504, "timed-out", "unknown");
    site.end().await;
}

/// Servers may stop answering on open connections. An idempotent request must then be repeated on
/// a new connection instead of timing out.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections() {
    let site = start().await;
    for _ in 0..4 {
        assert!(get(&site, "/ledger/account-1/balance").await.contains(" 200 OK"));
    }
    for server in &site.servers[0].1 {
        server.stand_in.silence();
    }
    let answer = get(&site, "/ledger/account-1/balance").await;
    assert!(answer.contains(" 200 OK"), "a new connection works: {answer}");
    site.end().await;
}

/// A request that was sent to no server must be reported as not run, with a time to retry.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_server() {
    let site = start().await;
    site.kill_server(1, 0).await;
    let answer = post(&site, "/archive/lookups", "", "x").await;
    assert_refused(&answer, 503, "unreachable", "not-run");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    site.end().await;
}

/// A daemon that stops must complete a response that it has begun.
#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_no_download_off() {
    let mut site = start().await;
    let mut stream = TcpStream::connect(site.callers_addresses()[0]).await.unwrap();
    let request = "GET /archive/sheets/7 HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 1_000];
    stream.read_exact(&mut answer).await.unwrap();
    let reading = tokio::spawn(async move {
        stream.read_to_end(&mut answer).await.unwrap();
        answer
    });
    site.stop_daemon(0).await;
    let answer = reading.await.unwrap();
    assert_eq!(String::from_utf8_lossy(&answer).matches('#').count(), SHEET_BYTES);
    site.end().await;
}

/// An edit of an outdated document must not overwrite a newer edit, and no edit may change the key
/// groups, which would give keys other owners without a handover.
#[tokio::test(flavor = "multi_thread")]
async fn second_edit_conflicts() {
    let site = start().await;
    let transport = tarpc::serde_transport::tcp::connect(
        site.settings[0].listen.operator,
        tarpc::tokio_serde::formats::Json::default,
    );
    let client =
        OperatorClient::new(tarpc::client::Config::default(), transport.await.unwrap()).spawn();
    let context = tarpc::context::current;
    let name = Name::from("ledger");
    let stored = client.get(context(), name.clone(), None).await.unwrap().unwrap();
    let edit = |text: &str, expected: Revision| Edit {
        text: text.to_owned(),
        expected: Some(expected),
        operator: "test".to_owned(),
    };
    let first = stored.text.replace("[server ledger-1]", "; changed\n[server ledger-1]");
    let first = first.replace("slots = 4", "slots = 5");
    let accepted = client.apply(context(), edit(&first, stored.revision)).await.unwrap().unwrap();
    assert!(accepted.revision > stored.revision);
    let error = client.apply(context(), edit(&stored.text, stored.revision)).await.unwrap();
    assert_eq!(error.unwrap_err().kind, ErrorKind::Conflict);
    let groups = first.replace("prefix = account-", "prefix = other-");
    let error = client.apply(context(), edit(&groups, accepted.revision)).await.unwrap();
    assert_eq!(error.unwrap_err().kind, ErrorKind::Invalid);
    let past_edits = client.history(context(), name.clone()).await.unwrap().unwrap();
    assert_eq!(past_edits.len(), 1);
    assert!(past_edits[0].changed.iter().all(|section| section.starts_with("[server ledger-")));
    let explained = client.explain(context(), name, "account-1".to_owned()).await.unwrap();
    assert!(explained.unwrap().owner.is_some());
    site.end().await;
}
