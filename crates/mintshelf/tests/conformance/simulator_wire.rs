//! Rows on the simulator's wire: lines in and lines out, as text.

use super::harness::{settings, EndedAttempt, Harness, START_TIME};
use super::rows::{AttemptResult, RequestOutcome, ServerState};
use mintshelf_simulator_adapter::host::Host;

/// The adapter's host with one instance, its clock and its timers.
pub struct SimulatorWire {
    host: Host,
    now: u64,
    /// Time and label of each.
    timers: Vec<(u64, u64)>,
    attempted_servers: Vec<u64>,
    outcome: Option<RequestOutcome>,
}

impl SimulatorWire {
    /// Writes one batch of events about the instance, and reads the reply.
    fn write_events(&mut self, events: &str) {
        let batch = format!("clock {}\ntarget_instance sidecar_0\n{events}\nyour_turn", self.now);
        let mut ready = false;
        for line in batch.lines() {
            ready = self.host.read_line(line).unwrap_or_else(|error| panic!("{error}: {line}"));
        }
        assert!(ready, "no reply");
        for line in self.host.take_reply().lines() {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["forward", _, server, ..] => self.attempted_servers.push(server.parse().unwrap()),
                ["shed", ..] => self.outcome = Some(RequestOutcome::Rejected),
                ["drop_request", ..] => self.outcome = Some(RequestOutcome::Failed),
                ["set_timer", after, label] => {
                    let fires_at = self.now + after.parse::<u64>().unwrap();
                    self.timers.push((fires_at, label.parse().unwrap()));
                }
                _ => {}
            }
        }
    }
}

impl Harness for SimulatorWire {
    fn start(servers: &[ServerState]) -> Self {
        let (host, now) = (Host::default(), START_TIME);
        let (timers, attempted_servers) = (Vec::new(), Vec::new());
        let mut wire = SimulatorWire { host, now, timers, attempted_servers, outcome: None };
        let mut list = format!("census 0 {}\n", servers.len());
        for (id, state) in servers.iter().enumerate() {
            let listed_state = match state {
                ServerState::Draining => "quiescing",
                ServerState::Removed => "dead",
                _ => "live",
            };
            let boot =
                if *state == ServerState::WarmingUp { START_TIME.to_string() } else { "-".into() };
            list += &format!("server {id} 0 0 0 {listed_state} 1 {boot}\n");
        }
        let settings = settings();
        wire.write_events(&format!(
            "attach 42 {settings}\n{list}target_instance sidecar_0\nupdate disk 1 0"
        ));
        wire
    }

    fn advance(&mut self, duration: u64) {
        self.now += duration;
    }

    fn fire_next_timer(&mut self) -> bool {
        let Some(next) = (0..self.timers.len()).min_by_key(|timer| self.timers[*timer].0) else {
            return false;
        };
        let (fires_at, label) = self.timers.swap_remove(next);
        self.now = self.now.max(fires_at);
        self.write_events(&format!("timer {label}"));
        true
    }

    fn send_request(&mut self, id: &str, class: usize, client_timeout: u64) {
        self.write_events(&format!("submit t/{id} {class} - - - 0 {client_timeout}"));
    }

    fn end_attempt(&mut self, ended: EndedAttempt) {
        let verdict = match ended.result {
            None => "delivered",
            Some(AttemptResult::Error) => "app_error",
            Some(AttemptResult::Rejected) => "shed",
            Some(AttemptResult::ConnectFailed) => "dial_failed",
            Some(AttemptResult::Reset | AttemptResult::Malformed) => "dropped",
            Some(AttemptResult::TimedOut) => "expired",
        };
        let EndedAttempt { id, attempt, server, result, elapsed } = ended;
        let complete = u8::from(result.is_none());
        self.write_events(&format!(
            "resolved t/{id} {verdict} {attempt} {complete} {elapsed} {server} -"
        ));
    }

    fn attempted_servers(&self) -> Vec<u64> {
        self.attempted_servers.clone()
    }

    fn outcome(&self) -> Option<RequestOutcome> {
        self.outcome
    }
}
