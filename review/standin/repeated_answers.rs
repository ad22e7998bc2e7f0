//! Servers write some of their answers to orders a second time, late.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::cluster::{Callers, Cluster, OwnerCheck, held_by, judge_owners, start_store};
use crate::record::Record;
use crate::server::Server;

/// The mean time of a request at a server.
const WORK: Duration = Duration::from_millis(120);
/// How many of the servers repeat answers, and how many in a thousand.
const FAULTY_SHARE: f64 = 0.6;
const REPEATED_PER_MILLE: u64 = 30;
/// How long servers repeat answers, and the pause after that.
const FAULTY_TIME: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(500);
/// How many servers there are, and how many are replaced, one every [`GAP`].
const SERVERS: usize = 10;
const REPLACED: usize = 90;
const GAP: Duration = Duration::from_millis(1_000);
/// How long a server that drains goes on serving (`Drain`, and a little longer).
const DRAIN: Duration = Duration::from_millis(2_500);

pub fn run(scratch: &Path, record: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(record).map(Arc::new) else { return Verdict::CannotRun };
    let (store, address) = start_store();
    let zones = ["doto-a", "doto-b", "doto-c"];
    let add = |number: usize| {
        let (id, zone) = (format!("i-desk{number}"), zones[number % 3]);
        Server::start(&id, ("desk", true), zone, WORK, &store, &record)
    };
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(add).collect();
    let servers = Arc::new(Mutex::new(servers));
    let owners = OwnerCheck::start(&servers, &record);
    let Ok(cluster) = Cluster::start(scratch, address, &record) else {
        return Verdict::CannotRun;
    };
    if !cluster.wait_until_held(&servers) {
        record.say("the daemons did not get ready");
        cluster.end();
        return Verdict::CannotRun;
    }
    record.say("all keys are held; callers start");
    let callers = Callers::start(&cluster, 50, Duration::from_millis(50));
    std::thread::sleep(Duration::from_secs(4));
    let started_at = Instant::now();
    let set_faulty = || {
        let phase = (FAULTY_TIME + PAUSE).as_millis();
        let is_faulty = started_at.elapsed().as_millis() % phase < FAULTY_TIME.as_millis();
        let servers = servers.lock().unwrap();
        // The oldest ones, which are replaced first.
        let faulty = (SERVERS as f64 * FAULTY_SHARE) as usize;
        for (position, server) in servers.iter().filter(|server| !server.has_left()).enumerate() {
            let repeats = is_faulty && has_trouble && position < faulty;
            server.repeat_answers(if repeats { REPEATED_PER_MILLE } else { 0 });
        }
    };
    let wait = |time: Duration| {
        let ends_at = Instant::now() + time;
        while Instant::now() < ends_at {
            set_faulty();
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    for number in 0..REPLACED {
        let new = add(SERVERS + number);
        servers.lock().unwrap().push(new);
        wait(GAP);
        let server = Arc::clone(&servers.lock().unwrap()[number]);
        record.say(&format!("{} drains; it holds {} of 1024 keys", server.id, held_by(&server)));
        server.drain();
        std::thread::spawn(move || {
            std::thread::sleep(DRAIN);
            server.leave();
        });
    }
    wait(DRAIN);
    let outcomes = callers.end();
    let overlaps = owners.end();
    cluster.end();
    let given = record.given_at_work();
    record.say(&format!("a server was given keys on which another was at work: {given} times"));
    match judge_owners(&record, &overlaps, &outcomes) {
        Verdict::Held if given > 0 => {
            record.say("OWNER is broken: keys were given while another server was at work on them");
            Verdict::Broken
        }
        verdict => verdict,
    }
}
