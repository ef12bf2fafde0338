//! Runs a scenario against the real program.

use super::clients::Clients;
use super::discovery::{Discovery, Listed, ListedState};
use super::environment::Environment;
use super::records::Records;
use super::report::SoakReport;
use super::scenario::{RandomStream, Scenario};
use super::servers::Servers;
use crate::addresses::free_address;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::{spawn_local, LocalSet};

/// Runs a scenario against the program at this path.
///
/// # Panics
/// The servers or the discovery service cannot be set up.
#[must_use]
pub fn run(program: &str, scenario: &Scenario) -> SoakReport {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let records = Rc::new(RefCell::new(Records::default()));
    records.borrow_mut().has_idle_clients = scenario.idle_clients > 0;
    let finished = run_scenario(program.to_string(), scenario.clone(), records.clone());
    LocalSet::new().block_on(&runtime.expect("a runtime"), finished);
    let report = SoakReport::new(&records.borrow());
    report
}

async fn run_scenario(program: String, scenario: Scenario, records: Rc<RefCell<Records>>) {
    let servers = Servers::new(records.clone(), scenario.random(RandomStream::Servers));
    let discovery = Discovery::new(records.clone(), scenario.random(RandomStream::Discovery));
    let mut first = Vec::new();
    for _ in 0..scenario.servers {
        let listed = Listed { state: ListedState::Serving, boot_ms: 0 };
        first.push((servers.start().await, listed));
    }
    discovery.change(first);
    let listen = free_address();
    let clients = Clients::new(listen, &scenario, records.clone());
    let mut environment = Environment {
        program,
        random: scenario.random(RandomStream::Environment),
        listen,
        discovery_address: discovery.listen().await,
        scenario: scenario.clone(),
        records,
        servers,
        discovery,
        clients: clients.clone(),
        child: None,
        cpu_limit: None,
    };
    environment.start().await;
    clients.open_idle_connections(scenario.idle_clients).await;
    let sending = spawn_local(clients.clone().send_requests(scenario.rate));
    let started_at = tokio::time::Instant::now();
    for (at, event) in &scenario.events {
        environment.wait_until(started_at + *at).await;
        environment.apply(event).await;
    }
    environment.wait_until(started_at + scenario.length).await;
    environment.stop().await;
    sending.abort();
    clients.all_ended().await;
}
