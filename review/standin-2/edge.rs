//! The project's daemon as a separate process, with the settings of the deploy file's template.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A daemon; it is killed when this is dropped.
pub struct Edge {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("the address of a listener").port()
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("the log can be written");
    Command::new(program)
        .env_clear()
        .env("PATH", "/usr/bin:/bin")
        .env("VERBENADRIFT_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a second handle of the log"))
        .stderr(log)
        .spawn()
        .expect("the daemon starts")
}

impl Edge {
    pub fn start(program: &Path, dir: &Path, number: u8, store: SocketAddr) -> Self {
        // Each machine has a loopback address of its own.
        let id = std::process::id();
        let ip = format!("127.{}.{}.{}", 16 + id % 200, id / 200 % 250 + 1, 10 + number);
        let name = format!("edge-{number}");
        let [front, ready, peer, admin] = [0; 4].map(|_| free_port(&ip));
        let settings = format!(
            "[instance]\nname = {name}\ndata_centre = zone-a\nlink_mbps = 1500.0\nmemory_mb = 390\n\n\
             [listen]\nfront = {ip}:{front}\nready = {ip}:{ready}\npeer = {ip}:{peer}\n\
             admin = {ip}:{admin}\n\n\
             [store]\naddress = {store}\nleast_lease = 1000ms\n\n\
             [servers]\nlongest_grant = 10000ms\ndrain = 2000ms\n\n\
             [retries]\nratio = 0.2\nslack = 56\n\n[stop]\ngrace = 6s\n"
        );
        let path: PathBuf = dir.join(format!("{name}.ini"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = dir.join(format!("{name}.log"));
        let address = |port| SocketAddr::new(ip.parse().expect("an address"), port);
        let (front, ready, child) = (address(front), address(ready), spawn(program, &path, &log));
        Self { front, ready, child }
    }

    /// Waits until the daemon counts as ready.
    pub fn wait_until_ready(&self, deadline: Instant) -> bool {
        while Instant::now() < deadline {
            let mut client = crate::http::Client::new(self.ready);
            let path = "/verbenadrift/readiness";
            let answer = client.call("GET", path, &[("Host", "ready")], Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200)
                && TcpStream::connect(self.front).is_ok()
            {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
