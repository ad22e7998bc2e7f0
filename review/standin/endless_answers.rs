//! Servers that leave answer the orders to release their keys with bytes without end.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::cluster::{Callers, Cluster, Outcome, held_by, start_store};
use crate::record::Record;
use crate::server::Server;

/// How long a request takes at a server.
const WORK: Duration = Duration::from_millis(100);
/// How many bytes a second arrive from a server in trouble: a link of 1,500 Mbit/s.
const BYTES_PER_S: usize = 187_500_000;
/// How long servers that have reported that they drain go on serving.
const DRAIN: Duration = Duration::from_secs(2);
/// How much longer they go on in this case.
const LONGER: Duration = Duration::from_secs(6);
/// How many servers leave, one after the other.
const LEAVING: usize = 4;
/// How many requests from kept connections may be passed on to sound servers and then end with
/// their connection.
const MAX_LOST: usize = 3;

pub fn run(scratch: &Path, record: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(record).map(Arc::new) else { return Verdict::CannotRun };
    let (store, address) = start_store();
    let zones = ["doto-a", "doto-b", "doto-c"];
    let add = |number: usize| {
        let (id, zone) = (format!("i-desk{number}"), zones[number % 3]);
        Server::start(&id, ("desk", true), zone, WORK, &store, &record)
    };
    let servers: Vec<Arc<Server>> = (0..8 + LEAVING).map(add).collect();
    let servers = Mutex::new(servers);
    let Ok(cluster) = Cluster::start(scratch, address, &record) else {
        return Verdict::CannotRun;
    };
    if !cluster.wait_until_held(&servers) {
        record.say("the daemons did not get ready");
        cluster.end();
        return Verdict::CannotRun;
    }
    record.say("all keys are held; callers start");
    let callers = Callers::start(&cluster, 48, Duration::from_millis(50));
    std::thread::sleep(Duration::from_secs(5));
    for number in 0..LEAVING {
        let server = Arc::clone(&servers.lock().unwrap()[number]);
        if has_trouble {
            server.answer_without_end(BYTES_PER_S);
        }
        record.say(&format!("{} drains; it holds {} of 1024 keys", server.id, held_by(&server)));
        server.drain();
        std::thread::sleep(DRAIN + LONGER);
        server.leave();
        record.say(&format!("{} has left", server.id));
    }
    std::thread::sleep(Duration::from_secs(3));
    let outcomes = callers.end();
    cluster.end();

    for daemon in &cluster.daemons {
        let kills = daemon.memory_kills.load(Ordering::Relaxed);
        let own_ends = daemon.own_ends.load(Ordering::Relaxed);
        let peak_mb = daemon.peak_kb.load(Ordering::Relaxed) / 1_024;
        let (name, limit_mb) = (daemon.machine.name, daemon.machine.memory_mb);
        record.say(&format!(
            "{name}: at most {peak_mb} MB of {limit_mb} MB, killed for memory {kills} times, \
             ended otherwise {own_ends} times"
        ));
    }
    let leaving: Vec<String> = (0..LEAVING).map(|number| format!("i-desk{number}")).collect();
    let is_lost = |outcome: &&Outcome| {
        let runs = record.runs_of(&outcome.id);
        let was_at_sound_server = runs.iter().any(|server| !leaving.contains(server));
        outcome.status == 0 && outcome.is_kept && !outcome.is_late && was_at_sound_server
    };
    let lost: Vec<&Outcome> = outcomes.iter().filter(is_lost).collect();
    for outcome in &lost {
        let (id, sent_s) = (&outcome.id, outcome.sent_s);
        let at = record.runs_of(id).join(", ");
        record.write(&format!("{id}, sent at {sent_s:.3}, was run by {at} and not answered"));
    }
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    record.say(&format!("{served} of {} requests were served", outcomes.len()));
    record.say(&format!(
        "{} requests from kept connections were run by sound servers and not answered",
        lost.len()
    ));
    if lost.len() > MAX_LOST {
        record.say("LOST is broken");
        return Verdict::Broken;
    }
    record.say("LOST held");
    Verdict::Held
}
