//! What a member uses of a share, and what it needs: the part that requests pass through.

use crate::client::Limit;
use mintshelf_lease::timing::Nanos;

/// Needs are kept for so many windows: one that has just begun has seen too little.
const WINDOWS: usize = 3;
/// On top of what was needed, so that a little more need does not wait for the next promise: a
/// quarter, and one unit.
const HEADROOM_PART: u64 = 4;

/// What one window has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Window {
    /// Most units in use at once.
    peak: u64,
    /// Takers turned away for want of a unit.
    refused: u64,
}

/// Units in use under a limit that is swapped from time to time. Nothing here waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    limit: Limit,
    used: u64,
    /// The newest first.
    windows: [Window; WINDOWS],
    /// Length of one, and when the newest ends.
    window: Nanos,
    ends: Nanos,
    /// How long a unit is in use, as a mean of late: what is turned away would have used so much.
    held: Nanos,
}

impl Usage {
    /// Nothing in use yet, under a limit; needs are counted by windows, best of a third of the
    /// span.
    pub fn new(now: Nanos, limit: Limit, window: Nanos) -> Self {
        let window = window.max(1);
        let (windows, ends) = ([Window::default(); WINDOWS], now.saturating_add(window));
        Usage { limit, used: 0, windows, window, ends, held: 0 }
    }

    /// A newer limit is in force. What is in use over it goes on.
    pub fn set(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// In use now.
    pub fn used(&self) -> u64 {
        self.used
    }

    fn turn(&mut self, now: Nanos) {
        let mut turned = 0;
        while now >= self.ends && turned < WINDOWS {
            self.windows.rotate_right(1);
            // What is in use goes on from one window into the next.
            self.windows[0] = Window { peak: self.used, refused: 0 };
            self.ends = self.ends.saturating_add(self.window);
            turned += 1;
        }
        if now >= self.ends {
            self.ends = now.saturating_add(self.window);
        }
    }

    /// Takes a unit; whether there is one.
    pub fn take(&mut self, now: Nanos) -> bool {
        self.turn(now);
        let newest = &mut self.windows[0];
        if self.used >= self.limit.at(now) {
            newest.refused = newest.refused.saturating_add(1);
            return false;
        }
        self.used += 1;
        newest.peak = newest.peak.max(self.used);
        true
    }

    /// Gives a unit back that was in use for so long.
    pub fn give_back(&mut self, now: Nanos, held: Nanos) {
        self.turn(now);
        self.used = self.used.saturating_sub(1);
        const MEMORY: Nanos = 16;
        self.held = match self.held {
            0 => held,
            mean => mean - mean / MEMORY + held / MEMORY,
        };
    }

    /// What would be used if it were allowed, with some headroom: the most of the last windows.
    /// Who was turned away counts for as much of a window as a unit is held: a hundred short
    /// requests do not need a hundred units.
    pub fn need(&mut self, now: Nanos) -> u64 {
        self.turn(now);
        let of = |window: &Window| {
            let (held, length) = (u128::from(self.held.max(1)), u128::from(self.window));
            // Clients that were turned away come again: one unit at least for any of them, and
            // no more than one each.
            let wanted = (u128::from(window.refused) * held).div_ceil(length);
            window.peak.saturating_add((wanted as u64).min(window.refused))
        };
        match self.windows.iter().map(of).max().unwrap_or(0) {
            0 => 0,
            most => most.saturating_add(most / HEADROOM_PART + 1),
        }
    }
}
