//! What the clients of a crowd send, and the servers that they wait for.

use mintshelf_test_support::{request, CrowdPlan, Message, Peer};
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Number of clients of a crowd.
pub(crate) const CLIENTS: usize = 700;
/// Number of short header fields with which a head is within the limit on fields.
pub(crate) const FIELDS: usize = 240;

/// Returns header fields with short names and values.
pub(crate) fn short_fields(count: usize) -> String {
    (0..count).map(|number| format!("x{number}: 1\r\n")).collect()
}

/// Returns a complete GET with this many further fields.
pub(crate) fn get(id: &str, fields: usize) -> Vec<u8> {
    let head = String::from_utf8(request("safe", id)).unwrap();
    let fields = short_fields(fields);
    head.replace("\r\n\r\n", &format!("\r\n{fields}\r\n")).into_bytes()
}

/// Returns a POST with this many further fields, whose body lacks `missing` of the bytes that its
/// head states.
pub(crate) fn post(id: &str, fields: usize, body: usize, missing: usize) -> Vec<u8> {
    let fields = short_fields(fields);
    let mut bytes = format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: keyed\r\nX-Org: acme\r\n\
         Idempotency-Key: {id}\r\nX-Remaining-Ms: 4000\r\n{fields}Content-Length: {body}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + body - missing, b'x');
    bytes
}

/// A crowd that writes 2 KB at a time.
pub(crate) fn slow_crowd(payload: impl Fn(usize) -> Vec<u8> + Send + Sync + 'static) -> CrowdPlan {
    CrowdPlan {
        clients: CLIENTS,
        payload: Arc::new(payload),
        write_bytes: 2 << 10,
        write_pause: Duration::from_millis(5),
        reads: true,
    }
}

/// A crowd that writes as fast as it can.
pub(crate) fn fast_crowd(payload: impl Fn(usize) -> Vec<u8> + Send + Sync + 'static) -> CrowdPlan {
    CrowdPlan { write_bytes: 1 << 20, ..slow_crowd(payload) }
}

/// A server that sends most of a response of 60 KB, and the rest after a pause.
pub(crate) fn slow_server(head_fields: usize) -> Peer {
    const BODY: usize = 60_000;
    const FIRST: usize = 55_000;
    Peer::start(move |mut stream| {
        let fields = short_fields(head_fields);
        let head = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {BODY}\r\n\r\n");
        let body = vec![b'y'; BODY];
        while Message::read(&mut stream).is_some() {
            let begun = stream.write_all(head.as_bytes());
            if begun.and_then(|()| stream.write_all(&body[..FIRST])).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(350));
            if stream.write_all(&body[FIRST..]).is_err() {
                return;
            }
        }
    })
}
