//! Every order of requests, responses, late copies, changes of leader and proposals in a small
//! case, by the model checker, on the program's own state machines. Consensus itself is assumed
//! here: what is applied, is applied once and in one order.

mod case;
#[path = "../common/model_checker.rs"]
mod model_checker;
mod transitions;

use case::{Case, Mutant, ONE_HOLDER, PASSES_ON, TOKENS_GROW};
use model_checker::{explore, explore_to_failure, Exploration};

#[test]
fn no_order_of_events_gives_a_lease_two_holders() {
    let Exploration { states, discoveries } = explore(Case::new(Mutant::None));
    println!("{states} states");
    assert_eq!(discoveries, [PASSES_ON], "{states} states");
    assert!(states > 10_000, "{states} states prove little");
}

#[test]
fn each_mutant_is_found() {
    for mutant in [
        Mutant::CountsFromResponse,
        Mutant::IgnoresClockError,
        Mutant::KeepsFormerLeadersCounts,
        Mutant::TokenNotReplicated,
        Mutant::ExpiresAnyRenewal,
    ] {
        let exploration = explore_to_failure(Case::new(mutant));
        println!("{mutant:?}: {} states, {:?}", exploration.states, exploration.discoveries);
        let safety = [ONE_HOLDER, TOKENS_GROW];
        assert!(safety.iter().any(|name| exploration.has(name)), "{mutant:?} is not found");
    }
}
