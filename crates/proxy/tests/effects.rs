//! The effect of a request: what may happen if it is sent twice.

use hyper::Method;
use mintshelf_balancer::api::Effect::{Idempotent, Safe, Unsafe};
use mintshelf_proxy::gateway::classify::effect_of;

#[test]
fn no_effect_is_taken_for_milder_than_it_is() {
    let of = |class, method: &Method, keyed| effect_of(class, None, method, keyed);
    for (class, method, keyed, effect) in [
        (Safe, Method::GET, false, Safe),
        (Safe, Method::HEAD, false, Safe),
        (Safe, Method::POST, true, Unsafe),
        (Safe, Method::PUT, false, Unsafe),
        (Safe, Method::DELETE, false, Unsafe),
        (Safe, Method::from_bytes(b"PURGE").unwrap(), false, Unsafe),
        (Idempotent, Method::POST, true, Idempotent),
        (Idempotent, Method::POST, false, Unsafe),
        (Idempotent, Method::GET, false, Unsafe),
        (Unsafe, Method::GET, true, Unsafe),
    ] {
        assert_eq!(of(class, &method, keyed), effect, "{class:?} {method} {keyed}");
    }
    // The operator knows that this POST asks and changes nothing.
    assert_eq!(effect_of(Unsafe, Some(Safe), &Method::POST, false), Safe);
    assert_eq!(effect_of(Safe, Some(Idempotent), &Method::POST, false), Unsafe);
}
