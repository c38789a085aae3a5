//! A call to another host is sent once, whatever becomes of its connection.
//!
//! `peers.rs` tells a caller of such a call that it may have been carried out once its connection
//! is lost, and a refusal must be true: a library that sent the call again by itself on a new
//! connection would carry out what was taken for settled. The library is held to it here.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_platform_standin::relay::{self, Mode};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::server::Server;
use jsonrpsee::ws_client::WsClientBuilder;
use jsonrpsee::RpcModule;

const METHOD: &str = "store";

/// How long the called host takes, so that the connection can be cut meanwhile.
const TAKES: Duration = Duration::from_millis(200);

/// Long enough for a call that was sent again to arrive.
const ARRIVES: Duration = Duration::from_millis(600);

#[test]
fn a_call_whose_connection_is_lost_fails_and_is_not_sent_again() {
    task::block_on(async {
        let server = Server::builder().build("127.0.0.1:0").await.expect("a port is free");
        let addr = server.local_addr().expect("it is bound");
        let mut module = RpcModule::new(());
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&calls);
        let registered = module.register_async_method(METHOD, move |_, _, _| {
            let counted = Arc::clone(&counted);
            async move {
                counted.fetch_add(1, Ordering::SeqCst);
                task::sleep(TAKES).await;
                true
            }
        });
        registered.expect("the name is new");
        let handle = server.start(module);
        let relay = relay::bind(addr).await.expect("a port is free");
        let client = WsClientBuilder::default().build(format!("ws://{}", relay.addr())).await;
        let client = client.expect("the server answers");
        let first: Result<bool, _> = client.request(METHOD, rpc_params![1]).await;
        assert!(first.is_ok_and(|done| done), "the relay passes calls on");
        let lost = client.request::<bool, _>(METHOD, rpc_params![2]);
        let cut = async {
            task::sleep(TAKES / 2).await;
            relay.set(Mode::Reset);
        };
        let (lost, ()) = futures::join!(lost, cut);
        assert!(lost.is_err(), "an answer came over a connection that was cut");
        relay.set(Mode::Pass);
        task::sleep(ARRIVES).await;
        assert!(!client.is_connected(), "the client connected again by itself");
        assert_eq!(calls.load(Ordering::SeqCst), 2, "the call was sent again");
        handle.stop().expect("it runs");
    });
}
