//! The configuration of the raft library.

use mintshelf_lease::timing::Timing;
use raft::Config;

/// Maximum size of the proposed entries that are not committed yet, in bytes. The leader drops
/// proposals that would exceed this limit.
const UNCOMMITTED_BYTES_MAX: u64 = 1 << 20;
/// Maximum size of the entries in one message, in bytes.
const APPEND_BYTES_MAX: u64 = 256 << 10;
/// Maximum number of append messages in flight to one follower.
const IN_FLIGHT_MAX: usize = 64;

/// Returns the configuration of replica `id`, which has applied the log up to the index `applied`.
/// One tick of the library is one heartbeat interval.
pub(crate) fn raft_config(id: u64, applied: u64, timing: &Timing) -> Config {
    let election_ticks = timing.election_timeout / timing.heartbeat_interval;
    let election_ticks = usize::try_from(election_ticks).unwrap_or(usize::MAX);
    Config {
        id,
        applied,
        election_tick: election_ticks,
        heartbeat_tick: 1,
        min_election_tick: election_ticks,
        max_election_tick: 2 * election_ticks,
        check_quorum: true,
        pre_vote: true,
        max_size_per_msg: APPEND_BYTES_MAX,
        max_inflight_msgs: IN_FLIGHT_MAX,
        max_uncommitted_size: UNCOMMITTED_BYTES_MAX,
        ..Config::default()
    }
}
