//! Rows played on the simulator's wire: lines in and lines out, as text.

use super::stage::{settings, Ended, Stage, START};
use super::{End, Met, State};
use mintshelf_simulator_adapter::host::Host;

/// An instance with the clock and the timers round it.
pub struct Wire {
    host: Host,
    now: u64,
    timers: Vec<(u64, u64)>,
    forwards: Vec<u64>,
    end: Option<End>,
}

impl Wire {
    /// One batch about the instance, and its reply.
    fn say(&mut self, events: &str) {
        let batch = format!("clock {}\ntarget_instance sidecar_0\n{events}\nyour_turn", self.now);
        let mut ready = false;
        for line in batch.lines() {
            ready = self.host.read_line(line).unwrap_or_else(|error| panic!("{error}: {line}"));
        }
        assert!(ready, "no reply");
        for line in self.host.take_reply().lines() {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["forward", _, server, ..] => self.forwards.push(server.parse().unwrap()),
                ["shed", ..] => self.end = Some(End::Refused),
                ["drop_request", ..] => self.end = Some(End::Failed),
                ["set_timer", after, label] => {
                    let at = self.now + after.parse::<u64>().unwrap();
                    self.timers.push((at, label.parse().unwrap()));
                }
                _ => {}
            }
        }
    }
}

impl Stage for Wire {
    fn with(servers: &[State]) -> Self {
        let (host, now) = (Host::default(), START);
        let (timers, forwards, end) = (Vec::new(), Vec::new(), None);
        let mut wire = Wire { host, now, timers, forwards, end };
        let mut list = format!("census 0 {}\n", servers.len());
        for (id, state) in servers.iter().enumerate() {
            let condition = match state {
                State::Draining => "quiescing",
                State::Gone => "dead",
                _ => "live",
            };
            let boot = if *state == State::Cold { START.to_string() } else { "-".into() };
            list += &format!("server {id} 0 0 0 {condition} 1 {boot}\n");
        }
        let settings = settings();
        wire.say(&format!(
            "attach 42 {settings}\n{list}target_instance sidecar_0\nupdate disk 1 0"
        ));
        wire
    }

    fn pass(&mut self, span: u64) {
        self.now += span;
    }

    fn wait(&mut self) -> bool {
        let Some(next) = (0..self.timers.len()).min_by_key(|timer| self.timers[*timer].0) else {
            return false;
        };
        let (at, label) = self.timers.swap_remove(next);
        self.now = self.now.max(at);
        self.say(&format!("timer {label}"));
        true
    }

    fn request(&mut self, id: &str, class: usize, patience: u64) {
        self.say(&format!("submit t/{id} {class} - - - 0 {patience}"));
    }

    fn ended(&mut self, ended: Ended) {
        let verdict = match ended.met {
            None => "delivered",
            Some(Met::Error) => "app_error",
            Some(Met::TurnedAway) => "shed",
            Some(Met::NoConnection) => "dial_failed",
            Some(Met::Reset | Met::Spoilt) => "dropped",
            Some(Met::Silence) => "expired",
        };
        let Ended { id, attempt, server, met, took } = ended;
        let complete = u8::from(met.is_none());
        self.say(&format!("resolved t/{id} {verdict} {attempt} {complete} {took} {server} -"));
    }

    fn sent(&self) -> Vec<u64> {
        self.forwards.clone()
    }

    fn end(&self) -> Option<End> {
        self.end
    }
}
