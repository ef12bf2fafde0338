//! Writes actions as lines of a reply.

use super::vocabulary::{action as name, ALL_PEERS, NO_PAYLOAD};
use mintshelf_balancer::api::Action;
use std::fmt::{self, Display, Formatter};

/// Appends an action to a reply as a line. [`Action::DropTimer`] has no message in the protocol and
/// adds nothing.
pub fn write_action(reply: &mut String, action: &Action) {
    reply.push_str(&ActionLine(action).to_string());
}

/// Formats an action as a line of a reply.
struct ActionLine<'a>(&'a Action);

impl Display for ActionLine<'_> {
    fn fmt(&self, line: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Action::Send { id, server, timeout_at } => {
                writeln!(line, "{} {id} {server} {timeout_at}", name::SEND)
            }
            Action::Cancel { id, attempt } => writeln!(line, "{} {id} {attempt}", name::CANCEL),
            Action::Reject { id, retry_after, .. } => {
                writeln!(line, "{} {id} {retry_after}", name::REJECT)
            }
            Action::Fail { id, .. } => writeln!(line, "{} {id}", name::FAIL),
            Action::SetTimer { after, token } => {
                writeln!(line, "{} {after} {token}", name::SET_TIMER)
            }
            Action::DropTimer { .. } => Ok(()),
            Action::Probe { server } => writeln!(line, "{} {server}", name::PROBE),
            Action::CloseIdle { server } => writeln!(line, "{} {server}", name::CLOSE_IDLE),
            Action::SendGossip { peer, payload } => write_gossip(line, *peer, payload),
            Action::StartWatch => writeln!(line, "{} 1", name::WATCH),
            Action::StopWatch => writeln!(line, "{} 0", name::WATCH),
            Action::FetchEndpointList => writeln!(line, "{}", name::FETCH_SERVERS),
            Action::Log { text } => {
                writeln!(line, "{} {}", name::LOG, text.replace(['\n', '\r'], " "))
            }
        }
    }
}

fn write_gossip(line: &mut Formatter<'_>, peer: Option<u32>, payload: &[u8]) -> fmt::Result {
    match peer {
        Some(peer) => write!(line, "{} {peer} ", name::SEND_GOSSIP)?,
        None => write!(line, "{} {ALL_PEERS} ", name::SEND_GOSSIP)?,
    }
    if payload.is_empty() {
        write!(line, "{NO_PAYLOAD}")?;
    }
    for byte in payload {
        write!(line, "{byte:02x}")?;
    }
    writeln!(line)
}
