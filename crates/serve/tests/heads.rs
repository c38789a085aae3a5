//! Decoding of heads and chunks: what is accepted, what is refused, and any other input.

use gaplock_serve::chunks::{ChunkError, Decoder, Progress};
use gaplock_serve::head::{self, Framing, HeadError, Scan, Scanner};
use proptest::prelude::*;

const MAX: usize = 1_024;

/// Scans `text` as it arrives in pieces of `step` bytes. Returns the head.
fn scan(text: &[u8], step: usize) -> Result<Option<Vec<u8>>, HeadError> {
    let (mut scanner, mut buf) = (Scanner::default(), Vec::new());
    for piece in text.chunks(step) {
        buf.extend_from_slice(piece);
        if let Scan::Complete(len) = scanner.scan(&mut buf, MAX)? {
            return Ok(Some(buf[..len].to_vec()));
        }
    }
    Ok(None)
}

#[test]
fn a_head_ends_with_an_empty_line_however_it_arrives() {
    let head = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    for prefix in ["", "\r\n", "\r\n\r\n"] {
        for step in [1, 2, 3, 7, 100] {
            let text = [prefix.as_bytes(), head, b"rest"].concat();
            assert_eq!(scan(&text, step).unwrap().as_deref(), Some(&head[..]), "{prefix:?} {step}");
        }
    }
    assert_eq!(scan(&head[..head.len() - 1], 4), Ok(None));
}

#[test]
fn heads_without_end_are_refused_at_the_limit() {
    for text in ["x".repeat(2 * MAX), "x: y\r\n".repeat(MAX)] {
        for step in [1, 100, 4 * MAX] {
            assert_eq!(scan(text.as_bytes(), step), Err(HeadError::TooLarge));
        }
    }
    for text in ["\r\n".repeat(MAX), "\n".repeat(MAX)] {
        for step in [1, 2, 100] {
            assert_eq!(scan(text.as_bytes(), step), Err(HeadError::Malformed));
        }
    }
    let longest = format!("GET / HTTP/1.1\r\nHost: {}\r\n\r\n", "x".repeat(MAX - 26));
    assert_eq!(longest.len(), MAX);
    assert!(scan(longest.as_bytes(), 100).unwrap().is_some());
}

fn parse(headers: &str) -> Result<head::Head, HeadError> {
    head::parse(format!("POST /a/b?c HTTP/1.1\r\nHost: x.example\r\n{headers}\r\n").as_bytes())
}

#[test]
fn framing_follows_the_headers() {
    let framing = |headers| parse(headers).map(|head| head.framing).ok();
    assert_eq!(framing(""), Some(Framing::Length(0)));
    assert_eq!(framing("Content-Length: 17\r\n"), Some(Framing::Length(17)));
    assert_eq!(framing("transfer-encoding: Chunked\r\n"), Some(Framing::Chunked));
    let head = parse("Connection: keep-alive, Close\r\nExpect: 100-continue\r\n").unwrap();
    assert!(head.closes && head.expects_continue);
    assert_eq!(head.req.url().path(), "/a/b");
    assert_eq!(head.headers, 3);
}

#[test]
fn ambiguous_heads_are_refused() {
    let refused = [
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 1\r\nContent-Length: 1\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 1, 1\r\n",
        "Content-Length: +1\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 0x1\r\n",
        "Content-Length: \r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Host: other.example\r\n",
        "X-Folded: a\r\n b\r\n",
        "X-Name: \u{e9}\r\n",
        "X-Line: a\nX-Other: b\r\n",
        "X Y: a\r\n",
    ];
    for headers in refused {
        // Bare line feeds are refused by the scanner.
        let text = format!("POST / HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
        let result = scan(text.as_bytes(), 100)
            .and_then(|head| head.map_or(Ok(()), |head| head::parse(&head).map(|_| ())));
        assert_eq!(result, Err(HeadError::Malformed), "{headers:?}");
    }
    for line in ["GET / HTTP/1.0", "GET / HTTP/2.0", "GET /", "FETCH / HTTP/1.1", "GET x HTTP/1.1"]
    {
        let text = format!("{line}\r\nHost: x\r\n\r\n");
        assert!(head::parse(text.as_bytes()).is_err(), "{line}");
    }
    assert!(head::parse(b"GET / HTTP/1.1\r\n\r\n").is_err(), "no host");
}

/// A body and the bytes behind it.
type Decoded = (Vec<u8>, Vec<u8>);

/// Decodes `text` as it arrives in pieces of `step` bytes. Returns the body and what is left.
fn decode(text: &[u8], step: usize, max: usize) -> Result<Option<Decoded>, ChunkError> {
    let (mut decoder, mut body, mut buf) = (Decoder::new(max), Vec::new(), Vec::new());
    let mut pieces = text.chunks(step);
    while let Some(piece) = pieces.next() {
        buf.extend_from_slice(piece);
        let (used, progress) = decoder.decode(&buf, &mut body)?;
        buf.drain(..used);
        if progress == Progress::Complete {
            buf.extend(pieces.flatten());
            return Ok(Some((body, buf)));
        }
    }
    Ok(None)
}

#[test]
fn chunks_are_joined_however_they_arrive() {
    let text = b"5\r\nhello\r\nA;name=value\r\n, 6789 bye\r\n0\r\nX-Trailer: a\r\n\r\nGET";
    for step in [1, 2, 3, 5, 100] {
        let (body, rest) = decode(text, step, 15).unwrap().unwrap();
        assert_eq!((body.as_slice(), rest.as_slice()), (&b"hello, 6789 bye"[..], &b"GET"[..]));
    }
    assert_eq!(decode(text, 3, 14), Err(ChunkError::TooLarge));
    assert_eq!(decode(b"0\r\n\r\n", 1, 0), Ok(Some((Vec::new(), Vec::new()))));
}

#[test]
fn malformed_chunks_are_refused() {
    for text in ["\r\n", "x\r\n", "5\nhello", "5\r\nhelloworld", "5\r\nhello\n", "-1\r\n", ";a\r\n"]
    {
        assert_eq!(decode(text.as_bytes(), 1, 100), Err(ChunkError::Malformed), "{text:?}");
    }
    assert_eq!(decode(b"ffffffffffffffff\r\n", 1, 100), Err(ChunkError::TooLarge));
    assert_eq!(decode(b"00000000000000001\r\n", 1, 100), Err(ChunkError::Malformed));
    let extension = format!("1;{}", "x".repeat(20_000));
    let trailers = format!("0\r\n{}", "x: y\r\n".repeat(10_000));
    for text in [extension, trailers] {
        assert_eq!(decode(text.as_bytes(), 1_000, 100), Err(ChunkError::Malformed));
    }
}

/// Pieces of heads and chunks, so that random input gets beyond the first bytes.
fn fragment() -> impl Strategy<Value = Vec<u8>> {
    let known: &[&str] = &[
        "GET / HTTP/1.1\r\n",
        "POST /a HTTP/1.1\r\n",
        "Host: x\r\n",
        "\r\n",
        "\n",
        "\r",
        " ",
        ":",
        ";",
        "Content-Length: 5\r\n",
        "Content-Length: ",
        "Transfer-Encoding: chunked\r\n",
        "5\r\nhello\r\n",
        "0\r\n",
        "0\r\n\r\n",
        "ffffffff\r\n",
        "X: y\r\n",
        "a=b",
        "http://x/",
        "\u{e9}",
    ];
    prop_oneof![
        4 => prop::sample::select(known).prop_map(|text| text.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..20),
    ]
}

fn input() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(fragment(), 0..40).prop_map(|parts| parts.concat())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(fuzz_cases()))]

    /// The result does not depend on how the input arrives, no input makes the decoder panic, and
    /// what it keeps stays within the limit.
    #[test]
    fn any_head_is_decoded_alike_however_it_arrives(text in input(), step in 1_usize..50) {
        let whole = scan(&text, usize::MAX);
        let pieces = scan(&text, step);
        if let Ok(Some(head)) = &whole {
            prop_assert!(head.len() <= MAX);
            let _any = head::parse(head);
        }
        // Bytes behind a head are judged with it only where they arrive with it.
        if whole.is_ok() {
            prop_assert_eq!(whole, pieces);
        }
    }

    /// As above, for bodies.
    #[test]
    fn any_body_is_decoded_alike_however_it_arrives(text in input(), step in 1_usize..50) {
        let whole = decode(&text, usize::MAX, 64);
        if let Ok(Some((body, _))) = &whole {
            prop_assert!(body.len() <= 64);
        }
        prop_assert_eq!(whole, decode(&text, step, 64));
    }

    /// A body that was sent in chunks of any size is the body that is received.
    #[test]
    fn bodies_survive_being_cut_into_chunks(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..20),
        step in 1_usize..50,
    ) {
        let mut text = Vec::new();
        for chunk in &chunks {
            text.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            text.extend(chunk);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\n\r\nnext");
        let body = chunks.concat();
        prop_assert_eq!(decode(&text, step, body.len()), Ok(Some((body, b"next".to_vec()))));
    }
}

/// How many inputs of each kind are tried; `FUZZ_CASES` sets it for long runs.
fn fuzz_cases() -> u32 {
    std::env::var("FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(2_000)
}
