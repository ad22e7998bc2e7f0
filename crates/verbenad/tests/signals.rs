//! Guards against signals that end the process with requests unanswered.

use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

const NOTICE_MS: u64 = 600;

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts the program without a store, and returns when it accepts callers.
fn start(name: &str) -> Child {
    let http = free_address();
    let text = format!(
        "[instance]\nname = entry-1\ndata_centre = zurich\n[listen]\nhttp = {http}\n\
         peer = 127.0.0.1:0\noperator = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[store]\n\
         address = 127.0.0.1:1\n[stop]\nnotice = {NOTICE_MS}ms\ndrain = 1s\n"
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    std::fs::File::create(&path).unwrap().write_all(text.as_bytes()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_verbenad"));
    command.arg("--settings").arg(&path).stdout(Stdio::null()).stderr(Stdio::null());
    let child = command.spawn().unwrap();
    let started = Instant::now();
    while TcpStream::connect(http).is_err() {
        assert!(started.elapsed() < Duration::from_secs(30), "callers are not accepted");
    }
    child
}

fn send(child: &Child, signal: Signal) {
    kill(Pid::from_raw(i32::try_from(child.id()).unwrap()), signal).unwrap();
}

#[googletest::test]
fn hangup_does_not_end_the_process() {
    let mut child = start("hangup");
    for _ in 0..20 {
        send(&child, Signal::SIGHUP);
    }
    std::thread::sleep(Duration::from_millis(300));
    expect_that!(child.try_wait().unwrap(), none());
    send(&child, Signal::SIGTERM);
    expect_that!(child.wait().unwrap().code(), some(eq(0)));
}

#[googletest::test]
fn later_signals_do_not_shorten_the_stop() {
    let mut child = start("later_signals");
    let stopped = Instant::now();
    for signal in [Signal::SIGTERM, Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP] {
        send(&child, signal);
        std::thread::sleep(Duration::from_millis(50));
    }
    expect_that!(child.wait().unwrap().code(), some(eq(0)));
    expect_that!(stopped.elapsed(), ge(Duration::from_millis(NOTICE_MS)));
}
