//! A class's idle timeout and connect timeout of connections.

use crate::fixture::{endpoints, PROGRAM};
use mintshelf_test_support::{
    connect, free_address, full_listener, get, ok_response, Daemon, Message, Peer,
};
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[test]
fn a_class_with_an_idle_timeout_reuses_only_recent_connections() {
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    let node = Peer::start(move |mut stream| {
        count.fetch_add(1, Ordering::SeqCst);
        while Message::read(&mut stream).is_some() && stream.write_all(&ok_response("good")).is_ok()
        {
        }
    });
    let address = free_address();
    let text = format!(
        "listen = \"{address}\"\n[classes.flash]\neffect = \"unsafe\"\nidle-timeout = \"0s\"\n\
         [clusters.c]\n{}\n[[routes]]\ncluster = \"c\"\n\
         [[routes]]\nprefix = \"/flash\"\nclass = \"flash\"\ncluster = \"c\"\n",
        endpoints(&[node.address])
    );
    let daemon = Daemon::start(PROGRAM, address, &text, &[]);
    let assert_served =
        |path: &str| assert_eq!(daemon.send_request(&get(path)).unwrap().status(), 200);
    assert_served("/a");
    assert_served("/a");
    assert_eq!(opened.load(Ordering::SeqCst), 1, "an idle connection is reused");
    assert_served("/flash");
    assert_eq!(opened.load(Ordering::SeqCst), 2, "but not by a class that wants a new one");
    assert_served("/a");
    assert_eq!(opened.load(Ordering::SeqCst), 2);
    assert_served("/flash");
    assert_eq!(opened.load(Ordering::SeqCst), 3);
}

#[test]
fn a_class_waits_for_a_connection_no_longer_than_its_connect_timeout() {
    let (listener, _queued) = full_listener();
    let unreachable = listener.local_addr().unwrap();
    let address = free_address();
    let text = format!(
        "listen = \"{address}\"\n[classes.patient]\ndeadline = \"50s\"\nmax-attempts = 1\n\
         [classes.hasty]\ndeadline = \"50s\"\nmax-attempts = 1\nconnect-timeout = \"20ms\"\n\
         [clusters.c]\nconnect-timeout = \"5s\"\n{}\n[[routes]]\nclass = \"patient\"\ncluster = \"c\"\n\
         [[routes]]\nprefix = \"/hasty\"\nclass = \"hasty\"\ncluster = \"c\"\n",
        endpoints(&[unreachable])
    );
    let daemon = Daemon::start(PROGRAM, address, &text, &[]);
    // The request with the long timeout is sent first and answered last: this shows the order.
    let mut long_timeout = connect(address).unwrap();
    long_timeout.write_all(&get("/a")).unwrap();
    let short_timeout = daemon.send_request(&get("/hasty")).unwrap();
    assert_eq!(short_timeout.status(), 503);
    long_timeout.set_nonblocking(true).unwrap();
    let early = std::io::Read::read(&mut long_timeout, &mut [0; 1]);
    assert_eq!(early.unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
    long_timeout.set_nonblocking(false).unwrap();
    assert_eq!(Message::read(&mut long_timeout).unwrap().status(), 503);
}
