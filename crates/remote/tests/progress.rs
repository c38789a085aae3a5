//! A large answer may take long on a slow link, and a silent server is given up soon.

use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::{net, task};
use futures::StreamExt;
use gaplock_remote::http::{Call, Client, HttpError};
use http_types::Method;

/// The time in which no byte may pass, and the limit of a whole call.
const SILENCE: Duration = Duration::from_millis(150);
const LIMIT: Duration = Duration::from_secs(5);

const PART: &[u8] = &[b'x'; 100];
const PARTS: usize = 10;

/// Answers one request on each connection with ten parts of a body, of which `sent` are sent, 60 ms
/// apart.
async fn server(sent: usize) -> Client {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("a local port is free");
    let addr = listener.local_addr().expect("it is bound").to_string();
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(mut stream)) = incoming.next().await {
            let mut buf = [0_u8; 4_096];
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", PART.len() * PARTS);
            if stream.read(&mut buf).await.unwrap_or(0) == 0 {
                continue;
            }
            // The client may close the connection at any time.
            let _ignored = stream.write_all(head.as_bytes()).await;
            for _ in 0..sent {
                task::sleep(Duration::from_millis(60)).await;
                let _ignored = stream.write_all(PART).await;
            }
            task::sleep(Duration::from_secs(10)).await;
        }
    });
    Client::open(addr, 1)
}

fn call() -> Call<'static> {
    Call { method: Method::Get, path: "/", headers: &[], body: Vec::new(), timeout: SILENCE }
}

/// Guards against a fixed time limit on answers that grow.
#[test]
fn an_answer_may_take_longer_than_the_timeout_while_bytes_arrive() {
    task::block_on(async {
        let client = server(PARTS).await;
        let answer = client.call_while_progressing(call(), LIMIT).await;
        assert_eq!(answer.map(|a| a.body.len()), Ok(PART.len() * PARTS));
    });
}

#[test]
fn a_server_that_falls_silent_is_given_up_before_the_limit() {
    task::block_on(async {
        let client = server(2).await;
        let began = Instant::now();
        let answer = client.call_while_progressing(call(), LIMIT).await;
        assert_eq!(answer.map(|a| a.status), Err(HttpError::Unclear));
        assert!(began.elapsed() < LIMIT / 2, "given up after {:?}", began.elapsed());
    });
}

#[test]
fn a_call_is_given_up_at_its_limit_while_bytes_arrive() {
    task::block_on(async {
        let client = server(PARTS).await;
        let limit = Duration::from_millis(300);
        let began = Instant::now();
        let answer = client.call_while_progressing(call(), limit).await;
        assert_eq!(answer.map(|a| a.status), Err(HttpError::Unclear));
        assert!(began.elapsed() < 2 * limit, "given up after {:?}", began.elapsed());
    });
}

#[test]
fn an_answer_that_is_larger_than_wanted_is_not_read() {
    task::block_on(async {
        let client = server(0).await;
        let most = PART.len() * PARTS;
        let answer = client.call_for_small_answer(call(), LIMIT, most - 1).await;
        assert!(matches!(answer, Ok(None)), "{answer:?}");
        let answer = client.call_for_small_answer(call(), LIMIT, most).await;
        assert_eq!(answer.map(|a| a.is_some()), Err(HttpError::Unclear));
    });
}
