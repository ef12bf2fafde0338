//! The order of effects by their severity.

use mintshelf_balancer::api::Effect;

/// All effects, by [`severity`].
pub(super) const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Idempotent, Effect::Unsafe];

/// The place of an effect in the order of severity, the mildest first, from 0.
pub(crate) fn severity(effect: Effect) -> usize {
    match effect {
        Effect::Safe => 0,
        Effect::Idempotent => 1,
        Effect::Unsafe => 2,
    }
}
