//! What was sent, answered and run, with the time since the start.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::http::Message;
use crate::server::Server;

pub struct Record {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
    /// The servers that began to run each request.
    runs: Mutex<HashMap<String, Vec<String>>>,
    servers: Mutex<Vec<Arc<Server>>>,
    given_at_work: AtomicU64,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self {
            started_at: Instant::now(),
            file,
            runs: Mutex::default(),
            servers: Mutex::default(),
            given_at_work: AtomicU64::new(0),
        })
    }

    pub fn elapsed_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {line}", self.elapsed_s());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{:9.3} {line}", self.elapsed_s());
        let _ = self.file.lock().unwrap().flush();
    }

    pub fn on_run(&self, id: &str, server: &str, request: &Message) {
        let key = request.header("shard-key").unwrap_or("-");
        let method = request.method();
        self.write(&format!("server {server} runs {id} {method} {} key {key}", request.target()));
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(server.to_owned());
    }

    pub fn add_server(&self, server: &Arc<Server>) {
        self.servers.lock().unwrap().push(Arc::clone(server));
    }

    /// Looks whether a server is given keys on which another one is still at work.
    pub fn on_grant(&self, to_server: &str, from: usize, to: usize) {
        let servers: Vec<Arc<Server>> = self.servers.lock().unwrap().clone();
        for other in servers.iter().filter(|other| other.id != to_server && !other.has_left()) {
            let keys = other.at_work_on(from, to);
            if !keys.is_empty() {
                self.given_at_work.fetch_add(1, Ordering::Relaxed);
                self.say(&format!(
                    "{to_server} is given {from}-{to} while {} is at work on {keys:?}",
                    other.id
                ));
            }
        }
    }

    /// Returns how often a server was given keys on which another one was still at work.
    pub fn given_at_work(&self) -> u64 {
        self.given_at_work.load(Ordering::Relaxed)
    }

    pub fn runs_of(&self, id: &str) -> Vec<String> {
        self.runs.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
}
