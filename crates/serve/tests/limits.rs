//! Checks the listener's limits and its graceful stop over real sockets.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::{net, task};
use gaplock_serve::account::{self, Reason};
use gaplock_serve::budget::{self, Amount, Bytes, Class};
use gaplock_serve::{bind, json_response, BodyError, FullRequest, Limits, Listener, Service};

fn limits() -> Limits {
    Limits {
        max_connections: 2,
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        max_body_bytes: 100,
        ..Limits::default()
    }
}

/// Starts a listener that answers each request with its body, `delay` later.
async fn echo(delay: Duration) -> Listener {
    let handler = move |request: FullRequest| async move {
        task::sleep(delay).await;
        handle(request).await
    };
    bind("127.0.0.1:0", limits(), handler).await.unwrap()
}

async fn handle(request: FullRequest) -> http_types::Response {
    match request.body {
        Ok(body) => json_response(200, body),
        Err(BodyError::TooLarge) => json_response(413, Vec::new()),
        Err(BodyError::Truncated) => json_response(400, Vec::new()),
        Err(BodyError::NoMemory) => json_response(503, Vec::new()),
    }
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
fn connections_above_the_limit_are_told_when_to_return() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        let _first = net::TcpStream::connect(l.addr()).await.unwrap();
        let _second = net::TcpStream::connect(l.addr()).await.unwrap();
        task::sleep(Duration::from_millis(100)).await;
        let began = Instant::now();
        let got = exchange(&l, &post("hello", 5)).await;
        assert!(got.contains(" 503 ") && got.contains("retry-after: 1"), "{got}");
        assert!(!got.contains("hello") && began.elapsed() < Duration::from_millis(900));
    });
}

#[test]
fn a_new_connection_takes_the_place_of_an_idle_one() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        let mut first = net::TcpStream::connect(l.addr()).await.unwrap();
        task::sleep(Duration::from_millis(20)).await;
        let _second = net::TcpStream::connect(l.addr()).await.unwrap();
        task::sleep(budget::MIN_AGE).await;
        assert!(exchange(&l, &post("hello", 5)).await.contains("hello"));
        assert_eq!(first.read(&mut [0]).await.unwrap(), 0, "the connection that was idle longest");
    });
}

#[test]
fn a_request_that_is_handled_keeps_its_place() {
    task::block_on(async {
        let l = echo(budget::MIN_AGE * 2).await;
        let mut busy = Vec::new();
        for _ in 0..2 {
            let mut stream = net::TcpStream::connect(l.addr()).await.unwrap();
            stream.write_all(post("hello", 5).as_bytes()).await.unwrap();
            busy.push(stream);
        }
        task::sleep(budget::MIN_AGE * 3 / 2).await;
        assert!(exchange(&l, &post("third", 5)).await.contains(" 503 "));
        for mut stream in busy {
            let mut got = String::new();
            stream.read_to_string(&mut got).await.unwrap();
            assert!(got.contains("hello"), "{got}");
        }
    });
}

#[test]
fn a_refused_body_is_answered_before_it_has_arrived() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        let text = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4000000000\r\n\r\n";
        let got = exchange(&l, text).await;
        assert!(got.contains(" 413 ") && got.contains("connection: close"), "{got}");
        let large = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nffff\r\n";
        assert!(exchange(&l, large).await.contains(" 413 "));
        assert_eq!(l.in_flight(), 0);
    });
}

#[test]
fn heads_that_are_refused_are_told_why() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        let head = |more: &str| format!("GET / HTTP/1.1\r\nhost: x\r\n{more}\r\n\r\n");
        let long = head(&format!("x-filler: {}", "x".repeat(Limits::default().max_head_bytes)));
        assert!(exchange(&l, &long).await.contains(" 431 "));
        for more in ["content-length: 1\r\ntransfer-encoding: chunked", "x-name: \u{e9}"] {
            assert!(exchange(&l, &head(more)).await.contains(" 400 "), "{more}");
        }
        assert!(exchange(&l, &head("connection: close")).await.contains(" 200 "));
    });
}

#[test]
fn a_client_that_expects_it_is_told_to_continue() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        let mut stream = net::TcpStream::connect(l.addr()).await.unwrap();
        let head = "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 5\r\n\
                    expect: 100-continue\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut got = [0; "HTTP/1.1 100 Continue\r\n\r\n".len()];
        stream.read_exact(&mut got).await.unwrap();
        assert!(got.starts_with(b"HTTP/1.1 100"));
        stream.write_all(b"hello").await.unwrap();
        let mut got = String::new();
        stream.read_to_string(&mut got).await.unwrap();
        assert!(got.contains(" 200 ") && got.ends_with("hello"), "{got}");
    });
}

#[test]
fn requests_on_one_connection_are_answered_in_turn() {
    task::block_on(async {
        let l = echo(Duration::ZERO).await;
        let kept =
            |body: &str| format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n{body}");
        let text = format!("{}\r\n{}{}", kept("first"), kept("other"), post("third", 5));
        let got = exchange(&l, &text).await;
        let bodies: Vec<_> =
            got.split("\r\n\r\n").skip(1).map(|part| part[..5].to_string()).collect();
        assert_eq!(bodies, ["first", "other", "third"], "{got}");
    });
}

#[test]
fn a_request_on_an_idle_connection_meets_the_limits_of_its_own_time() {
    task::block_on(async {
        let max = Arc::new(AtomicUsize::new(5));
        let in_force = Arc::clone(&max);
        let service = Service {
            class: Class::Callers,
            account: account::open(budget::unshared(4)),
            limits: Arc::new(move || Limits {
                max_body_bytes: in_force.load(Ordering::SeqCst),
                ..limits()
            }),
            refuse: Arc::new(gaplock_serve::refusal_response),
        };
        let l = gaplock_serve::bind_service("127.0.0.1:0", service, handle).await.unwrap();
        let mut stream = net::TcpStream::connect(l.addr()).await.unwrap();
        let request = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello";
        for (limit, status) in [(5, " 200 "), (4, " 413 ")] {
            max.store(limit, Ordering::SeqCst);
            stream.write_all(request).await.unwrap();
            let mut got = [0; 1_024];
            let len = stream.read(&mut got).await.unwrap();
            let got = String::from_utf8_lossy(&got[..len]);
            assert!(got.contains(status), "{got}");
            task::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// A class without memory refuses bodies, and serves again once the memory is free.
#[test]
fn requests_above_the_memory_of_the_budget_are_refused() {
    task::block_on(async {
        let class = Class::Callers;
        let total = Amount { memory: Bytes(class.connection_bytes().0 * 8), connections: 64 };
        let account = account::open(budget::divide(total));
        let service = Service {
            class,
            account: Arc::clone(&account),
            limits: Arc::new(|| Limits { handling_factor: 16, ..limits() }),
            refuse: Arc::new(gaplock_serve::refusal_response),
        };
        let l = gaplock_serve::bind_service("127.0.0.1:0", service, handle).await.unwrap();
        let body = "x".repeat(100);
        assert!(exchange(&l, &post(&body, 100)).await.contains(" 200 "));
        let mut holders = Vec::new();
        while account.used(class).connections < 5 {
            holders.push(net::TcpStream::connect(l.addr()).await.unwrap());
            task::sleep(Duration::from_millis(20)).await;
        }
        assert!(exchange(&l, "GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.contains(" 503 "));
        drop(holders);
        while account.used(class) != Amount::default() {
            task::sleep(Duration::from_millis(20)).await;
        }
        assert!(exchange(&l, &post(&body, 100)).await.contains(" 200 "));
        assert!(account.counts().iter().any(|&((_, r), n)| r == Reason::NoConnection && n == 1));
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
