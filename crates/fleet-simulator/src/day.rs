//! Days of the fleet's standing test, drawn from a seed: what its page says happens, in this
//! rig's own world.

use crate::fleet::{Burst, Fleet, Hurry, Registry, Release, Restart};
use crate::plan::{Kind, Plan, Retry, Trouble};
use crate::{uniform, MS, SECOND};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A kind of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Day {
    /// No fault; a burst of half as much again.
    Calm,
    /// Half of the servers replaced in steps, all sidecars restarted a tenth at a time.
    Roll,
    /// A release while seven in ten sidecars are killed at once; one server of eight is bad.
    Herd,
    /// Three servers in ten are lost and come back cold; one of eight is slow.
    Zone,
    /// A fifth of the servers fall silent, and lists come late.
    Split,
    /// Six servers in ten are replaced within seven seconds; clients give up early and come
    /// again at once.
    Join,
}

impl Day {
    /// All of them.
    pub const ALL: [Day; 6] = [Day::Calm, Day::Roll, Day::Herd, Day::Zone, Day::Split, Day::Join];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Day::Calm => "calm",
            Day::Roll => "roll",
            Day::Herd => "herd",
            Day::Zone => "zone",
            Day::Split => "split",
            Day::Join => "join",
        }
    }
}

/// When a day's trouble begins.
const FROM: u64 = 8;
/// How long a day lasts, in seconds.
const LENGTH: u64 = 30;
/// Requests a second that a sidecar sees on the mean.
const RATE: f64 = 11.0;

/// A day of a fleet of so many sidecars, with half as many servers.
pub fn day(kind: Day, seed: u64, sidecars: usize) -> Plan {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x666c_6565_745f_6461);
    let mut draw = |from: f64, to: f64| from + uniform(&mut rng) * (to - from);
    let span = |seconds: f64| (seconds * SECOND as f64) as u64;
    let servers = (sidecars / 2).max(8);
    let (from, eighth) = (FROM * SECOND, servers / 8);
    let registry = Registry {
        notice: [span(0.78), span(draw(1.5, 4.8))],
        spread: span(draw(0.15, 0.59)),
        calls_per_s: sidecars as f64 * draw(0.1, 0.3),
        timeout: SECOND,
    };
    let fleet = Fleet {
        uneven: draw(0.5, 1.2),
        registry: Some(registry),
        zones: 2,
        thrash: Some((draw(4.3, 7.4), draw(0.12, 0.3))),
        queue: 16,
        tail: draw(1.1, 1.4),
        prices: true,
        ..Fleet::default()
    };
    let calm = Plan::calm(seed, RATE * sidecars as f64, LENGTH);
    let mut plan = Plan {
        sidecars,
        servers,
        capacity: 1.0 / draw(0.45, 0.6),
        retry: Retry::Pause(span(draw(0.02, 0.16))),
        ramp: None,
        max_retry_after: 2 * SECOND,
        cold: span(draw(3.4, 8.4)),
        cold_from: draw(0.3, 0.57),
        fleet,
        ..calm
    };
    let release = |part: f64, over: f64, steps, drain: f64, start: f64| Release {
        from,
        until: from + span(over),
        steps,
        servers: 0..(servers as f64 * part) as usize,
        drain: span(drain),
        start: span(start),
    };
    let trouble = |servers, seconds: f64, kind| {
        let until = from + span(seconds);
        Trouble { from, until, servers, kind }
    };
    let last = servers - eighth..servers;
    match kind {
        Day::Calm => {
            plan.fleet.burst = Some(Burst { during: from..from + 8 * SECOND, times: 1.5 });
        }
        Day::Roll => {
            plan.fleet.releases.push(release(0.5, 12.0, 8, 3.0, 2.5));
            let tenth = sidecars.div_ceil(10);
            plan.fleet.restarts = (0..10)
                .map(|tenths| Restart {
                    at: from + tenths as u64 * SECOND,
                    down: 300 * MS,
                    sidecars: tenths * tenth..((tenths + 1) * tenth).min(sidecars),
                })
                .collect();
        }
        Day::Herd => {
            plan.fleet.releases.push(release(0.35, 9.0, 4, 3.0, 2.5));
            let sidecars = 0..sidecars * 7 / 10;
            let (at, down) = (from + span(draw(1.0, 3.0)), 500 * MS);
            plan.fleet.restarts.push(Restart { at, down, sidecars });
            plan.troubles.push(trouble(last, 8.0, Kind::Slow(draw(3.0, 6.0))));
        }
        Day::Zone => {
            plan.troubles.push(trouble(0..servers * 3 / 10, 5.0, Kind::Crash));
            plan.troubles.push(trouble(last, 10.0, Kind::Slow(draw(2.0, 5.0))));
        }
        Day::Split => {
            plan.troubles.push(trouble(0..servers / 5, 6.0, Kind::Silence));
            let later = span(6.0);
            if let Some(registry) = &mut plan.fleet.registry {
                registry.notice = registry.notice.map(|notice| notice + later);
            }
            plan.fleet.releases.push(release(0.1, 1.0, 1, 3.0, 2.5));
        }
        Day::Join => {
            plan.fleet.releases.push(release(0.6, 7.0, 2, 6.0, 2.5));
            let waits = [draw(0.05, 0.1), draw(0.25, 0.5)];
            let until = from + 8 * SECOND;
            plan.fleet.hurry = Some(Hurry { during: from..until, part: draw(0.4, 0.9), waits });
            plan.retry = Retry::AtOnce;
            let during = from + 3 * SECOND..until;
            plan.fleet.burst = Some(Burst { during, times: 1.4 });
        }
    }
    plan
}
