//! HTTP/1.1 for the stand-ins: one thread for each connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request or an answer that was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub arrived_at: Option<Instant>,
}

/// What a handler does with a request.
pub enum Reply {
    Answer(Answer),
    /// The connection is closed without an answer.
    Close,
    /// The handler has written to the connection itself, which is closed now.
    Taken,
}

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            404 => "Not Found",
            409 => "Conflict",
            421 => "Misdirected Request",
            503 => "Service Unavailable",
            _ => "Other",
        };
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        [head.into_bytes(), self.body.clone()].concat()
    }
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The path with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], escaped) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a whole message; `None` if the connection ends first.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if text.is_empty() {
            break;
        }
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; length];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            line.clear();
            reader.read_line(&mut line).ok()?;
            if length == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    }
    message.arrived_at = Some(Instant::now());
    Some(message)
}

/// The connections that are being served, to end them with the process that they stand for.
#[derive(Default)]
pub struct Served {
    has_ended: AtomicBool,
    next: AtomicU64,
    streams: Mutex<HashMap<u64, TcpStream>>,
}

impl Served {
    /// Closes the listener and all connections.
    pub fn end(&self, address: SocketAddr) {
        self.has_ended.store(true, Ordering::Relaxed);
        // The listener notices with its next connection.
        drop(TcpStream::connect(address));
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves connections; the handler gets each request with its connection.
pub fn serve<H>(listener: TcpListener, idle: Duration, handler: H) -> Arc<Served>
where
    H: Fn(&Message, &mut TcpStream) -> Reply + Send + Sync + 'static,
{
    let (handler, served) = (Arc::new(handler), Arc::new(Served::default()));
    let accepting = Arc::clone(&served);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            if accepting.has_ended.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let (handler, served) = (Arc::clone(&handler), Arc::clone(&accepting));
            let number = served.next.fetch_add(1, Ordering::Relaxed);
            if let Ok(kept) = stream.try_clone() {
                served.streams.lock().unwrap().insert(number, kept);
            }
            std::thread::spawn(move || {
                serve_connection(stream, idle, &*handler);
                served.streams.lock().unwrap().remove(&number);
            });
        }
    });
    served
}

fn serve_connection<H>(stream: TcpStream, idle: Duration, handler: &H)
where
    H: Fn(&Message, &mut TcpStream) -> Reply,
{
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(idle));
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        match handler(&request, &mut writer) {
            Reply::Answer(answer) => {
                if writer.write_all(&answer.to_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close | Reply::Taken => return,
        }
    }
}

/// Sends one request on a new connection and returns the answer.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let answer = read_message(&mut reader);
    let _ = reader.get_mut().shutdown(Shutdown::Both);
    let _ = reader.read(&mut [0; 1]);
    Ok(answer)
}
