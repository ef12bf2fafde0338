//! Runs a scenario against the real program.

use super::clients::Clients;
use super::discovery::{Discovery, Listed, ListedState};
use super::records::Records;
use super::report::SoakReport;
use super::scenario::{DrawPart, Scenario};
use super::servers::Servers;
use super::stage::Stage;
use crate::addresses::free_address;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::{spawn_local, LocalSet};

/// Plays a scenario against the program at this path.
///
/// # Panics
/// The stand-ins cannot be set up.
pub fn run(program: &str, scenario: &Scenario) -> SoakReport {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let records = Rc::new(RefCell::new(Records::default()));
    records.borrow_mut().has_crowd = scenario.crowd > 0;
    let played = play(program.to_string(), scenario.clone(), records.clone());
    LocalSet::new().block_on(&runtime.expect("a runtime"), played);
    let report = SoakReport::new(&records.borrow());
    report
}

async fn play(program: String, scenario: Scenario, records: Rc<RefCell<Records>>) {
    let servers = Servers::new(records.clone(), scenario.draw(DrawPart::Servers));
    let discovery = Discovery::new(records.clone(), scenario.draw(DrawPart::Discovery));
    let mut first = Vec::new();
    for _ in 0..scenario.servers {
        let listed = Listed { state: ListedState::Serving, boot_ms: 0 };
        first.push((servers.start().await, listed));
    }
    discovery.change(first);
    let listen = free_address();
    let clients = Clients::new(listen, &scenario, records.clone());
    let mut stage = Stage {
        program,
        draw: scenario.draw(DrawPart::Stage),
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
    stage.start().await;
    clients.gather_crowd(scenario.crowd).await;
    let sending = spawn_local(clients.clone().send_requests(scenario.rate));
    let started_at = tokio::time::Instant::now();
    for (at, event) in &scenario.events {
        stage.wait_until(started_at + *at).await;
        stage.apply(event).await;
    }
    stage.wait_until(started_at + scenario.length).await;
    stage.stop().await;
    sending.abort();
    clients.all_ended().await;
}
