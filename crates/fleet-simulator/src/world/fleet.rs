//! What happens to the fleet: news of servers on their way, sidecars killed and started anew.

use super::{Happens, World, MORE_TRIES, UNTOLD};
use crate::plan::{Plan, CLASSES};
use crate::sidecar::Sidecar;
use mintshelf_balancer::api::{Effect, EndpointState, ListKind, ListedServer, Nanos, ServerId};

/// How a server is listed.
fn entry(id: usize, zone: u32, condition: EndpointState, started_at: Nanos) -> ListedServer {
    let id = id as ServerId;
    ListedServer { id, zone, state: condition, size: 1.0, started_at, ..ListedServer::default() }
}

/// The servers that are there from the start.
pub(super) fn known(plan: &Plan) -> Vec<ListedServer> {
    (0..plan.servers).map(|id| entry(id, plan.fleet.zone(id), EndpointState::Live, 0)).collect()
}

/// The traffic of the sidecars up to each: spread over powers of ten, in no order.
pub(super) fn busy(plan: &Plan) -> Vec<f64> {
    const ROOT: f64 = 0.414_213_562_373_095;
    let weight = |k: usize| 10f64.powf(plan.fleet.uneven * (k as f64 * ROOT).fract());
    let mut sum = 0.0;
    (0..plan.sidecars)
        .map(|k| {
            sum += weight(k);
            sum
        })
        .collect()
}

impl World<'_> {
    /// The source of lists hears of a server in a while.
    pub(super) fn listed_soon(
        &mut self,
        server: usize,
        condition: EndpointState,
        started_at: Nanos,
    ) {
        let drawn = self.draw();
        let Some(lists) = &self.lists else { return };
        let after = lists.notice(drawn);
        let entry = entry(server, self.servers[server].zone, condition, started_at);
        self.at(self.now + after, Happens::Heard(entry));
    }

    pub(super) fn heard(&mut self, entry: ListedServer) {
        let Some(lists) = &mut self.lists else { return };
        for (sidecar, later) in lists.change(entry.clone()) {
            let (life, entry) = (self.lives[sidecar].0, entry.clone());
            self.at(self.now + later, Happens::Told { sidecar, life, entry });
        }
    }

    pub(super) fn called(&mut self, sidecar: usize, life: u64, well: bool) {
        if self.lives[sidecar].0 != life {
            return;
        }
        let Some(lists) = &mut self.lists else { return };
        lists.watch(sidecar, well);
        let (kind, whole) = match well {
            true => (ListKind::Full, lists.whole()),
            false => (ListKind::Failed, Vec::new()),
        };
        let mut deeds = Vec::new();
        self.sidecars[sidecar].listed(self.now, kind, &whole, &mut deeds);
        self.carry_out(sidecar, &mut deeds);
    }

    /// What it held breaks off; its clients come again once it is back.
    pub(super) fn killed(&mut self, sidecar: usize, back: Nanos) {
        self.lives[sidecar] = (self.lives[sidecar].0 + 1, back);
        for client in self.sidecars[sidecar].open_clients() {
            let of = &mut self.clients[client];
            (of.open, of.id) = (false, None);
            self.report.cut += 1;
            if CLASSES[of.class].effect != Effect::Unsafe && of.tries <= MORE_TRIES {
                let pause = (self.draw() * UNTOLD as f64) as Nanos;
                self.at(back + pause, Happens::Try(client));
            }
        }
        if let Some(lists) = &mut self.lists {
            lists.watch(sidecar, false);
        }
    }

    /// It starts with the first list, old as that may be.
    pub(super) fn returns(&mut self, sidecar: usize) {
        let known = known(self.plan);
        let mut deeds = Vec::new();
        let life = self.lives[sidecar].0;
        let fresh = Sidecar::new(self.plan, sidecar, life, self.now, &known, &mut deeds);
        self.report.unruly += std::mem::replace(&mut self.sidecars[sidecar], fresh).unruly;
        self.carry_out(sidecar, &mut deeds);
    }
}
