//! The memory of endpoint lists: that of the listed servers, whatever else is allocated or freed
//! while a list is applied.

use mintshelf_balancer::api::{ListedServer, ServerId, Settings};
use mintshelf_config::balancer::ClusterServer;
use mintshelf_config::platform::Names;
use mintshelf_proxy::budget::ResourceBudget;
use mintshelf_proxy::cluster::runtime::ClusterRuntime;
use mintshelf_proxy::cluster::spec::ClusterSpec;
use mintshelf_proxy::memory::MemoryBudget;
use mintshelf_proxy::upstream::connection_limits::ClusterLimits;
use mintshelf_proxy::upstream::pool::ConnectionPool;
use mintshelf_proxy::upstream::response::UpstreamProtocol;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::task::LocalSet;

const LIMIT: usize = 64 << 20;
/// Number of bytes that something else allocates or frees between two readings of the allocator.
const STEP: isize = 1 << 20;

thread_local! {
    static ALLOCATED: Cell<usize> = const { Cell::new(LIMIT / 4) };
    static STEPS: Cell<isize> = const { Cell::new(0) };
}

/// Returns a number of bytes that changes with each call.
fn allocated() -> usize {
    let bytes = ALLOCATED.get().saturating_add_signed(STEPS.get() * STEP);
    ALLOCATED.replace(bytes)
}

fn spec() -> ClusterSpec {
    ClusterSpec {
        settings: Settings::default(),
        names: Names::default(),
        seed: 1,
        protocol: UpstreamProtocol::Platform,
        peers: None,
        discovery: None,
        recovery_ramp: None,
        retry_policies: Vec::new(),
        connection_limits: ClusterLimits::default(),
        socket_weight: 0.0,
        name: None,
    }
}

fn servers(count: u16) -> Vec<ClusterServer> {
    let server = |number| ClusterServer {
        listed: ListedServer { id: ServerId::from(u32::from(number)), ..ListedServer::default() },
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number)),
    };
    (1..=count).map(server).collect()
}

#[tokio::test(flavor = "current_thread")]
async fn resident_memory_follows_the_number_of_listed_servers() {
    LocalSet::new()
        .run_until(async {
            let budget = ResourceBudget::new(1024, MemoryBudget::new(LIMIT, allocated));
            let memory = budget.memory.clone();
            let at_start = memory.resident();
            let runtime: Rc<ClusterRuntime> =
                ClusterRuntime::start(spec(), ConnectionPool::new(&budget));
            let resident_with = |count, steps| {
                STEPS.set(steps);
                runtime.set_endpoints(servers(count));
                STEPS.set(0);
                memory.resident() - at_start
            };
            let few = resident_with(10, 0);
            assert_eq!(resident_with(10, 1), few, "something else was allocated");
            assert_eq!(resident_with(10, -1), few, "something else was freed");
            assert!(few > 0);
            assert_eq!(resident_with(200, 1), few * 20);
            assert_eq!(resident_with(10, -1), few);
            drop(runtime);
            assert_eq!(memory.resident(), at_start);
        })
        .await;
}
