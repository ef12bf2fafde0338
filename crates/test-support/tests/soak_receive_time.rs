//! The system's time stamps of what comes to a socket.

use mintshelf_test_support::soak::receive_time::{receive, stamp_received};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// How long the reader is late, and how much of that the stamp may show.
const LATE: Duration = Duration::from_millis(500);
const SLACK: Duration = Duration::from_millis(250);

#[tokio::test]
async fn bytes_that_are_read_late_have_the_time_at_which_they_came() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    stamp_received(&listener);
    // The system begins a little later.
    tokio::time::sleep(SLACK).await;
    let address = listener.local_addr().unwrap();
    let mut client = TcpStream::connect(address).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    client.write_all(b"request").await.unwrap();
    let written_at = Instant::now();
    tokio::time::sleep(LATE).await;
    let mut buffer = Vec::new();
    let received = receive(&server, &mut buffer).await.unwrap();
    assert_eq!(buffer, b"request");
    assert!(received.at < written_at + SLACK, "{:?} late", received.at - written_at);
}
