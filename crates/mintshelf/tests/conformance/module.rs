//! Rows played on the decision module: events in, actions out, time as the row has it.

use super::stage::{settings, Ended, Stage, START};
use super::{End, LineRow, Met, State};
use mintshelf_balancer::api::{
    Action, AttemptNumber, ClassId, EndpointState, Event, ListKind, ListedServer, Outcome, TenantId,
};
use mintshelf_balancer::decide::{Balancer, Candidates, ServerOrder};
use mintshelf_balancer::settings::parse_settings;
use mintshelf_time::Nanos;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// An instance with the clock and the timers round it.
pub struct Module {
    balancer: Balancer,
    now: Nanos,
    timers: Vec<(Nanos, u64)>,
    out: Vec<Action>,
}

impl Module {
    fn feed(&mut self, event: Event) {
        let from = self.out.len();
        self.balancer.handle(self.now, event, &mut self.out);
        for action in &self.out[from..] {
            if let Action::SetTimer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
        }
    }
}

fn listed((id, state): (u32, &State)) -> ListedServer {
    let condition = match state {
        State::Draining => EndpointState::Draining,
        State::Gone => EndpointState::Removed,
        _ => EndpointState::Live,
    };
    let started_at = if *state == State::Cold { START } else { 0 };
    ListedServer { id, size: 1.0, state: condition, started_at, ..ListedServer::default() }
}

impl Stage for Module {
    fn with(servers: &[State]) -> Self {
        let settings = parse_settings(&settings().to_string()).unwrap();
        let balancer = Balancer::new(settings, 42, START, &mut Vec::new());
        let mut module = Module { balancer, now: START, timers: Vec::new(), out: Vec::new() };
        let (kind, version) = (ListKind::Full, 1);
        let entries = (0..).zip(servers).map(listed).collect();
        module.feed(Event::Servers { kind, version, entries });
        module
    }

    fn pass(&mut self, span: u64) {
        self.now += span;
    }

    fn wait(&mut self) -> bool {
        let Some(next) = (0..self.timers.len()).min_by_key(|timer| self.timers[*timer].0) else {
            return false;
        };
        let (at, token) = self.timers.swap_remove(next);
        self.now = self.now.max(at);
        self.feed(Event::Timer { token });
        true
    }

    fn request(&mut self, id: &str, class: usize, patience: u64) {
        let (key, cost_estimate) = (None, None);
        let class = ClassId::from_index(class);
        let (id, tenant, is_client_retry) = (id.into(), TenantId::default(), false);
        self.feed(Event::Request {
            id,
            class,
            tenant,
            key,
            cost_estimate,
            is_client_retry,
            client_timeout: patience,
        });
    }

    fn ended(&mut self, ended: Ended) {
        let outcome = match ended.met {
            None => Outcome::Ok,
            Some(Met::Error) => Outcome::Error,
            Some(Met::TurnedAway) => Outcome::Full,
            Some(Met::NoConnection) => Outcome::ConnectFailed,
            Some(Met::Reset | Met::Spoilt) => Outcome::Reset,
            Some(Met::Silence) => Outcome::TimedOut,
        };
        let (id, attempt) = (ended.id.into(), AttemptNumber::from_index(ended.attempt));
        let (server, elapsed, report) = (ended.server as u32, ended.took, None);
        let is_request_finished = ended.met.is_none();
        self.feed(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            is_request_finished,
            elapsed,
            server,
            report,
        });
    }

    fn sent(&self) -> Vec<u64> {
        let to = |action: &Action| match action {
            Action::Send { server, .. } => Some(u64::from(*server)),
            _ => None,
        };
        self.out.iter().filter_map(to).collect()
    }

    fn end(&self) -> Option<End> {
        self.out.iter().find_map(|action| match action {
            Action::Reject { .. } => Some(End::Refused),
            Action::Fail { .. } => Some(End::Failed),
            _ => None,
        })
    }
}

pub fn line(row: &LineRow) -> Result<(), String> {
    let n = row.speeds.len();
    let line = ServerOrder::new(row.speeds.iter().copied().enumerate());
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
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut draw = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    const DRAWS: usize = 400_000;
    let (mut all, mut dedicated) = (vec![0usize; n], vec![0usize; n]);
    for _ in 0..DRAWS {
        match line.draw(&mut draw) {
            Some(Candidates::One(server)) => {
                dedicated[server] += 1;
                all[server] += 1;
            }
            Some(Candidates::AdjacentPair(pair)) => all[pair.join(&mut draw, [0.0, 0.0])] += 1,
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
