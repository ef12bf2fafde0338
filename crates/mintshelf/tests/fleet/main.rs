//! Replicas as real processes, with every connection between two of them through a relay; members
//! hold leases while processes are stopped, killed and partitioned.

mod cluster;
mod lease_run;
mod member;
mod storm;

use cluster::{Cluster, PROGRAM};
use member::{Member, LONG_LEASE};
use mintshelf_test_support::{get, wait_until, Daemon};
use serde_json::Value;
use std::process::Command;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_fleet_is_initialized_once_and_an_empty_store_does_not_vote() {
    let mut cluster = Cluster::new("begins", 3);
    let file = cluster.file(0);
    let output = Command::new(PROGRAM).arg("run").arg("--config").arg(&file).output().unwrap();
    assert!(!output.status.success());
    assert!(text(&output.stderr).contains("the store is empty"), "{output:?}");
    cluster.initialize();
    let again = cluster.command(0, &["fleet", "init"]);
    assert!(!again.status.success());
    assert!(text(&again.stderr).contains("another process uses this directory"), "{again:?}");
    // A follower, so that the leader keeps what the replica has acknowledged.
    let killed = (cluster.leader().unwrap() + 1) % 3;
    cluster.kill(killed);
    let again = cluster.command(killed, &["fleet", "init"]);
    assert!(text(&again.stderr).contains("holds a voter's store already"), "{again:?}");
    // A store that was emptied and initialized again: the replica notices by the leader and stops.
    std::fs::remove_dir_all(cluster.store_directory(killed)).unwrap();
    assert!(cluster.command(killed, &["fleet", "init"]).status.success());
    cluster.start(killed);
    let log = || cluster.processes[killed].as_ref().map(Daemon::log_output).unwrap_or_default();
    wait_until("it logs that its store is behind", || log().contains("this voter must stop"));
    let daemon = cluster.processes[killed].as_ref().unwrap();
    assert_eq!(
        daemon.send_request(&get("/")).map(|response| response.status()),
        Some(200),
        "traffic goes on"
    );
}

#[test]
fn a_lease_outlives_killed_replicas_and_is_shown_and_released() {
    let mut cluster = Cluster::new("outlives", 3);
    cluster.initialize();
    let member = Member::start(&cluster.addresses, "first");
    wait_until("the lease is held", || member.token().is_some());
    let grant = member.grant().unwrap();
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    wait_until("renewed past its duration", || {
        member.grant().is_some_and(|renewed| renewed.expires_at > grant.expires_at + LONG_LEASE)
    });
    assert_eq!(member.token(), Some(grant.token));
    cluster.start(leader);
    wait_until("it responds again, in its second incarnation", || {
        let status = cluster.status();
        let replica = &status["voters"][leader];
        replica["lives"] == 3 && replica["lag"] == 0
    });
    let listed = cluster.command(1, &["lease", "list", "--json"]);
    let leases: Value = serde_json::from_slice(&listed.stdout).unwrap();
    assert_eq!(leases[0]["lease"], "task");
    assert_eq!(leases[0]["held"]["member"], "first");
    assert_eq!(leases[0]["held"]["token"], grant.token);
    let table = cluster.command(1, &["fleet", "status"]);
    assert!(text(&table.stdout).contains("leader"), "{table:?}");
    let released = cluster.command(2, &["lease", "release", "task"]);
    assert!(released.status.success(), "{released:?}");
    wait_until("another grant", || member.token().is_some_and(|token| token > grant.token));
    // One replica of three: no grants, a clear error at once, and requests are served.
    let survivor = cluster.leader().unwrap();
    (0..3).filter(|index| *index != survivor).for_each(|index| cluster.kill(index));
    wait_until("the lease has expired", || member.token().is_none());
    let listed = cluster.command(survivor, &["lease", "list"]);
    assert_eq!(listed.status.code(), Some(69));
    assert!(text(&listed.stderr).contains("1 of 3 voters answer, 2 are needed"), "{listed:?}");
    let daemon = cluster.processes[survivor].as_ref().unwrap();
    assert_eq!(daemon.send_request(&get("/")).map(|response| response.status()), Some(200));
}
