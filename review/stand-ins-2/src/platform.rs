//! Stand-ins of the platform: discovery, bench nodes and the configuration of a sidecar, with the
//! settings of `lct-tunis`.

use crate::harness::{free_address, wait_for, Process, Run};
use crate::http::{ask, respond, serve, Request};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A line of the list of servers.
#[derive(Debug, Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: &'static str,
    pub cell: u32,
    pub state: &'static str,
}

impl Target {
    pub fn json(&self) -> String {
        let Target { uid, endpoint, zone, cell, state } = self;
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{endpoint}\",\"az\":\"{zone}\",\"model\":\"std-3c\",\
             \"pod_group\":{cell},\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        )
    }
}

struct Lists {
    revision: u64,
    targets: Vec<Target>,
}

/// Discovery: the whole list, and long polls for changes.
pub struct Discovery {
    pub address: SocketAddr,
    lists: Mutex<Lists>,
}

impl Discovery {
    pub fn start(run: &Arc<Run>, targets: Vec<Target>) -> Arc<Self> {
        let address = free_address();
        let lists = Mutex::new(Lists { revision: 41, targets });
        let discovery = Arc::new(Discovery { address, lists });
        let (service, run) = (discovery.clone(), run.clone());
        serve(address, move |request, out| {
            let body = service.answer(&request);
            run.log(format!("discovery: {} -> {}", request.target, &body[..body.len().min(60)]));
            respond(out, "200 OK", "Content-Type: application/json\r\n", &body)
        });
        discovery
    }

    fn answer(&self, request: &Request) -> String {
        let number = |name: &str| {
            let query = request.target.split('?').nth(1).unwrap_or("");
            let pair = query.split('&').filter_map(|pair| pair.split_once('='));
            pair.into_iter().find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
        };
        let lists = self.lists.lock().expect("lists");
        let after: Option<u64> = number("after");
        let Some(after) = after else { return lists.whole() };
        let until =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        // Nothing changes in these cases: a poll waits for as long as it says.
        if lists.revision <= after {
            let revision = lists.revision;
            drop(lists);
            std::thread::sleep(until.saturating_duration_since(Instant::now()));
            return format!("{{\"rev\":{revision},\"all\":false,\"targets\":[]}}");
        }
        format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", lists.revision)
    }

    /// The list as the configuration has it.
    pub fn known(&self) -> String {
        self.lists.lock().expect("lists").whole()
    }
}

impl Lists {
    fn whole(&self) -> String {
        let entries: Vec<String> = self.targets.iter().map(Target::json).collect();
        format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", self.revision, entries.join(","))
    }
}

/// What differs between the cases' settings.
pub struct Settings {
    /// The group and the window (ms) of `queue-run`.
    pub queue_run: (&'static str, u64),
    pub probes: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { queue_run: ("all", 20_000), probes: true }
    }
}

fn class(
    name: &str,
    semantics: &str,
    goal_ms: u64,
    deadline_ms: u64,
    worth: f64,
    group: &str,
    span_ms: u64,
) -> String {
    let ns = |ms: u64| ms * 1_000_000;
    format!(
        "{{\"name\":\"{name}\",\"semantics\":\"{semantics}\",\"goal-time\":{},\"deadline\":{},\"worth\":{worth:?},\
         \"late-worth\":0.0,\"group\":\"{group}\",\"memory-span\":{},\"stream\":false}}",
        ns(goal_ms), ns(deadline_ms), ns(span_ms)
    )
}

/// The configuration of a sidecar.
pub fn config(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    seed: u64,
    settings: &Settings,
) -> String {
    let classes = [
        class("device-status", "pure", 400, 1_200, 3.0, "all", 5_000),
        class("run-logs", "pure", 750, 3_000, 1.0, "all", 5_000),
        class("queue-run", "token", 750, 4_000, 2.0, settings.queue_run.0, settings.queue_run.1),
        class("flash-device", "side_effect", 1_200, 6_000, 8.0, "all", 5_000),
    ];
    let probes = settings.probes;
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":384}},\"known\":{known},\"settings\":{{\
         \"balancers\":1,\"classes\":[{}],\"client-habits\":{{\"marks-retry\":false}},\
         \"domain\":{{\"warm-keys\":false}},\"flavors\":[\"std-3c\",\"small-2c\"],\
         \"goal\":{{\"whole\":0.45,\"worst-class\":0.1,\"worst-tenant\":0.1,\"worst-window\":0.35}},\
         \"invariants\":{{\"ask-within\":10000000000,\"cold\":8400000000,\"cold-from\":0.3,\"fall-multiple\":3.0,\
         \"grace-to-answer\":20000000,\"stop-sending-within\":250000000,\"tip-after\":2000000000}},\
         \"limits\":{{\"cancel\":true,\"conn-idle\":15000000000,\"connect-timeout\":200000000,\
         \"cpu-us-per-request\":0.0,\"cpu-us-per-s\":406334,\"max-attempts\":6,\"max-retry-after\":2000000000,\
         \"max-streams\":1,\"most-held\":20000,\"parallel-tries\":false,\"peers\":false,\"probes\":{probes},\
         \"retry-after\":true}},\"over-share-worth\":0.05,\
         \"prices\":{{\"connection\":0.0,\"cross-zone\":0.02,\"handshake\":0.0,\"late-fail\":0.03,\"moves\":0.0,\
         \"origin\":0.0,\"peer\":0.0,\"probe\":0.002,\"registry-mode\":0.0,\"waste\":0.02}},\
         \"registry-mode\":\"subscribe\",\"report\":{{\"fields\":[\"eps\",\"queue\",\"inflight\"],\"how\":\"pull\"}},\
         \"self-index\":0,\"service-type\":\"mesh\",\
         \"tenants\":[{{\"name\":\"medina-mobile\",\"quota-rps\":840.0,\"share\":1.0}}],\
         \"tick\":5000000,\"tier\":0,\"tiers\":[\"bench-nodes\"],\"weight-kind\":\"nominal\",\"worth-by\":\"request\",\
         \"zone\":0,\"zones\":[\"charguia\",\"ariana\"]}}}}",
        classes.join(",")
    )
}

/// Starts a sidecar and waits until it is ready.
pub fn start_sidecar(
    run: &Run,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    config: &str,
) -> Result<Process, String> {
    let file = run.write(&format!("{name}.json"), config);
    let variables = [
        ("RELAY_NAME", "n0".to_string()),
        ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", discovery.to_string()),
        ("RELAY_CONFIG", file.display().to_string()),
    ];
    let process = run.start(name, "exec target/release/mintshelf", &variables);
    if !wait_ready(listen) {
        return Err(format!("the sidecar is not ready: {}", run.output_of(name)));
    }
    run.log(format!("{name} is ready"));
    Ok(process)
}

pub fn wait_ready(listen: SocketAddr) -> bool {
    wait_for(Duration::from_secs(10), || {
        let ready = b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
        ask(listen, ready, Duration::from_secs(1)).status() == Some(200)
    })
}

/// A request of the application.
pub fn message(class: &str, id: &str, remaining_ms: u64, key: &str, body: &str) -> Vec<u8> {
    let head = format!("Host: origin.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Org: medina-mobile\r\nX-Remaining-Ms: {remaining_ms}\r\n");
    match class {
        "device-status" | "run-logs" => format!("GET /api HTTP/1.1\r\n{head}\r\n"),
        "queue-run" => format!(
            "POST /api HTTP/1.1\r\n{head}Idempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ),
        _ => format!("POST /api HTTP/1.1\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len()),
    }
    .into_bytes()
}

/// Answers a probe; returns whether the request was one.
pub fn answer_probe(request: &Request, out: &mut std::net::TcpStream) -> Option<bool> {
    match request.target.as_str() {
        "/-/healthy" => Some(respond(out, "200 OK", "", "ok\n")),
        "/-/load" => Some(respond(out, "200 OK", "", "TEXT eps=0, queue=0, inflight=1")),
        _ => None,
    }
}
