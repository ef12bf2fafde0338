//! In which order and how fast the sockets of servers that have gone, or are to go, leave them:
//! all within a stated time, and never in one burst at the servers that stay.

use mintshelf_balancer::api::Nanos;
use std::collections::BTreeMap;

/// Few sockets need no more than this each: one that is alone goes at once.
const STEP_MAX: Nanos = 20_000_000;

#[derive(Debug)]
struct Leaving {
    next: Nanos,
    step: Nanos,
    until: Nanos,
}

/// The evacuations of one cluster.
#[derive(Debug)]
pub struct MigrationSchedule {
    span: Nanos,
    servers: BTreeMap<u32, Leaving>,
}

impl MigrationSchedule {
    /// Each server's sockets leave it within `span`.
    pub fn new(span: Nanos) -> Self {
        MigrationSchedule { span, servers: BTreeMap::new() }
    }

    /// When one socket of a server may go. `there`: the server's sockets that have not been
    /// given a time, this one among them.
    pub fn slot(&mut self, now: Nanos, server: u32, there: usize) -> Nanos {
        self.servers.retain(|_, leaving| leaving.until > now);
        let span = self.span;
        let leaving = self.servers.entry(server).or_insert_with(|| {
            let step = (span / (there as u64).max(1)).min(STEP_MAX);
            Leaving { next: now, step, until: now.saturating_add(span) }
        });
        let slot = leaving.next.max(now);
        leaving.next = slot.saturating_add(leaving.step).min(leaving.until);
        slot
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn one_alone_goes_at_once_and_the_next_hardly_later() {
        let mut all = MigrationSchedule::new(5_000 * MS);
        assert_eq!(all.slot(7, 1, 1), 7);
        assert_eq!(all.slot(7, 1, 1), 7 + 20 * MS);
        assert_eq!(all.slot(6_000 * MS, 1, 1), 6_000 * MS);
        assert_eq!(all.servers.len(), 1);
    }

    proptest! {
        /// All leave within the span, and in no tenth of it more than their part of them.
        #[test]
        fn sockets_leave_evenly_and_in_time(
            counts in prop::collection::vec(1usize..2000, 1..4),
            span in 500u64..20_000,
        ) {
            let span = span * MS;
            let mut all = MigrationSchedule::new(span);
            let mut slots = Vec::new();
            for (server, count) in counts.iter().enumerate() {
                for left in (1..=*count).rev() {
                    slots.push(all.slot(0, server as u32, left));
                }
            }
            prop_assert!(slots.iter().all(|slot| *slot <= span));
            for tenth in 0..10 {
                let range = span / 10 * tenth..span / 10 * (tenth + 1);
                let within = slots.iter().filter(|slot| range.contains(slot)).count();
                let quick = (span / 10 / STEP_MAX) as usize;
                let most: usize = counts.iter().map(|n| n.div_ceil(10).max(quick) + 1).sum();
                prop_assert!(within <= most, "{within} of {} in tenth {tenth}", slots.len());
            }
        }
    }
}
