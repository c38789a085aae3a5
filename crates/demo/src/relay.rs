//! A relay between two processes that can be cut and mended.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::{io as async_io, net, task};
use futures::future::Either;
use futures::StreamExt;

const CUT_POLL: Duration = Duration::from_millis(10);

/// A running relay.
#[derive(Debug, Clone)]
pub struct Relay {
    addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

/// Starts a relay to `target`.
///
/// # Errors
/// Returns the error of binding a port.
pub async fn spawn(target: String) -> io::Result<Relay> {
    let listener = net::TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let cut = Arc::new(AtomicBool::new(false));
    let is_cut = Arc::clone(&cut);
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            if !is_cut.load(Ordering::SeqCst) {
                task::spawn(carry(stream, target.clone(), Arc::clone(&is_cut)));
            }
        }
    });
    Ok(Relay { addr, cut })
}

impl Relay {
    /// Returns the relay's address.
    pub fn addr(&self) -> String {
        self.addr.to_string()
    }

    /// Cuts every connection and refuses new ones, or mends the relay.
    pub fn set_partitioned(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

async fn carry(near: net::TcpStream, target: String, cut: Arc<AtomicBool>) {
    let Ok(far) = net::TcpStream::connect(&target).await else { return };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let there = async_io::copy(near.clone(), far.clone());
    let back = async_io::copy(far.clone(), near.clone());
    let both = futures::future::select(Box::pin(there), Box::pin(back));
    let watch = async {
        while !cut.load(Ordering::SeqCst) {
            task::sleep(CUT_POLL).await;
        }
    };
    if let Either::Right(_) = futures::future::select(both, Box::pin(watch)).await {
        // Ending both directions is the cut; they may have ended already.
        let _near = near.shutdown(std::net::Shutdown::Both);
        let _far = far.shutdown(std::net::Shutdown::Both);
    }
}
