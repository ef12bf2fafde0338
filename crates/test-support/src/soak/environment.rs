//! The environment of a run: servers, discovery, clients, and the process with its signals.

use super::clients::Clients;
use super::cpu_limit::CpuLimit;
use super::discovery::{Discovery, Listed, ListedState};
use super::records::Records;
use super::scenario::{Behavior, Class, Event, Scenario, SeededRandom};
use super::servers::Servers;
use super::stream::{MessageStream, Received};
use crate::message::get;
use crate::process::Process;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

/// A process has to be ready in this time.
const READY_MAX: Duration = Duration::from_secs(10);
/// The longest deadline counts up to this between SIGTERM and SIGKILL, with `KILL_EXTRA` on top.
const KILL_DEADLINE_MAX: Duration = Duration::from_secs(3);
const KILL_EXTRA: Duration = Duration::from_millis(700);
/// Clients go on connecting for this long after SIGTERM.
const LATE_CONNECTS: Duration = Duration::from_millis(300);
/// Time that a run continues after its last restart.
const AFTER_RESTART: Duration = Duration::from_secs(2);
/// Environment variable with a folder for the processes' logs; `MINTSHELF_LOG` sets their levels.
const LOGS_VARIABLE: &str = "MINTSHELF_SOAK_LOGS";
/// Time between two records of what the process uses.
const USAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Limit of descriptors in the configuration.
const SOCKETS: usize = 256;
const MEMORY_MB: usize = 48;

/// A process, and everything that it is connected to.
pub(super) struct Environment {
    pub(super) program: String,
    pub(super) scenario: Scenario,
    pub(super) random: SeededRandom,
    pub(super) listen: SocketAddr,
    pub(super) discovery_address: SocketAddr,
    pub(super) records: Rc<RefCell<Records>>,
    pub(super) servers: Rc<Servers>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) clients: Rc<Clients>,
    pub(super) child: Option<RunningProcess>,
    pub(super) cpu_limit: Option<CpuLimit>,
}

/// A process, killed when this is dropped.
pub(super) struct RunningProcess(Child);

impl Process for RunningProcess {
    fn pid(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        crate::process::kill(&mut self.0);
    }
}

impl Environment {
    /// Waits, and records meanwhile what the process uses.
    pub(super) async fn wait_until(&self, at: tokio::time::Instant) {
        while tokio::time::Instant::now() < at {
            self.record_usage();
            sleep_until(at.min(tokio::time::Instant::now() + USAGE_INTERVAL)).await;
        }
    }

    pub(super) async fn apply(&mut self, event: &Event) {
        match event {
            Event::Join(count) => self.join(*count).await,
            Event::Drain(count) => self.drain(*count),
            Event::Remove => self.remove(),
            Event::Misbehave { thousandths, behavior, duration } => {
                self.misbehave(*thousandths, *behavior, *duration);
            }
            Event::Outage(duration) => {
                let discovery = self.discovery.clone();
                let duration = *duration;
                spawn_local(async move { discovery.go_down(duration).await });
            }
            Event::SilentWatches => self.discovery.silence_watches(),
            Event::Deliver { delivery, duration } => {
                let discovery = self.discovery.clone();
                let (delivery, duration) = (*delivery, *duration);
                spawn_local(async move { discovery.deliver(delivery, duration).await });
            }
            Event::CompleteLists => self.discovery.answer_completely(true),
            Event::Reload => self.reload().await,
            Event::Restart => {
                self.stop().await;
                self.start().await;
                sleep(AFTER_RESTART).await;
            }
        }
    }

    async fn join(&mut self, count: usize) {
        let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis());
        let boot_ms = u64::try_from(boot_ms).expect("a time of this age");
        let mut joined = Vec::new();
        for _ in 0..count {
            let listed = Listed { state: ListedState::Serving, boot_ms };
            joined.push((self.servers.start().await, listed));
        }
        self.discovery.change(joined);
    }

    fn drain(&mut self, count: usize) {
        let mut serving = self.discovery.with_state(ListedState::Serving);
        let mut drained = Vec::new();
        while drained.len() < count && serving.len() > 2 {
            let server = serving.swap_remove(self.random.between(0, serving.len() - 1));
            drained.push((server, Listed { state: ListedState::Draining, boot_ms: 0 }));
        }
        self.discovery.change(drained);
    }

    fn remove(&self) {
        let draining = self.discovery.with_state(ListedState::Draining);
        let removed = Listed { state: ListedState::Deleted, boot_ms: 0 };
        self.discovery.change(draining.into_iter().map(|server| (server, removed)).collect());
        self.discovery.answer_completely(false);
    }

    fn misbehave(&mut self, thousandths: usize, behavior: Behavior, duration: Duration) {
        let count = self.records.borrow().servers.len();
        let affected: Vec<usize> =
            (0..count).filter(|_| self.random.between(0, 999) < thousandths).collect();
        affected.iter().for_each(|server| self.servers.set_behavior(*server, behavior));
        let servers = self.servers.clone();
        spawn_local(async move {
            sleep(duration).await;
            affected.iter().for_each(|server| servers.set_behavior(*server, Behavior::Serve));
        });
    }

    async fn reload(&mut self) {
        self.discovery_address = self.discovery.listen().await;
        self.write_config();
        if let Some(child) = &self.child {
            child.signal("HUP");
            self.records.borrow_mut().reloads.push(Instant::now());
        }
    }

    fn file(&self) -> PathBuf {
        let name = self.listen.to_string().replace(':', "-");
        std::env::temp_dir().join(format!("mintshelf-soak-{name}.json"))
    }

    fn write_config(&self) {
        let config = self.config().to_string();
        std::fs::write(self.file(), config).expect("a configuration file");
    }

    fn config(&self) -> Value {
        let deadline = u64::try_from(self.scenario.deadline.as_nanos()).expect("a short deadline");
        let semantics = |class: Class| match class {
            Class::Safe => "pure",
            Class::Keyed => "token",
            Class::Unsafe => "side_effect",
        };
        let classes = Class::ALL.map(|class| {
            json!({"name": class.name(), "semantics": semantics(class), "goal-time": deadline / 2,
                "deadline": deadline, "worth": 1, "memory-span": 20_000_000_000u64})
        });
        let mut config = crate::sidecar::config(self.discovery_address, Vec::new());
        config["listen"] = json!(self.listen.to_string());
        config["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": SOCKETS});
        config["known"] = self.discovery.known_list();
        config["settings"]["balancers"] = json!(300);
        config["settings"]["classes"] = json!(classes);
        config["settings"]["invariants"]["cold"] = json!(6_000_000_000u64);
        config
    }

    /// Where the process's log goes: a file for each start in the folder that the environment names.
    fn log(&self) -> Stdio {
        let Some(folder) = std::env::var_os(LOGS_VARIABLE) else { return Stdio::null() };
        let start = self.records.borrow().shutdowns.len() + 1;
        let name = format!("soak-{}-{start}.log", self.scenario.seed);
        let file = std::fs::File::create(PathBuf::from(folder).join(name));
        file.expect("a log file").into()
    }

    /// Starts the process and waits until it is ready.
    pub(super) async fn start(&mut self) {
        self.write_config();
        self.discovery.record_known();
        let mut command = Command::new(&self.program);
        command.env("RELAY_CONFIG", self.file()).stdout(Stdio::null()).stderr(self.log());
        let child = RunningProcess(command.spawn().expect("the program starts"));
        let thousandths = self.scenario.cpu_thousandths;
        self.cpu_limit = thousandths.map(|thousandths| CpuLimit::start(child.pid(), thousandths));
        self.child = Some(child);
        if timeout(READY_MAX, self.ready()).await.is_err() {
            self.report_fault("not ready in 10 s");
        }
        self.clients.set_may_connect(true);
    }

    async fn ready(&self) {
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen).await {
                let mut stream = MessageStream::new(stream);
                let written = stream.write(&get("/-/ready")).await;
                let response = stream.read().await;
                let is_ready =
                    matches!(response, Received::Message(response, _) if response.status() == 200);
                if written.is_ok() && is_ready {
                    return;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// SIGTERM, and SIGKILL at the earliest time that the platform allows.
    pub(super) async fn stop(&mut self) {
        if !self.is_running() {
            self.report_fault("the process had ended by itself");
            return;
        }
        let signalled_at = Instant::now();
        self.child.iter().for_each(|child| child.signal("TERM"));
        sleep(LATE_CONNECTS).await;
        self.clients.set_may_connect(false);
        let kill_after = self.scenario.deadline.min(KILL_DEADLINE_MAX) + KILL_EXTRA;
        while signalled_at.elapsed() < kill_after && self.is_running() {
            self.record_usage();
            sleep(Duration::from_millis(10)).await;
        }
        self.cpu_limit = None;
        self.child = None;
        {
            let mut records = self.records.borrow_mut();
            records.shutdowns.push(signalled_at.elapsed());
            let used = std::mem::take(&mut records.cpu_of_current);
            records.cpu += used;
        }
        self.clients.all_ended().await;
        self.clients.forget_connections();
    }

    fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.0.try_wait(), Ok(None)))
    }

    /// Records what the process has used; it may end meanwhile.
    fn record_usage(&self) {
        let Some(pid) = self.child.as_ref().map(RunningProcess::pid) else { return };
        let Ok(schedstat) = std::fs::read_to_string(format!("/proc/{pid}/schedstat")) else {
            return;
        };
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        let Ok(status) = std::fs::read_to_string(format!("/proc/{pid}/status")) else { return };
        let used = schedstat.split(' ').next().and_then(|used| used.parse().ok()).unwrap_or(0);
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.split_whitespace().next()?.parse::<usize>().ok());
        let mut records = self.records.borrow_mut();
        records.cpu_of_current = records.cpu_of_current.max(Duration::from_nanos(used));
        records.descriptors = records.descriptors.max(descriptors);
        records.peak_memory = records.peak_memory.max(peak.unwrap_or(0) << 10);
    }

    fn report_fault(&self, text: &str) {
        self.records.borrow_mut().process_faults.push(text.to_string());
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.file());
    }
}
