//! Arrival times of bytes at a socket, by the system's time stamps: a busy server reads them later.

use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Most bytes of one read.
const READ_MAX: usize = 16 << 10;

/// The result of one read of a socket.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedBytes {
    /// Number of bytes; 0 at the end of the connection.
    pub count: usize,
    /// Arrival time of the last byte at the system.
    pub at: Instant,
}

/// Has the system stamp what comes to a socket, or to the connections of a listening one. It
/// begins some microseconds later where no socket had stamps before.
pub fn stamp_received(socket: &impl AsFd) {
    // Without stamps the time of the read has to do.
    let _ = setsockopt(socket, ReceiveTimestampns, &true);
}

/// Waits for bytes and adds them to `buffer`.
///
/// # Errors
/// Those of the socket.
pub async fn receive(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<ReceivedBytes> {
    stream.async_io(Interest::READABLE, || receive_now(stream, buffer)).await
}

fn receive_now(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<ReceivedBytes> {
    let mut bytes = [0; READ_MAX];
    let mut slices = [IoSliceMut::new(&mut bytes)];
    let mut control = nix::cmsg_space!(TimeSpec);
    let descriptor = stream.as_raw_fd();
    let message =
        recvmsg::<()>(descriptor, &mut slices, Some(&mut control), MsgFlags::MSG_DONTWAIT)?;
    let count = message.bytes;
    let stamp = message.cmsgs().ok().and_then(|mut messages| {
        messages.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(stamp) => Some(Duration::from(stamp)),
            _ => None,
        })
    });
    buffer.extend_from_slice(&bytes[..count]);
    let age = stamp.map(age_of).unwrap_or_default();
    Ok(ReceivedBytes { count, at: Instant::now() - age })
}

/// Returns the time that has passed since the wall clock showed a time.
fn age_of(stamp: Duration) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(stamp)
}
