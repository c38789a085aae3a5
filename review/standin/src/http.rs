//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client that sends
//! each request on a connection of its own.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::{self, Json};

/// A request that a stand-in received.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The decoded parameters of the query.
    pub query: BTreeMap<String, String>,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Parses the body as JSON; `Null` if it is not.
    pub fn json(&self) -> Json {
        json::parse(&self.body).unwrap_or(Json::Null)
    }

    /// Returns a parameter of the query, or an empty text.
    pub fn param(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// What a stand-in does with a request.
pub enum Reply {
    /// It answers with a status and a body.
    Answer(u16, Option<Json>),
    /// It says nothing more on this connection and leaves it open.
    Silence,
}

/// Builds an answer with a body.
pub fn answer(status: u16, body: Json) -> Reply {
    Reply::Answer(status, Some(body))
}

/// Builds an answer without a body.
pub fn empty(status: u16) -> Reply {
    Reply::Answer(status, None)
}

/// How long a silent connection is kept open.
const SILENCE: Duration = Duration::from_secs(150);

/// Serves requests at `addr` for as long as the process runs.
///
/// # Errors
/// Returns the error of binding.
pub fn serve<H>(addr: SocketAddr, handler: H) -> io::Result<()>
where
    H: Fn(&Request) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(())
}

fn serve_connection<H: Fn(&Request) -> Reply>(stream: TcpStream, handler: &H) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        match handler(&request) {
            Reply::Answer(status, body) => {
                let body = body.map(|b| b.to_string()).unwrap_or_default();
                let len = body.len();
                let head = format!("HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n");
                writer
                    .write_all(format!("{head}Content-Length: {len}\r\n\r\n{body}").as_bytes())
                    .ok()?;
            }
            Reply::Silence => {
                thread::sleep(SILENCE);
                return None;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_string();
    let target = words.next()?.to_string();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_string(), percent_decode(value))).collect();
    Some(Request { method, path: path.to_string(), query, headers, body })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &BTreeMap<String, String>,
) -> Option<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return read_chunks(reader);
    }
    let len = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let len = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk).ok()?;
        if len == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        let digits = tail.get(..2).and_then(|d| std::str::from_utf8(d).ok());
        let code = digits.and_then(|d| u8::from_str_radix(d, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request and returns the status and the body; `None` if no complete answer came within
/// `limit`.
pub fn call(
    addr: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let len = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n");
    let head = format!("{head}Content-Type: application/json\r\nContent-Length: {len}\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
