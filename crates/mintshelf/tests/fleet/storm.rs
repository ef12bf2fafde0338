//! Two holders never operate at the same time: five replicas as processes, six contenders, random
//! faults from a seed. `MINTSHELF_STORM_SECONDS` sets the duration.

use crate::cluster::Cluster;
use crate::member::lease_request;
use mintshelf_consensus_node::clock;
use mintshelf_consensus_node::lease_keeper::{keep_lease, LeaseStatus};
use mintshelf_lease::command::Owner;
use mintshelf_lease::fence::Fence;
use mintshelf_test_support::relay::{Direction, Relay};
use mintshelf_test_support::{wait_until, Process};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::sync::watch;

/// Short, so that the lease changes hands.
const LEASE_DURATION: Nanos = 3 * SECOND;
const REPLICAS: usize = 5;
const CONTENDERS: usize = 6;
const RESOURCE: &str = "resource";

/// An operation as it was done, on the machine's monotonic clock.
#[derive(Debug, Clone, Copy)]
struct Operation {
    contender: usize,
    token: u64,
    start: Nanos,
    end: Nanos,
}

/// What all contenders share.
#[derive(Clone, Default)]
struct Record {
    operations: Arc<Mutex<Vec<Operation>>>,
    fence: Arc<Mutex<Fence>>,
    is_stopped: Arc<AtomicBool>,
}

impl Record {
    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    fn admits(&self, token: u64) -> bool {
        self.fence.lock().unwrap().admit(RESOURCE, token).is_ok()
    }

    fn operations(&self) -> Vec<Operation> {
        self.operations.lock().unwrap().clone()
    }
}

fn handovers(operations: &[Operation]) -> usize {
    operations.windows(2).filter(|pair| pair[0].contender != pair[1].contender).count()
}

/// A member that requests the lease, operates while it holds it, and releases it at times.
fn contend(
    replicas: Vec<SocketAddr>,
    contender: usize,
    record: Record,
    seed: u64,
) -> JoinHandle<()> {
    let mut rng = Pcg32::seed_from_u64(seed);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let mut incarnation = 0;
        while !record.is_stopped() {
            incarnation += 1;
            let owner = Owner { member: format!("m{contender}"), incarnation };
            let request = lease_request(&replicas, owner, LEASE_DURATION);
            let (publisher, status) = watch::channel(LeaseStatus::default());
            let turns = 2 + rng.next_u32() % 6;
            let operator = Operator {
                contender,
                status,
                rng: Pcg32::seed_from_u64(rng.next_u64()),
                record: record.clone(),
            };
            runtime.block_on(keep_lease(request, publisher, operator.act(turns)));
        }
    })
}

/// Operates under the lease of one incarnation.
struct Operator {
    contender: usize,
    status: watch::Receiver<LeaseStatus>,
    rng: Pcg32,
    record: Record,
}

impl Operator {
    /// Operates a number of times, each within the time left of the lease.
    async fn act(mut self, turns: u32) {
        for _ in 0..turns {
            let duration = (20 + u64::from(self.rng.next_u32() % 150)) * MILLISECOND;
            while !self.try_act(duration).await {
                if self.record.is_stopped() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Operates if the lease lasts for long enough.
    async fn try_act(&mut self, duration: Nanos) -> bool {
        if self.record.is_stopped() {
            return false;
        }
        let grant = self.status.borrow_and_update().grant;
        let start = clock::now();
        // An operation takes its duration, and up to 0.5 s more on a busy machine.
        let needed_until = start + duration + 500 * MILLISECOND;
        let Some(grant) = grant.filter(|grant| needed_until < grant.expires_at) else {
            return false;
        };
        let is_admitted_first = self.record.admits(grant.token);
        tokio::time::sleep(Duration::from_nanos(duration)).await;
        let end = clock::now();
        let is_admitted_last = self.record.admits(grant.token);
        if end < grant.expires_at {
            let operation = Operation { contender: self.contender, token: grant.token, start, end };
            self.record.operations.lock().unwrap().push(operation);
            assert!(is_admitted_first && is_admitted_last, "a holder in time was rejected");
        }
        true
    }
}

/// Causes random faults.
struct FaultInjector<'a> {
    cluster: &'a mut Cluster,
    rng: Pcg32,
    /// Indexes of processes that are stopped.
    stopped: Vec<usize>,
}

impl FaultInjector<'_> {
    fn draw_below(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound
    }

    fn draw_link(&mut self) -> &Relay {
        let index = self.draw_below(self.cluster.links.len());
        self.cluster.links.values().nth(index).unwrap()
    }

    fn signal(&self, index: usize, signal: &str) {
        self.cluster.processes[index].as_ref().unwrap().signal(signal);
    }

    fn cause_fault(&mut self) {
        let index = self.draw_below(REPLICAS);
        match self.draw_below(7) {
            0 => self.restart(index),
            1 if self.stopped.len() < 2 && !self.stopped.contains(&index) => {
                self.signal(index, "STOP");
                self.stopped.push(index);
            }
            2 => self.cut_one_way(index),
            3 => self.draw_link().cut(),
            4 => {
                let link_index = self.draw_below(self.cluster.links.len());
                let delay = Duration::from_millis(self.draw_below(900) as u64);
                self.cluster
                    .links
                    .values()
                    .nth(link_index)
                    .unwrap()
                    .delay(Direction::Forward, delay);
            }
            5 => {
                let link_index = self.draw_below(self.cluster.links.len());
                let bytes = self.draw_below(400) as u64;
                self.cluster
                    .links
                    .values()
                    .nth(link_index)
                    .unwrap()
                    .break_after(Direction::Backward, bytes);
            }
            _ => self.heal(),
        }
        let wait_ms = 100 + self.draw_below(500) as u64;
        thread::sleep(Duration::from_millis(wait_ms));
    }

    fn restart(&mut self, index: usize) {
        self.cluster.kill(index);
        self.stopped.retain(|stopped| *stopped != index);
        let wait_ms = self.draw_below(600) as u64;
        thread::sleep(Duration::from_millis(wait_ms));
        self.cluster.start(index);
    }

    /// Delays all that a replica sends on its links, or all that it receives.
    fn cut_one_way(&mut self, index: usize) {
        let direction = [Direction::Forward, Direction::Backward][self.draw_below(2)];
        let links = self.cluster.links.iter();
        let links = links.filter(|(link, _)| link.dialer == index || link.listener == index);
        links.for_each(|(_, relay)| relay.hold(direction));
    }

    fn heal(&mut self) {
        self.cluster.links.values().for_each(Relay::heal);
        for index in std::mem::take(&mut self.stopped) {
            self.signal(index, "CONT");
        }
    }
}

fn environment<T: FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok().and_then(|value| value.parse().ok())
}

fn assert_exclusive(operations: &[Operation]) {
    for pair in operations.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        assert!(second.start >= first.end, "two operated at once: {pair:?}");
        assert!(second.token >= first.token, "a lower token after a higher: {pair:?}");
        let is_same_holder = second.contender == first.contender;
        assert!(second.token > first.token || is_same_holder, "{pair:?}");
    }
}

#[test]
fn two_holders_never_operate_at_once_while_processes_and_links_fail() {
    let seconds: u64 = environment("MINTSHELF_STORM_SECONDS").unwrap_or(12);
    let seed: u64 = environment("MINTSHELF_SEED").unwrap_or(1);
    println!("seed {seed}");
    let mut cluster = Cluster::new("proof", REPLICAS);
    cluster.initialize();
    let record = Record::default();
    let start_contender = |contender: usize| {
        let seed = seed * 100 + contender as u64;
        contend(cluster.addresses.clone(), contender, record.clone(), seed)
    };
    let contenders: Vec<JoinHandle<()>> = (0..CONTENDERS).map(start_contender).collect();
    let rng = Pcg32::seed_from_u64(seed);
    let mut faults = FaultInjector { cluster: &mut cluster, rng, stopped: Vec::new() };
    let end = clock::now() + seconds * SECOND;
    while clock::now() < end {
        faults.cause_fault();
    }
    faults.heal();
    let healed_at = clock::now();
    wait_until("the lease is held once all is healed", || {
        record.operations().iter().any(|operation| operation.start > healed_at)
    });
    wait_until("the lease has changed hands", || handovers(&record.operations()) >= 4);
    record.is_stopped.store(true, Ordering::Relaxed);
    for contender in contenders {
        contender.join().expect("no rejection in time");
    }
    let mut operations = record.operations();
    operations.sort_by_key(|operation| operation.start);
    println!("{} operations, {} handovers", operations.len(), handovers(&operations));
    assert_exclusive(&operations);
}
