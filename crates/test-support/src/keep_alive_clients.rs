//! Clients that keep their connections: they send one request after another, and then nothing.

use crate::client::connect;
use crate::message::Message;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The requests of clients that keep their connections.
#[derive(Clone)]
pub struct KeepAlivePlan {
    /// Number of clients.
    pub clients: usize,
    /// Number of requests that each client sends.
    pub requests: usize,
    /// Pause of a client between a response and its next request.
    pub pause: Duration,
    /// Builds the bytes of a request from the number of its client and of the request.
    pub request: Arc<dyn Fn(usize, usize) -> Vec<u8> + Send + Sync>,
}

/// Idle connections whose clients have had their responses; dropping it closes them.
pub struct KeepAliveClients {
    connections: Vec<TcpStream>,
    responses: usize,
}

/// What a client sends to the test at the end of its requests.
struct Finished {
    stream: Option<TcpStream>,
    responses: usize,
}

impl KeepAliveClients {
    /// Runs the clients until each has sent its requests.
    ///
    /// # Panics
    /// A client panicked.
    #[must_use]
    pub fn run(address: SocketAddr, plan: &KeepAlivePlan) -> Self {
        let (sender, receiver): (Sender<Finished>, Receiver<Finished>) = channel();
        for client in 0..plan.clients {
            let (plan, sender) = (plan.clone(), sender.clone());
            thread::spawn(move || {
                // The test may have ended.
                let _ = sender.send(run_client(address, client, &plan));
            });
        }
        drop(sender);
        let finished: Vec<Finished> = receiver.into_iter().collect();
        assert_eq!(finished.len(), plan.clients, "a client panicked");
        let responses = finished.iter().map(|client| client.responses).sum();
        let connections = finished.into_iter().filter_map(|client| client.stream).collect();
        KeepAliveClients { connections, responses }
    }

    /// Number of responses that the clients have received.
    #[must_use]
    pub fn responses(&self) -> usize {
        self.responses
    }

    /// Number of connections that were open when their clients had sent their requests.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }
}

/// Sends the requests of one client on one connection.
fn run_client(address: SocketAddr, client: usize, plan: &KeepAlivePlan) -> Finished {
    let mut finished = Finished { stream: connect(address), responses: 0 };
    for number in 0..plan.requests {
        let Some(stream) = &mut finished.stream else { break };
        let is_sent = stream.write_all(&(plan.request)(client, number)).is_ok();
        match Message::read(stream).filter(|_| is_sent) {
            Some(_) => finished.responses += 1,
            None => finished.stream = None,
        }
        thread::sleep(plan.pause);
    }
    finished
}
