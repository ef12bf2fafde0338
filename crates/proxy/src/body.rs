//! HTTP message bodies that are either buffered in memory or streamed.

use crate::headers::BODY_MAX;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The result of polling a body for its next frame.
pub type FramePoll = Poll<Option<Result<Frame<Bytes>, io::Error>>>;

/// Converts the length of a buffer to the `u64` in which HTTP body lengths are counted.
pub(crate) fn byte_count(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

/// Returns the length of a body in bytes if it is known and at most [`BODY_MAX`].
pub(crate) fn short_length(body: &impl Body) -> Option<usize> {
    let length = usize::try_from(body.size_hint().exact()?).ok()?;
    Some(length).filter(|length| *length <= BODY_MAX)
}

/// A body that is buffered completely; clones share the buffer.
pub type BufferedBody = Full<Bytes>;

/// A message body: buffered, or a stream of type `S`.
#[derive(Clone)]
pub enum MessageBody<S> {
    /// The body is buffered completely, so a retry can send the body again.
    Buffered(BufferedBody),
    /// The body is forwarded while its bytes arrive.
    Streamed(S),
}

impl<S> MessageBody<S> {
    /// Creates a buffered body.
    pub fn buffered(bytes: Bytes) -> Self {
        MessageBody::Buffered(BufferedBody::new(bytes))
    }
}

impl<S> Default for MessageBody<S> {
    fn default() -> Self {
        MessageBody::Buffered(BufferedBody::default())
    }
}

impl<S: Body<Data = Bytes, Error = io::Error> + Unpin> Body for MessageBody<S> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        match &mut *self {
            MessageBody::Buffered(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            MessageBody::Streamed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            MessageBody::Buffered(body) => body.is_end_stream(),
            MessageBody::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            MessageBody::Buffered(body) => body.size_hint(),
            MessageBody::Streamed(body) => body.size_hint(),
        }
    }
}
