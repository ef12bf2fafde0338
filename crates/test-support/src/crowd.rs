//! Crowds of clients that connect at once, write their requests slowly, and come back as soon as
//! they are turned away.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Wait of a client that could not connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Maximum time that a client waits for bytes or for the end of its connection.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// The behavior of the clients of a crowd.
#[derive(Clone)]
pub struct CrowdPlan {
    /// Number of clients.
    pub clients: usize,
    /// Builds the bytes that one connection sends, from the number of the connection.
    pub payload: Arc<dyn Fn(usize) -> Vec<u8> + Send + Sync>,
    /// Maximum number of bytes of one write.
    pub write_bytes: usize,
    /// Pause between two writes.
    pub write_pause: Duration,
    /// Whether the clients read what they are sent before they are closed.
    pub reads: bool,
}

/// A running crowd; dropping it closes all connections.
pub struct Crowd {
    stopped: Arc<AtomicBool>,
    connections: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts the clients, which connect to `address` until the crowd is dropped.
    ///
    /// # Panics
    /// The thread of the clients cannot be started.
    #[must_use]
    pub fn start(address: SocketAddr, plan: CrowdPlan) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(AtomicUsize::new(0));
        let crowd_stopped = stopped.clone();
        let counter = connections.clone();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = { runtime }.enable_all().build().unwrap();
            let local = LocalSet::new();
            for _ in 0..plan.clients {
                let (plan, counter) = (plan.clone(), counter.clone());
                local.spawn_local(async move { run_client(address, plan, counter).await });
            }
            let until_stopped = async {
                while !crowd_stopped.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(10)).await;
                }
            };
            local.block_on(&runtime, until_stopped);
        });
        Crowd { stopped, connections, thread: Some(thread) }
    }

    /// Number of connections that the clients have opened so far.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the clients has been printed already.
            let _ = thread.join();
        }
    }
}

/// Connects, sends and reads until the connection ends, again and again.
async fn run_client(address: SocketAddr, plan: CrowdPlan, connections: Arc<AtomicUsize>) {
    loop {
        let Ok(stream) = TcpStream::connect(address).await else {
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        let number = connections.fetch_add(1, Ordering::Relaxed);
        run_connection(stream, &plan, number).await;
    }
}

async fn run_connection(mut stream: TcpStream, plan: &CrowdPlan, number: usize) {
    let payload = (plan.payload)(number);
    let (mut reader, mut writer) = stream.split();
    let write = async {
        for part in payload.chunks(plan.write_bytes) {
            if writer.write_all(part).await.is_err() {
                return;
            }
            sleep(plan.write_pause).await;
        }
        std::future::pending::<()>().await;
    };
    let read = async {
        let mut buffer = vec![0; 4096];
        if !plan.reads {
            return sleep(READ_TIMEOUT).await;
        }
        while matches!(timeout(READ_TIMEOUT, reader.read(&mut buffer)).await, Ok(Ok(1..))) {}
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
}
