//! A call to another host is sent only once, even if its connection is lost.
//!
//! When its connection is lost, `peers.rs` reports to the caller that the call may have been
//! carried out, and a refusal must be true. If the library sent the call again on a new connection,
//! a call could be carried out after its outcome was recorded. This test checks that the library
//! does not do so.

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

/// How long the called host takes to answer, so that the connection can be cut in the meantime.
const CALL_DURATION: Duration = Duration::from_millis(200);

/// Long enough for a repeated call to arrive.
const REPEAT_ARRIVAL: Duration = Duration::from_millis(600);

#[test]
fn a_call_whose_connection_is_lost_fails_and_is_not_sent_again() {
    task::block_on(async {
        let server = Server::builder().build("127.0.0.1:0").await.expect("a local port is free");
        let addr = server.local_addr().expect("the server is bound");
        let mut module = RpcModule::new(());
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&calls);
        let registered = module.register_async_method(METHOD, move |_, _, _| {
            let counted = Arc::clone(&counted);
            async move {
                counted.fetch_add(1, Ordering::SeqCst);
                task::sleep(CALL_DURATION).await;
                true
            }
        });
        registered.expect("the method is registered once");
        let handle = server.start(module);
        let relay = relay::bind(addr).await.expect("a local port is free");
        let client = WsClientBuilder::default().build(format!("ws://{}", relay.addr())).await;
        let client = client.expect("the server answers");
        let first: Result<bool, _> = client.request(METHOD, rpc_params![1]).await;
        assert!(first.is_ok_and(|done| done), "the relay passes calls on");
        let lost_call = client.request::<bool, _>(METHOD, rpc_params![2]);
        let cut = async {
            task::sleep(CALL_DURATION / 2).await;
            relay.set(Mode::Reset);
        };
        let (lost_call, ()) = futures::join!(lost_call, cut);
        assert!(lost_call.is_err(), "an answer came over a connection that was cut");
        relay.set(Mode::Pass);
        task::sleep(REPEAT_ARRIVAL).await;
        assert!(!client.is_connected(), "the client connected again by itself");
        assert_eq!(calls.load(Ordering::SeqCst), 2, "the call was sent again");
        handle.stop().expect("the server runs");
    });
}
