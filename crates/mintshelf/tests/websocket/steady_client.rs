//! A client that sends and receives messages until it is dropped.

use crate::fixture::{open, send_and_receive};
use mintshelf_test_support::wait_until;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A client that sends a message and waits for the response, until it is dropped.
pub struct SteadyClient {
    stopped: Arc<AtomicBool>,
    responses: Arc<AtomicUsize>,
    thread: Option<thread::JoinHandle<()>>,
}

impl SteadyClient {
    pub fn start(address: SocketAddr) -> Self {
        let (stopped, responses) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (is_stopped, count) = (stopped.clone(), responses.clone());
        let mut socket = open(address);
        let thread = thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                assert!(send_and_receive(&mut socket, "on").ends_with(": on"));
                count.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(10));
            }
        });
        SteadyClient { stopped, responses, thread: Some(thread) }
    }

    pub fn wait_for_responses(&self) {
        let before = self.responses.load(Ordering::SeqCst);
        wait_until("responses", || self.responses.load(Ordering::SeqCst) > before + 2);
    }
}

impl Drop for SteadyClient {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        let ended = self.thread.take().map(|thread| thread.join().is_ok());
        assert!(thread::panicking() || ended == Some(true));
    }
}
