//! A TCP relay between two processes that can simulate a network partition.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::{io as async_io, net, task};
use futures::future::Either;
use futures::StreamExt;

/// How often a connection checks whether the relay is partitioned.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running relay.
#[derive(Debug, Clone)]
pub struct Relay {
    addr: SocketAddr,
    partitioned: Arc<AtomicBool>,
}

/// Starts a relay to `target`.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn spawn(target: String) -> io::Result<Relay> {
    let listener = net::TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let partitioned = Arc::new(AtomicBool::new(false));
    let is_partitioned = Arc::clone(&partitioned);
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            if !is_partitioned.load(Ordering::SeqCst) {
                task::spawn(forward(stream, target.clone(), Arc::clone(&is_partitioned)));
            }
        }
    });
    Ok(Relay { addr, partitioned })
}

impl Relay {
    /// Returns the relay's address.
    pub fn addr(&self) -> String {
        self.addr.to_string()
    }

    /// Closes every connection and refuses new ones, or forwards connections again.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::SeqCst);
    }
}

async fn forward(inbound: net::TcpStream, target: String, partitioned: Arc<AtomicBool>) {
    let Ok(outbound) = net::TcpStream::connect(&target).await else { return };
    if inbound.set_nodelay(true).is_err() || outbound.set_nodelay(true).is_err() {
        return;
    }
    let forth = async_io::copy(inbound.clone(), outbound.clone());
    let back = async_io::copy(outbound.clone(), inbound.clone());
    let both = futures::future::select(Box::pin(forth), Box::pin(back));
    let watch = async {
        while !partitioned.load(Ordering::SeqCst) {
            task::sleep(PARTITION_POLL_INTERVAL).await;
        }
    };
    if let Either::Right(_) = futures::future::select(both, Box::pin(watch)).await {
        // Closes both directions; a connection that has already ended gives an error here.
        let _inbound = inbound.shutdown(std::net::Shutdown::Both);
        let _outbound = outbound.shutdown(std::net::Shutdown::Both);
    }
}
