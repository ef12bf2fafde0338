//! What each action of the model does to its state.

use crate::case::{Case, Member, Mutant, World, QUOTA};
use crate::mutations::{expire_earlier_grants, expire_former_incarnations};
use mintshelf_time::Nanos;

impl Member {
    /// Acquires all that it may, and releases nothing.
    fn acquire_all(&mut self, now: Nanos) {
        let limit = self.client.limit(now);
        if limit.units >= self.used {
            self.used = limit.units;
            self.expires_at = limit.expires_at;
        }
    }
}

impl World {
    pub fn advance_time(&mut self) {
        self.step += 1;
        let now = self.member_now();
        for member in &mut self.members {
            // What was acquired under a limit is over when that expires: use takes no time.
            if now >= member.expires_at {
                member.used = member.used.min(member.client.limit(now).units);
            }
            member.acquire_all(now);
            if let Some(request) = member.client.tick(now, member.used) {
                member.request = Some(request);
            }
        }
    }

    pub fn release_units(&mut self, member: usize) {
        let now = self.member_now();
        let member = &mut self.members[member];
        member.used = 0;
        member.acquire_all(now);
    }

    /// `None` if the request changes nothing.
    pub fn deliver_request(&mut self, member: usize, duplicate: bool) -> Option<()> {
        let request = self.members[member].request.clone()?;
        if duplicate {
            self.duplicates += 1;
        } else {
            self.members[member].request = None;
        }
        self.collector.add_request(request).then_some(())
    }

    pub fn deliver_response(&mut self, member: usize) -> Option<()> {
        let now = self.member_now();
        let member = &mut self.members[member];
        let response = member.response.take()?;
        member.client.handle_response(now, &response);
        member.acquire_all(now);
        member.has_had_majority |= member.used > 1;
        Some(())
    }
}

impl Case {
    /// `None` if there is nothing to propose.
    pub fn propose_batch(&self, world: &mut World) -> Option<()> {
        let mut now = world.leader_now();
        if self.mutant == Mutant::ExpiresEarly {
            now += QUOTA.grant_duration;
        }
        world.entry = Some(world.collector.next_batch(now)?);
        Some(())
    }

    pub fn apply_batch(&self, world: &mut World) -> Option<()> {
        let batch = world.entry.take()?;
        if self.mutant == Mutant::FreesFormerIncarnation {
            expire_former_incarnations(&mut world.ledger, &batch);
        }
        let responses = world.ledger.apply(&batch);
        if self.mutant == Mutant::FreesOnShrink {
            expire_earlier_grants(&mut world.ledger, &responses);
        }
        world.collector.batch_applied(world.leader_now(), &world.ledger);
        for response in responses {
            let member = usize::from(response.owner.member == "m1");
            world.members[member].response = Some(response);
        }
        Some(())
    }

    pub fn change_leader(&self, world: &mut World) {
        world.leader_changes += 1;
        if self.mutant != Mutant::KeepsFormerLeadersCounts {
            world.collector.step_down();
            world.collector.become_leader(world.leader_now(), &world.ledger);
        }
    }

    pub fn restart_member(&self, world: &mut World) {
        let has_had_majority = world.members[0].has_had_majority;
        let restarted = Member { has_had_majority, ..self.member(0, 2, world.step) };
        let killed = std::mem::replace(&mut world.members[0], restarted);
        world.killed = Some(killed.client);
    }
}
