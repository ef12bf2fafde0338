//! Asking discovery, and taking over the lists it gives.

use super::*;

/// First discovery call falls within this, of the time after which news counts as told.
pub(super) const WATCH_SPREAD: Nanos = NOTIFIED_WITHIN / 5 * 2;
/// The same where discovery has moved: its old address may fall silent.
pub(super) const MOVE_SPREAD: Nanos = 600 * MS;
/// Wait after a failed discovery call, give or take a half.
const WATCH_RETRY: Nanos = NOTIFIED_WITHIN / 5;

impl Balancer {
    /// Danger: instances that start or move together must not all call at once.
    pub(super) fn call_discovery(&mut self, spread: Nanos, out: Out<'_>) {
        if self.set.must_poll {
            let after = (self.rng.draw() * spread as f64) as Nanos;
            self.wakes.set(after, Wake::Discovery, out);
        }
    }

    pub(super) fn on_list(&mut self, now: Nanos, kind: ListKind, list: &[ListedServer], out: Out) {
        if kind == ListKind::Failed {
            (self.watching, self.call_out) = (false, false);
            let after = WATCH_RETRY as f64 * (0.5 + self.rng.draw());
            self.wakes.set(after as Nanos, Wake::Discovery, out);
            return;
        }
        if kind != ListKind::Cached && self.call_out {
            (self.watching, self.call_out) = (true, false);
        }
        if kind != ListKind::Changes {
            // What a complete list leaves out is gone.
            self.servers.iter_mut().for_each(|s| s.listed.state = EndpointState::Removed);
        }
        for entry in list {
            self.on_entry(now, entry);
        }
        let here = |s: &usize| self.servers[*s].listed.state != EndpointState::Removed;
        self.order = (0..self.servers.len()).filter(here).collect();
        // Its idle connections are of no use, and cost both sides descriptors.
        let leaving = list.iter().filter(|entry| entry.state != EndpointState::Live);
        out.extend(leaving.map(|entry| Action::CloseIdle { server: entry.id }));
        self.order.sort_by_key(|s| (self.servers[*s].rank, self.servers[*s].listed.id));
        self.line_stale = true;
    }

    fn on_entry(&mut self, now: Nanos, entry: &ListedServer) {
        let recent = |at: &Nanos| *at > 0 && now.saturating_sub(*at) < self.set.warm_up;
        let started = Some(entry.started_at).filter(recent);
        let hash = mix(mix(u64::from(entry.id)) ^ mix(u64::from(self.set.self_index) + 1));
        // A line that is cut short holds more of the own zone, by its price.
        let rank = (-(hash as f64 / 1.9e19).ln() * self.away(entry.zone).sqrt() * 1e12) as u64;
        let (cold_credit, credit_at, listed) = (self.rng.draw(), now, entry.clone());
        let fresh = Server { listed, rank, started, cold_credit, credit_at, ..Server::default() };
        if let Some(&s) = self.index.get(&entry.id) {
            let server = &mut self.servers[s];
            if entry.started_at > server.listed.started_at {
                // A new process: nothing learned of the old one holds.
                let (in_flight, overdue) = (server.in_flight, server.overdue);
                *server = Server { in_flight, overdue, ..fresh };
            } else {
                server.listed = entry.clone();
            }
            return;
        }
        // A server that is new to a list already held has just started, whatever it says.
        let started = started.or((!self.order.is_empty() && entry.started_at == 0).then_some(now));
        // Danger: ids are ever new; the place of one gone serves the next.
        let gone = |s: &Server| s.listed.state == EndpointState::Removed;
        let place = self.servers.iter().position(gone);
        self.index.insert(entry.id, place.unwrap_or(self.servers.len()));
        self.servers.push(Server { started, ..fresh });
        if let Some(place) = place {
            self.index.remove(&self.servers.swap_remove(place).listed.id);
        }
    }
}
