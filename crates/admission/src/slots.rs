//! Seats of sockets that are held for long: how many there are, of whom, and who makes room.
//!
//! A place at a gate is given back within a deadline; a seat may be held for hours. So a member
//! that comes late would find them all taken. While others want them nobody holds more than its
//! share: who wants one below its share is given a claim, and one of whoever is furthest over
//! its own is asked to leave.

use mintshelf_balancer::api::Nanos;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long a freed seat is kept for one that was told to come back for it.
const CLAIM: Nanos = 10_000_000_000;
/// Most seats that one tenant can claim at one time: each makes another socket leave.
const CLAIMS_MAX: u32 = 16;

/// What a file sets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SlotConfig {
    /// Seats in all.
    pub most: u32,
    /// Shares of tenants; 1 for one that is not named.
    pub shares: BTreeMap<Rc<str>, f64>,
    /// Seats that a tenant may hold, where that is limited.
    pub tenants: BTreeMap<Rc<str>, u32>,
    /// Seats at a route.
    pub routes: BTreeMap<Rc<str>, u32>,
    /// Seats at a cluster.
    pub clusters: BTreeMap<Rc<str>, u32>,
}

/// Whose a seat is, and what it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotOwner {
    /// Whose.
    pub tenant: Rc<str>,
    /// By which route.
    pub route: Rc<str>,
    /// At which cluster.
    pub cluster: Rc<str>,
}

/// Why there is no seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUnavailable {
    /// All are taken or kept.
    Full,
    /// The tenant holds as many as it may.
    Tenant,
    /// The route has as many as it may.
    Route,
    /// The cluster has as many as it may.
    Cluster,
}

/// A refusal, and who is to make room for the next try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRejected {
    /// Why.
    pub why: SlotUnavailable,
    /// The tenant one of whose sockets is to leave.
    pub reclaim: Option<Rc<str>>,
}

#[derive(Debug, Default)]
struct Member {
    held: u32,
    /// Seats that were freed, or are being freed, for it, and until when they are kept.
    claims: u32,
    claimed_until: Nanos,
}

/// All seats.
#[derive(Debug, Default)]
pub struct SlotTable {
    set: SlotConfig,
    held: u32,
    tenants: BTreeMap<Rc<str>, Member>,
    routes: BTreeMap<Rc<str>, u32>,
    clusters: BTreeMap<Rc<str>, u32>,
}

fn is_full(held: &BTreeMap<Rc<str>, u32>, most: &BTreeMap<Rc<str>, u32>, name: &str) -> bool {
    let held = held.get(name).copied().unwrap_or(0);
    most.get(name).is_some_and(|most| held >= *most)
}

fn give_back(held: &mut BTreeMap<Rc<str>, u32>, name: &str) {
    match held.get_mut(name) {
        Some(count) if *count > 1 => *count -= 1,
        _ => drop(held.remove(name)),
    }
}

impl SlotTable {
    /// Puts a file's numbers in force. Those who sit stay.
    pub fn set(&mut self, set: SlotConfig) {
        self.set = set;
    }

    /// How many are taken.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// How many each tenant holds.
    pub fn by_tenant(&self) -> impl Iterator<Item = (&Rc<str>, u32)> {
        let held = self.tenants.iter().filter(|(_, member)| member.held > 0);
        held.map(|(name, member)| (name, member.held))
    }

    fn share(&self, tenant: &str) -> f64 {
        self.set.shares.get(tenant).copied().unwrap_or(1.0)
    }

    /// Seats that are a tenant's by its share, among those who hold some or want one; `also`
    /// wants one.
    fn part(&self, tenant: &str, also: &str) -> u32 {
        let mut all: f64 = self.tenants.keys().map(|name| self.share(name)).sum();
        if !self.tenants.contains_key(also) {
            all += self.share(also);
        }
        let part = f64::from(self.set.most) * self.share(tenant) / all.max(f64::MIN_POSITIVE);
        (part as u32).max(1)
    }

    /// Seats that are kept for others than this tenant.
    fn kept_for_others(&self, tenant: &str) -> u32 {
        let others = self.tenants.iter().filter(|(name, _)| ***name != *tenant);
        others.map(|(_, member)| member.claims).sum()
    }

    fn expire(&mut self, now: Nanos) {
        self.tenants.retain(|_, member| {
            if member.claimed_until <= now {
                member.claims = 0;
            }
            member.held > 0 || member.claims > 0
        });
    }

    /// Wants a seat. [`SlotTable::leave`] is owed if it gets one.
    pub fn take(&mut self, now: Nanos, sitter: &SlotOwner) -> Result<(), SlotRejected> {
        self.expire(now);
        let refused = |why| Err(SlotRejected { why, reclaim: None });
        let SlotOwner { tenant, route, cluster } = sitter;
        let held = self.tenants.get(tenant).map_or(0, |member| member.held);
        if self.set.tenants.get(tenant).is_some_and(|most| held >= *most) {
            return refused(SlotUnavailable::Tenant);
        }
        if is_full(&self.routes, &self.set.routes, route) {
            return refused(SlotUnavailable::Route);
        }
        if is_full(&self.clusters, &self.set.clusters, cluster) {
            return refused(SlotUnavailable::Cluster);
        }
        let free = self.set.most.saturating_sub(self.held);
        if free > self.kept_for_others(tenant) {
            let member = self.tenants.entry(tenant.clone()).or_default();
            member.held += 1;
            member.claims = member.claims.saturating_sub(1);
            self.held += 1;
            *self.routes.entry(route.clone()).or_default() += 1;
            *self.clusters.entry(cluster.clone()).or_default() += 1;
            return Ok(());
        }
        let reclaim = self.claim(now, tenant, held);
        Err(SlotRejected { why: SlotUnavailable::Full, reclaim })
    }

    /// One that is below its share and finds nothing claims a seat; whose it is to be.
    fn claim(&mut self, now: Nanos, tenant: &Rc<str>, held: u32) -> Option<Rc<str>> {
        let claims = self.tenants.get(tenant).map_or(0, |member| member.claims);
        if held + claims >= self.part(tenant, tenant) || claims >= CLAIMS_MAX {
            return None;
        }
        let over = |(name, member): (&Rc<str>, &Member)| {
            let part = self.part(name, tenant);
            // What others have claimed leaves it anyway.
            (member.held > part).then(|| (f64::from(member.held) / self.share(name), name.clone()))
        };
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant).filter_map(over);
        let (_, from) = others.max_by(|a, b| a.0.total_cmp(&b.0))?;
        let member = self.tenants.entry(tenant.clone()).or_default();
        member.claims += 1;
        member.claimed_until = now.saturating_add(CLAIM);
        Some(from)
    }

    /// A socket that had a seat has ended.
    pub fn leave(&mut self, sitter: &SlotOwner) {
        self.held = self.held.saturating_sub(1);
        if let Some(member) = self.tenants.get_mut(&sitter.tenant) {
            member.held = member.held.saturating_sub(1);
        }
        give_back(&mut self.routes, &sitter.route);
        give_back(&mut self.clusters, &sitter.cluster);
        self.expire(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: Nanos = 1_000_000_000;

    fn sitter(tenant: &str) -> SlotOwner {
        SlotOwner { tenant: tenant.into(), route: "r".into(), cluster: "c".into() }
    }

    fn seats(most: u32) -> SlotTable {
        let mut seats = SlotTable::default();
        seats.set(SlotConfig { most, ..SlotConfig::default() });
        seats
    }

    #[test]
    fn who_comes_late_gets_its_share_from_who_has_more_than_its_own() {
        let mut seats = seats(10);
        for _ in 0..10 {
            seats.take(0, &sitter("early")).unwrap();
        }
        let refused = seats.take(0, &sitter("late")).unwrap_err();
        assert_eq!(refused.reclaim.as_deref(), Some("early"));
        // The seat that is freed is kept for it, and not taken back.
        seats.leave(&sitter("early"));
        let again = seats.take(S, &sitter("early")).unwrap_err();
        assert_eq!(again, SlotRejected { why: SlotUnavailable::Full, reclaim: None });
        seats.take(S, &sitter("late")).unwrap();
        for _ in 0..4 {
            let refused = seats.take(2 * S, &sitter("late")).unwrap_err();
            assert!(refused.reclaim.is_some());
            seats.leave(&sitter("early"));
            seats.take(2 * S, &sitter("late")).unwrap();
        }
        let enough = seats.take(3 * S, &sitter("late")).unwrap_err();
        assert_eq!(enough.reclaim, None, "both have their halves");
        // A claim that nobody comes for is let go.
        let mut seats = super::tests::seats(2);
        seats.take(0, &sitter("a")).unwrap();
        seats.take(0, &sitter("a")).unwrap();
        assert!(seats.take(0, &sitter("b")).unwrap_err().reclaim.is_some());
        seats.leave(&sitter("a"));
        assert!(seats.take(CLAIM - 1, &sitter("a")).is_err());
        assert!(seats.take(CLAIM, &sitter("a")).is_ok());
    }

    #[test]
    fn each_limit_is_told_apart() {
        let mut seats = seats(10);
        let one = |name: &str| BTreeMap::from([(Rc::from(name), 1)]);
        let with = |change: fn(&mut SlotConfig, BTreeMap<Rc<str>, u32>), name: &str| {
            let mut set = SlotConfig { most: 10, ..SlotConfig::default() };
            change(&mut set, one(name));
            set
        };
        seats.take(0, &sitter("t")).unwrap();
        for (set, why) in [
            (with(|set, one| set.tenants = one, "t"), SlotUnavailable::Tenant),
            (with(|set, one| set.routes = one, "r"), SlotUnavailable::Route),
            (with(|set, one| set.clusters = one, "c"), SlotUnavailable::Cluster),
            (SlotConfig { most: 1, ..SlotConfig::default() }, SlotUnavailable::Full),
        ] {
            seats.set(set);
            assert_eq!(seats.take(0, &sitter("t")).unwrap_err().why, why);
        }
        seats.leave(&sitter("t"));
        assert!(seats.take(0, &sitter("t")).is_ok());
    }

    proptest! {
        /// Never more than there are; whoever keeps asking and is below its share gets there,
        /// since those over theirs leave as they are asked; and what was taken is given back.
        #[test]
        fn seats_are_bounded_and_come_to_be_shared(
            most in 4u32..40,
            steps in prop::collection::vec((0usize..4, 0u8..4), 1..400),
        ) {
            let names = ["a", "b", "c", "d"];
            let mut seats = seats(most);
            let mut open = [0u32; 4];
            let mut now = 0;
            for (who, what) in steps {
                now += S / 10;
                if what == 0 && open[who] > 0 {
                    seats.leave(&sitter(names[who]));
                    open[who] -= 1;
                } else if seats.take(now, &sitter(names[who])).is_ok() {
                    open[who] += 1;
                }
                prop_assert!(seats.held() <= most);
                prop_assert_eq!(seats.held(), open.iter().sum::<u32>());
            }
            // All four want as many as they can get, and go when they are asked.
            for _ in 0..200 {
                for who in 0..4 {
                    now += S / 10;
                    match seats.take(now, &sitter(names[who])) {
                        Ok(()) => open[who] += 1,
                        Err(SlotRejected { reclaim: Some(from), .. }) => {
                            let from = names.iter().position(|name| **name == *from).unwrap();
                            seats.leave(&sitter(names[from]));
                            open[from] -= 1;
                        }
                        Err(_) => {}
                    }
                }
            }
            let part = most / 4;
            prop_assert!(open.iter().all(|held| *held >= part.max(1)), "{open:?} of {most}");
            for (who, held) in open.iter().enumerate() {
                (0..*held).for_each(|_| seats.leave(&sitter(names[who])));
            }
            prop_assert_eq!(seats.held(), 0);
        }
    }
}
