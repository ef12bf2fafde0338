//! HTTP messages as they pass through: bodies held, headers cleaned.

use crate::net::limits::PIECE;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::OwnedSemaphorePermit;

/// A body held in memory, in pieces of bounded size, so that small frames cost
/// no more than their bytes and growing needs no second copy.
#[derive(Debug, Default)]
pub struct Pieces {
    full: Vec<Bytes>,
    last: BytesMut,
    len: usize,
    room: Option<OwnedSemaphorePermit>,
}

impl Pieces {
    /// Bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Pieces past the first that `more` bytes on top would begin. The first is
    /// free, so that long bodies never keep a short one out.
    pub fn needs(&self, more: usize) -> usize {
        let past_first = |len: usize| len.div_ceil(PIECE).saturating_sub(1);
        past_first(self.len + more) - past_first(self.len)
    }

    /// Adds what the next pieces draw on; it is given back with the last copy.
    pub fn add_room(&mut self, permit: OwnedSemaphorePermit) {
        match &mut self.room {
            Some(room) => room.merge(permit),
            None => self.room = Some(permit),
        }
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            let (now, later) = bytes.split_at(bytes.len().min(PIECE - self.last.len()));
            self.last.extend_from_slice(now);
            bytes = later;
            if self.last.len() == PIECE {
                self.full.push(std::mem::take(&mut self.last).freeze());
            }
        }
    }

    /// The body, ready to be sent as often as needed.
    pub fn finish(mut self) -> Held {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        let whole = Whole { pieces: self.full, _room: self.room };
        Held { whole: Rc::new(whole), at: 0, left: self.len as u64 }
    }
}

/// A whole body in memory; clones share its bytes.
#[derive(Debug, Clone)]
pub struct Held {
    whole: Rc<Whole>,
    at: usize,
    left: u64,
}

#[derive(Debug)]
struct Whole {
    pieces: Vec<Bytes>,
    _room: Option<OwnedSemaphorePermit>,
}

impl Held {
    /// Bytes not yet sent.
    pub fn len(&self) -> u64 {
        self.left
    }
}

impl Default for Held {
    fn default() -> Self {
        Pieces::default().finish()
    }
}

impl Body for Held {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.whole.pieces.get(self.at).cloned();
        self.at += 1;
        self.left -= piece.as_ref().map_or(0, |p| p.len() as u64);
        Poll::Ready(piece.map(|p| Ok(Frame::data(p))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Headers that concern one connection and not the message.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    // The body is held whole before it goes on.
    header::EXPECT,
];

/// Removes what concerns the connection that a message came on, and the length,
/// which the next connection's framing states anew.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let others = [header::CONTENT_LENGTH];
    let odd = ["keep-alive", "proxy-connection"].map(HeaderName::from_static);
    for name in named.iter().chain(&HOP_BY_HOP).chain(&others).chain(&odd) {
        headers.remove(name);
    }
}

/// A header's value as text; absent if it is not.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Reads a load report, `TEXT name=value, ...`, into the order of `fields`.
/// `None` for one that is malformed or lacks a field.
pub fn parse_report(text: &str, fields: &[String]) -> Option<Vec<f64>> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").map_or(text, str::trim_start);
    let mut values = vec![None; fields.len()];
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
        if let Some(at) = fields.iter().position(|f| f == name.trim()) {
            values[at] = Some(value);
        }
    }
    values.into_iter().collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn reports_are_read_in_the_settings_order() {
        let fields = ["eps".to_string(), "queue".to_string()];
        assert_eq!(parse_report("TEXT queue=2, eps=0.5, x=1", &fields), Some(vec![0.5, 2.0]));
        assert_eq!(parse_report("queue=2,eps=0", &fields), Some(vec![0.0, 2.0]));
        for bad in ["", "TEXT", "TEXT queue=2", "TEXT queue=2, eps=", "queue=NaN, eps=1", "{}"] {
            assert_eq!(parse_report(bad, &fields), None, "{bad}");
        }
    }

    #[test]
    fn hop_by_hop_headers_stay_behind() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "keep-alive, X-Private"),
            ("x-private", "1"),
            ("keep-alive", "timeout=5"),
            ("transfer-encoding", "chunked"),
            ("content-length", "3"),
            ("expect", "100-continue"),
            ("x-txn", "a"),
        ] {
            headers.insert(HeaderName::from_static(name), value.parse().unwrap());
        }
        strip_hop_by_hop(&mut headers);
        assert_eq!(headers.len(), 1);
        assert!(headers.contains_key("x-txn"));
    }

    proptest! {
        #[test]
        fn pieces_keep_every_byte(parts in proptest::collection::vec(0usize..200_000, 0..6)) {
            let mut pieces = Pieces::default();
            let mut whole = Vec::new();
            let mut begun = 0;
            for (i, len) in parts.iter().enumerate() {
                let part: Vec<u8> = (0..*len).map(|b| (b * 7 + i) as u8).collect();
                begun += pieces.needs(part.len());
                pieces.push(&part);
                whole.extend(part);
            }
            let held = pieces.finish();
            prop_assert_eq!(held.len(), whole.len() as u64);
            prop_assert_eq!(held.whole.pieces.len().saturating_sub(1), begun);
            prop_assert_eq!(held.whole.pieces.concat(), whole);
        }
    }
}
