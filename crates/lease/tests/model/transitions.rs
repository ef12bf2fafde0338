//! What each action of the model does to its state.

use crate::case::{
    Case, HighestGrant, InFlightRequest, InFlightResponse, Member, Mutant, World, LEASE,
};
use mintshelf_lease::client::HolderAction;
use mintshelf_lease::command::{Command, Response};
use mintshelf_lease::expiry::LeaseExpiry;
use mintshelf_lease::lease::Lease;
use mintshelf_time::Nanos;
use std::collections::BTreeMap;

/// Adds a message in flight; the oldest is lost where there are too many.
fn push_bounded<T>(messages: &mut Vec<T>, message: T, max: usize) {
    messages.push(message);
    if messages.len() > max {
        messages.remove(0);
    }
}

impl Case {
    pub fn advance_time(&self, world: &mut World) {
        world.step += 1;
        let now = world.client_now();
        for member in &mut world.members {
            self.tick_client(member, world.step, now);
        }
        for command in world.expiry.due_commands(world.leader_now()) {
            if !world.proposals.contains(&command) {
                world.proposals.push(command);
            }
        }
    }

    fn tick_client(&self, member: &mut Member, step: u64, now: Nanos) {
        let mut actions = Vec::new();
        if self.mutant != Mutant::CountsFromResponse {
            member.client.tick(now, &mut actions);
        } else if step >= member.requested_at_step + 2 {
            member.client.clone().tick(now, &mut actions);
            member.requested_at_step = step;
        }
        for action in actions {
            let HolderAction::Send { request_id, command } = action else { continue };
            let request = InFlightRequest { request_id, command };
            push_bounded(&mut member.requests, request, self.in_flight_max);
        }
    }

    pub fn deliver_request(
        &self,
        world: &mut World,
        member: usize,
        message: usize,
        duplicate: bool,
    ) {
        let InFlightRequest { request_id, command } = if duplicate {
            world.members[member].requests[message].clone()
        } else {
            world.members[member].requests.remove(message)
        };
        world.duplicates += u8::from(duplicate);
        let response = self.apply(world, &command);
        if let Response::Granted { token } = response {
            let HighestGrant { token: highest, client } = world.highest;
            world.token_fell |= token < highest || token == highest && client != member;
            world.highest = HighestGrant { token, client: member };
        }
        let response = InFlightResponse { request_id, response };
        push_bounded(&mut world.members[member].responses, response, self.in_flight_max);
    }

    /// `None` where the mutant has nothing to send, and the action is not possible.
    pub fn deliver_response(&self, world: &mut World, member: usize, message: usize) -> Option<()> {
        let now = world.client_now();
        let member = &mut world.members[member];
        let InFlightResponse { mut request_id, response } = member.responses.remove(message);
        let mut actions = Vec::new();
        if self.mutant == Mutant::CountsFromResponse {
            member.client.tick(now, &mut actions);
            request_id = actions.iter().find_map(|action| match action {
                HolderAction::Send { request_id, .. } => Some(*request_id),
                _ => None,
            })?;
        }
        member.client.handle_response(now, request_id, &response, &mut actions);
        member.has_been_holder |= member.client.active_grant(now).is_some();
        Some(())
    }

    pub fn apply_proposal(&self, world: &mut World, proposal: usize) {
        let mut command = world.proposals.remove(proposal);
        if let (Mutant::ExpiresAnyRenewal, Command::Expire { token, renewals, lease }) =
            (self.mutant, &mut command)
        {
            let holder = world.leases.get(lease).and_then(|lease| lease.holder.as_ref());
            let current = holder.filter(|holder| holder.token == *token);
            *renewals = current.map_or(0, |holder| holder.renewals);
        }
        self.apply(world, &command);
    }

    pub fn change_leader(&self, world: &mut World) {
        world.leader_changes += 1;
        if self.mutant != Mutant::KeepsFormerLeadersCounts {
            world.expiry = LeaseExpiry::new(self.clock_error());
            world.expiry.become_leader(world.leader_now(), &world.leases);
        }
        if self.mutant == Mutant::TokenNotReplicated {
            let bytes = postcard::to_allocvec(&world.leases).unwrap();
            let (leases, _): (BTreeMap<String, Lease>, u64) = postcard::from_bytes(&bytes).unwrap();
            let bytes = postcard::to_allocvec(&(leases, 0u64)).unwrap();
            world.leases = postcard::from_bytes(&bytes).unwrap();
        }
    }

    fn apply(&self, world: &mut World, command: &Command) -> Response {
        let response = world.leases.apply(command);
        let now = world.leader_now();
        world.expiry.command_applied(now, &world.leases, LEASE);
        response
    }
}
