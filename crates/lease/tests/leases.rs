//! The agreed state machine, the leader's counts, a holder's own, the fence and the spans, each
//! alone.

use mintshelf_lease::client::{Holder, NotNow, Step};
use mintshelf_lease::expiry::Grantor;
use mintshelf_lease::fence::{Admitted, Fence, FenceError};
use mintshelf_lease::lease::*;
use mintshelf_lease::timing::{ClockError, Timing, TimingError, MS, SECOND};
use proptest::prelude::*;

const SPAN: u64 = 3 * SECOND;

fn owner(n: u8) -> Owner {
    Owner { member: format!("m{}", n % 4), incarnation: u64::from(n / 4) }
}

fn acquire(n: u8, wait: bool) -> Command {
    Command::Acquire { lease: "a".into(), owner: owner(n), span: SPAN, wait }
}

fn granted(answer: &Answer) -> u64 {
    match answer {
        Answer::Granted { token } => *token,
        other => panic!("not granted: {other:?}"),
    }
}

#[test]
fn a_lease_goes_in_turn_and_each_grant_has_a_higher_token() {
    let mut leases = Leases::default();
    let first = granted(&leases.apply(&acquire(0, false)));
    assert_eq!(
        leases.apply(&acquire(1, true)),
        Answer::Held { by: Some(owner(0)), place: Some(0) }
    );
    assert_eq!(
        leases.apply(&acquire(2, true)),
        Answer::Held { by: Some(owner(0)), place: Some(1) }
    );
    assert_eq!(leases.apply(&acquire(3, false)), Answer::Held { by: Some(owner(0)), place: None });
    let lease = "a".to_owned();
    leases.apply(&Command::Release { lease: lease.clone(), owner: owner(0), token: first });
    // Who did not queue does not overtake; nor does who came second.
    assert_eq!(leases.apply(&acquire(3, false)), Answer::Held { by: None, place: None });
    assert_eq!(leases.apply(&acquire(2, true)), Answer::Held { by: None, place: Some(1) });
    let second = granted(&leases.apply(&acquire(1, true)));
    assert!(second > first);
    leases.apply(&Command::Expire { lease, token: second, renewal: 0 });
    assert!(granted(&leases.apply(&acquire(2, true))) > second);
}

/// Found by seed 138 of the three voters: a release that came late, when its sender had the lease
/// again, ended the new grant, and two acted.
#[test]
fn what_comes_late_ends_no_later_grant() {
    let mut leases = Leases::default();
    let lease = "a".to_owned();
    let first = granted(&leases.apply(&acquire(0, false)));
    let release = Command::Release { lease: lease.clone(), owner: owner(0), token: first };
    assert_eq!(leases.apply(&release), Answer::Done);
    let second = granted(&leases.apply(&acquire(0, false)));
    assert_eq!(leases.apply(&release), Answer::Refused(Refusal::NotHeld));
    let stale = Command::Expire { lease: lease.clone(), token: second, renewal: 0 };
    let renew = Command::Renew { lease: lease.clone(), owner: owner(0), token: second };
    leases.apply(&renew);
    assert_eq!(leases.apply(&stale), Answer::Refused(Refusal::NotHeld));
    assert_eq!(leases.get("a").unwrap().held.as_ref().unwrap().token, second);
}

#[test]
fn a_revoked_lease_ends_with_its_span_and_not_before() {
    let mut leases = Leases::default();
    let token = granted(&leases.apply(&acquire(0, false)));
    leases.apply(&Command::Revoke { lease: "a".into() });
    let renew = Command::Renew { lease: "a".into(), owner: owner(0), token };
    assert_eq!(leases.apply(&renew), Answer::Refused(Refusal::Revoked));
    assert_eq!(leases.apply(&acquire(0, false)), Answer::Refused(Refusal::Revoked));
    assert!(matches!(leases.apply(&acquire(1, false)), Answer::Held { by: Some(_), .. }));
}

#[test]
fn names_spans_and_numbers_are_bounded() {
    let mut leases = Leases::default();
    let ask = |lease: &str, member: &str, span| Command::Acquire {
        lease: lease.into(),
        owner: Owner { member: member.into(), incarnation: 1 },
        span,
        wait: true,
    };
    let refused = |answer, refusal| assert_eq!(answer, Answer::Refused(refusal));
    refused(leases.apply(&ask("", "m", SPAN)), Refusal::Name);
    refused(leases.apply(&ask("a\nb", "m", SPAN)), Refusal::Name);
    refused(leases.apply(&ask(&"a".repeat(NAME_MAX + 1), "m", SPAN)), Refusal::Name);
    refused(leases.apply(&ask("a", "m", SPAN_MAX + 1)), Refusal::Span);
    for n in 0..LEASES_MAX {
        granted(&leases.apply(&ask(&format!("l{n}"), "m", SPAN)));
    }
    refused(leases.apply(&ask("one more", "m", SPAN)), Refusal::TooMany);
    for n in 0..WAITERS_MAX {
        assert!(matches!(leases.apply(&ask("l0", &format!("w{n}"), SPAN)), Answer::Held { .. }));
    }
    refused(leases.apply(&ask("l0", "one more", SPAN)), Refusal::QueueFull);
}

fn command() -> impl Strategy<Value = Command> {
    let lease = || "a".to_owned();
    let token = 0..20u64;
    prop_oneof![
        4 => (0..8u8, any::<bool>()).prop_map(|(n, wait)| acquire(n, wait)),
        2 => (0..8u8, token.clone()).prop_map(move |(n, token)| Command::Renew {
            lease: lease(), owner: owner(n), token
        }),
        2 => (0..8u8, token.clone()).prop_map(move |(n, token)| Command::Release {
            lease: lease(), owner: owner(n), token
        }),
        1 => (0..8u8).prop_map(move |n| Command::Leave { lease: lease(), owner: owner(n) }),
        2 => (token, 0..4u64).prop_map(move |(token, renewal)| Command::Expire {
            lease: lease(), token, renewal
        }),
        1 => (0..8u8, 0..4u64).prop_map(move |(n, asks)| Command::Forget {
            lease: lease(), owner: owner(n), asks
        }),
        1 => Just(Command::Revoke { lease: lease() }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Whatever is agreed: only a free lease is granted, to a higher token; a grant goes over
    /// to nobody; replayed, the same commands give the same state.
    #[test]
    fn any_commands_keep_one_holder(commands in proptest::collection::vec(command(), 1..120)) {
        let (mut leases, mut twin) = (Leases::default(), Leases::default());
        let mut highest = 0;
        for command in &commands {
            let before = leases.get("a").and_then(|lease| lease.held.clone());
            let answer = leases.apply(command);
            prop_assert_eq!(&answer, &twin.apply(command));
            let after = leases.get("a").and_then(|lease| lease.held.clone());
            if let (Some(before), Some(after)) = (&before, &after) {
                prop_assert_eq!((&before.owner, before.token), (&after.owner, after.token));
                prop_assert!(after.renewal >= before.renewal);
            }
            if let (None, Some(after)) = (&before, &after) {
                prop_assert!(after.token > highest, "a token that was given before");
                highest = after.token;
            }
            if let Answer::Granted { token } = answer {
                prop_assert_eq!(Some(token), after.map(|held| held.token));
            }
            let queue = leases.get("a").map(|lease| lease.queue.len()).unwrap_or(0);
            prop_assert!(queue <= WAITERS_MAX);
        }
        prop_assert_eq!(leases, twin);
    }

    /// Whatever the clocks and the way of the messages: a holder's count is over before the
    /// leader's, in true time.
    #[test]
    fn a_holders_count_ends_first(
        ppm in 0..100_000u32,
        holder in -1.0..1.0f64,
        leader in -1.0..1.0f64,
        way in 0..2 * SPAN,
    ) {
        let error = ClockError { ppm };
        let rate = |at: f64| 1.0 + at * f64::from(ppm) / 1e6;
        let holders = error.holders(SPAN) as f64 / rate(holder);
        let leaders = way as f64 + error.grantors(SPAN) as f64 / rate(leader);
        prop_assert!(holders <= leaders + 1.0, "{holders} {leaders}");
    }
}

#[test]
fn the_leader_counts_from_the_last_renewal_and_a_new_one_anew() {
    let (error, mut leases) = (ClockError { ppm: 100_000 }, Leases::default());
    let mut grantor = Grantor::new(error);
    let token = granted(&leases.apply(&acquire(0, false)));
    grantor.applied(0, &leases, "a");
    assert_eq!(grantor.next(), None, "who does not lead counts nothing");
    grantor.lead(SECOND, &leases);
    assert!(grantor.due(SECOND + SPAN).is_empty(), "the clocks' error is waited for");
    leases.apply(&Command::Renew { lease: "a".into(), owner: owner(0), token });
    grantor.applied(2 * SECOND, &leases, "a");
    let end = 2 * SECOND + SPAN + SPAN / 10;
    assert!(grantor.due(end - 1).is_empty());
    let expire = Command::Expire { lease: "a".into(), token, renewal: 1 };
    assert_eq!(grantor.due(end), vec![expire.clone()]);
    assert!(grantor.due(end + MS).is_empty(), "not proposed at every tick");
    assert_eq!(grantor.due(end + SECOND), vec![expire.clone()], "again, if it was lost");
    leases.apply(&expire);
    grantor.applied(end + SECOND, &leases, "a");
    assert_eq!(grantor.next(), None);
}

#[test]
fn who_waits_and_does_not_ask_loses_its_place() {
    let (mut leases, mut grantor) = (Leases::default(), Grantor::new(ClockError { ppm: 0 }));
    grantor.lead(0, &leases);
    for n in [0, 1, 2] {
        leases.apply(&acquire(n, true));
        grantor.applied(0, &leases, "a");
    }
    leases.apply(&acquire(2, true));
    grantor.applied(SECOND, &leases, "a");
    let due = grantor.due(SPAN);
    let gone = Command::Forget { lease: "a".into(), owner: owner(1), asks: 1 };
    assert!(due.contains(&gone), "{due:?}");
    assert!(!due.iter().any(|c| matches!(c, Command::Forget { owner: o, .. } if *o == owner(2))));
    leases.apply(&gone);
    assert_eq!(leases.get("a").unwrap().queue.len(), 1);
}

fn sent(steps: &mut Vec<Step>) -> (u64, Command) {
    let found = steps.drain(..).find_map(|step| match step {
        Step::Send { number, command } => Some((number, command)),
        _ => None,
    });
    found.expect("a question")
}

#[test]
fn a_holder_counts_from_before_it_asked_and_acts_only_within() {
    let mut steps = Vec::new();
    let mut holder = Holder::new("a", owner(0), SPAN, ClockError { ppm: 100_000 }, false);
    holder.tick(10 * SECOND, &mut steps);
    let (number, command) = sent(&mut steps);
    assert_eq!(command, acquire(0, false));
    assert_eq!(holder.act(10 * SECOND, MS), Err(NotNow::NotHeld));
    holder.answered(12 * SECOND, number, &Answer::Granted { token: 7 }, &mut steps);
    assert_eq!(std::mem::take(&mut steps), vec![Step::Got { token: 7 }]);
    let end = 10 * SECOND + SPAN - SPAN / 10;
    assert_eq!(holder.held(end - 1), Some((7, end)));
    assert_eq!(holder.act(end - MS, MS), Ok(7));
    assert_eq!(holder.act(end - MS, 2 * MS), Err(NotNow::TooShort { within: 2 * MS, left: MS }));
    assert_eq!(holder.act(end, 0), Err(NotNow::NotHeld));
    holder.tick(end, &mut steps);
    assert_eq!(steps[0], Step::Lost);
}

#[test]
fn an_answer_to_a_former_question_or_life_is_passed_over() {
    let mut steps = Vec::new();
    let mut old = Holder::new("a", owner(0), SPAN, ClockError { ppm: 0 }, false);
    let mut new = Holder::new("a", owner(4), SPAN, ClockError { ppm: 0 }, false);
    old.tick(0, &mut steps);
    let (former, _) = sent(&mut steps);
    old.tick(SPAN, &mut steps);
    new.tick(SPAN, &mut steps);
    steps.clear();
    for holder in [&mut old, &mut new] {
        holder.answered(SPAN, former, &Answer::Granted { token: 1 }, &mut steps);
        assert_eq!((holder.held(SPAN), steps.len()), (None, 0));
    }
}

#[test]
fn a_lease_is_given_back_when_what_was_begun_is_over() {
    let mut steps = Vec::new();
    let mut holder = Holder::new("a", owner(0), SPAN, ClockError { ppm: 0 }, false);
    holder.tick(0, &mut steps);
    let (number, _) = sent(&mut steps);
    holder.answered(MS, number, &Answer::Granted { token: 3 }, &mut steps);
    steps.clear();
    holder.act(MS, SECOND).unwrap();
    holder.give_back();
    assert_eq!(holder.act(2 * MS, MS), Err(NotNow::NotHeld), "nothing new begins");
    holder.tick(SECOND / 2, &mut steps);
    assert!(steps.is_empty(), "{steps:?}");
    holder.tick(SECOND + MS, &mut steps);
    let (number, command) = sent(&mut steps);
    assert!(matches!(command, Command::Release { token: 3, .. }));
    assert!(!holder.is_over());
    holder.give_back();
    holder.answered(SECOND + 2 * MS, number, &Answer::Done, &mut steps);
    assert!(holder.is_over());
}

#[test]
fn a_fence_passes_no_lower_token_over_restarts() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit("r", 0), Err(FenceError::Nobody));
    assert_eq!(fence.admit("r", 5), Ok(Admitted::StoreFirst));
    assert_eq!(fence.admit("r", 5), Ok(Admitted::Known));
    let stored = postcard::to_allocvec(&fence).unwrap();
    let mut fence: Fence = postcard::from_bytes(&stored).unwrap();
    assert_eq!(fence.admit("r", 4), Err(FenceError::Stale { token: 4, highest: 5 }));
    assert_eq!(fence.admit("other", 4), Ok(Admitted::StoreFirst));
    assert_eq!(fence.admit("r", 6), Ok(Admitted::StoreFirst));
    assert_eq!(fence.highest("r"), 6);
}

#[test]
fn spans_that_cannot_work_together_are_refused_with_the_sum() {
    assert_eq!(Timing::default().check(), Ok(()));
    let lease = Timing { lease: 5 * SECOND, ..Timing::default() }.check().unwrap_err();
    assert_eq!(lease, TimingError::Lease { lease: 5 * SECOND, election: SECOND });
    assert!(lease.to_string().contains("5000ms is under 6000ms = 3 x (2 x election 1000ms)"));
    let election = Timing { election: 300 * MS, ..Timing::default() }.check().unwrap_err();
    assert!(election.to_string().contains("under 5 times the heartbeat of 100ms (500ms)"));
    let session = Timing { session: SECOND, ..Timing::default() }.check().unwrap_err();
    assert!(session.to_string().contains("2 x election"));
    let spans = Timing { error: ClockError { ppm: 200_000 }, ..Timing::default() };
    assert!(spans.check().is_err());
    assert_eq!(Timing { heartbeat: 0, ..Timing::default() }.check(), Err(TimingError::Bounds));
}
