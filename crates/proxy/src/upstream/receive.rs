//! Receives responses of servers, according to the protocol of their cluster.

use super::connection::{outcome_of_error, UpstreamConnection};
use super::pool::Upstream;
use super::response::{
    AttemptResult, PlainProtocol, UpgradedConnection, UpstreamBody, UpstreamProtocol,
    UpstreamResponse,
};
use super::response_stream::{Remainder, ResponseStream};
use crate::body::short_length;
use crate::headers::{text, BODY_MAX};
use crate::platform_protocol::{LOAD_REPORT, NEVER_RAN};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Response, StatusCode};
use mintshelf_balancer::api::Outcome;
use mintshelf_websocket::handshake::HandshakeRequest;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Maximum wait for the remainder of a short response before the response is streamed.
const SHORT_RESPONSE_WAIT: Duration = Duration::from_millis(100);
/// Maximum body length of a health check's response, or of a platform response other than 200, in
/// bytes.
pub(super) const SMALL_BODY_MAX: usize = 4 << 10;

impl Upstream {
    /// Receives a response of the platform's protocol, which is short and must be complete.
    pub(super) async fn receive_platform(
        &self,
        mut connection: UpstreamConnection,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let load_report = text(&head.headers, &LOAD_REPORT).map(str::to_string);
        let never_ran = text(&head.headers, &NEVER_RAN) == Some("1");
        if !has_single_framing(&head.headers) {
            return AttemptResult { outcome: Outcome::Error, load_report, response: None };
        }
        let outcome = match head.status.as_u16() {
            200 => Outcome::Ok,
            503 | 504 if never_ran => Outcome::Full,
            400..=499 => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let max_bytes = if outcome == Outcome::Ok { BODY_MAX } else { SMALL_BODY_MAX };
        match connection.read_body(body, max_bytes).await {
            Ok(body) => {
                self.release(connection);
                let body = UpstreamBody::Complete(body);
                let response =
                    UpstreamResponse { status: head.status, headers: head.headers, body };
                let response = (outcome == Outcome::Ok).then_some(response);
                AttemptResult { outcome, load_report, response }
            }
            Err(body_outcome) if outcome == Outcome::Ok => {
                AttemptResult { outcome: body_outcome, load_report, response: None }
            }
            // The head is enough to tell the outcome of the request.
            Err(_) => AttemptResult { outcome, load_report, response: None },
        }
    }

    /// Receives a 101 response and upgrades its connection to a WebSocket, if the response is valid
    /// for the handshake.
    pub(super) async fn receive_upgrade(
        &self,
        connection: UpstreamConnection,
        response: Response<Incoming>,
        handshake: &HandshakeRequest,
    ) -> AttemptResult {
        let (head, _) = response.into_parts();
        let target = connection.target;
        let body =
            match (handshake.verify_response(&head.headers), connection.into_upgraded().await) {
                (Ok(agreed), Some(upgraded)) => {
                    UpstreamBody::Upgraded(Box::new(UpgradedConnection {
                        stream: upgraded.stream,
                        read_ahead: upgraded.read_ahead,
                        agreed,
                        target,
                        _guards: upgraded.guards,
                        load_guard: None,
                    }))
                }
                _ => UpstreamBody::InvalidUpgrade,
            };
        let response = UpstreamResponse { status: head.status, headers: head.headers, body };
        AttemptResult { outcome: Outcome::Ok, load_report: None, response: Some(response) }
    }

    /// Receives a response of an HTTP/1.1 service: buffered if it is short and arrives at once,
    /// otherwise streamed.
    pub(super) async fn receive_plain(
        self: &Rc<Self>,
        mut connection: UpstreamConnection,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let UpstreamProtocol::Plain(protocol) = &self.protocol else {
            return Outcome::Error.into();
        };
        let (head, mut body) = response.into_parts();
        if !is_unambiguous(head.status, &head.headers) {
            return Outcome::Error.into();
        }
        let outcome = protocol.outcome(head.status, &head.headers);
        let start = match read_start(&mut connection, &mut body).await {
            Ok(start) => start,
            Err(outcome) => return outcome.into(),
        };
        let remainder = if start.is_complete {
            self.release(connection);
            None
        } else {
            Some(Remainder { connection, body })
        };
        let body = if remainder.is_none() && start.frames.iter().all(Frame::is_data) {
            UpstreamBody::Complete(join_frames(start.frames))
        } else {
            self.stream_body(start.frames, remainder, protocol.stall_timeout, outcome)
        };
        let response = UpstreamResponse { status: head.status, headers: head.headers, body };
        AttemptResult { outcome, load_report: None, response: Some(response) }
    }

    /// Builds a body that is streamed to the client and returns its connection to the pool at its
    /// end.
    fn stream_body(
        self: &Rc<Self>,
        frames: VecDeque<Frame<Bytes>>,
        remainder: Option<Remainder>,
        stall_timeout: Duration,
        outcome: Outcome,
    ) -> UpstreamBody {
        let upstream = self.clone();
        let return_connection = Box::new(move |connection| upstream.release(connection));
        let stream =
            ResponseStream::new(frames, remainder, stall_timeout, outcome, return_connection);
        UpstreamBody::Stream(Box::new(stream))
    }
}

impl PlainProtocol {
    /// Returns the outcome of an attempt, as the head of its response states it.
    fn outcome(&self, status: StatusCode, headers: &HeaderMap) -> Outcome {
        let never_ran = self.never_ran_header.as_ref().and_then(|name| headers.get(name));
        match status.as_u16() {
            _ if never_ran.is_some_and(|value| value == "1") => Outcome::Full,
            status if self.failure_statuses.contains(&status) => Outcome::Error,
            400..=499 => Outcome::Rejected,
            _ => Outcome::Ok,
        }
    }
}

/// The part of a body that has arrived.
struct BodyStart {
    frames: VecDeque<Frame<Bytes>>,
    is_complete: bool,
}

/// Reads the start of a body. A short body is read to its end, if that arrives soon, so that the
/// request can still be retried if the connection breaks. Of a longer one, only what has already
/// arrived is read.
async fn read_start(
    connection: &mut UpstreamConnection,
    body: &mut Incoming,
) -> Result<BodyStart, Outcome> {
    connection.admit_body(short_length(body).unwrap_or(BODY_MAX)).await;
    let is_short = short_length(body).is_some();
    let wait = if is_short { SHORT_RESPONSE_WAIT } else { Duration::ZERO };
    let deadline = Instant::now() + wait;
    let mut start = BodyStart { frames: VecDeque::new(), is_complete: body.is_end_stream() };
    let mut size_bytes = 0;
    while !start.is_complete && size_bytes <= BODY_MAX {
        let frame = poll_fn(|cx| {
            connection.drive(cx);
            Pin::new(&mut *body).poll_frame(cx)
        });
        match timeout_at(deadline, frame).await {
            Err(_) => break,
            Ok(None) => start.is_complete = true,
            Ok(Some(Err(error))) => return Err(outcome_of_error(&connection.progress, &error)),
            Ok(Some(Ok(frame))) => {
                size_bytes += frame.data_ref().map_or(0, Bytes::len);
                start.frames.push_back(frame);
            }
        }
    }
    Ok(start)
}

/// Concatenates the data of frames; copies it only if there are several.
fn join_frames(mut frames: VecDeque<Frame<Bytes>>) -> Bytes {
    let mut data = frames.drain(..).filter_map(|frame| frame.into_data().ok());
    let Some(first) = data.next() else { return Bytes::new() };
    let Some(second) = data.next() else { return first };
    let mut joined = BytesMut::from(first);
    joined.extend_from_slice(&second);
    data.for_each(|part| joined.extend_from_slice(&part));
    joined.freeze()
}

/// Returns whether a response is acceptable: a 101 without a request for it is not, and neither is
/// one with both framings, which recipients may parse differently (response splitting, RFC 9112
/// 6.3).
fn is_unambiguous(status: StatusCode, headers: &HeaderMap) -> bool {
    let framings: [HeaderName; 2] = [header::TRANSFER_ENCODING, header::CONTENT_LENGTH];
    let has_both_framings = framings.iter().all(|framing| headers.contains_key(framing));
    status != StatusCode::SWITCHING_PROTOCOLS && !has_both_framings
}

/// Returns whether a response has exactly one framing, so that a truncated body is detected.
/// Without one, the body ends with the connection and may be cut short; with both, recipients may
/// parse it differently.
fn has_single_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) != headers.contains_key(header::CONTENT_LENGTH)
}
