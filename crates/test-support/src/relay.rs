//! A relay between two processes that holds, delays, cuts and corrupts what it carries, each
//! direction by itself.

mod transfer;

use crate::client::reset_connection;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use transfer::{Outcome, Transfer};

/// Time between two looks of a relay's thread at what the test has set.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A direction of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connects to the one that listens.
    Forward,
    /// From the process that listens to the one that connects.
    Backward,
}

/// The faults of one direction, and what it has carried.
#[derive(Debug, Default, Clone)]
struct DirectionState {
    held: bool,
    delay: Duration,
    /// Bytes after which the connection breaks.
    break_after: Option<u64>,
    /// Bytes after which one byte is changed.
    corrupt_after: Option<u64>,
    /// Bytes carried over all connections.
    carried_bytes: u64,
}

#[derive(Debug, Default)]
struct Shared {
    forward: Mutex<DirectionState>,
    backward: Mutex<DirectionState>,
    rejects_connections: AtomicBool,
    stopped: AtomicBool,
    /// Number of times that all connections were broken; one of an earlier number breaks.
    break_count: Mutex<u64>,
    /// Connections carried so far.
    connections: Mutex<u64>,
}

impl Shared {
    fn direction(&self, direction: Direction) -> &Mutex<DirectionState> {
        match direction {
            Direction::Forward => &self.forward,
            Direction::Backward => &self.backward,
        }
    }
}

/// Listens at an address of its own and carries bytes to and from another. Its threads end when
/// it is dropped.
#[derive(Debug)]
pub struct Relay {
    /// The address to connect to in place of the other process.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay to `target`, which need not listen yet.
    ///
    /// # Panics
    /// No loopback address can be bound.
    #[must_use]
    pub fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback address");
        listener.set_nonblocking(true).expect("a non-blocking socket");
        let address = listener.local_addr().expect("the bound address");
        let shared = Arc::new(Shared::default());
        let accepting = thread::spawn({
            let shared = shared.clone();
            move || accept(&listener, target, &shared)
        });
        Relay { address, shared, accepting: Some(accepting) }
    }

    fn change(&self, direction: Direction, change: impl FnOnce(&mut DirectionState)) {
        change(&mut self.shared.direction(direction).lock().unwrap());
    }

    /// Carries nothing in a direction until [`Relay::release`]. What is sent meanwhile waits, as
    /// with TCP.
    pub fn hold(&self, direction: Direction) {
        self.change(direction, |state| state.held = true);
    }

    /// Carries what was held, and what comes after it.
    pub fn release(&self, direction: Direction) {
        self.change(direction, |state| state.held = false);
    }

    /// Delays each byte in a direction from now on.
    pub fn delay(&self, direction: Direction, delay: Duration) {
        self.change(direction, |state| state.delay = delay);
    }

    /// Breaks the connection after this many more bytes in a direction, also within a message.
    pub fn break_after(&self, direction: Direction, bytes: u64) {
        self.change(direction, |state| state.break_after = Some(bytes));
    }

    /// Changes the byte that comes after this many more bytes in a direction.
    pub fn corrupt_after(&self, direction: Direction, bytes: u64) {
        self.change(direction, |state| state.corrupt_after = Some(bytes));
    }

    /// Breaks all connections now; new ones are carried.
    ///
    /// # Panics
    /// A thread of the relay panicked.
    pub fn break_all(&self) {
        *self.shared.break_count.lock().unwrap() += 1;
    }

    /// Sets whether new connections are reset.
    pub fn reject_connections(&self, rejects: bool) {
        self.shared.rejects_connections.store(rejects, Ordering::Relaxed);
    }

    /// Cuts the link: nothing is carried in either direction, and new connections are reset.
    pub fn cut(&self) {
        self.reject_connections(true);
        self.hold(Direction::Forward);
        self.hold(Direction::Backward);
    }

    /// Ends all faults; what was held is carried.
    pub fn heal(&self) {
        self.reject_connections(false);
        for direction in [Direction::Forward, Direction::Backward] {
            self.change(direction, |state| {
                let carried_bytes = state.carried_bytes;
                *state = DirectionState { carried_bytes, ..DirectionState::default() };
            });
        }
    }

    /// Bytes carried in a direction, over all connections.
    ///
    /// # Panics
    /// A thread of the relay panicked.
    #[must_use]
    pub fn carried_bytes(&self, direction: Direction) -> u64 {
        self.shared.direction(direction).lock().unwrap().carried_bytes
    }

    /// Connections carried so far.
    ///
    /// # Panics
    /// A thread of the relay panicked.
    #[must_use]
    pub fn connections(&self) -> u64 {
        *self.shared.connections.lock().unwrap()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.accepting.take().map(JoinHandle::join);
    }
}

/// Accepts connections until the relay stops, then waits for their threads.
fn accept(listener: &TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    let mut transfers: Vec<JoinHandle<()>> = Vec::new();
    while !shared.stopped.load(Ordering::Relaxed) {
        let Ok((client, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        transfers.retain(|transfer| !transfer.is_finished());
        if shared.rejects_connections.load(Ordering::Relaxed) {
            reset_connection(client);
            continue;
        }
        let Ok(server) = TcpStream::connect(target) else { continue };
        *shared.connections.lock().unwrap() += 1;
        transfers.extend(carry(shared, &client, &server));
    }
    for transfer in transfers {
        drop(transfer.join());
    }
}

/// Starts the two threads of a connection, one for each direction.
fn carry(shared: &Arc<Shared>, client: &TcpStream, server: &TcpStream) -> Vec<JoinHandle<()>> {
    let break_count = *shared.break_count.lock().unwrap();
    let broken = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (direction, source, destination) in
        [(Direction::Forward, client, server), (Direction::Backward, server, client)]
    {
        let (Ok(source), Ok(destination)) = (source.try_clone(), destination.try_clone()) else {
            continue;
        };
        let shared = shared.clone();
        let broken = broken.clone();
        threads.push(thread::spawn(move || {
            let is_broken = || {
                shared.stopped.load(Ordering::Relaxed)
                    || broken.load(Ordering::Relaxed)
                    || *shared.break_count.lock().unwrap() != break_count
            };
            let transfer = Transfer::new(shared.direction(direction), source, &destination);
            if transfer.run(is_broken) == Outcome::Broken {
                broken.store(true, Ordering::Relaxed);
                reset_connection(destination);
            }
        }));
    }
    threads
}
