//! Writes actions as lines of a reply.

use mintshelf_balancer::api::Action;
use std::fmt::{self, Write};

/// Appends one action to a reply, as a line of its own. [`Action::DropTimer`] has no message
/// and adds nothing.
pub fn write_action(reply: &mut String, action: &Action) {
    // Writing to a String cannot fail.
    let _ = try_write_action(reply, action);
}

fn try_write_action(reply: &mut String, action: &Action) -> fmt::Result {
    match action {
        Action::Send { id, server, timeout_at } => {
            writeln!(reply, "forward {id} {server} {timeout_at}")
        }
        Action::Cancel { id, attempt } => writeln!(reply, "retract {id} {attempt}"),
        Action::Reject { id, retry_after, .. } => writeln!(reply, "shed {id} {retry_after}"),
        Action::Fail { id, .. } => writeln!(reply, "drop_request {id}"),
        Action::SetTimer { after, token } => writeln!(reply, "set_timer {after} {token}"),
        Action::DropTimer { .. } => Ok(()),
        Action::Probe { server } => writeln!(reply, "probe {server}"),
        Action::CloseIdle { server } => writeln!(reply, "drop_conns {server}"),
        Action::SendGossip { peer, payload } => write_gossip(reply, *peer, payload),
        Action::StartWatch => writeln!(reply, "stream_changes 1"),
        Action::StopWatch => writeln!(reply, "stream_changes 0"),
        Action::FetchServers => writeln!(reply, "pull"),
        Action::Log { text } => writeln!(reply, "debug {}", text.replace(['\n', '\r'], " ")),
    }
}

fn write_gossip(reply: &mut String, peer: Option<u32>, payload: &[u8]) -> fmt::Result {
    match peer {
        Some(peer) => write!(reply, "signal {peer} ")?,
        None => write!(reply, "signal all ")?,
    }
    if payload.is_empty() {
        reply.push('-');
    }
    for byte in payload {
        write!(reply, "{byte:02x}")?;
    }
    writeln!(reply)
}
