//! Requests are encoded so that a server reads exactly one of them, and answers are accepted only whole.

use gaplock_remote::wire::{self, BodyLength, Chunk, WireError};
use http_types::Method;

fn encode(path: &str, headers: &[(&str, &str)], body: &str) -> Result<String, WireError> {
    let bytes = wire::encode_request(Method::Post, "10.0.0.1:80", path, headers, body.as_bytes())?;
    Ok(String::from_utf8(bytes).expect("requests of text are text"))
}

#[test]
fn a_request_is_one_message() {
    let expected = "POST /run HTTP/1.1\r\nhost: 10.0.0.1:80\r\na: b\r\ncontent-length: 2\r\n\r\n{}";
    assert_eq!(encode("/run", &[("a", "b")], "{}").as_deref(), Ok(expected));
}

#[test]
fn nothing_in_a_path_or_header_begins_another_line() {
    let encoded = encode("/a b\r\nc#d?e=%20&f=\u{e9}", &[], "").expect("any path can be encoded");
    assert!(encoded.starts_with("POST /a%20b%0D%0Ac%23d?e=%20&f=%C3%A9 HTTP/1.1\r\n"), "{encoded}");
    for (name, value) in [("a", "b\r\nc: d"), ("a", "b\0"), ("a b", "c"), ("", "c"), ("a:", "b")] {
        assert_eq!(encode("/", &[(name, value)], ""), Err(WireError::InvalidHeader), "{name:?}");
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: 1\r\nx-a: 2\r\n\r\n";

#[test]
fn a_head_is_decoded_once_it_is_complete() {
    for len in 0..HEAD.len() {
        assert_eq!(wire::decode_head(&HEAD.as_bytes()[..len]), Ok(None), "{len} bytes");
    }
    let bytes = format!("{HEAD}hello");
    let head = wire::decode_head(bytes.as_bytes()).expect("well-formed").expect("complete");
    assert_eq!((head.status, head.len, head.body), (200, HEAD.len(), BodyLength::Bytes(5)));
    assert!(head.keeps_open);
    assert_eq!(wire::last_value(&head.headers, "x-a"), Some("2"));
}

#[test]
fn the_end_of_a_body_must_be_stated() {
    let decode = |status: &str, headers: &str| {
        let text = format!("HTTP/1.1 {status} X\r\n{headers}\r\n");
        wire::decode_head(text.as_bytes()).map(|head| head.expect("complete").body)
    };
    assert_eq!(decode("200", ""), Err(WireError::Malformed));
    assert_eq!(decode("204", ""), Ok(BodyLength::Bytes(0)));
    assert_eq!(decode("304", "Content-Length: 9\r\n"), Ok(BodyLength::Bytes(0)));
    assert_eq!(decode("200", "Transfer-Encoding: Chunked\r\n"), Ok(BodyLength::Chunked));
    for headers in [
        "Content-Length: -1\r\n",
        "Content-Length: +1\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: gzip\r\n",
    ] {
        assert_eq!(decode("200", headers), Err(WireError::Malformed), "{headers}");
    }
}

#[test]
fn answers_of_other_versions_and_endless_heads_are_malformed() {
    for text in ["HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", "HTP/1.1 200 OK\r\n\r\n", "\u{1}"]
    {
        assert_eq!(wire::decode_head(text.as_bytes()), Err(WireError::Malformed), "{text:?}");
    }
    let endless = format!("HTTP/1.1 200 OK\r\na: {}", "b".repeat(70_000));
    assert_eq!(wire::decode_head(endless.as_bytes()), Err(WireError::Malformed));
}

#[test]
fn a_connection_that_the_server_closes_is_not_kept() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n";
    let head = wire::decode_head(text.as_bytes()).expect("well-formed").expect("complete");
    assert!(!head.keeps_open);
}

/// Decodes all chunks; `None` if the body is not complete.
fn dechunk(buf: &[u8]) -> Result<Option<(Vec<u8>, usize)>, WireError> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        match wire::decode_chunk(buf, at)? {
            Some(Chunk::Data { start, end, next }) => {
                body.extend_from_slice(&buf[start..end]);
                at = next;
            }
            Some(Chunk::Last { next }) => return Ok(Some((body, next))),
            None => return Ok(None),
        }
    }
}

#[test]
fn a_chunked_body_is_whole_only_with_its_last_chunk() {
    let text = b"3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: 1\r\n\r\n";
    for len in 0..text.len() {
        assert_eq!(dechunk(&text[..len]), Ok(None), "{len} bytes");
    }
    assert_eq!(dechunk(text), Ok(Some((b"abc0123456789".to_vec(), text.len()))));
    for text in
        ["3\r\nabcd\r\n0\r\n\r\n", "x\r\n", "ffffffffffffffff\r\nabc", "11111111111111111\r\n"]
    {
        assert_eq!(dechunk(text.as_bytes()), Err(WireError::Malformed), "{text:?}");
    }
}
