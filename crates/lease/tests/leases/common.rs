//! Owners, commands and a lease duration that the tests share.

use mintshelf_lease::command::{Command, Owner, Response};
use mintshelf_time::{Nanos, SECOND};

/// Duration of all leases of these tests.
pub const DURATION: Nanos = 3 * SECOND;

/// One of four members, in the incarnation that the index gives.
pub fn owner(index: u8) -> Owner {
    Owner { member: format!("m{}", index % 4), incarnation: u64::from(index / 4) }
}

/// A request of lease `a`.
pub fn acquire(index: u8, wait: bool) -> Command {
    Command::Acquire { lease: "a".into(), owner: owner(index), duration: DURATION, wait }
}

/// Token of a grant.
pub fn granted_token(response: &Response) -> u64 {
    match response {
        Response::Granted { token } => *token,
        other => panic!("not granted: {other:?}"),
    }
}
