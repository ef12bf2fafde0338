//! Two thousand members and three voters, of which one goes and comes back.

use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::{Nanos, MS, SECOND};
use mintshelf_quota::session::{Seats, Session, PATIENCE};
use proptest::prelude::*;

fn owner(n: usize) -> Owner {
    Owner { member: format!("sidecar-{n}"), incarnation: 1 }
}

/// What a run has shown.
#[derive(Debug, Default)]
struct Came {
    /// Most questions that any voter got in a second from members without a seat there.
    rush: usize,
    /// Members without an answer for the last two seconds, at the end of each second.
    unheard: Vec<usize>,
    /// Members at each voter, the same.
    seated: Vec<[usize; 3]>,
}

/// Each member asks every 700 ms; `down` tells whether a voter is.
fn run(members: usize, seconds: u64, down: impl Fn(usize, Nanos) -> bool) -> Came {
    let mut sessions: Vec<_> = (0..members).map(|n| Session::new(&owner(n), 3)).collect();
    let mut seats: Vec<_> = (0..3).map(|_| Seats::new(members, 3, 2 * SECOND)).collect();
    let (mut heard, mut ask_at) = (vec![0; members], vec![0; members]);
    let mut came = Came::default();
    let mut knocks = [0; 3];
    let mut now = 0;
    while now < seconds * SECOND {
        now += 50 * MS;
        for n in 0..members {
            let Some(voter) = sessions[n].voter(now) else { continue };
            if now < ask_at[n] {
                continue;
            }
            ask_at[n] = now + 700 * MS;
            sessions[n].asked(now);
            if down(voter, now) {
                // Silence; it is tried again elsewhere once its patience is over.
                ask_at[n] = now + 50 * MS;
                continue;
            }
            let before = seats[voter].len();
            if seats[voter].knock(now, &owner(n)) {
                knocks[voter] += usize::from(seats[voter].len() > before);
                sessions[n].heard(now, voter);
                heard[n] = now;
            } else {
                knocks[voter] += 1;
                sessions[n].turned_away(now, voter);
                ask_at[n] = now + 50 * MS;
            }
        }
        if now.is_multiple_of(SECOND) {
            came.rush = came.rush.max(*knocks.iter().max().unwrap());
            knocks = [0; 3];
            let late = |at: &&Nanos| now - **at >= 2 * SECOND;
            came.unheard.push(heard.iter().filter(late).count());
            came.seated.push([0, 1, 2].map(|voter: usize| seats[voter].len()));
        }
    }
    came
}

#[test]
fn a_voter_that_goes_is_left_at_once_and_found_again() {
    // Down from 10 s to 25 s.
    let gone = |voter: usize, now: Nanos| voter == 1 && (10 * SECOND..25 * SECOND).contains(&now);
    let came = run(2_000, 110, gone);
    // All have a seat within seconds of the start, spread evenly.
    assert_eq!(came.unheard[8], 0, "{:?}", came.unheard);
    assert!(came.seated[8].iter().all(|at| (560..=780).contains(at)), "{:?}", came.seated[8]);
    // Six seconds after the voter's end all are served by the two others.
    assert!(came.unheard[15..].iter().all(|late| *late == 0), "{:?}", came.unheard);
    // A minute after its return they are spread again.
    let last = came.seated.last().unwrap();
    assert!(last.iter().all(|at| (560..=780).contains(at)), "{last:?}");
    assert!(came.rush < 2_000, "{} knocks at one voter in a second", came.rush);
}

#[test]
fn with_all_voters_gone_pauses_grow_and_end() {
    let gone = |_: usize, now: Nanos| (5 * SECOND..60 * SECOND).contains(&now);
    let came = run(300, 80, gone);
    assert_eq!(came.unheard[30], 300, "{:?}", came.unheard);
    // The longest pause and a round later all are back.
    assert_eq!(*came.unheard.last().unwrap(), 0, "{:?}", came.unheard);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens, a member has somebody to ask before long, and does not go round in
    /// circles without a pause.
    #[test]
    fn nobody_is_left_without_a_voter(
        name in 0usize..1_000,
        voters in 1usize..6,
        events in prop::collection::vec((0u8..4, 0u64..2_000), 1..200),
    ) {
        let mut session = Session::new(&owner(name), voters);
        let (mut now, mut turns, mut since) = (0, 0u64, 0);
        for (event, pause) in events {
            now += pause * MS;
            match session.voter(now) {
                Some(voter) => {
                    prop_assert!(voter < voters);
                    session.asked(now);
                    match event {
                        0 => {
                            session.heard(now, voter);
                            (turns, since) = (0, now);
                        }
                        1 => {
                            session.turned_away(now, voter);
                            turns += 1;
                        }
                        2 => session.heard(now, voter + 1),
                        _ => {}
                    }
                }
                None => prop_assert!(session.until(now) <= now + 5 * SECOND),
            }
            // No more than a round of them in each pause.
            prop_assert!(turns <= (voters as u64) * (2 + (now - since) / MS));
        }
        // At most one answer is waited for, and then one pause.
        let then = now + PATIENCE + 10 * SECOND;
        prop_assert!(session.voter(then).is_some() || session.voter(then + 5 * SECOND).is_some());
    }
}
