//! Numbers of listed servers. The balancer and the gossip between sidecars identify servers by
//! number instead of by name.

use crate::endpoints::stable_id;
use mintshelf_balancer::api::ServerId;
use std::collections::HashMap;

/// Probe step to the next number if one is in use. It is odd, so that probing reaches every number.
const PROBE_STEP: u32 = 0x9e37_79b9;

/// The number of one server.
#[derive(Debug, Clone, Copy)]
struct AssignedNumber {
    number: ServerId,
    /// Value of `full_list_count` when a full list or a change last had the server.
    last_seen_list: u64,
}

/// The numbers of the servers that are currently listed. Each is unique, although names are longer
/// than numbers: a server that shared its number would get the other's requests, and would be
/// drained with it.
#[derive(Debug, Default)]
pub(super) struct ServerNumbers {
    by_name: HashMap<Box<str>, AssignedNumber>,
    name_by_number: HashMap<ServerId, Box<str>>,
    /// The number of full lists that have been started.
    full_list_count: u64,
}

impl ServerNumbers {
    /// Returns the number of a server, and assigns one if it was not listed before.
    pub(super) fn assign(&mut self, name: &str) -> ServerId {
        let last_seen_list = self.full_list_count;
        if let Some(assigned) = self.by_name.get_mut(name) {
            assigned.last_seen_list = last_seen_list;
            return assigned.number;
        }
        let mut number = stable_id(name);
        while self.name_by_number.contains_key(&number) {
            number = number.wrapping_add(PROBE_STEP);
        }
        self.name_by_number.insert(number, name.into());
        self.by_name.insert(name.into(), AssignedNumber { number, last_seen_list });
        number
    }

    /// Releases the number of a server that is no longer listed.
    pub(super) fn release(&mut self, name: &str) {
        if let Some(assigned) = self.by_name.remove(name) {
            self.name_by_number.remove(&assigned.number);
        }
    }

    /// Starts a full list: servers that are not assigned again before
    /// [`Self::release_unlisted`] are no longer listed.
    pub(super) fn start_full_list(&mut self) {
        self.full_list_count += 1;
    }

    /// Releases the numbers of the servers that are not in the full list, and returns them.
    pub(super) fn release_unlisted(&mut self) -> Vec<ServerId> {
        let is_unlisted =
            |assigned: &AssignedNumber| assigned.last_seen_list != self.full_list_count;
        let unlisted = self.by_name.values().filter(|assigned| is_unlisted(assigned));
        let numbers: Vec<ServerId> = unlisted.map(|assigned| assigned.number).collect();
        for number in &numbers {
            if let Some(name) = self.name_by_number.remove(number) {
                self.by_name.remove(&name);
            }
        }
        numbers
    }
}
