//! A rate limit with a burst.

use mintshelf_admission::rate::{RateConfig, RateLimit};
use mintshelf_balancer::api::Nanos;
use std::num::NonZeroU32;
use std::time::Duration;

const MS: Nanos = 1_000_000;

#[test]
fn a_rate_is_enforced_and_gives_the_wait() {
    let count = NonZeroU32::new(100).unwrap();
    let period = Duration::from_secs(1);
    let rate =
        RateLimit::new(RateConfig { count, period, burst: NonZeroU32::new(10).unwrap() }, 5 * MS);
    let mut acquired = 0;
    let mut now = 5 * MS;
    let mut wait = 0;
    while now < 1005 * MS {
        match rate.try_acquire(now) {
            Ok(()) => acquired += 1,
            Err(after) => wait = after,
        }
        now += MS;
    }
    assert!((108..=111).contains(&acquired), "{acquired}");
    assert!(wait > 0 && wait <= 10 * MS, "{wait}");
    // A clock that stands or goes back takes nothing away.
    assert!(rate.try_acquire(0).is_err());
}
