//! Checks the listener's limits and its graceful stop over real sockets.

use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::{net, task};
use gaplock_serve::{bind, json_response, BodyError, FullRequest, Limits, Listener};

fn limits() -> Limits {
    Limits {
        max_connections: 2,
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        max_body_bytes: 100,
    }
}

/// Starts a listener that answers each request with its body, `delay` later.
async fn echo(delay: Duration) -> Listener {
    let handler = move |request: FullRequest| async move {
        task::sleep(delay).await;
        match request.body {
            Ok(body) => json_response(200, body),
            Err(BodyError::TooLarge) => json_response(413, Vec::new()),
            Err(BodyError::Truncated) => json_response(400, Vec::new()),
        }
    };
    bind("127.0.0.1:0", limits(), handler).await.unwrap()
}

/// Sends `text` and returns what is received until the server closes or a second has passed.
async fn exchange(listener: &Listener, text: &str) -> String {
    let mut stream = net::TcpStream::connect(listener.addr()).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let _closed_in_time = async_std::future::timeout(Duration::from_secs(1), reading).await;
    String::from_utf8_lossy(&received).into_owned()
}

fn post(body: &str, declared: usize) -> String {
    format!("POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {declared}\r\n\r\n{body}")
}

#[test]
fn a_complete_body_is_accepted_and_others_are_refused() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        assert!(exchange(&l, &post("hello", 5)).await.contains("hello"));
        assert!(exchange(&l, &post(&"x".repeat(101), 101)).await.contains(" 413 "));
        assert!(exchange(&l, &post("short", 50)).await.contains(" 400 "));
        let chunked = "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                       transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
        assert!(exchange(&l, chunked).await.contains("hello"));
    });
}

#[test]
fn a_header_that_does_not_arrive_in_time_closes_the_connection() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        let began = Instant::now();
        assert_eq!(exchange(&l, "POST / HTTP/1.1\r\nhost:").await, "");
        assert!(began.elapsed() < Duration::from_millis(900), "{:?}", began.elapsed());
    });
}

#[test]
fn connections_above_the_limit_are_closed() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        let _first = net::TcpStream::connect(l.addr()).await.unwrap();
        let _second = net::TcpStream::connect(l.addr()).await.unwrap();
        task::sleep(Duration::from_millis(100)).await;
        assert_eq!(exchange(&l, &post("hello", 5)).await, "");
    });
}

#[test]
fn a_stop_waits_for_the_request_in_flight() {
    task::block_on(async {
        let l = echo(Duration::from_millis(250)).await;
        let addr = l.addr();
        let request = task::spawn(async move {
            let mut stream = net::TcpStream::connect(addr).await.unwrap();
            let text = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello";
            stream.write_all(text.as_bytes()).await.unwrap();
            let mut got = Vec::new();
            stream.read_to_end(&mut got).await.unwrap();
            String::from_utf8_lossy(&got).into_owned()
        });
        task::sleep(Duration::from_millis(80)).await;
        assert_eq!(l.in_flight(), 1);
        assert_eq!(l.stop(Duration::from_secs(2)).await, 0);
        let got = request.await;
        assert!(got.contains("hello") && got.contains("connection: close"), "{got}");
    });
}
