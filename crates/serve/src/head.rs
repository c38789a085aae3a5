//! Heads of requests: finds where a head ends and decodes it, without I/O.
//!
//! A head that two parties could read differently is refused, since a proxy in between might forward
//! something else than what is handled here (RFC 9112, sections 2.2, 5.2 and 6.3).

use std::str::FromStr;

use http_types::{Method, Request, Url, Version};

/// The most empty lines that may come before a request. RFC 9112, section 2.2, asks servers to
/// ignore at least one.
const MAX_EMPTY_LINES: usize = 8;

/// What is known of a head of which more may arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scan {
    /// The head has not ended yet.
    Partial,
    /// The head takes this many bytes, its empty line included.
    Complete(usize),
}

/// Why a head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum HeadError {
    /// It is longer than the limit.
    #[display("the head is longer than the limit")]
    TooLarge,
    /// It is not a head of HTTP/1.1, or it is ambiguous.
    #[display("the head is malformed")]
    Malformed,
}

impl std::error::Error for HeadError {}

/// Searches for the end of a head, looking at each byte once.
#[derive(Debug, Default)]
pub struct Scanner {
    searched: usize,
    line_start: usize,
    empty_lines: usize,
}

impl Scanner {
    /// Searches `buf`, which must begin with the bytes of the previous call that were not removed.
    /// Removes empty lines from its start.
    ///
    /// # Errors
    /// [`HeadError`] as soon as the head cannot become one of at most `max` bytes with proper line
    /// ends.
    pub fn scan(&mut self, buf: &mut Vec<u8>, max: usize) -> Result<Scan, HeadError> {
        if self.searched == 0 {
            self.remove_empty_lines(buf)?;
        }
        while let Some(at) = buf[self.searched..].iter().position(|&b| b == b'\n') {
            let at = self.searched + at;
            if at == 0 || buf[at - 1] != b'\r' {
                return Err(HeadError::Malformed);
            }
            if at >= max {
                return Err(HeadError::TooLarge);
            }
            let is_empty = at - 1 == self.line_start;
            (self.searched, self.line_start) = (at + 1, at + 1);
            if is_empty {
                return Ok(Scan::Complete(at + 1));
            }
        }
        // A carriage return at the very start may be half of an empty line.
        self.searched = if buf.as_slice() == b"\r" { 0 } else { buf.len() };
        if buf.len() >= max {
            return Err(HeadError::TooLarge);
        }
        Ok(Scan::Partial)
    }

    fn remove_empty_lines(&mut self, buf: &mut Vec<u8>) -> Result<(), HeadError> {
        let lines = buf.chunks_exact(2).take_while(|pair| pair == b"\r\n").count();
        self.empty_lines += lines;
        if self.empty_lines > MAX_EMPTY_LINES {
            return Err(HeadError::Malformed);
        }
        buf.drain(..2 * lines);
        Ok(())
    }
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
}

/// A decoded head.
#[derive(Debug)]
pub struct Head {
    /// The request, without a body.
    pub req: Request,
    /// How its body is framed.
    pub framing: Framing,
    /// How many headers it has.
    pub headers: usize,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the client closes the connection after this request.
    pub closes: bool,
}

/// Decodes a complete head.
///
/// # Errors
/// [`HeadError::Malformed`] for anything but one request of HTTP/1.1 with one host and at most one
/// way to tell the end of its body.
pub fn parse(text: &[u8]) -> Result<Head, HeadError> {
    let lines = text.iter().filter(|&&b| b == b'\n').count();
    let mut headers = vec![httparse::EMPTY_HEADER; lines];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(text).map_err(|_| HeadError::Malformed)?;
    if status != httparse::Status::Complete(text.len()) || parsed.version != Some(1) {
        return Err(HeadError::Malformed);
    }
    let method =
        parsed.method.and_then(|m| Method::from_str(m).ok()).ok_or(HeadError::Malformed)?;
    let url = url_of(method, &parsed)?;
    let mut req = Request::new(method, url);
    req.set_version(Some(Version::Http1_1));
    for header in parsed.headers.iter() {
        req.append_header(header.name, ascii(header.value)?);
    }
    Ok(Head {
        framing: framing(&parsed)?,
        headers: parsed.headers.len(),
        expects_continue: has_token(&parsed, "expect", "100-continue"),
        closes: has_token(&parsed, "connection", "close"),
        req,
    })
}

/// Returns a header's value as text. `http_types` panics on other values.
fn ascii(value: &[u8]) -> Result<&str, HeadError> {
    if value.is_ascii() {
        std::str::from_utf8(value).map_err(|_| HeadError::Malformed)
    } else {
        Err(HeadError::Malformed)
    }
}

fn values<'a>(
    parsed: &'a httparse::Request<'_, '_>,
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    parsed.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
}

/// Returns the value of a header that may be given once.
fn single<'a>(
    parsed: &'a httparse::Request<'_, '_>,
    name: &'a str,
) -> Result<Option<&'a str>, HeadError> {
    let mut values = values(parsed, name);
    let first = values.next().map(ascii).transpose()?;
    if values.next().is_some() {
        return Err(HeadError::Malformed);
    }
    Ok(first)
}

fn has_token(parsed: &httparse::Request<'_, '_>, name: &str, token: &str) -> bool {
    let is_token = |text: &[u8]| text.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
    values(parsed, name).any(|value| value.split(|&b| b == b',').any(is_token))
}

fn url_of(method: Method, parsed: &httparse::Request<'_, '_>) -> Result<Url, HeadError> {
    let path = parsed.path.ok_or(HeadError::Malformed)?;
    let host = single(parsed, "host")?.ok_or(HeadError::Malformed)?;
    let text = if path.starts_with("http://") || path.starts_with("https://") {
        path.to_string()
    } else if path.starts_with('/') {
        format!("http://{host}{path}")
    } else if method == Method::Connect {
        format!("http://{path}/")
    } else {
        return Err(HeadError::Malformed);
    };
    Url::parse(&text).map_err(|_| HeadError::Malformed)
}

fn framing(parsed: &httparse::Request<'_, '_>) -> Result<Framing, HeadError> {
    let (length, encoding) =
        (single(parsed, "content-length")?, single(parsed, "transfer-encoding")?);
    match (length, encoding) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(text), None) if !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) => {
            text.parse().map(Framing::Length).map_err(|_| HeadError::Malformed)
        }
        (None, Some(text)) if text.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        _ => Err(HeadError::Malformed),
    }
}
