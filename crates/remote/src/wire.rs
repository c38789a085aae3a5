//! Encodes requests and decodes answers of HTTP/1.1, without I/O.
//!
//! A leader makes thousands of small calls a second, so a request is encoded into one buffer and an
//! answer is decoded from one. An answer counts as complete only if it has its declared length or
//! ended with its last chunk.

use std::io::Write;

use http_types::Method;
use percent_encoding::{AsciiSet, CONTROLS};

/// The bytes of a path that cannot stand in a request line.
const PATH_ENCODE_SET: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'<').add(b'>').add(b'#');

/// The largest head of an answer, and the largest line of a chunked body.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The most headers of an answer.
const MAX_HEADERS: usize = 64;

/// Statuses whose answers have no body.
const STATUSES_WITHOUT_BODY: [u16; 2] = [204, 304];

/// Why bytes cannot be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum WireError {
    /// A header of the request has a character that no header may have.
    #[display("a header of the request is invalid")]
    InvalidHeader,
    /// The bytes are not an answer of HTTP/1.1 whose end can be told.
    #[display("the answer is malformed")]
    Malformed,
}

impl std::error::Error for WireError {}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The length of the head in bytes.
    pub len: usize,
    /// How the end of the body is told.
    pub body: BodyLength,
    /// Whether the server keeps the connection open.
    pub keeps_open: bool,
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has this many bytes.
    Bytes(usize),
    /// The body ends with an empty chunk.
    Chunked,
}

/// A decoded part of a chunked body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// The data from `start` to `end` of the buffer; the next chunk begins at `next`.
    Data {
        /// Where the data begins.
        start: usize,
        /// Where the data ends.
        end: usize,
        /// Where the next chunk begins.
        next: usize,
    },
    /// The body is over; what follows it begins at `next`.
    Last {
        /// Where the body is over.
        next: usize,
    },
}

/// Encodes a request into one buffer.
///
/// # Errors
/// [`WireError::InvalidHeader`] if a header has a character that no header may have.
pub fn encode_request(
    method: Method,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Vec<u8>, WireError> {
    let mut out = Vec::with_capacity(256 + path.len() + body.len());
    let path = percent_encoding::utf8_percent_encode(path, PATH_ENCODE_SET);
    let written = write!(out, "{method} {path} HTTP/1.1\r\nhost: {host}\r\n");
    written.map_err(|_| WireError::InvalidHeader)?;
    for (name, value) in headers {
        if name.is_empty() || !name.bytes().all(is_name_byte) || !value.bytes().all(is_value_byte) {
            return Err(WireError::InvalidHeader);
        }
        for part in [name, ": ", value, "\r\n"] {
            out.extend_from_slice(part.as_bytes());
        }
    }
    let written = write!(out, "content-length: {}\r\n\r\n", body.len());
    written.map_err(|_| WireError::InvalidHeader)?;
    out.extend_from_slice(body);
    Ok(out)
}

/// Returns whether a header's name may have this byte.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a header's value may have this byte.
fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || (b' '..=b'~').contains(&byte)
}

/// Decodes the head of an answer at the start of `buf`; `None` if it is not complete.
///
/// # Errors
/// [`WireError::Malformed`] if this is not the head of an answer of HTTP/1.1 that states the length
/// of its body.
pub fn decode_head(buf: &[u8]) -> Result<Option<Head>, WireError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let len = match parsed.parse(buf).map_err(|_| WireError::Malformed)? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial if buf.len() > MAX_HEAD_BYTES => {
            return Err(WireError::Malformed)
        }
        httparse::Status::Partial => return Ok(None),
    };
    if parsed.version != Some(1) {
        return Err(WireError::Malformed);
    }
    let status = parsed.code.ok_or(WireError::Malformed)?;
    let mut headers = Vec::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| WireError::Malformed)?;
        headers.push((header.name.to_ascii_lowercase(), value.to_string()));
    }
    let body = body_length(status, &headers)?;
    let keeps_open =
        last_value(&headers, "connection").is_none_or(|value| !value.eq_ignore_ascii_case("close"));
    Ok(Some(Head { status, headers, len, body, keeps_open }))
}

/// Returns the last value of a header.
pub fn last_value<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().rev().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
}

/// Returns how the end of the body is told. A body that ends only because its connection is closed
/// could have been truncated.
fn body_length(status: u16, headers: &[(String, String)]) -> Result<BodyLength, WireError> {
    if status < 200 || STATUSES_WITHOUT_BODY.contains(&status) {
        return Ok(BodyLength::Bytes(0));
    }
    if let Some(encoding) = last_value(headers, "transfer-encoding") {
        let is_chunked = encoding.eq_ignore_ascii_case("chunked");
        return is_chunked.then_some(BodyLength::Chunked).ok_or(WireError::Malformed);
    }
    let mut declared = headers.iter().filter(|(name, _)| name == "content-length");
    let (_, first) = declared.next().ok_or(WireError::Malformed)?;
    if declared.any(|(_, other)| other != first) || !first.bytes().all(|b| b.is_ascii_digit()) {
        return Err(WireError::Malformed);
    }
    first.parse().map(BodyLength::Bytes).map_err(|_| WireError::Malformed)
}

/// Decodes the chunk that begins at `at`; `None` if it is not complete.
///
/// # Errors
/// [`WireError::Malformed`] if this is no chunk.
pub fn decode_chunk(buf: &[u8], at: usize) -> Result<Option<Chunk>, WireError> {
    let rest = &buf[at..];
    let (line, size) = match httparse::parse_chunk_size(rest).map_err(|_| WireError::Malformed)? {
        httparse::Status::Complete((line, size)) => (line, size as usize),
        httparse::Status::Partial if rest.len() > MAX_HEAD_BYTES => {
            return Err(WireError::Malformed);
        }
        httparse::Status::Partial => return Ok(None),
    };
    let start = at + line;
    if size == 0 {
        return Ok(end_of_trailers(buf, start)?.map(|next| Chunk::Last { next }));
    }
    let end = start.checked_add(size).ok_or(WireError::Malformed)?;
    match buf.get(end..end.saturating_add(2)) {
        Some(b"\r\n") => Ok(Some(Chunk::Data { start, end, next: end + 2 })),
        Some(_) => Err(WireError::Malformed),
        None => Ok(None),
    }
}

/// Returns where the trailers that begin at `at` are over; `None` if they are not complete.
fn end_of_trailers(buf: &[u8], at: usize) -> Result<Option<usize>, WireError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&buf[at..], &mut headers).map_err(|_| WireError::Malformed)? {
        httparse::Status::Complete((len, _)) => Ok(Some(at + len)),
        httparse::Status::Partial if buf.len() - at > MAX_HEAD_BYTES => Err(WireError::Malformed),
        httparse::Status::Partial => Ok(None),
    }
}
