//! The planned end: what it leaves of a request's time, and what is told when it is over.

use mintshelf_balancer::api::Effect;
use mintshelf_retry::shutdown::{FinalResponse, ShutdownDeadlines};
use mintshelf_time::MILLISECOND;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whoever is taken is told before the process can be killed, and never has more time
    /// than its client gave it.
    #[test]
    fn no_timeout_outlives_the_process(
        begun in 0..u64::MAX / 2,
        longest in 0..10_000 * MILLISECOND,
        late in 0..6_000 * MILLISECOND,
        asked in 0..20_000 * MILLISECOND,
    ) {
        let ending = ShutdownDeadlines::new(begun, longest);
        let killed = begun + longest.min(3_000 * MILLISECOND) + 700 * MILLISECOND;
        prop_assert!(ending.final_response_at() < killed);
        prop_assert!(ending.final_response_at() + 300 * MILLISECOND > killed, "time is given away");
        let now = begun + late;
        match ending.limit_timeout(now, asked) {
            Some(patience) => {
                prop_assert!(patience <= asked);
                prop_assert!(now + patience <= ending.final_response_at());
                // Only as much is taken as must be.
                prop_assert!(patience == asked || now + patience == ending.final_response_at());
            }
            None => prop_assert!(now >= ending.final_response_at()),
        }
    }
}

#[test]
fn only_what_may_be_repeated_is_rejected() {
    use {Effect::*, FinalResponse::*};
    let told = |effect| {
        [false, true].map(|may_have_run| ShutdownDeadlines::final_response(effect, may_have_run))
    };
    assert_eq!(told(Safe), [Reject, Reject]);
    assert_eq!(told(Idempotent), [Reject, Fail]);
    assert_eq!(told(Unsafe), [Reject, Fail]);
}
