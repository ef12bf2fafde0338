//! Clients that misbehave, and what other clients see of them.

use mintshelf_test_support::{
    connect, ok_response, read_to_close, request, start_with_server, wait_until, Discovery,
    Message, Process as _, Server, Sidecar,
};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A server, discovery that lists it, and the sidecar in front.
fn start(
    respond: impl Fn(&Message, usize) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> (Server, Discovery, Sidecar) {
    start_with_server(PROGRAM, respond)
}

fn post(id: &str, framing: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Org: acme\r\n\
         {framing}\r\n\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn a_request_with_two_framings_is_not_forwarded() {
    let (server, _discovery, sidecar) = start(|_, _| Some(ok_response("served")));
    let smuggled = String::from_utf8(request("safe", "hidden")).unwrap();
    let body = format!("0\r\n\r\n{smuggled}");
    let length = format!("Content-Length: {}", body.len());
    for (id, framing) in [
        ("before", format!("{length}\r\nTransfer-Encoding: chunked")),
        ("behind", format!("Transfer-Encoding: chunked\r\n{length}")),
    ] {
        let mut stream = connect(sidecar.address).unwrap();
        stream.write_all(&post(id, &framing, &body)).unwrap();
        let text = String::from_utf8(read_to_close(&mut stream)).unwrap();
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    }
    // One framing alone is served.
    let chunked = post("chunks", "Transfer-Encoding: chunked", "3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(sidecar.send_request(&chunked).unwrap().status(), 200);
    let requests = server.requests();
    assert_eq!(requests.len(), 1, "{requests:?}");
    assert_eq!(requests[0].body, b"abc");
}

/// Maximum time that a client which stops within a request may wait for an error or a close.
const STOPPED_REQUEST_MAX: Duration = Duration::from_secs(3);

/// Waits until the other side has closed a connection whose client stays within a request.
fn assert_closed_in_time(mut stream: TcpStream) {
    let stopped_at = Instant::now();
    let _rejection = read_to_close(&mut stream);
    let waited = stopped_at.elapsed();
    assert!(waited < STOPPED_REQUEST_MAX, "{waited:?}");
}

// Guards against a timeout that is only looked at when the longer one of the phase before has passed.
#[test]
fn a_client_that_stops_within_a_later_head_is_closed_in_time() {
    let (_server, _discovery, sidecar) = start(|_, _| Some(ok_response("served")));
    let mut stream = connect(sidecar.address).unwrap();
    stream.write_all(&request("safe", "first")).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    stream.write_all(&request("safe", "second")[..20]).unwrap();
    assert_closed_in_time(stream);
}

// Guards against the beginning of a request that arrives with the one before it being taken for an
// idle connection, which may stay for 20 s.
#[test]
fn a_client_that_stops_within_a_pipelined_head_is_closed_in_time() {
    let (_server, _discovery, sidecar) = start(|_, _| Some(ok_response("served")));
    let mut stream = connect(sidecar.address).unwrap();
    let second = request("safe", "second");
    stream.write_all(&[request("safe", "first"), second[..20].to_vec()].concat()).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    assert_closed_in_time(stream);
}

// The same during the shutdown, in which idle connections are closed.
#[test]
fn a_pipelined_head_that_is_read_in_part_is_served_during_the_shutdown() {
    let (_server, _discovery, sidecar) = start(|_, _| {
        thread::sleep(Duration::from_millis(200));
        Some(ok_response("served"))
    });
    let mut stream = connect(sidecar.address).unwrap();
    let second = request("safe", "second");
    stream.write_all(&[request("safe", "first"), second[..20].to_vec()].concat()).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    sidecar.signal("TERM");
    // Idle connections have been closed by then.
    thread::sleep(Duration::from_millis(800));
    stream.write_all(&second[20..]).unwrap();
    let response = Message::read(&mut stream).expect("a response to the request that was read");
    assert_eq!(response.status(), 200);
}

#[test]
fn an_id_in_flight_is_not_sent_twice() {
    // The first request never gets a response.
    let (server, _discovery, sidecar) =
        start(|_, number| (number > 1).then(|| ok_response("served")));
    let mut first = connect(sidecar.address).unwrap();
    first.write_all(&request("safe", "same")).unwrap();
    wait_until("the first has arrived", || server.requests().len() == 1);
    assert_eq!(sidecar.send_request(&request("safe", "same")).unwrap().status(), 409);
    assert_eq!(sidecar.send_request(&request("safe", "other")).unwrap().status(), 200);
    assert_eq!(server.requests().len(), 2);
}

#[test]
fn oversized_bodies_are_rejected_and_not_buffered() {
    let (server, _discovery, sidecar) = start(|_, _| Some(ok_response("served")));
    let before = sidecar.peak_memory();
    let chunk = vec![b'x'; 1 << 20];
    for (id, framing) in [("a", "Content-Length: 60000000"), ("b", "Transfer-Encoding: chunked")] {
        let mut streams: Vec<_> = (0..4).map(|_| connect(sidecar.address).unwrap()).collect();
        for (number, stream) in streams.iter_mut().enumerate() {
            let head = post(&format!("{id}{number}"), framing, "3938700\r\n");
            let mut sent = stream.write_all(&head);
            for _ in 0..16 {
                // The sidecar may close at once.
                sent = sent.and_then(|()| stream.write_all(&chunk));
            }
            let text = read_to_close(stream);
            assert!(text.is_empty() || text.starts_with(b"HTTP/1.1 413 "));
        }
    }
    assert_eq!(server.requests().len(), 0);
    let grown = sidecar.peak_memory() - before;
    assert!(grown < 8 << 20, "{grown} bytes for bodies that are rejected");
    assert_eq!(sidecar.send_request(&request("safe", "after")).unwrap().status(), 200);
}

#[test]
fn incomplete_requests_are_closed_in_time() {
    let (_server, _discovery, sidecar) = start(|_, _| Some(ok_response("served")));
    for partial in [
        Vec::new(),
        b"GET /api HTTP/1.1\r\nX-Pad: ".to_vec(),
        post("half", "Content-Length: 300", "not all of it"),
    ] {
        let mut stream = connect(sidecar.address).unwrap();
        stream.write_all(&partial).unwrap();
        // The read timeout is far over the 3 s that are allowed; it shows a hang.
        let text = read_to_close(&mut stream);
        assert!(text.is_empty() || text.starts_with(b"HTTP/1.1 4"));
    }
    // A head that is sent byte by byte gets no more time than one that stops.
    let mut stream = connect(sidecar.address).unwrap();
    let closed = (0..600).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(100));
        stream.write_all(b"G").is_err()
    });
    assert!(closed);
}

#[test]
fn silent_connections_do_not_block_other_clients() {
    let (_server, _discovery, sidecar) = start(|_, _| Some(ok_response("served")));
    let silent: Vec<_> = (0..400).filter_map(|_| connect(sidecar.address)).collect();
    for number in 0..20 {
        let response = sidecar.send_request(&request("safe", &format!("r{number}"))).unwrap();
        assert_eq!(response.status(), 200);
        assert!(sidecar.descriptors() <= 128);
    }
    drop(silent);
}

#[test]
fn invalid_requests_are_rejected_and_closed() {
    let (server, _discovery, sidecar) = start(|_, _| Some(ok_response("served")));
    let good = String::from_utf8(request("safe", "id")).unwrap();
    for (from, to) in [
        ("X-Txn: id\r\n", ""),
        ("X-Lane: safe", "X-Lane: none"),
        ("X-Org: acme", "X-Org: none"),
        ("X-Remaining-Ms: 8000", "X-Remaining-Ms: soon"),
        ("X-Remaining-Ms: 8000", "X-Remaining-Ms: -5"),
        ("X-Remaining-Ms: 8000", "X-Remaining-Ms: 99999999999999999999999"),
        ("Host: a", "Content-Length: -1"),
    ] {
        let mut stream = connect(sidecar.address).unwrap();
        stream.write_all(good.replace(from, to).as_bytes()).unwrap();
        let text = String::from_utf8(read_to_close(&mut stream)).unwrap();
        assert!(text.starts_with("HTTP/1.1 400 "), "{to}: {text}");
    }
    assert_eq!(server.requests().len(), 0);
}
