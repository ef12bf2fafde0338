//! The daemon: what an operator's file describes, in force until the next good one.

use crate::check;
use mintshelf_admission::slots::SlotConfig;
use mintshelf_balancer::api::{ListedServer, ServerId};
use mintshelf_config::admission::{admission_config, slot_config, tenant_resolver};
use mintshelf_config::balancer::{balancer_config, to_nanos, BalancerConfig};
use mintshelf_config::model::{self, OperatorConfig, Route, RouteAction, SOCKET_QUEUE_SHARE};
use mintshelf_config::platform::Names;
use mintshelf_proxy::budget::ResourceBudget;
use mintshelf_proxy::client::connection::ClientTimeouts;
use mintshelf_proxy::client::handler::RequestHandler;
use mintshelf_proxy::client::listener::{listen, ClientListener};
use mintshelf_proxy::client::registry::Clients;
use mintshelf_proxy::cluster::runtime::{ClusterRuntime, RuntimeUsage};
use mintshelf_proxy::cluster::spec::ClusterSpec;
use mintshelf_proxy::gateway::admission::AdmissionController;
use mintshelf_proxy::gateway::config::{ClusterHandle, ListenerAdmission, ServingConfig};
use mintshelf_proxy::gateway::handler::GatewayHandler;
use mintshelf_proxy::gateway::stats::ProxyStats;
use mintshelf_proxy::upstream::connection_limits::ClusterLimits;
use mintshelf_proxy::upstream::pool::ConnectionPool;
use mintshelf_proxy::upstream::response::{PlainProtocol, UpstreamProtocol};
use mintshelf_proxy::websocket::registry::SocketRegistry;
use mintshelf_recovery::Phase;
use mintshelf_retry::attempts::AttemptCounts;
use mintshelf_routing::RouteTable;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// A listener that is given up goes on accepting for so long: what was on its way is
/// answered, and told to close.
const LINGER: Duration = Duration::from_millis(500);
/// How often the end and the retired look whether the last request is over.
const LOOK: Duration = Duration::from_millis(50);

struct Listening {
    front: Rc<GatewayHandler>,
    name: String,
    accepting: AbortHandle,
    draining: CancellationToken,
}

struct Running {
    pool: Rc<ClusterHandle>,
    module: BalancerConfig,
    style: UpstreamProtocol,
    run: AbortHandle,
}

#[derive(Default)]
struct State {
    file: Option<Rc<OperatorConfig>>,
    taken: Option<SystemTime>,
    listeners: BTreeMap<SocketAddr, Listening>,
    pools: BTreeMap<String, Running>,
}

/// What is in force, and what is shared by all that ever was.
pub struct Daemon {
    path: PathBuf,
    state: RefCell<State>,
    limits: ResourceBudget,
    /// Limits of tenants, routes and clusters, with what counts against them.
    pub gates: Rc<AdmissionController>,
    connections: Rc<ConnectionPool>,
    patience: ClientTimeouts,
    /// What the first file said of what can't change while the program runs.
    fixed: (model::ProcessLimits, Option<SocketAddr>, Option<model::FleetConfig>),
    /// The planned end has begun.
    ending: CancellationToken,
    /// All open WebSockets.
    pub sockets: Rc<SocketRegistry>,
    /// All clients' connections.
    pub clients: Rc<Clients>,
    /// What was done.
    pub counts: Rc<ProxyStats>,
    reloads: [Cell<u64>; 2],
    seed: u64,
}

/// Why a file is not taken.
pub type Refused = Vec<String>;

/// Reads a file; the errors are lines.
pub fn read(path: &Path) -> Result<OperatorConfig, Refused> {
    check::read(path).map_err(|unusable| unusable.lines())
}

impl Daemon {
    /// Puts a first file in force.
    pub fn start(path: PathBuf, file: OperatorConfig) -> Result<Rc<Self>, Refused> {
        let limits = ResourceBudget::new(file.limits.file_descriptors, file.limits.memory_bytes);
        let longest = file.classes.values().map(|class| class.deadline).max();
        let queues = (file.limits.memory_bytes as f64 * SOCKET_QUEUE_SHARE) as usize;
        let daemon = Rc::new(Daemon {
            path,
            state: RefCell::default(),
            connections: ConnectionPool::new(&limits),
            limits,
            gates: Rc::default(),
            patience: ClientTimeouts {
                receive: file.limits.head_timeout,
                idle: file.limits.idle_timeout,
                // Bytes that pass give it anew, so it bounds silence and not size.
                busy: longest.unwrap_or_default() + file.limits.stream_timeout,
                is_extended_by_progress: true,
                allows_half_close: !file.limits.abort_on_close,
            },
            sockets: SocketRegistry::new(queues, RandomState::new().build_hasher().finish()),
            fixed: (file.limits.clone(), file.admin, file.fleet.clone()),
            ending: CancellationToken::new(),
            clients: Rc::default(),
            counts: Rc::default(),
            reloads: Default::default(),
            // From the system's random numbers.
            seed: RandomState::new().build_hasher().finish(),
        });
        daemon.apply(file)?;
        Ok(daemon)
    }

    /// Serves a front beside the file's listeners, to the end.
    pub fn also(&self, front: Rc<impl RequestHandler>, listener: TcpListener) {
        self.accept(front, listener, self.ending.clone());
    }

    fn accept<F: RequestHandler>(
        &self,
        front: Rc<F>,
        listener: TcpListener,
        draining: CancellationToken,
    ) -> AbortHandle {
        let clients = self.clients.clone();
        let inbound = ClientListener::new(front, clients, &self.limits, self.patience, draining);
        spawn_local(async move { inbound.accept(listener).await }).abort_handle()
    }

    /// Puts a file in force, whole or not at all. All of it happens in one turn: no request
    /// sees a part of it.
    fn apply(&self, file: OperatorConfig) -> Result<(), Refused> {
        let file = Rc::new(file);
        let mut tables = Vec::new();
        for listener in &file.listeners {
            let on = |route: &&Route| {
                route.listeners.is_empty() || route.listeners.contains(&listener.name)
            };
            let routes: Vec<Route> = file.routes.iter().filter(on).cloned().collect();
            let table = RouteTable::new(routes.iter().map(|route| route.rule.clone()));
            tables.push((listener, routes, table.map_err(|e| vec![e.to_string()])?));
        }
        let mut bound = HashMap::new();
        for listener in &file.listeners {
            if !self.state.borrow().listeners.contains_key(&listener.address) {
                let socket = listen(listener.address).map_err(|e| {
                    vec![format!("listener '{}', {}: {e}", listener.name, listener.address)]
                })?;
                bound.insert(listener.address, socket);
            }
        }
        // From here on nothing can fail.
        let state = &mut *self.state.borrow_mut();
        self.apply_clusters(state, &file);
        let clusters: HashMap<String, Rc<ClusterHandle>> = state
            .pools
            .iter()
            .map(|(name, running)| (name.clone(), running.pool.clone()))
            .collect();
        let stay = |address: &SocketAddr| file.listeners.iter().any(|l| l.address == *address);
        let gone: Vec<_> = state.listeners.keys().copied().filter(|a| !stay(a)).collect();
        for address in gone {
            if let Some(listening) = state.listeners.remove(&address) {
                listening.draining.cancel();
                let listener = listening.front.listener_id();
                self.sockets.drain(Some(listener), self.socket_drain());
                spawn_local(async move {
                    sleep(LINGER).await;
                    listening.accepting.abort();
                });
            }
        }
        let set = admission_config(&file);
        self.gates.configure(&set);
        self.sockets
            .configure(SlotConfig { capacity: self.fixed.0.max_websockets, ..slot_config(&file) });
        let tenants = tenant_resolver(&file).map(Rc::new);
        for (listener, routes, table) in tables {
            let admission = (!set.is_empty()).then(|| ListenerAdmission {
                controller: self.gates.clone(),
                tenants: tenants.clone(),
                tenant_header: file.tenant_header.clone(),
                route_names: routes.iter().map(|route| Rc::from(route.name.as_str())).collect(),
                cluster_names: clusters.keys().map(|n| (n.clone(), Rc::from(n.as_str()))).collect(),
            });
            let serving = Rc::new(ServingConfig {
                table,
                listener: listener.name.clone(),
                admission,
                repeat_header: file.repeat_header.clone(),
                hits: routes.iter().map(|_| Cell::new(0)).collect(),
                routes,
                clusters: clusters.clone(),
                forwarding: file.forwarding.clone(),
            });
            match (state.listeners.get_mut(&listener.address), bound.remove(&listener.address)) {
                (Some(listening), _) => {
                    listening.front.replace_config(serving);
                    listening.name = listener.name.clone();
                }
                (None, Some(socket)) => {
                    let (room, counts) = (self.limits.bodies.clone(), self.counts.clone());
                    let sockets = self.sockets.clone();
                    let front = GatewayHandler::new(serving, room, counts, sockets, self.seed);
                    let draining = CancellationToken::new();
                    let accepting = self.accept(front.clone(), socket, draining.clone());
                    let name = listener.name.clone();
                    let listening = Listening { front, name, accepting, draining };
                    state.listeners.insert(listener.address, listening);
                }
                (None, None) => {}
            }
        }
        if self.fixed != (file.limits.clone(), file.admin, file.fleet.clone()) {
            tracing::warn!("limits, admin and fleet are in force from the next start on");
        }
        state.file = Some(file);
        state.taken = Some(SystemTime::now());
        Ok(())
    }

    /// Keeps the clusters that stay as they are, with all that was learned; a change of
    /// endpoints alone is news to the module like any other list.
    fn apply_clusters(&self, state: &mut State, file: &OperatorConfig) {
        let mut old = std::mem::take(&mut state.pools);
        for (name, cluster) in &file.clusters {
            let module = balancer_config(file, name, cluster);
            let style = UpstreamProtocol::Plain(PlainProtocol {
                failure_statuses: cluster.failure_statuses.clone(),
                never_ran_header: cluster.never_ran_header.clone(),
                stall_timeout: self.fixed.0.stream_timeout,
            });
            let same = |running: &Running| {
                running.module.differs_in_servers_only(&module) && running.style == style
            };
            let running = match old.remove(name) {
                Some(mut running) if same(&running) => {
                    if running.module.servers != module.servers {
                        running.pool.runtime.set_endpoints(module.servers.clone());
                        let servers = module.servers.iter().map(|(server, _)| server.id).collect();
                        let number = running.pool.runtime.number();
                        self.sockets.retain_servers(
                            number,
                            &servers,
                            "its server leaves the cluster",
                        );
                        running.module = module;
                    }
                    running
                }
                other => {
                    other.into_iter().for_each(|running| self.retire(running));
                    self.start_pool(name, module, style)
                }
            };
            state.pools.insert(name.clone(), running);
        }
        old.into_values().for_each(|running| self.retire(running));
    }

    fn start_pool(&self, name: &str, module: BalancerConfig, style: UpstreamProtocol) -> Running {
        let spec = ClusterSpec {
            settings: module.settings.clone(),
            names: Names::default(),
            seed: self.seed,
            protocol: style.clone(),
            peers: None,
            discovery: None,
            recovery_ramp: Some(module.recovery_ramp),
            retry_policies: module.retry_policies.clone(),
            connection_limits: ClusterLimits {
                connections: module.connections,
                sockets: module.sockets,
            },
            socket_weight: module.socket_weight,
            name: Some(name.to_string()),
        };
        let driver = ClusterRuntime::start(spec, self.connections.clone());
        driver.set_endpoints(module.servers.clone());
        self.sockets.set_migration_window(driver.number(), module.socket_spread);
        let (sockets, number) = (self.sockets.clone(), driver.number());
        driver.on_suspicion(move |server| {
            sockets.probe_server(number, server);
        });
        let pool =
            Rc::new(ClusterHandle { runtime: driver.clone(), classes: module.classes.clone() });
        let run = spawn_local(async move { driver.run().await }).abort_handle();
        Running { pool, module, style, run }
    }

    /// Lets a cluster that is no longer in force end its requests, then frees it. Its sockets
    /// go on at what took its place, where they may, or are closed.
    fn retire(&self, running: Running) {
        let (sockets, number) = (self.sockets.clone(), running.pool.runtime.number());
        sockets.retain_servers(number, &HashSet::new(), "its cluster has changed");
        spawn_local(async move {
            // Those that still hold the snapshot may yet begin one: their count tells.
            while !running.pool.runtime.is_idle() || Rc::strong_count(&running.pool) > 1 {
                sleep(LOOK).await;
            }
            sockets.remove_cluster(number);
            running.run.abort();
        });
    }

    fn socket_drain(&self) -> u64 {
        to_nanos(self.fixed.0.websocket_drain)
    }

    /// Reads the file again; one that is refused changes nothing.
    pub fn reload(&self) {
        let result = read(&self.path).and_then(|file| self.apply(file));
        let count = &self.reloads[usize::from(result.is_err())];
        count.set(count.get() + 1);
        match result {
            Ok(()) => tracing::info!(file = %self.path.display(), "configuration applied"),
            Err(lines) => {
                lines.iter().for_each(|line| tracing::error!("{line}"));
                let (file, errors) = (self.path.display(), lines.len());
                tracing::error!(%file, errors, "configuration rejected");
            }
        }
    }

    /// How many reads succeeded and failed.
    pub fn reloads(&self) -> [(&'static str, u64); 2] {
        [("taken", self.reloads[0].get()), ("refused", self.reloads[1].get())]
    }

    /// Requests by route, ever.
    pub fn hits(&self) -> Vec<(String, u64)> {
        let mut all = self.counts.routes.borrow().clone();
        for listening in self.state.borrow().listeners.values() {
            for (name, hits) in listening.front.config().hits() {
                *all.entry(name.to_string()).or_default() += hits;
            }
        }
        all.into_iter().collect()
    }

    /// Each cluster's open requests, timers and endpoints.
    pub fn pools(&self) -> Vec<(String, [usize; 5])> {
        let state = self.state.borrow();
        let pool = |(name, running): (&String, &Running)| {
            let RuntimeUsage { requests: open, timers } = running.pool.runtime.usage();
            let recovery = running.pool.runtime.recovery_status();
            let told = recovery.map_or(0, |recovery| recovery.expected_clients);
            let phase = recovery.map_or(Phase::Normal, |recovery| recovery.phase);
            let phase = match phase {
                Phase::Normal => 0,
                Phase::Outage => 1,
                Phase::Recovering => 2,
            };
            (name.clone(), [open, timers, running.module.servers.len(), phase, told as usize])
        };
        state.pools.iter().map(pool).collect()
    }

    /// Where a cluster's server listens; empty if it has left.
    pub fn address(&self, cluster: &str, server: ServerId) -> String {
        let state = self.state.borrow();
        let driver = state.pools.get(cluster).map(|running| &running.pool.runtime);
        let address = driver.and_then(|driver| driver.address(server));
        address.map_or(String::new(), |address| address.to_string())
    }

    /// Each cluster's attempts that were ended for their own time, and second copies.
    pub fn tried(&self) -> Vec<(String, [u64; 2])> {
        let state = self.state.borrow();
        let tried = |(name, running): (&String, &Running)| {
            let AttemptCounts { timed_out, hedged } = running.pool.runtime.attempt_counts();
            (name.clone(), [timed_out, hedged])
        };
        state.pools.iter().map(tried).collect()
    }

    /// What is in force, for `/-/config`.
    pub fn in_force(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let Some(file) = &state.file else { return serde_json::Value::Null };
        let taken = state.taken.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        let listeners: Vec<_> = state
            .listeners
            .iter()
            .map(|(address, l)| serde_json::json!({"name": l.name, "address": address.to_string()}))
            .collect();
        let routes: Vec<_> = file.routes.iter().map(route_in_force).collect();
        let clusters: BTreeMap<_, _> = state
            .pools
            .iter()
            .map(|(name, running)| {
                let servers = running.module.servers.iter().map(server_in_force);
                (name, servers.collect::<Vec<_>>())
            })
            .collect();
        serde_json::json!({
            "file": self.path.display().to_string(),
            "hash": format!("{:016x}", file.hash),
            "taken_unix_ms": taken.map(|at| at.as_millis() as u64),
            "listeners": listeners, "routes": routes, "clusters": clusters,
        })
    }

    /// Ends: no further client is taken, and what is open is answered.
    pub async fn end(&self) {
        self.ending.cancel();
        let listeners = std::mem::take(&mut self.state.borrow_mut().listeners);
        listeners.values().for_each(|listening| listening.draining.cancel());
        self.sockets.drain(None, self.socket_drain());
        sleep(LINGER).await;
        // Those whose handshake was under way.
        self.sockets.drain(None, self.socket_drain());
        listeners.values().for_each(|listening| listening.accepting.abort());
        let busy = || self.state.borrow().pools.values().any(|r| !r.pool.runtime.is_idle());
        let over = async {
            while busy() || !self.clients.is_empty() {
                sleep(LOOK).await;
            }
        };
        // Clients that neither send nor leave are not waited for beyond their patience.
        let most = self.patience.busy + self.patience.idle + self.fixed.0.websocket_drain;
        let _ = timeout(most, over).await;
    }
}

fn route_in_force(route: &Route) -> serde_json::Value {
    let to: Vec<&str> = match &route.action {
        RouteAction::Forward(forward) => forward.split.clusters().collect(),
        _ => Vec::new(),
    };
    serde_json::json!({"name": route.name, "line": route.line, "class": route.class, "clusters": to})
}

fn server_in_force((server, address): &(ListedServer, SocketAddr)) -> serde_json::Value {
    serde_json::json!({"address": address.to_string(), "weight": server.size})
}
