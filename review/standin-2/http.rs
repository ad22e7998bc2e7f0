//! HTTP/1.1 over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or an answer: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns a value of the query, with its escapes resolved.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair =
            query.split('&').find_map(|pair| pair.split_once('=').filter(|p| p.0 == name))?;
        let (mut bytes, mut rest) = (Vec::new(), pair.1.as_bytes());
        while let Some((first, tail)) = rest.split_first() {
            if *first == b'%' && tail.len() >= 2 {
                let hex = std::str::from_utf8(&tail[..2]).ok()?;
                bytes.push(u8::from_str_radix(hex, 16).ok()?);
                rest = &tail[2..];
            } else {
                bytes.push(*first);
                rest = tail;
            }
        }
        String::from_utf8(bytes).ok()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn read_line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    stream.read_line(&mut line)?;
    if !line.ends_with('\n') {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a message; an answer without a length ends with its connection.
pub fn read(stream: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Message> {
    let mut message = Message { line: read_line(stream)?, ..Message::default() };
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.fields.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.field("transfer-encoding").is_some() {
        loop {
            let size = read_line(stream)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk)?;
            read_line(stream)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    match message.field("content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            message.body = vec![0; length];
            stream.read_exact(&mut message.body)?;
        }
        None if is_answer => drop(stream.read_to_end(&mut message.body)?),
        None => {}
    }
    Ok(message)
}

/// Writes an answer with a body of known length.
pub fn answer(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    bytes
}

/// Answers each connection with a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                drop(stream.set_nodelay(true));
                handle(stream);
            });
        }
    });
}

/// A consumer's connection, which is used for one request after the other.
pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Sends a request and returns the answer; opens a connection if there is none.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        timeout: Duration,
    ) -> io::Result<Message> {
        let result = self.try_call(method, path, fields, timeout);
        let closes = |answer: &Message| answer.field("connection") == Some("close");
        if result.as_ref().map_or(true, closes) {
            self.stream = None;
        }
        result
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        timeout: Duration,
    ) -> io::Result<Message> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        let stream = self.stream.as_mut().expect("it was opened above");
        stream.get_ref().set_read_timeout(Some(timeout))?;
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method == "POST" {
            text.push_str("Content-Length: 0\r\n");
        }
        text.push_str("\r\n");
        stream.get_mut().write_all(text.as_bytes())?;
        read(stream, true)
    }
}
