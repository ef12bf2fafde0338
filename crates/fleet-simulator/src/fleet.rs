//! What a fleet goes through beside its servers' troubles: releases, restarts, a source of
//! lists with a bound of its own, traffic spread unevenly, clients in a hurry.

use mintshelf_balancer::api::Nanos;
use std::ops::Range;

/// What the fleet goes through. By default nothing: sidecars know their servers from the
/// start, are as busy as one another, and all clients wait as long as their class says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Fleet {
    /// How many times as much as the least busy sidecar the busiest sees, as powers of ten:
    /// 0 for the same everywhere, 2 for a hundred times.
    pub uneven: f64,
    /// Sidecars that are killed and start anew.
    pub restarts: Vec<Restart>,
    /// Servers that are replaced.
    pub releases: Vec<Release>,
    /// Where lists come from; absent, every sidecar holds the first one for good.
    pub registry: Option<Registry>,
    /// Clients that do not wait.
    pub hurry: Option<Hurry>,
    /// More traffic for a while.
    pub burst: Option<Burst>,
    /// Zones of sidecars and servers, in turn; 0 and 1 are the same.
    pub zones: u32,
    /// A server that holds more than this many times its places works slower, and by which
    /// part for each multiple more; absent, it never does.
    pub thrash: Option<(f64, f64)>,
    /// Spread of the work of a class: sigma of a lognormal; 0 for the rig's usual.
    pub tail: f64,
    /// Queue of a server, in multiples of its places; 0 for the rig's usual four.
    pub queue: usize,
    /// Whether sidecars are told the prices of the fleet's site.
    pub prices: bool,
}

impl Fleet {
    /// The zone of a sidecar, or of a server that is there from the start.
    pub(crate) fn zone(&self, number: usize) -> u32 {
        number as u32 % self.zones.max(1)
    }
}

/// Some sidecars are killed at once and start again from nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct Restart {
    /// When.
    pub at: Nanos,
    /// How long they are away.
    pub down: Nanos,
    /// Which.
    pub sidecars: Range<usize>,
}

/// Servers are replaced by new ones, in steps: the old ones drain, end, and are deleted; the
/// new ones start cold.
#[derive(Debug, Clone, PartialEq)]
pub struct Release {
    /// When its first step begins, and its last.
    pub from: Nanos,
    /// See `from`.
    pub until: Nanos,
    /// How many steps.
    pub steps: usize,
    /// Which servers.
    pub servers: Range<usize>,
    /// How long a server drains before its process ends.
    pub drain: Nanos,
    /// How long after the drain began its successor starts.
    pub start: Nanos,
}

/// The source of lists.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Registry {
    /// It hears of a change between these times after it.
    pub notice: [Nanos; 2],
    /// Those who watch hear of it up to so much later still.
    pub spread: Nanos,
    /// Calls that it answers a second.
    pub calls_per_s: f64,
    /// A call that would wait longer fails then.
    pub timeout: Nanos,
}

/// Some clients give up early and come again at once.
#[derive(Debug, Clone, PartialEq)]
pub struct Hurry {
    /// When.
    pub during: Range<Nanos>,
    /// Which part of the clients.
    pub part: f64,
    /// What part of their class's aim they wait.
    pub waits: [f64; 2],
}

/// More traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// When.
    pub during: Range<Nanos>,
    /// How many times as much.
    pub times: f64,
}
