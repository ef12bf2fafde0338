//! A TCP socket whose traffic can be watched, and which can be looked at and
//! closed with care, while an HTTP library owns its other end.

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

/// Learns what passes through a socket.
pub trait TrafficObserver {
    /// These bytes were read; none at the end.
    fn read(&self, _bytes: &[u8]) {}
    /// The kernel took these bytes.
    fn wrote(&self, _bytes: &[u8]) {}
    /// All that was to be written has been.
    fn flushed(&self) {}
}

/// A stream that the library uses while others look at it; never borrowed over a wait.
pub type SharedStream = Rc<RefCell<TcpStream>>;

/// The socket as the HTTP library sees it.
#[derive(Debug)]
pub struct ObservedStream<W> {
    stream: SharedStream,
    watcher: Rc<W>,
    /// Bytes that are to be read before the socket's own.
    prefix: Bytes,
}

impl<W> ObservedStream<W> {
    /// Wraps a stream; `prefix` is read first.
    pub fn new(stream: SharedStream, watcher: Rc<W>, prefix: Bytes) -> Self {
        ObservedStream { stream, watcher, prefix }
    }
}

impl<W: TrafficObserver> AsyncRead for ObservedStream<W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.prefix.has_remaining() {
            let count = self.prefix.remaining().min(buf.remaining());
            let bytes = self.prefix.split_to(count);
            buf.put_slice(&bytes);
            self.watcher.read(&bytes);
            return Poll::Ready(Ok(()));
        }
        // The stream's own way: it knows from a short read that no more is there, and
        // saves asking the kernel again.
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf))?;
        self.watcher.read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<W: TrafficObserver> AsyncWrite for ObservedStream<W> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes))?;
        self.watcher.wrote(&bytes[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.watcher.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream.borrow()).shutdown(Shutdown::Write))
    }
}

/// What waits to be read on a connection that should be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pending {
    /// Nothing: the connection is up and idle.
    Nothing,
    /// Bytes.
    Bytes,
    /// Its end, or an error.
    End,
}

/// Asks the kernel itself, since the reactor may not have heard yet.
pub fn pending(stream: &SharedStream) -> Pending {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(&*stream.borrow()).peek(&mut byte) {
        Ok(0) => Pending::End,
        Ok(_) => Pending::Bytes,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Pending::Nothing,
        Err(_) => Pending::End,
    }
}

/// Whether the other side has ended its sending or reset the connection, also where bytes that
/// it sent before still wait to be read: a look at those alone would not show it.
pub fn has_ended(stream: &SharedStream) -> bool {
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

/// Whether the other side has reset the connection: it can't take an answer any more.
pub fn is_reset(stream: &SharedStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(&*stream.borrow()).peek(&mut byte);
    peeked.is_err_and(|error| error.kind() != io::ErrorKind::WouldBlock)
}

/// How long a peer may take to close after this side has.
const LINGER: Duration = Duration::from_secs(1);
/// Most bytes that are read and dropped meanwhile.
const LINGER_BYTES: usize = 1 << 20;

/// Ends sending, then reads what still comes, for a while. Danger: a socket
/// closed with bytes unread is reset, and the reset may destroy an answer that
/// the peer has not read yet.
pub async fn close_gently(stream: &SharedStream) {
    if SockRef::from(&*stream.borrow()).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let until = Instant::now() + LINGER;
    // Not in the future itself: that lives as long as the connection does.
    let mut scratch = vec![0; 4096];
    let mut left = LINGER_BYTES;
    while left > 0 {
        let readable = poll_fn(|cx| stream.borrow().poll_read_ready(cx));
        match timeout_at(until, readable).await {
            Ok(Ok(())) => {}
            _ => return,
        }
        match stream.borrow().try_read(&mut scratch) {
            Ok(0) => return,
            Ok(count) => left = left.saturating_sub(count),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
