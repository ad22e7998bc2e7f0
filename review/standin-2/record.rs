//! What was sent, answered, run and held, and the checks of it.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use crate::server::KEYS;

/// The record of one play.
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<String>>,
    /// The times in which each server held each key.
    holds: Mutex<BTreeMap<String, Vec<Vec<(f64, f64)>>>>,
    /// The servers that ran each request, with its method.
    runs: Mutex<HashMap<String, (String, Vec<String>)>>,
    /// The last status that a server gave to each request.
    statuses: Mutex<HashMap<String, String>>,
    answers: Mutex<BTreeMap<String, u64>>,
}

/// For how long two servers may hold a key together.
const MAX_SHARED_MS: f64 = 500.0;

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Mutex::default(),
            holds: Mutex::default(),
            runs: Mutex::default(),
            statuses: Mutex::default(),
            answers: Mutex::default(),
        }
    }

    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn note(&self, text: &str) {
        self.lines.lock().unwrap().push(format!("{:>10.1} ms  {text}", self.now_ms()));
    }

    pub fn count_answer(&self, server: &str) {
        *self.answers.lock().unwrap().entry(server.to_owned()).or_default() += 1;
    }

    pub fn answers(&self) -> String {
        let answers = self.answers.lock().unwrap();
        let texts: Vec<String> =
            answers.iter().map(|(name, count)| format!("{name} {count}")).collect();
        texts.join(", ")
    }

    pub fn hold(&self, server: &str, from: usize, to: usize, until_ms: f64) {
        let now_ms = self.now_ms();
        let mut holds = self.holds.lock().unwrap();
        let keys = holds.entry(server.to_owned()).or_insert_with(|| vec![Vec::new(); KEYS]);
        for times in &mut keys[from..=to] {
            match times.last_mut().filter(|last| last.1 >= now_ms) {
                Some(last) => last.1 = last.1.max(until_ms),
                None => times.push((now_ms, until_ms)),
            }
        }
    }

    pub fn release(&self, server: &str, from: usize, to: usize, now_ms: f64) {
        if let Some(keys) = self.holds.lock().unwrap().get_mut(server) {
            for last in keys[from..=to].iter_mut().filter_map(|times| times.last_mut()) {
                last.1 = last.1.min(now_ms);
            }
        }
    }

    pub fn run(&self, server: &str, id: &str, method: &str) {
        let mut runs = self.runs.lock().unwrap();
        let (_, servers) = runs.entry(id.to_owned()).or_insert((method.to_owned(), Vec::new()));
        servers.push(server.to_owned());
        let count = servers.len();
        drop(runs);
        self.note(&format!("{server} runs {method} {id}, run {count} of it"));
    }

    pub fn answered(&self, id: &str, status: &str) {
        self.statuses.lock().unwrap().insert(id.to_owned(), status.to_owned());
    }

    pub fn server_status(&self, id: &str) -> Option<String> {
        self.statuses.lock().unwrap().get(id).cloned()
    }

    pub fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).map_or(0, |(_, servers)| servers.len())
    }

    /// Returns the POST requests that ran more than once.
    pub fn run_twice(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let twice =
            runs.iter().filter(|(_, (method, servers))| method == "POST" && servers.len() > 1);
        let mut twice: Vec<String> = twice
            .map(|(id, (_, servers))| format!("{id} ran at {}", servers.join(" and ")))
            .collect();
        twice.sort();
        twice
    }

    /// Returns the ranges that two servers held together for over half a second.
    pub fn held_twice(&self, until_ms: f64) -> Vec<String> {
        let holds = self.holds.lock().unwrap();
        let servers: Vec<&String> = holds.keys().collect();
        let mut found: Vec<String> = Vec::new();
        for (at, first) in servers.iter().enumerate() {
            for second in &servers[at + 1..] {
                let mut last: Option<(usize, usize, f64, f64)> = None;
                for key in 0..KEYS {
                    let pairs = holds[*first][key].iter().flat_map(|one| {
                        holds[*second][key]
                            .iter()
                            .map(move |two| (one.0.max(two.0), one.1.min(two.1).min(until_ms)))
                    });
                    let longest = pairs.filter(|(from, to)| to - from > MAX_SHARED_MS).next();
                    match (longest, &mut last) {
                        (Some(shared), Some(known))
                            if known.1 + 1 == key && known.2 == shared.0 =>
                        {
                            known.1 = key;
                        }
                        (Some(shared), _) => {
                            found.extend(last.take().map(|known| describe(first, second, known)));
                            last = Some((key, key, shared.0, shared.1));
                        }
                        (None, _) => {
                            found.extend(last.take().map(|known| describe(first, second, known)));
                        }
                    }
                }
                found.extend(last.take().map(|known| describe(first, second, known)));
            }
        }
        found
    }

    pub fn write(&self, path: &Path, verdict: &str) {
        let lines = self.lines.lock().unwrap().join("\n");
        fs::write(path, format!("{lines}\n\n{verdict}\n")).expect("the record can be written");
    }
}

fn describe(first: &str, second: &str, (from, to, start, end): (usize, usize, f64, f64)) -> String {
    format!(
        "{first} and {second} both hold keys {from}-{to} for {:.0} ms, from {start:.0} ms on",
        end - start
    )
}
