//! Checks which answers the store's client accepts as a successful write.
//!
//! A success without the key's new index must not be taken for a write at index 0, as it would be
//! if the missing part of the answer were filled in: every later write of that key would then be
//! refused for ever.

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::{net, task};
use futures::StreamExt;
use gaplock_coord::action::{StoreAnswer, StoreCall};
use gaplock_remote::store::Store;
use gaplock_types::ids;

/// Answers one request with status 200 and `body`.
async fn answer_to_write(body: &str) -> StoreAnswer {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let server = task::spawn(async move {
        let mut stream = listener.incoming().next().await.unwrap().unwrap();
        let mut buf = [0_u8; 4_096];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let store = Store::open(&addr, Duration::from_secs(5));
    let call =
        StoreCall::Cas { key: "k".to_string(), value: b"v".to_vec(), index: ids::StoreIndex(0) };
    let answer = store.call(&call).await;
    server.await;
    answer
}

#[test]
fn a_success_without_its_index_is_unclear() {
    task::block_on(async {
        let complete = r#"{"Results":[{"KV":{"Key":"k","ModifyIndex":7}}]}"#;
        assert_eq!(answer_to_write(complete).await, StoreAnswer::Written(ids::StoreIndex(7)));
        assert_eq!(answer_to_write(r#"{"Results":[]}"#).await, StoreAnswer::Unclear);
        assert_eq!(answer_to_write("cut").await, StoreAnswer::Unclear);
    });
}
