//! Which client's connection is evicted when the connection budget is used up.

use mintshelf_proxy::client::connection::{
    Client, ClientTimeouts, Phase, RequestMemory, SharedTimeout,
};
use mintshelf_proxy::client::registry::Clients;
use mintshelf_proxy::memory::MemoryBudget;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

fn timeouts() -> ClientTimeouts {
    ClientTimeouts {
        receive: Duration::from_secs(5),
        idle: Duration::from_secs(5),
        busy: SharedTimeout::new(Duration::from_secs(5)),
        is_extended_by_progress: false,
        allows_half_close: true,
    }
}

/// Connects a client in `phase`; returns its end of the connection and the registered [`Client`].
async fn connect(clients: &Clients, phase: Phase) -> (TcpStream, Rc<Client>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let remote = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    let stream = Rc::new(RefCell::new(stream));
    let memory = RequestMemory::new(&Rc::new(MemoryBudget::new(64 << 20, || 0)));
    let client = Rc::new(Client::new(stream, peer, timeouts(), Duration::ZERO, memory));
    client.enter(phase);
    clients.add(client.clone());
    // Eviction goes by age: no two phases may begin at the same instant.
    sleep(Duration::from_millis(1)).await;
    (remote, client)
}

#[tokio::test(flavor = "current_thread")]
async fn silent_clients_are_evicted_before_idle_ones_and_the_oldest_first() {
    // A client that still sends a body that is discarded has its response: it comes in between.
    let clients = Clients::default();
    let (_a, idle) = connect(&clients, Phase::Idle).await;
    let (_b, older_silent) = connect(&clients, Phase::New).await;
    let (_c, younger_silent) = connect(&clients, Phase::New).await;
    let (_d, busy) = connect(&clients, Phase::Busy).await;
    let (_e, discarding) = connect(&clients, Phase::Discarding).await;
    for expected in [&older_silent, &younger_silent, &discarding, &idle] {
        assert!(!expected.eviction.is_cancelled());
        assert!(clients.evict_one(Duration::ZERO));
        assert!(expected.eviction.is_cancelled());
    }
    assert!(!clients.evict_one(Duration::ZERO));
    assert!(!busy.eviction.is_cancelled());
}

#[tokio::test(flavor = "current_thread")]
async fn a_client_whose_request_waits_to_be_read_is_not_evicted() {
    let clients = Clients::default();
    let (remote, waiting) = connect(&clients, Phase::New).await;
    let (_b, younger) = connect(&clients, Phase::New).await;
    remote.writable().await.unwrap();
    remote.try_write(b"GET / HTTP/1.1\r\n").unwrap();
    while !waiting.has_pending() {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(clients.evict_one(Duration::ZERO));
    assert!(younger.eviction.is_cancelled() && !waiting.eviction.is_cancelled());
}

#[tokio::test(flavor = "current_thread")]
async fn a_client_that_is_not_old_enough_is_not_evicted() {
    let clients = Clients::default();
    let (_a, client) = connect(&clients, Phase::New).await;
    assert!(!clients.evict_one(Duration::from_secs(60)));
    assert!(!client.eviction.is_cancelled());
}
