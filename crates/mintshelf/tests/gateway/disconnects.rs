//! Clients that disconnect or half-close their connection.

use crate::fixture::{daemon, file, PROGRAM};
use mintshelf_test_support::{
    connect, free_address, get, ok_response, read_some, read_to_close, send_request, wait_until,
    Daemon, Message, Peer, Server,
};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

#[test]
fn a_client_that_disconnects_during_a_stream_frees_its_server() {
    let closed = Arc::new(AtomicBool::new(false));
    let server_closed = closed.clone();
    let server = Peer::start(move |mut stream| {
        if Message::read(&mut stream).is_none() {
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n");
        while stream.write_all(&[b'x'; 4096]).is_ok() {}
        server_closed.store(true, Ordering::Relaxed);
    });
    let daemon = daemon(&[server.address], "");
    let mut stream = connect(daemon.address).unwrap();
    stream.write_all(&get("/")).unwrap();
    stream.read_exact(&mut [0; 100_000]).unwrap();
    drop(stream);
    wait_until("the server's connection is closed", || closed.load(Ordering::Relaxed));
    // The same while the client sends: the server sees a body that does not end.
    let (received, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (total, is_ended) = (received.clone(), ended.clone());
    let server = Peer::start(move |mut stream| {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(count @ 1..) = read_some(&mut stream, &mut buffer) {
            total.fetch_add(count, Ordering::Relaxed);
        }
        is_ended.store(true, Ordering::Relaxed);
    });
    daemon.reload(&file(daemon.address, &[server.address], ""));
    let mut stream = connect(daemon.address).unwrap();
    let head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; 300_000]).unwrap();
    wait_until("a part has arrived", || received.load(Ordering::Relaxed) > 200_000);
    drop(stream);
    wait_until("the upload is aborted", || ended.load(Ordering::Relaxed));
}

#[test]
fn a_client_that_half_closes_gets_its_response() {
    let server = Server::start(|request, _| {
        if request.path() == "/slow" {
            std::thread::sleep(std::time::Duration::from_millis(300));
        }
        Some(ok_response("late"))
    });
    let daemon = daemon(&[server.address], "");
    for path in ["/", "/slow"] {
        let mut stream = connect(daemon.address).unwrap();
        stream.write_all(&get(path)).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let text = String::from_utf8_lossy(&read_to_close(&mut stream)).into_owned();
        assert!(text.starts_with("HTTP/1.1 200 ") && text.ends_with("late"), "{text}");
    }
    // HTTP/1.0, as simple tools write it.
    let mut stream = connect(daemon.address).unwrap();
    stream.write_all(b"GET /slow HTTP/1.0\r\n\r\n").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert!(String::from_utf8_lossy(&read_to_close(&mut stream)).ends_with("late"));
}

#[test]
fn a_client_that_half_closes_counts_as_disconnected_with_abort_on_close() {
    let server = Server::start(|request, _| (request.path() == "/").then(|| ok_response("good")));
    let (address, admin) = (free_address(), free_address());
    let text = file(address, &[server.address], "")
        .replace("sockets = 128\n", "sockets = 128\nabort-on-close = true\n")
        .replace("[clusters.c]", &format!("[admin]\naddress = \"{admin}\"\n[clusters.c]"));
    let daemon = Daemon::start(PROGRAM, address, &text, &[]);
    let mut stream = connect(daemon.address).unwrap();
    stream.write_all(&get("/never")).unwrap();
    wait_until("it is forwarded", || server.requests().len() == 1);
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    // Its connection is closed long before its deadline; that of the metrics request is left.
    let closed_at = std::time::Instant::now();
    wait_until("its connection is closed", || {
        let response = send_request(admin, &get("/-/metrics")).unwrap();
        String::from_utf8_lossy(&response.body).contains("mintshelf_clients 1\n")
    });
    assert!(closed_at.elapsed() < std::time::Duration::from_secs(14));
    assert_eq!(daemon.send_request(&get("/")).unwrap().status(), 200);
}
