//! Discovery of a soak: it logs its changes, responds to long polls with them or with complete lists,
//! and records when it has written that a server is out of service.

use super::records::{Outage, Records};
use super::scenario::{ListDelivery, SeededRandom};
use super::stream::{MessageStream, Received};
use crate::addresses::free_address;
use crate::message::{ok_response, Message};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Number of pieces of a list that is delivered slowly.
const PIECES: usize = 8;
const PIECE_DELAY: Duration = Duration::from_millis(20);

/// State of a listed server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListedState {
    Serving,
    Draining,
    Deleted,
}

/// A server as discovery lists it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Listed {
    pub(super) state: ListedState,
    pub(super) boot_ms: u64,
}

/// The list and its changes, at any number of addresses.
pub(super) struct Discovery {
    records: Rc<RefCell<Records>>,
    listed: RefCell<BTreeMap<usize, Listed>>,
    /// The servers that each revision changed; the first revision is 1.
    changes: RefCell<Vec<Vec<usize>>>,
    revision: watch::Sender<u64>,
    is_down: watch::Sender<bool>,
    /// Number of times that open calls have fallen silent.
    silences: watch::Sender<u64>,
    delivery: Cell<ListDelivery>,
    random: RefCell<SeededRandom>,
    answers_completely: Cell<bool>,
    /// Servers out of service of which no one has been notified.
    unnotified: RefCell<HashSet<usize>>,
}

impl Discovery {
    pub(super) fn new(records: Rc<RefCell<Records>>, random: SeededRandom) -> Rc<Self> {
        Rc::new(Discovery {
            records,
            listed: RefCell::default(),
            changes: RefCell::default(),
            revision: watch::Sender::new(0),
            is_down: watch::Sender::new(false),
            silences: watch::Sender::new(0),
            delivery: Cell::new(ListDelivery::Complete),
            random: RefCell::new(random),
            answers_completely: Cell::new(false),
            unnotified: RefCell::default(),
        })
    }

    /// Listens at a further address.
    pub(super) async fn listen(self: &Rc<Self>) -> SocketAddr {
        let address = free_address();
        let listener = TcpListener::bind(address).await.expect("an address for discovery");
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(discovery.clone().serve(MessageStream::new(stream)));
            }
        });
        address
    }

    /// Changes servers and notifies the watches.
    pub(super) fn change(&self, changed: Vec<(usize, Listed)>) {
        if changed.is_empty() {
            return;
        }
        let servers = changed.iter().map(|(server, _)| *server).collect();
        for (server, listed) in changed {
            if listed.state != ListedState::Serving {
                self.unnotified.borrow_mut().insert(server);
                let withdrawn_at = &mut self.records.borrow_mut().servers[server].withdrawn_at;
                withdrawn_at.get_or_insert_with(Instant::now);
            }
            self.listed.borrow_mut().insert(server, listed);
        }
        self.changes.borrow_mut().push(servers);
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// The servers with a state.
    pub(super) fn with_state(&self, state: ListedState) -> Vec<usize> {
        let listed = self.listed.borrow();
        let servers = listed.iter().filter(|(_, listed)| listed.state == state);
        servers.map(|(server, _)| *server).collect()
    }

    /// Sets whether calls get complete lists.
    pub(super) fn answer_completely(&self, gives: bool) {
        self.answers_completely.set(gives);
    }

    /// Accepts no calls for a while.
    pub(super) async fn go_down(&self, duration: Duration) {
        self.is_down.send_replace(true);
        let outage = Outage { began_at: Instant::now(), ended_at: None };
        let number = {
            let mut records = self.records.borrow_mut();
            records.outages.push(outage);
            records.outages.len() - 1
        };
        sleep(duration).await;
        self.is_down.send_replace(false);
        self.records.borrow_mut().outages[number].ended_at = Some(Instant::now());
    }

    /// Never responds to the calls that are open.
    pub(super) fn silence_watches(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }

    /// Delivers lists in another way for a while.
    pub(super) async fn deliver(&self, delivery: ListDelivery, duration: Duration) {
        self.delivery.set(delivery);
        sleep(duration).await;
        self.delivery.set(ListDelivery::Complete);
    }

    /// The complete list, for a configuration.
    pub(super) fn known_list(&self) -> Value {
        self.list(None)
    }

    /// A process starts with [`Self::known_list`], and is notified of all in it.
    pub(super) fn record_known(&self) {
        let unnotified = self.unnotified.borrow().iter().copied().collect();
        self.record_notified(unnotified);
    }

    async fn serve(self: Rc<Self>, mut stream: MessageStream) {
        let mut is_down = self.is_down.subscribe();
        while let Received::Message(call, _) = stream.read().await {
            tokio::select! {
                biased;
                _ = is_down.wait_for(|is_down| *is_down) => return stream.reset(),
                answered = self.answer(&call, &mut stream) => if !answered { return },
            }
        }
    }

    async fn answer(&self, call: &Message, stream: &mut MessageStream) -> bool {
        let after = call.after();
        if let Some(after) = after {
            let mut revision = self.revision.subscribe();
            let newer = revision.wait_for(|revision| *revision > after);
            let mut silences = self.silences.subscribe();
            tokio::select! {
                _ = timeout(call.wait(), newer) => {}
                () = stream.ended() => return false,
                _ = silences.changed() => {
                    stream.ended().await;
                    return false;
                }
            }
        }
        let is_complete = after.is_none() || self.answers_completely.get();
        let list = self.list(after.filter(|_| !is_complete));
        let notified: Vec<usize> = self.unnotified.borrow().iter().copied().collect();
        let body = list.to_string();
        if !self.write(&ok_response(&body), stream).await {
            return false;
        }
        self.record_notified(notified);
        let mut records = self.records.borrow_mut();
        records.list_bytes += body.len();
        records.list_calls += 1;
        true
    }

    /// Sends a response in the current way of delivery; whether it was sent completely.
    async fn write(&self, response: &[u8], stream: &mut MessageStream) -> bool {
        let result = match self.delivery.get() {
            ListDelivery::Complete => stream.write(response).await,
            ListDelivery::Slow => write_slowly(response, stream).await,
            ListDelivery::CutOff => {
                let length = self.random.borrow_mut().between(1, response.len() - 1);
                // The connection ends within the response in any case.
                let _ = stream.write(&response[..length]).await;
                return false;
            }
        };
        result.is_ok()
    }

    fn record_notified(&self, notified: Vec<usize>) {
        let now = Instant::now();
        for server in notified {
            self.unnotified.borrow_mut().remove(&server);
            let mut records = self.records.borrow_mut();
            records.servers[server].withdrawal_written_at.get_or_insert(now);
        }
    }

    /// Returns the changes after a revision, or the complete list with the newest servers first.
    fn list(&self, after: Option<u64>) -> Value {
        let revision = *self.revision.borrow();
        let Some(after) = after.filter(|after| *after > 0 && *after <= revision) else {
            let listed = self.listed.borrow();
            let named = listed.iter().rev().filter(|(_, one)| one.state != ListedState::Deleted);
            let targets: Vec<Value> =
                named.map(|(server, listed)| self.entry(*server, *listed)).collect();
            return json!({"rev": revision, "all": true, "targets": targets});
        };
        let changes = self.changes.borrow();
        let known = usize::try_from(after).expect("a revision of this run");
        let newer: HashSet<usize> = changes[known..].iter().flatten().copied().collect();
        let listed = self.listed.borrow();
        let targets: Vec<Value> =
            newer.into_iter().map(|server| self.entry(server, listed[&server])).collect();
        json!({"rev": revision, "all": false, "targets": targets})
    }

    fn entry(&self, server: usize, listed: Listed) -> Value {
        let state = match listed.state {
            ListedState::Serving => "SERVING",
            ListedState::Draining => "DRAINING",
            ListedState::Deleted => "DELETED",
        };
        let address = self.records.borrow().servers[server].address.to_string();
        json!({"uid": format!("s-{server:08x}"), "endpoint": address, "az": "a", "model": "m",
            "pod_group": server / 4, "state": state, "capacity_hint": 1.0,
            "boot_ms": listed.boot_ms})
    }
}

/// Sends a response in pieces, with delays.
async fn write_slowly(response: &[u8], stream: &mut MessageStream) -> io::Result<()> {
    for piece in response.chunks(response.len().div_ceil(PIECES)) {
        stream.write(piece).await?;
        sleep(PIECE_DELAY).await;
    }
    Ok(())
}
