//! Every order of requests, responses, late copies, changes of leader and proposals in a small
//! case, by the model checker, on the program's own state machines. Consensus itself is assumed
//! here: what is applied, is applied once and in one order.

mod case;
mod transitions;

use case::{Case, Mutant, ONE_HOLDER, PASSES_ON, TOKENS_GROW};
use stateright::{Checker, HasDiscoveries, Model};

#[test]
fn no_order_of_events_gives_a_lease_two_holders() {
    let checker = Case::new(Mutant::None).checker().threads(2).spawn_bfs().join();
    let states = checker.unique_state_count();
    let found: Vec<&str> = checker.discoveries().keys().copied().collect();
    println!("{states} states");
    assert_eq!(found, [PASSES_ON], "{states} states");
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
        let checker = Case::new(mutant).checker().threads(2);
        let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found = checker.discoveries();
        println!("{mutant:?}: {} states, {:?}", checker.unique_state_count(), found.keys());
        let safety = [ONE_HOLDER, TOKENS_GROW];
        assert!(safety.iter().any(|name| found.contains_key(name)), "{mutant:?} is not found");
    }
}
