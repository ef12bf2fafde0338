//! Voters with stores and links on loopback, every link through a relay, and members that hold
//! leases.

use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus::replica::ReplicaStatus;
use mintshelf_consensus_node::client::{hold, Standing, Want};
use mintshelf_consensus_node::clock;
use mintshelf_consensus_node::node::{run, NodeError, Plan};
use mintshelf_consensus_node::store::{Identity, Opened, Store};
use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::{ClockError, Timing, MS, SECOND};
use mintshelf_test_support::relay::Relay;
use mintshelf_test_support::{free_address, wait_until};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// It must outlive an election on a busy machine.
const LEASE: u64 = 8 * SECOND;

fn spans() -> Timing {
    Timing {
        election_timeout: 500 * MS,
        heartbeat_interval: 100 * MS,
        session_timeout: 2 * SECOND,
        lease_duration: 3 * SECOND,
        clock_error: ClockError::default(),
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

struct Running<T> {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<T>>,
}

impl<T> Running<T> {
    fn end(&mut self) -> Option<T> {
        drop(self.stop.take());
        self.thread.take().map(|thread| thread.join().expect("no panic"))
    }
}

impl<T> Drop for Running<T> {
    fn drop(&mut self) {
        drop(self.stop.take());
        drop(self.thread.take().map(JoinHandle::join));
    }
}

struct Fleet {
    directory: PathBuf,
    at: Vec<SocketAddr>,
    /// Links by who dials and who listens.
    links: BTreeMap<(u64, u64), Relay>,
    nodes: Vec<Option<Running<Result<(), NodeError>>>>,
    status: Vec<watch::Receiver<Option<ReplicaStatus>>>,
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        let directory =
            std::env::temp_dir().join(format!("mintshelf-{name}-{}", std::process::id()));
        let at: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let mut links = BTreeMap::new();
        for (dials, listens) in [(2, 1), (3, 1), (3, 2)] {
            links.insert((dials, listens), Relay::start(at[listens as usize - 1]));
        }
        let status = (0..3).map(|_| watch::channel(None).1).collect();
        let mut fleet = Fleet { directory, at, links, nodes: vec![None, None, None], status };
        (1..=3).for_each(|id| fleet.start(id));
        fleet
    }

    fn start(&mut self, id: u64) {
        let others = (1..=3u64).filter(|other| *other != id).map(|other| {
            let relay = self.links.get(&(id, other)).map(|relay| relay.at);
            (other, relay.unwrap_or(self.at[other as usize - 1]))
        });
        let plan = Plan { fleet: "f".into(), id, others: others.collect(), spans: spans() };
        let (said, status) = watch::channel(None);
        let (stop, stopped) = oneshot::channel::<()>();
        let (directory, at) = (self.directory.join(id.to_string()), self.at[id as usize - 1]);
        let thread = thread::spawn(move || {
            let identity = Identity { fleet: "f".into(), voter: id };
            let (store, opened) = Store::open(&directory, &identity)?;
            let stored = match opened {
                Opened::Stored(stored) => *stored,
                Opened::Empty => {
                    let stored = PersistentState::new_fleet(&[1, 2, 3]);
                    store.begin_fleet(&stored)?;
                    stored
                }
            };
            runtime().block_on(async {
                let listener = tokio::net::TcpListener::bind(at).await.expect("its address");
                let stop = async { drop(stopped.await) };
                run(plan, store, stored, listener, said, stop).await
            })
        });
        self.status[id as usize - 1] = status;
        self.nodes[id as usize - 1] = Some(Running { stop: Some(stop), thread: Some(thread) });
    }

    fn stop(&mut self, id: u64) {
        let result = self.nodes[id as usize - 1].take().and_then(|mut node| node.end());
        assert!(matches!(result, Some(Ok(()))), "{result:?}");
    }

    fn leader(&self) -> Option<u64> {
        let up = |id: &u64| self.nodes[*id as usize - 1].is_some();
        let leads = |id: &u64| self.status[*id as usize - 1].borrow().is_some_and(|s| s.is_leader);
        (1..=3).filter(up).find(leads)
    }

    fn wait_for_leader(&self) -> u64 {
        wait_until("somebody leads", || self.leader().is_some());
        self.leader().expect("a leader")
    }

    fn member(&self, name: &str, wait: bool) -> Member {
        let want = Want {
            fleet: "f".into(),
            voters: self.at.clone(),
            owner: Owner { member: name.into(), incarnation: 1 },
            lease: "task".into(),
            span: LEASE,
            error: ClockError::default(),
            wait,
        };
        let (said, standing) = watch::channel(Standing::default());
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::spawn(move || {
            runtime().block_on(hold(want, said, async { drop(stopped.await) }));
        });
        Member { standing, running: Running { stop: Some(stop), thread: Some(thread) } }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

struct Member {
    standing: watch::Receiver<Standing>,
    running: Running<()>,
}

impl Member {
    /// The token, while the lease is held.
    fn token(&self) -> Option<u64> {
        let held = self.standing.borrow().held;
        held.filter(|(_, until)| clock::now() < *until).map(|(token, _)| token)
    }
}

#[test]
fn a_lease_outlives_its_leader_and_goes_on_when_it_is_given_back() {
    let mut fleet = Fleet::new("handover");
    fleet.wait_for_leader();
    let mut first = fleet.member("first", false);
    wait_until("the first holds it", || first.token().is_some());
    let second = fleet.member("second", true);
    let token = first.token().expect("held");
    // The leader goes; what was granted stays granted, and is renewed past its span.
    let gone = fleet.wait_for_leader();
    let until = first.standing.borrow().held.expect("held").1;
    fleet.stop(gone);
    wait_until("another leads", || fleet.leader().is_some_and(|id| id != gone));
    wait_until("renewed", || {
        first.standing.borrow().held.is_some_and(|(_, now)| now > until + LEASE)
    });
    assert_eq!(first.token(), Some(token));
    assert_eq!(second.token(), None);
    fleet.start(gone);
    first.running.end();
    wait_until("the second has it", || second.token().is_some());
    assert!(second.token().expect("held") > token);
    wait_until("who was away has caught up", || {
        let of = |id: u64| fleet.status[id as usize - 1].borrow().map_or(0, |s| s.applied_index);
        let leader = fleet.leader().map_or(u64::MAX, of);
        of(gone) >= leader
    });
}

#[test]
fn a_minority_grants_nothing_and_a_holder_there_stops_in_time() {
    let fleet = Fleet::new("minority");
    fleet.wait_for_leader();
    let holder = fleet.member("holder", false);
    wait_until("it is held", || holder.token().is_some());
    let token = holder.token();
    fleet.links.values().for_each(Relay::cut);
    wait_until("nobody holds it", || holder.token().is_none());
    wait_until("nobody leads", || fleet.leader().is_none());
    fleet.links.values().for_each(Relay::heal);
    wait_until("it is held again", || holder.token().is_some());
    assert!(holder.token() >= token);
}

#[test]
fn strangers_are_shut_out_and_do_no_harm() {
    let fleet = Fleet::new("strangers");
    let leader = fleet.wait_for_leader();
    let holder = fleet.member("holder", false);
    wait_until("it is held", || holder.token().is_some());
    let (token, at) = (holder.token(), fleet.at[leader as usize - 1]);
    let hello = |version, fleet: &str, voter| {
        use mintshelf_consensus_node::frame::{pack, Hello, Speaker};
        let speaker = Speaker::Voter(voter);
        let body = pack(&Hello { version, fleet: fleet.into(), speaker });
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&body);
        bytes
    };
    let words: [Vec<u8>; 6] = [
        b"GET / HTTP/1.1\r\nHost: fleet\r\n\r\n".to_vec(),
        vec![0xff; 4096],
        hello(1, "another", 3),
        hello(2, "f", 3),
        hello(1, "f", 9),
        hello(1, "f", 1)[..6].to_vec(),
    ];
    for word in words {
        let mut stream = TcpStream::connect(at).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
        stream.write_all(&word).expect("taken");
        let mut said = Vec::new();
        // Its own word of who it is, and then the end; a reset where bytes were left unread.
        let _ = stream.read_to_end(&mut said);
        assert!(said.len() < 64, "{said:?}");
    }
    assert_eq!(holder.token(), token);
    assert_eq!(fleet.leader(), Some(leader), "it still leads");
}
