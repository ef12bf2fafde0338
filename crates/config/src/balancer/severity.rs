//! Ranks effects by severity.

use mintshelf_balancer::api::Effect;

/// All effects, indexed by [`severity`].
pub(super) const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Idempotent, Effect::Unsafe];

/// Returns the rank of an effect, from 0 for the least severe.
pub(crate) fn severity(effect: Effect) -> usize {
    match effect {
        Effect::Safe => 0,
        Effect::Idempotent => 1,
        Effect::Unsafe => 2,
    }
}
