//! Every order of requests, responses, late copies, entries and changes of leader in a small case,
//! by the model checker, on the program's own state machines: two members, one of which is also
//! killed and restarts, and a quota of three units.

mod case;
#[path = "../../../lease/tests/common/model_checker.rs"]
mod model_checker;
#[path = "../common/mutations.rs"]
mod mutations;
mod transitions;

use case::{one_more_by_hand, Case, Mutant, WITHIN_QUOTA};
use model_checker::{explore, explore_to_failure};

#[test]
fn no_order_of_events_exceeds_the_quota() {
    let changing = Case::new(Mutant::None);
    let restarting = Case { leader_changes_max: 0, has_restart: true, ..Case::new(Mutant::None) };
    let duplicating = Case {
        leader_changes_max: 0,
        duplicates_max: 1,
        steps: one_more_by_hand(3),
        ..Case::new(Mutant::None)
    };
    for case in [changing, restarting, duplicating] {
        let exploration = explore(case);
        let states = exploration.states;
        println!("{states} states, {:?}", exploration.discoveries);
        assert!(!exploration.has(WITHIN_QUOTA), "{states} states");
        assert!(states > 10_000, "{states} states prove little");
    }
}

#[test]
fn each_mutant_is_found() {
    for mutant in [
        Mutant::ExpiresEarly,
        Mutant::KeepsFormerLeadersCounts,
        Mutant::FreesOnShrink,
        Mutant::FreesFormerIncarnation,
        Mutant::IgnoresClockError,
    ] {
        let exploration = explore_to_failure(Case::new(mutant));
        println!("{mutant:?}: {} states, {:?}", exploration.states, exploration.discoveries);
        assert!(exploration.has(WITHIN_QUOTA), "{mutant:?} is not found");
    }
}
