//! TCP streams that report their traffic to an observer. They can be inspected and closed
//! gracefully while an HTTP library reads and writes them.

use crate::memory::{MemoryBudget, MemoryUse, ReadGate};
use bytes::{Buf, Bytes};
use socket2::SockRef;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Observes the traffic of a stream.
pub trait TrafficObserver {
    /// Called with the bytes that were read; empty at the end of the stream.
    fn read(&self, _bytes: &[u8]) {}
    /// Called when bytes are read that an earlier stream of the connection had read ahead, and
    /// reported.
    fn read_again(&self) {}
    /// Called with the bytes of a write that the kernel accepted.
    fn wrote(&self, _bytes: &[u8]) {}
    /// Returns what the next bytes that are read need memory for, if reads wait for memory.
    fn memory_use(&self) -> MemoryUse {
        MemoryUse::ResponseRead
    }
    /// Called when unread bytes have to wait for memory.
    fn paused(&self) {}
    /// Called when a flush has completed: all output so far was passed to the kernel.
    fn flushed(&self) {}
}

/// A stream that the HTTP library uses while other code inspects it. It must not be borrowed across
/// an await.
pub type SharedStream = Rc<RefCell<TcpStream>>;

/// The stream that is given to the HTTP library; reports its traffic to an observer.
pub struct ObservedStream<O> {
    stream: SharedStream,
    observer: Rc<O>,
    /// Admits reads when there is memory; `None` if reads need not wait.
    gate: Option<ReadGate>,
    /// Bytes that reads return before the data of the stream. The observer knows them already.
    prefix: Bytes,
}

impl<O> ObservedStream<O> {
    /// Wraps a stream. Reads return `prefix`, which an earlier stream of the same connection has read
    /// ahead, before the data of the stream.
    pub fn new(stream: SharedStream, observer: Rc<O>, prefix: Bytes) -> Self {
        ObservedStream { stream, observer, gate: None, prefix }
    }

    /// Makes reads of the stream wait for memory.
    #[must_use]
    pub fn admitted_by(self, memory: &Rc<MemoryBudget>) -> Self {
        ObservedStream { gate: Some(ReadGate::new(memory.clone())), ..self }
    }

    /// Reads from the stream, at most as many bytes as the memory allows.
    fn poll_read_stream(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut stream = self.stream.borrow_mut();
        let Some(max_bytes) = self.gate.as_ref().and_then(ReadGate::max_read_bytes) else {
            // `TcpStream::poll_read` takes a short read as the end of the available data, which
            // saves a further system call.
            return Pin::new(&mut *stream).poll_read(cx, buf);
        };
        let max_bytes = max_bytes.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
        ready!(Pin::new(&mut *stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl<O: TrafficObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.prefix.has_remaining() {
            let count = self.prefix.remaining().min(buf.remaining());
            let bytes = self.prefix.split_to(count);
            buf.put_slice(&bytes);
            self.observer.read_again();
            return Poll::Ready(Ok(()));
        }
        let this = &mut *self;
        if let Some(gate) = &mut this.gate {
            if gate.poll(cx, this.observer.memory_use(), &this.stream).is_pending() {
                this.observer.paused();
                return Poll::Pending;
            }
        }
        let before = buf.filled().len();
        ready!(this.poll_read_stream(cx, buf))?;
        self.observer.read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<O: TrafficObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes))?;
        self.observer.wrote(&bytes[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream.borrow()).shutdown(Shutdown::Write))
    }
}

/// The data that can be read from a connection without waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pending {
    /// Nothing: the connection is open and idle.
    Nothing,
    /// At least one byte has arrived and is not read yet.
    Bytes,
    /// The peer has closed its write side, or the connection has failed.
    End,
}

/// Returns the data that can be read, by a system call: the reactor may not have reported new data
/// yet.
pub fn pending(stream: &SharedStream) -> Pending {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(&*stream.borrow()).peek(&mut byte) {
        Ok(0) => Pending::End,
        Ok(_) => Pending::Bytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Pending::Nothing,
        Err(_) => Pending::End,
    }
}

/// Returns whether the peer has closed its write side or reset the connection. This is detected
/// also behind unread bytes, where [`pending`] alone would report only the bytes.
pub fn is_closed_by_peer(stream: &SharedStream) -> bool {
    match pending(stream) {
        Pending::End => true,
        Pending::Nothing => false,
        Pending::Bytes => {
            let stream = stream.borrow();
            let ready = pin!(stream.ready(Interest::READABLE));
            let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
            matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
        }
    }
}

/// Returns whether the peer has reset the connection, so that it can no longer receive a response.
pub fn is_reset(stream: &SharedStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(&*stream.borrow()).peek(&mut byte);
    peeked.is_err_and(|error| error.kind() != io::ErrorKind::WouldBlock)
}

/// Makes the close of a stream a reset, so that the peer does not take it for the end of a message.
pub(crate) fn reset_on_close(stream: &SharedStream) {
    // On failure the peer has reset the connection.
    SockRef::from(&*stream.borrow()).set_linger(Some(Duration::ZERO)).ok();
}

/// Maximum time for the peer to close the connection after this side has closed its write side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded while the peer's close is awaited.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Maximum number of bytes that are discarded by one read.
const LINGER_BUFFER_BYTES: usize = 4096;

/// Closes the write side, then reads and discards what still arrives, for a bounded time. A socket
/// that is closed with unread bytes sends a reset, and the reset may discard a response that the
/// peer has not read yet (RFC 9112 9.6).
pub async fn close_gracefully(stream: &SharedStream) {
    if SockRef::from(&*stream.borrow()).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let deadline = Instant::now() + LINGER_TIMEOUT;
    let mut remaining_bytes = MAX_LINGER_BYTES;
    while remaining_bytes > 0 {
        let readable = poll_fn(|cx| stream.borrow().poll_read_ready(cx));
        match timeout_at(deadline, readable).await {
            Ok(Ok(())) => {}
            _ => return,
        }
        // Not kept across a wait: many connections may be closing at once.
        let mut scratch = [0; LINGER_BUFFER_BYTES];
        match stream.borrow().try_read(&mut scratch) {
            Ok(0) => return,
            Ok(count) => remaining_bytes = remaining_bytes.saturating_sub(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
