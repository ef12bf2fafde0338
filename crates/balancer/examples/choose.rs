//! Starts an instance, gives it a list of three servers and lets it choose one.

use mintshelf_balancer::api::{
    Action, ClassId, EndpointState, Event, ListKind, ListedServer, TenantId,
};
use mintshelf_balancer::decide::Balancer;
use mintshelf_balancer::settings::parse_settings;
use std::error::Error;

const SETTINGS: &str = r#"{
  "self-index": 0, "balancers": 10, "tick": 5000000, "registry-mode": "automatic",
  "classes": [{"semantics": "pure", "goal-time": 300000000, "deadline": 1000000000, "worth": 1}],
  "invariants": {"grace-to-answer": 15000000, "stop-sending-within": 500000000,
    "cold-from": 0.3, "cold": 8000000000, "fall-multiple": 3, "tip-after": 2000000000},
  "limits": {"cancel": true, "probes": false, "peers": false, "retry-after": true,
    "parallel-tries": true, "max-attempts": 3,
    "connect-timeout": 200000000, "conn-idle": 15000000000}
}"#;

fn main() -> Result<(), Box<dyn Error>> {
    let mut actions = Vec::new();
    let mut balancer = Balancer::new(parse_settings(SETTINGS)?, 7, 0, &mut actions);
    let server =
        |id, size| ListedServer { id, size, state: EndpointState::Live, ..Default::default() };
    let entries = vec![server(11, 1.0), server(12, 2.0), server(13, 4.0)].into();
    balancer.handle(
        0,
        Event::EndpointListUpdate { kind: ListKind::Full, revision: 1, entries },
        &mut actions,
    );
    let request = Event::Request {
        id: "first".into(),
        class: ClassId::default(),
        tenant: TenantId::default(),
        key: None,
        cost_estimate: None,
        is_client_retry: false,
        client_timeout: 1_000_000_000,
    };
    balancer.handle(1_000_000, request, &mut actions);
    for action in actions {
        if let Action::Send { id, server, .. } = action {
            println!("request {id} goes to server {server}");
        }
    }
    Ok(())
}
