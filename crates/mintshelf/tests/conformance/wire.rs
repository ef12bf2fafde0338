//! Rows played on the simulator's wire: lines in and lines out, as text.

use super::{End, Given, MembersRow, Met, Seen, State};
use mintshelf_benchlink::host::Host;
use mintshelf_testkit::config;

const MS: u64 = 1_000_000;
const START: u64 = 1_000_000 * MS;

/// An instance with the clock and the timers round it.
struct Played {
    host: Host,
    now: u64,
    timers: Vec<(u64, u64)>,
    forwards: Vec<u64>,
    end: Option<End>,
}

impl Played {
    fn with(servers: &[State]) -> Self {
        let nowhere = "127.0.0.1:9".parse().unwrap();
        let mut settings = config(nowhere, Vec::new())["settings"].clone();
        let classes = settings["classes"].as_array_mut().unwrap();
        classes.iter_mut().for_each(|class| class["deadline"] = 30_000_000_000u64.into());
        settings["invariants"]["cold"] = 8_000_000_000u64.into();
        let mut played = Played {
            host: Host::default(),
            now: START,
            timers: Vec::new(),
            forwards: Vec::new(),
            end: None,
        };
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
        let attach =
            format!("attach 42 {settings}\n{list}target_instance sidecar_0\nupdate disk 1 0");
        played.say(&attach);
        played
    }

    /// One batch about the instance, and its reply.
    fn say(&mut self, events: &str) {
        let batch = format!("clock {}\ntarget_instance sidecar_0\n{events}\nyour_turn", self.now);
        let mut ready = false;
        for line in batch.lines() {
            ready = self.host.line(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        }
        assert!(ready, "no reply");
        for line in self.host.reply().lines() {
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

    fn wait(&mut self) -> bool {
        let Some(next) = (0..self.timers.len()).min_by_key(|t| self.timers[*t].0) else {
            return false;
        };
        let (at, label) = self.timers.swap_remove(next);
        self.now = self.now.max(at);
        self.say(&format!("timer {label}"));
        true
    }
}

pub fn outcome(given: &Given) -> Seen {
    let mut played = Played::with(&[State::Ready; 8]);
    played.say(&format!("submit t/a {} - - - 0 {}", given.class(), 25_000 * MS));
    let (mut met, mut ended) = (given.met.iter(), 0);
    loop {
        if played.forwards.len() > ended {
            let next = met.next();
            let verdict = match next {
                None => return Seen { end: End::Served, sent: played.forwards.len() },
                Some(Met::Error) => "app_error",
                Some(Met::TurnedAway) => "shed",
                Some(Met::NoConnection) => "dial_failed",
                Some(Met::Reset | Met::Spoilt) => "dropped",
                Some(Met::Silence) => "expired",
            };
            let took = match next {
                Some(Met::Silence) => 25_000 * MS,
                _ => given.took_ms * MS,
            };
            played.now += took;
            let server = played.forwards[ended];
            played.say(&format!("resolved t/a {verdict} {ended} 0 {took} {server} -"));
            ended += 1;
        } else if let Some(end) = played.end {
            return Seen { end, sent: played.forwards.len() };
        } else {
            assert!(played.wait(), "neither sent nor answered: {given:?}");
        }
    }
}

/// As [`super::module::members`].
pub fn members(row: &MembersRow) -> Vec<usize> {
    let mut played = Played::with(&row.servers);
    played.now += 300 * MS;
    let mut counts = vec![0; row.servers.len()];
    for number in 0..300 {
        let before = played.forwards.len();
        played.say(&format!("submit t/{number} 0 - - - 0 {}", 8_000 * MS));
        assert_eq!(played.forwards.len(), before + 1, "one attempt at once");
        let server = played.forwards[before];
        counts[server as usize] += 1;
        played.now += 5 * MS;
        played.say(&format!("resolved t/{number} delivered 0 1 {} {server} -", 5 * MS));
        played.now += 5 * MS;
    }
    counts
}
