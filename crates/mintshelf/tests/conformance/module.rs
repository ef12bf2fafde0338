//! Rows played on the decision module: events in, actions out, time as the row has it.

use super::{End, Given, LineRow, MembersRow, Met, Seen, State};
use mintshelf_balancer::api::*;
use mintshelf_balancer::decide::{Balancer, Drawn, Line};
use mintshelf_balancer::settings::parse_settings;
use mintshelf_testkit::config;

const MS: Nanos = 1_000_000;
/// Later than any start time that matters.
const START: Nanos = 1_000_000 * MS;

/// The settings of the real sidecar's tests, through the program's own reader.
fn settings() -> Settings {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    let mut config = config(nowhere, Vec::new());
    let classes = config["settings"]["classes"].as_array_mut().unwrap();
    classes.iter_mut().for_each(|class| class["deadline"] = 30_000_000_000u64.into());
    config["settings"]["invariants"]["cold"] = 8_000_000_000u64.into();
    parse_settings(&config["settings"].to_string()).unwrap()
}

/// An instance with the clock and the timers round it.
struct Played {
    balancer: Balancer,
    now: Nanos,
    timers: Vec<(Nanos, u64)>,
    out: Vec<Action>,
}

impl Played {
    fn with(servers: Vec<ListedServer>) -> Self {
        let mut out = Vec::new();
        let balancer = Balancer::new(settings(), 42, START, &mut out);
        let mut played = Played { balancer, now: START, timers: Vec::new(), out: Vec::new() };
        let (kind, version) = (ListKind::Full, 1);
        played.feed(Event::Servers { kind, version, entries: servers.into() });
        played
    }

    fn feed(&mut self, event: Event) {
        let from = self.out.len();
        self.balancer.handle(self.now, event, &mut self.out);
        for action in &self.out[from..] {
            if let Action::SetTimer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
        }
    }

    /// Fires the next timer.
    fn wait(&mut self) -> bool {
        let Some(next) = (0..self.timers.len()).min_by_key(|t| self.timers[*t].0) else {
            return false;
        };
        let (at, token) = self.timers.swap_remove(next);
        self.now = self.now.max(at);
        self.feed(Event::Timer { token });
        true
    }

    fn request(&mut self, id: &str, class: u32, patience: Nanos) {
        let (key, cost_hint) = (None, None);
        let (id, tenant, repeat) = (id.into(), 0, false);
        self.feed(Event::Request { id, class, tenant, key, cost_hint, repeat, patience });
    }

    fn sends(&self) -> Vec<ServerId> {
        let to = |a: &Action| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        };
        self.out.iter().filter_map(to).collect()
    }

    fn end(&self) -> Option<End> {
        self.out.iter().find_map(|action| match action {
            Action::Refuse { .. } => Some(End::Refused),
            Action::Fail { .. } => Some(End::Failed),
            _ => None,
        })
    }
}

fn listed(id: u32, state: State) -> ListedServer {
    let condition = match state {
        State::Draining => Condition::Draining,
        State::Gone => Condition::Gone,
        _ => Condition::Live,
    };
    let started_at = if state == State::Cold { START } else { 0 };
    ListedServer { id, size: 1.0, condition, started_at, ..ListedServer::default() }
}

pub fn outcome(given: &Given) -> Seen {
    let mut played = Played::with((1..=8).map(|id| listed(id, State::Ready)).collect());
    played.request("a", given.class() as u32, 25_000 * MS);
    let mut met = given.met.iter();
    let mut ended = 0;
    loop {
        let sends = played.sends();
        if sends.len() > ended {
            let next = met.next();
            let outcome = match next {
                None => return Seen { end: End::Served, sent: sends.len() },
                Some(Met::Error) => Outcome::Error,
                Some(Met::TurnedAway) => Outcome::Full,
                Some(Met::NoConnection) => Outcome::ConnectFailed,
                Some(Met::Reset | Met::Spoilt) => Outcome::Reset,
                Some(Met::Silence) => Outcome::TimedOut,
            };
            let took = match next {
                // Its client's whole time.
                Some(Met::Silence) => 25_000 * MS,
                _ => given.took_ms * MS,
            };
            played.now += took;
            let (id, server, report) = ("a".into(), sends[ended], None);
            let (attempt, finished) = (ended as u32, false);
            ended += 1;
            played.feed(Event::AttemptEnded {
                id,
                attempt,
                outcome,
                finished,
                took,
                server,
                report,
            });
        } else if let Some(end) = played.end() {
            return Seen { end, sent: sends.len() };
        } else {
            assert!(played.wait(), "neither sent nor answered: {given:?}");
        }
    }
}

/// How many of 300 requests, 10 ms apart and served at once, go to each server.
pub fn members(row: &MembersRow) -> Vec<usize> {
    let servers = row.servers.iter().zip(0..).map(|(state, id)| listed(id, *state)).collect();
    let mut played = Played::with(servers);
    // The grace of rule 3 is over.
    played.now += 300 * MS;
    let mut counts = vec![0; row.servers.len()];
    for number in 0..300 {
        let (id, before) = (number.to_string(), played.sends().len());
        played.request(&id, 0, 8_000 * MS);
        let sends = played.sends();
        assert_eq!(sends.len(), before + 1, "one attempt at once");
        counts[sends[before] as usize] += 1;
        played.now += 5 * MS;
        let (server, report, took) = (sends[before], None, 5 * MS);
        let (attempt, outcome, finished) = (0, Outcome::Ok, true);
        let id = id.as_str().into();
        played.feed(Event::AttemptEnded { id, attempt, outcome, finished, took, server, report });
        played.now += 5 * MS;
    }
    counts
}

pub fn line(row: &LineRow) -> Result<(), String> {
    let n = row.speeds.len();
    let line = Line::new(row.speeds.iter().copied().enumerate());
    if let Some(bound) = row.epsilon_below {
        if !(line.epsilon() > 0.0 && line.epsilon() < bound) {
            return Err(format!("epsilon is {}, not in (0, {bound})", line.epsilon()));
        }
        // The last pair's weight has its own form, (4.2).
        let last = row.speeds[n - 2] + row.speeds[n - 1] - (n - 2) as f64 * line.epsilon();
        for (pair, want) in [(1, row.speeds[0] + line.epsilon()), (n - 1, last)] {
            let weight = line.pair_weight(pair);
            if (weight - want).abs() > 1e-9 {
                return Err(format!("pair {pair} weighs {weight}, not {want}"));
            }
        }
    }
    // A plain repeatable sequence of uniform numbers.
    let mut state = 9u64;
    let mut draw = move || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 11) as f64 / (1u64 << 53) as f64
    };
    const DRAWS: usize = 400_000;
    let (mut all, mut dedicated) = (vec![0usize; n], vec![0usize; n]);
    for _ in 0..DRAWS {
        match line.draw(&mut draw) {
            Some(Drawn::One(server)) => {
                dedicated[server] += 1;
                all[server] += 1;
            }
            Some(Drawn::Pair(pair)) => all[pair.join(&mut draw, [0.0, 0.0])] += 1,
            None => return Err("nobody is drawn".into()),
        }
    }
    for (what, counts, margin) in [("all", &all, 0.005), ("dedicated", &dedicated, 0.02)] {
        let sum = counts.iter().sum::<usize>() as f64;
        for (count, want) in counts.iter().zip(&row.shares) {
            let share = *count as f64 / sum;
            if (share - want).abs() > margin {
                return Err(format!("of {what}: {counts:?}, wanted {:?}", row.shares));
            }
        }
    }
    Ok(())
}
