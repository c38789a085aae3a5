//! A connection of another process that is charged to the budget before its bytes are read.
//!
//! `jsonrpsee` reads messages whole and bounds each of them, but not all of them together. This
//! stream lies below it: it follows the messages ([`messages::Meter`]) and fails where one has no
//! place in the budget.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::task::AtomicWaker;
use gaplock_serve::account::{Account, Held, Reason};
use gaplock_serve::budget::{Bytes, Class, Phase};
use gaplock_serve::messages::{MessageError, Meter};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether a connection was evicted, and the tasks that wait for it.
#[derive(Debug, Default)]
struct Eviction {
    evicted: AtomicBool,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl Eviction {
    fn evict(&self) {
        self.evicted.store(true, Ordering::SeqCst);
        self.reader.wake();
        self.writer.wake();
    }

    /// Registers a task to be woken; fails if the connection was evicted.
    fn check(&self, waker: &AtomicWaker, cx: &Context<'_>) -> io::Result<()> {
        waker.register(cx.waker());
        match self.evicted.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }
}

/// A connection with the account of its messages.
pub struct GuardedStream<S> {
    inner: S,
    held: Held,
    meter: Meter,
    phase: Phase,
    eviction: Arc<Eviction>,
}

/// Charges a new connection to the account; `None` if there is no place for it.
pub fn open<S>(inner: S, account: &Arc<Account>, max_message: Bytes) -> Option<GuardedStream<S>> {
    let eviction = Arc::new(Eviction::default());
    let evicted = Arc::clone(&eviction);
    let held = account.connect(Class::Hosts, move || evicted.evict())?;
    let phase = Phase::Reading;
    held.enter(phase);
    Some(GuardedStream { inner, held, meter: Meter::new(max_message), phase, eviction })
}

impl<S> GuardedStream<S> {
    fn receive(&mut self, input: &[u8]) -> io::Result<()> {
        let charge = self.meter.receive(input).map_err(|e| self.refuse(e))?;
        if charge > Bytes(0) && !self.held.charge(charge) {
            self.held.count(Reason::NoMemory);
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.update_phase()
    }

    fn sent(&mut self, output: &[u8]) -> io::Result<()> {
        let released = self.meter.send(output).map_err(|e| self.refuse(e))?;
        self.held.release(released);
        self.update_phase()
    }

    fn refuse(&self, e: MessageError) -> io::Error {
        self.held.count(Reason::MessageRefused);
        io::Error::new(io::ErrorKind::InvalidData, e)
    }

    fn update_phase(&mut self) -> io::Result<()> {
        let phase = self.meter.phase();
        if phase != self.phase && !self.held.enter(phase) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.phase = phase;
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.eviction.check(&this.eviction.reader, cx)?;
        let known = buf.filled().len();
        futures::ready!(Pin::new(&mut this.inner).poll_read(cx, buf))?;
        Poll::Ready(this.receive(&buf.filled()[known..]))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.eviction.check(&this.eviction.writer, cx)?;
        let len = futures::ready!(Pin::new(&mut this.inner).poll_write(cx, buf))?;
        this.sent(&buf[..len])?;
        Poll::Ready(Ok(len))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
