//! A member that keeps the lease of the tests.

use mintshelf_consensus_node::clock;
use mintshelf_consensus_node::lease_keeper::{keep_lease, LeaseRequest, LeaseStatus};
use mintshelf_lease::client::{ActiveGrant, LeaseConfig};
use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::ClockError;
use mintshelf_time::{Nanos, SECOND};
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use tokio::sync::{oneshot, watch};

/// A lease that must outlive an election on a busy machine.
pub const LONG_LEASE: Nanos = 8 * SECOND;

pub fn lease_request(replicas: &[SocketAddr], owner: Owner, duration: Nanos) -> LeaseRequest {
    LeaseRequest {
        fleet: "f".into(),
        replicas: replicas.to_vec(),
        config: LeaseConfig {
            lease: "task".into(),
            owner,
            duration,
            clock_error: ClockError::default(),
            wait: true,
        },
    }
}

pub struct Member {
    status: watch::Receiver<LeaseStatus>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Member {
    pub fn start(replicas: &[SocketAddr], name: &str) -> Member {
        let owner = Owner { member: name.into(), incarnation: 1 };
        let request = lease_request(replicas, owner, LONG_LEASE);
        let (publisher, status) = watch::channel(LeaseStatus::default());
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let stop = async { drop(stopped.await) };
            runtime.unwrap().block_on(keep_lease(request, publisher, stop));
        });
        Member { status, stop: Some(stop), thread: Some(thread) }
    }

    /// The grant, while the lease is held.
    pub fn grant(&self) -> Option<ActiveGrant> {
        let grant = self.status.borrow().grant;
        grant.filter(|grant| clock::now() < grant.expires_at)
    }

    pub fn token(&self) -> Option<u64> {
        self.grant().map(|grant| grant.token)
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        drop(self.stop.take());
        drop(self.thread.take().map(JoinHandle::join));
    }
}
